"""Accounts for the memory that clients hold, and decides whom a shortage costs.

A holder that makes no progress gives way first, the largest before others. If all make progress,
what does not fit is refused, so that what was admitted is finished.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagefall.memory.budget import PART_SHARES, RESERVE_SHARE

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagefall.memory.budget import MemoryBudget
    from greengagefall.memory.decisions import DecisionLog
    from greengagefall.utils.clock import Clock

# Bytes that a holder has to move within ``STALL_S`` to count as making progress.
PROGRESS_BYTES = 32_768
STALL_S = 1.0
# Holders up to this size may use the reserve.
SMALL_BYTES = 65_536

EVICTED = "memory"


class Holder:
    """Memory that one request or answer of a client holds.

    Args:
        account: Account that the memory belongs to.
        part: Part of the budget.
        on_evict: Frees the memory; None if it cannot be freed before the holder is closed.

    Attributes:
        part: Part of the budget.
        on_evict: As above; None after ``pin``.
        held_bytes: Bytes held now.
        progress_s: When it last moved ``PROGRESS_BYTES``.
        closed: Whether it holds nothing any more.
    """

    def __init__(
        self, account: MemoryAccount, part: str, on_evict: Callable[[str], None] | None
    ) -> None:
        self._account = account
        self._moved_bytes = 0
        self.part = part
        self.on_evict = on_evict
        self.held_bytes = 0
        self.progress_s = account.now_s()
        self.closed = False

    def grow(self, size_bytes: int) -> bool:
        """Takes more memory; returns False if it does not fit or the holder is closed."""
        return not self.closed and self._account.grow(self, size_bytes)

    def advance(self, moved_bytes: int) -> None:
        """Records bytes that were received from the client or written to it."""
        self._moved_bytes += moved_bytes
        if self._moved_bytes >= PROGRESS_BYTES:
            self._moved_bytes = 0
            self.progress_s = self._account.now_s()

    def pin(self) -> None:
        """Keeps the memory until ``close``, because the request is being executed."""
        self.on_evict = None

    def close(self) -> None:
        """Gives all memory back."""
        if not self.closed:
            self.closed = True
            self._account.remove(self)


class MemoryAccount:
    """Memory that clients of one host hold, by part.

    Args:
        budget: What they may hold.
        clock: Clock that counts suspended time.
        decisions: Records evictions and refusals.
    """

    def __init__(self, budget: MemoryBudget, clock: Clock, decisions: DecisionLog) -> None:
        self._budget = budget
        self._clock = clock
        self._decisions = decisions
        self._parts_bytes = dict.fromkeys(PART_SHARES, 0)
        self._total_bytes = 0
        self._holders: set[Holder] = set()
        # No holder can be without progress before this time.
        self._next_stall_s = 0.0

    @property
    def parts_bytes(self) -> dict[str, int]:
        """Bytes that are held now, by part."""
        return dict(self._parts_bytes)

    def now_s(self) -> float:
        """Returns the time of the account's clock."""
        return self._clock.now_s()

    def limit_bytes(self, part: str) -> int:
        """Returns the most bytes that a part may hold."""
        return self._budget.parts_bytes[part]

    def open(self, part: str, on_evict: Callable[[str], None] | None) -> Holder:
        """Returns a new holder of no memory.

        Args:
            part: Part of the budget.
            on_evict: Called with a reason to free the memory at once, which is given back already.
        """
        holder = Holder(self, part, on_evict)
        self._holders.add(holder)
        return holder

    def reserve(self, part: str, size_bytes: int, holder_bytes: int = 0) -> bool:
        """Takes memory without a holder; returns False if it does not fit.

        Args:
            part: Part of the budget.
            size_bytes: Bytes to take.
            holder_bytes: Bytes of the message that they belong to, if that is larger.
        """
        if not self._make_room(part, size_bytes, max(size_bytes, holder_bytes)):
            return False
        self._add(part, size_bytes)
        return True

    def release(self, part: str, size_bytes: int) -> None:
        """Gives back memory that was taken by ``reserve``."""
        self._add(part, -size_bytes)

    def set_level(self, part: str, held_bytes: int) -> None:
        """Records what a part holds that nothing else reserves, as it was measured."""
        self._add(part, held_bytes - self._parts_bytes[part])

    def grow(self, holder: Holder, size_bytes: int) -> bool:
        """Takes more memory for a holder; returns False if it does not fit."""
        if not self._make_room(holder.part, size_bytes, holder.held_bytes + size_bytes, holder):
            return False
        holder.held_bytes += size_bytes
        self._add(holder.part, size_bytes)
        return True

    def remove(self, holder: Holder) -> None:
        """Gives back what a holder held."""
        self._holders.discard(holder)
        self._add(holder.part, -holder.held_bytes)
        holder.held_bytes = 0

    def _add(self, part: str, size_bytes: int) -> None:
        self._parts_bytes[part] += size_bytes
        self._total_bytes += size_bytes

    def _make_room(
        self, part: str, size_bytes: int, holder_bytes: int, holder: Holder | None = None
    ) -> bool:
        """Evicts holders without progress until there is room; returns whether there is."""
        small = holder_bytes <= SMALL_BYTES
        while (short := self._shortage(part, size_bytes, small)) is not None:
            evicted = self._find_stalled(short, holder)
            if evicted is None:
                return False
            self._evict(evicted)
        return holder is None or not holder.closed

    def _shortage(self, part: str, size_bytes: int, small: bool) -> str | None:
        """Returns the part that lacks room, an empty string for the total, None for none."""
        if not small and self._parts_bytes[part] + size_bytes > self._budget.parts_bytes[part]:
            return part
        usable = 1.0 if small else 1 - RESERVE_SHARE
        if self._total_bytes + size_bytes > usable * self._budget.total_bytes:
            return ""
        return None

    def _find_stalled(self, part: str, asking: Holder | None) -> Holder | None:
        """Returns the largest holder without progress that can be freed, other than ``asking``."""
        now_s = self._clock.now_s()
        if now_s < self._next_stall_s:
            return None
        movable = [
            holder
            for holder in self._holders
            if holder.on_evict is not None and holder.held_bytes and holder is not asking
        ]
        stalled = [holder for holder in movable if now_s - holder.progress_s >= STALL_S]
        if not stalled:
            earliest_s = min((holder.progress_s for holder in movable), default=now_s)
            self._next_stall_s = earliest_s + STALL_S
            return None
        in_part = [holder for holder in stalled if not part or holder.part == part]
        return max(in_part, key=lambda holder: holder.held_bytes, default=None)

    def _evict(self, holder: Holder) -> None:
        on_evict, held_bytes = holder.on_evict, holder.held_bytes
        self._decisions.record(
            "evicted",
            holder.part,
            held_bytes=held_bytes,
            stalled_s=round(self._clock.now_s() - holder.progress_s, 2),
            part_bytes=self._parts_bytes[holder.part],
            total_bytes=self._total_bytes,
        )
        holder.close()
        if on_evict is not None:
            on_evict(EVICTED)
