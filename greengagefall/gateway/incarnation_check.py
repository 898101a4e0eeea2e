"""Decides which grants a backend server may get after a sign that it may have restarted.

A restarted server knows no fencing tokens, so it must not get one that its former incarnation had.
A server that is cut off from the store restarts unseen: the store lists its former incarnation
until the entry expires. A new fencing token may be granted to either incarnation.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from greengagefall.gateway.server_knowledge import ServerKnowledge
    from greengagefall.utils.clock import Clock


class IncarnationCheck:
    """Keeps what is known of the incarnation behind a server's address.

    Args:
        clock: Clock that counts suspended time.
        knowledge: What this host knows of the server's process.

    Attributes:
        suspect_fence: Highest fencing token that a former incarnation may have been granted; 0 if
            the incarnation is certainly the same.
    """

    def __init__(self, clock: Clock, knowledge: ServerKnowledge) -> None:
        self.suspect_fence = knowledge.suspect_fence
        self._clock = clock
        self._knowledge = knowledge
        self._sent_fence = knowledge.suspect_fence
        # A dispatcher that takes over may still have the entry of an earlier incarnation.
        self._unverified = True
        self._unverified_since_s = clock.now_s()
        self._unverified_until_s = 0.0

    @property
    def sent_fence(self) -> int:
        """Highest fencing token that was sent to the server."""
        return self._sent_fence

    @property
    def needs_entry(self) -> bool:
        """Whether an entry that is read from the store now would prove the incarnation."""
        self._update()
        return not self._unverified and self.suspect_fence > 0 and self._is_expiry_over()

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
        self._suspect(self._knowledge.restart_detection_s)

    def on_timeout(self) -> None:
        """Records a call without an answer; a server that restarted can be known already."""
        self._suspect(0.0)

    def on_entry_listed(self, read_s: float) -> bool:
        """Takes the entry of this incarnation, as the store itself has it, as a proof.

        Args:
            read_s: When the read began.

        Returns:
            Whether it proves the incarnation: the entry of a former one had expired by then.
        """
        if self._unverified or read_s < self._unverified_since_s + self._knowledge.entry_expiry_s:
            return False
        self.suspect_fence = 0
        return True

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
        known_s = self._clock.now_s() - self._knowledge.store_lag_s()
        if known_s < self._unverified_until_s or not self._knowledge.is_entry_current():
            return
        self._unverified = False

    def _is_expiry_over(self) -> bool:
        expired_s = self._unverified_since_s + self._knowledge.entry_expiry_s
        return self._clock.now_s() >= expired_s
