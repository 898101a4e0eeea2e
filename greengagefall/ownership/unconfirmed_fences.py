"""Keeps for which keys a backend server may not know the newest fencing token.

Once the grants of a server have expired, its keys may go to others without its word. A grant that
the network held up can still reach it later; it refuses that one only if it knows a newer fencing
token.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from greengagefall.ownership.key_spans import KeySpan, without_all
from greengagefall.ownership.model import LAST_KEY

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagefall.utils.clock import Clock

# Time for which a grant that the network holds up is reckoned with. TCP repeats what is not
# acknowledged 25 s after it was sent, and then only after 51 s.
MAX_HELD_UP_S = 30.0


class _Unconfirmed(NamedTuple):
    """Keys of which the server confirmed nothing since ``since_s``.

    Attributes:
        span: The keys.
        since_s: Since when the server may have been granted them without an answer.
        due_s: When the server should be told of the newest fencing token.
    """

    span: KeySpan
    since_s: float
    due_s: float


class UnconfirmedFences:
    """The keys for which one server may take an outdated grant; at first all keys.

    Args:
        clock: Clock that counts suspended time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        now_s = clock.now_s()
        self._unconfirmed = [_Unconfirmed(KeySpan(0, LAST_KEY), now_s, now_s)]

    def add(self, span: KeySpan, delay_s: float = 0.0) -> None:
        """Adds keys that may go to another server without this one's word.

        Args:
            span: The keys.
            delay_s: Time in which a release is expected to be answered.
        """
        now_s = self._clock.now_s()
        self._unconfirmed = self._without(span, now_s)
        self._unconfirmed.append(_Unconfirmed(span, now_s, now_s + delay_s))

    def confirm(self, span: KeySpan, sent_s: float) -> None:
        """Removes keys; the server answered a grant or release of them that was sent then."""
        self._unconfirmed = self._without(span, sent_s)

    def clear(self) -> None:
        """Removes all keys, because the server's process has ended."""
        self._unconfirmed.clear()

    def spans_to_tell(self, owned: Iterable[KeySpan]) -> list[KeySpan]:
        """Returns the keys of which the server has to be told now, the last lost ones first.

        Args:
            owned: The server's own keys; it learns their fencing tokens by grants.
        """
        now_s = self._clock.now_s()
        self._drop_outdated(now_s)
        due = [one for one in self._unconfirmed if one.due_s <= now_s]
        # Keys that went on without the server's word certainly have another owner.
        due.sort(key=lambda one: (-one.since_s, one.span))
        return without_all([one.span for one in due], owned)

    def next_due_s(self) -> float | None:
        """Returns when further keys have to be told, None for never."""
        now_s = self._clock.now_s()
        return min((one.due_s for one in self._unconfirmed if one.due_s > now_s), default=None)

    def _drop_outdated(self, now_s: float) -> None:
        """Drops keys of which no grant can be on its way any more."""
        self._unconfirmed = [
            one for one in self._unconfirmed if now_s - one.since_s < MAX_HELD_UP_S
        ]

    def _without(self, span: KeySpan, until_s: float) -> list[_Unconfirmed]:
        """Returns what is left without the keys of a span that were added until then."""
        return [
            one._replace(span=part)
            for one in self._unconfirmed
            for part in (one.span.without(span) if one.since_s <= until_s else [one.span])
        ]
