"""Notices that a backend server has to get before the network may deliver an outdated grant.

Keys go on to another server once the grants of the former owner have expired, also if it confirmed
nothing. It refuses an outdated grant only if it knows a newer fencing token.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from greengagefall.ownership.key_spans import KeySpan

if TYPE_CHECKING:
    from greengagefall.ownership.model import ServerIncarnation

# Beyond this number, the notices of a server are joined to one.
MAX_NOTICES = 64


class PendingNotice(NamedTuple):
    """Keys, and the fencing token that the server has to know for them."""

    first: int
    last: int
    fence: int

    @property
    def span(self) -> KeySpan:
        """The keys."""
        return KeySpan(self.first, self.last)


class NoticeRecord(NamedTuple):
    """The notices that one incarnation of a backend server has to get.

    Attributes:
        server: The incarnation.
        service: Its service.
        address: ``IP:port`` of the server.
        notices: The notices, in the order of their keys; they share no key.
    """

    server: ServerIncarnation
    service: str
    address: str
    notices: tuple[PendingNotice, ...] = ()

    def add(self, notice: PendingNotice) -> NoticeRecord:
        """Returns the record with one more notice, which replaces those of the same keys."""
        kept = [
            PendingNotice(*part, other.fence)
            for other in self.notices
            for part in other.span.without(notice.span)
        ]
        return self._replace(notices=_bounded(sorted([*kept, notice])))

    def add_all(self, notices: tuple[PendingNotice, ...]) -> NoticeRecord:
        """Returns the record with more notices."""
        record = self
        for notice in notices:
            record = record.add(notice)
        return record


def _bounded(notices: list[PendingNotice]) -> tuple[PendingNotice, ...]:
    """Joins notices that are too many; keys between them get a newer fencing token, too."""
    if len(notices) <= MAX_NOTICES:
        return tuple(notices)
    fence = max(notice.fence for notice in notices)
    return (PendingNotice(notices[0].first, notices[-1].last, fence),)
