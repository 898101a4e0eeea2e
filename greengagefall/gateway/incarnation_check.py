"""Decides which grants a backend server may get after a sign that it may have restarted.

A restarted server knows no fencing tokens, so it must not get one that its former incarnation had.
A server that is cut off from the store restarts unseen: the store lists its former incarnation
until the entry expires. A new fencing token may be granted to either incarnation.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagefall.utils.clock import Clock


class IncarnationCheck:
    """Keeps what is known of the incarnation behind a server's address.

    Args:
        clock: Clock that counts suspended time.
        is_entry_current: Whether the store certainly has the entry of this incarnation, and no
            later one that this host could know of.
        restart_detection_s: Time after a lost connection by which a new incarnation that reaches
            the store has written its entry.
        entry_expiry_s: Time after a lost connection by which the store has dropped the entry of an
            incarnation that ended then, also if no new one reaches the store.
        store_lag_s: Returns how long ago this host certainly knew all entries.
        suspect_fence: Initial value of the attribute.

    Attributes:
        suspect_fence: Highest fencing token that a former incarnation may have been granted; 0 if
            the incarnation is certainly the same.
    """

    def __init__(
        self,
        clock: Clock,
        is_entry_current: Callable[[], bool],
        restart_detection_s: float,
        entry_expiry_s: float,
        store_lag_s: Callable[[], float],
        suspect_fence: int = 0,
    ) -> None:
        self.suspect_fence = suspect_fence
        self._clock = clock
        self._is_entry_current = is_entry_current
        self._restart_detection_s = restart_detection_s
        self._entry_expiry_s = entry_expiry_s
        self._store_lag_s = store_lag_s
        self._sent_fence = suspect_fence
        # A dispatcher that takes over may still have the entry of an earlier incarnation.
        self._unverified = True
        self._unverified_since_s = clock.now_s()
        self._unverified_until_s = 0.0

    @property
    def sent_fence(self) -> int:
        """Highest fencing token that was sent to the server."""
        return self._sent_fence

    @property
    def settled(self) -> bool:
        """Whether nothing suggests that the server restarted."""
        self._update()
        return not self._unverified and not self.suspect_fence

    def may_grant(self, fence: int) -> bool:
        """Returns whether the server may get keys under a fencing token now."""
        self._update()
        return not self._unverified and fence > self.suspect_fence

    def needs_new_fence(self, fence: int) -> bool:
        """Returns whether only the fencing token prevents a grant."""
        self._update()
        return not self._unverified and fence <= self.suspect_fence

    def record_sent(self, fence: int) -> None:
        """Records a fencing token that is sent to the server."""
        self._sent_fence = max(self._sent_fence, fence)

    def on_connection_lost(self) -> None:
        """Records that the server may have restarted."""
        self._suspect(self._restart_detection_s)

    def on_timeout(self) -> None:
        """Records a call without an answer; a server that restarted can be known already."""
        self._suspect(0.0)

    def on_executed(self, fence: int, sent_s: float) -> bool:
        """Takes an executed request for a held key as proof of the incarnation.

        Args:
            fence: Fencing token under which the server held the key.
            sent_s: When the request was sent.

        Returns:
            Whether the request proved anything new.
        """
        if sent_s < self._unverified_since_s or self.settled:
            return False
        self._unverified = False
        if fence <= self.suspect_fence:
            # Only the incarnation that was granted the token can hold the key under it.
            self.suspect_fence = 0
        return True

    def _suspect(self, min_s: float) -> None:
        now_s = self._clock.now_s()
        self._unverified = True
        self._unverified_since_s = now_s
        self._unverified_until_s = max(self._unverified_until_s, now_s + min_s)
        self.suspect_fence = self._sent_fence

    def _update(self) -> None:
        """Applies what the store's entry proves by now."""
        if not self._unverified and not self.suspect_fence:
            return
        known_s = self._clock.now_s() - self._store_lag_s()
        if known_s < self._unverified_until_s or not self._is_entry_current():
            return
        self._unverified = False
        if known_s >= self._unverified_since_s + self._entry_expiry_s:
            self.suspect_fence = 0
