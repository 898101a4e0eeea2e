"""The right of one candidate to dispatch one backend server.

Safety. Two candidates never hold the right at the same time:

- Within one witness group: majorities intersect, a witness endorses one candidate at a time for
  the endorsement TTL, and a candidate relies on an endorsement for a shorter time, counted from
  before its request.
- Between epochs, for a group that changed: the right is *open* to a candidate only once no right
  under an earlier epoch can exist any more. Either more than half of the previous group moved to
  this epoch or their processes ended, which ends new endorsements under the previous epoch, and
  then the endorsement TTL passed (the wait). Or the right was open to the candidate in the previous
  epoch, and more than half of the previous group moved *while they endorsed it*: each of them
  endorsed no other candidate until it moved to a later epoch, after which it never endorses under
  the earlier one. So no other candidate can have or get a majority there (no wait).
- The next epoch is written only when the current one is complete. So a candidate whose group is
  unchanged since the previous record, but to which the right was not open there, needs only the
  wait.
- A right that is held when the epoch changes stays valid until its own endorsements expire. The
  wait of all other candidates covers that time.

Fencing tokens ("fences"). A candidate draws a fence above all fences that a majority has stored.
The epoch in the upper bits puts it above every fence of earlier epochs, which also covers
witnesses that restarted and lost their state. The candidate uses the fence once a majority has
stored it, provided that a majority's endorsements were unexpired all the time since the draw;
otherwise it draws a new one.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.coordination.epochs import identities, member_id, merge_max_versions
from greengagefall.coordination.ring import witness_group
from greengagefall.coordination.witness import ENDORSEMENT_TTL_S, HostIdentity
from greengagefall.utils.invariants import check

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagefall.coordination.model import MembersRecord
    from greengagefall.protocol.messages import Endorsed
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

CLOCK_RATE_MARGIN = 0.02
SEND_MARGIN_S = 0.02
EPOCH_FENCE_SPAN = 1 << 32
NEVER_S = float("-inf")


class RightTiming(NamedTuple):
    """Times that a dispatch right depends on.

    Attributes:
        endorsement_ttl_s: How long a witness endorses, by its own clock.
        rate_margin: Maximum relative difference between the rates of two hosts' clocks.
        send_margin_s: Time reserved between the check of the right and the send.
    """

    endorsement_ttl_s: float = ENDORSEMENT_TTL_S
    rate_margin: float = CLOCK_RATE_MARGIN
    send_margin_s: float = SEND_MARGIN_S

    def usable_endorsement_s(self) -> float:
        """Returns how long a candidate relies on an endorsement, from before its request."""
        return self.endorsement_ttl_s * (1 - self.rate_margin) - self.send_margin_s

    def takeover_wait_s(self) -> float:
        """Returns how long a candidate waits for endorsements of others to expire."""
        return self.endorsement_ttl_s * (1 + self.rate_margin)


class DispatchRight:
    """One candidate's right to dispatch one backend server.

    Replies to requests sent before this object was created are ignored: an earlier right of this
    process may have given back the endorsements in them.

    Attributes:
        server_key: ``back end/server``.
        fence: Fence drawn for the right, 0 for none.
        epoch: Epoch of the newest members record seen.
        witnesses: Host and incarnation of each witness of this epoch.
        previous_witnesses: Host and incarnation of each witness of the previous epoch.
    """

    def __init__(
        self,
        server_key: str,
        host: str,
        incarnation: str,
        clock: Clock,
        timing: RightTiming | None = None,
    ) -> None:
        self.server_key = server_key
        self.back_end = server_key.partition("/")[0]
        self.host = host
        self.incarnation = incarnation
        self.fence = 0
        self.epoch = 0
        self.witnesses: tuple[HostIdentity, ...] = ()
        self.previous_witnesses: tuple[HostIdentity, ...] = ()
        self._clock = clock
        self._timing = timing or RightTiming()
        self._endorsed_until_s: dict[HostIdentity, float] = {}
        self._stored_fences: dict[HostIdentity, int] = {}
        self._stored_maps: dict[HostIdentity, int] = {}
        self._moved_at_s: dict[HostIdentity, float] = {}
        self._carried: set[HostIdentity] = set()
        self._is_open = False
        self._may_carry = False
        self._open_at_s: float | None = None
        self._previous_valid_until_s = NEVER_S
        self._valid_until_s = NEVER_S
        self._ignore_until_s = clock.now_s()
        self._seen_fence = 0
        self._map_floor = 0

    def may_send(self) -> bool:
        """Returns whether this host may send to the server now; check it before each send."""
        return self._clock.now_s() < self._valid_until_s

    def valid_until_s(self) -> float:
        """Returns when the right expires unless it is renewed."""
        return self._valid_until_s

    def map_floor(self) -> int:
        """Returns the minimum slice map version from which slices may be granted."""
        return self._map_floor

    def stored_map_version(self) -> int:
        """Returns the slice map version that more than half of the witnesses store.

        A release of slices may be reported up to this version only.
        """
        if not self._is_open:
            return 0
        return int(_kth_largest(self._stored_maps.values(), majority_size(self.witnesses), 0))

    def is_open(self) -> bool:
        """Returns whether no right under an earlier epoch can exist any more."""
        self._update(self._clock.now_s())
        return self._is_open

    def opens_at_s(self) -> float | None:
        """Returns when the wait ends; ``None`` if it has not begun."""
        return self._open_at_s

    def has_majority(self) -> bool:
        """Returns whether a majority endorses this host under this epoch now."""
        return self._clock.now_s() < self._majority_until_s()

    def can_carry_over(self) -> bool:
        """Returns whether the right can continue from the previous epoch without the wait."""
        return self._may_carry and not self._is_open

    def set_members(self, record: MembersRecord) -> None:
        """Moves to a newer epoch."""
        if record.epoch <= self.epoch:
            return
        now_s = self._clock.now_s()
        self._update(now_s)
        group = identities(witness_group(record.members, self.server_key))
        previous = identities(witness_group(record.previous, self.server_key))
        self._map_floor = max(self._map_floor, record.map_floors.get(self.back_end, 0))
        if self._is_same_group(record, group, previous):
            self._keep_group(record, now_s)
        else:
            self._change_group(record, group, previous, now_s)
        self._update(now_s)

    def on_reply(self, reply: Endorsed, sent_at_s: float) -> None:
        """Counts a witness's reply.

        Args:
            reply: The reply.
            sent_at_s: This host's clock before the request was sent.
        """
        now_s = self._clock.now_s()
        self._update(now_s)
        if sent_at_s <= self._ignore_until_s:
            return
        witness = (reply.host, reply.incarnation)
        floors = merge_max_versions({self.back_end: self._map_floor}, reply.map_versions)
        self._map_floor = floors[self.back_end]
        if reply.epoch >= self.epoch and witness in self.previous_witnesses:
            self._moved_at_s.setdefault(witness, now_s)
        for key, endorsed, fence, carried in reply.results:
            if key != self.server_key:
                continue
            self._seen_fence = max(self._seen_fence, fence)
            if reply.epoch == self.epoch:
                self._count_endorsement(witness, endorsed, fence, carried, sent_at_s)
                self._count_stored_map(witness, endorsed, reply.map_versions)
        self._update(now_s)

    def discard(self) -> None:
        """Ends the right at once; replies to earlier requests are ignored."""
        self._ignore_until_s = self._clock.now_s()
        self._endorsed_until_s.clear()
        self._drop()

    def _is_same_group(
        self,
        record: MembersRecord,
        group: tuple[HostIdentity, ...],
        previous: tuple[HostIdentity, ...],
    ) -> bool:
        """Returns whether the group is the same in all epochs from this right's to the new one.

        The record covers two epochs. Together with this right's epoch, at most three consecutive
        epochs can be compared.
        """
        knows_all = 0 < self.epoch >= record.previous_epoch - 1
        return knows_all and group == previous == self.witnesses

    def _keep_group(self, record: MembersRecord, now_s: float) -> None:
        """Keeps the right as it is, because the witnesses still store whom they endorse.

        If the right was not open yet, the record proves that the previous epoch is complete, so
        only the wait remains.
        """
        self.epoch = record.epoch
        self.previous_witnesses = self.witnesses
        self._may_carry = False
        if not self._is_open:
            opens_at_s = now_s + self._timing.takeover_wait_s()
            self._open_at_s = min(self._open_at_s or opens_at_s, opens_at_s)

    def _change_group(
        self,
        record: MembersRecord,
        group: tuple[HostIdentity, ...],
        previous: tuple[HostIdentity, ...],
        now_s: float,
    ) -> None:
        self._previous_valid_until_s = self._valid_until_s
        self._may_carry = self._is_open and self.epoch == record.previous_epoch
        self.epoch = record.epoch
        self.witnesses, self.previous_witnesses = group, previous
        for state in (self._endorsed_until_s, self._stored_fences, self._stored_maps):
            state.clear()
        self._moved_at_s.clear()
        self._carried.clear()
        self._is_open, self._open_at_s = record.previous_epoch == 0, None
        if group == previous or not previous:
            self._open_at_s = now_s + self._timing.takeover_wait_s()
        for witness in previous:
            if member_id(*witness) in record.gone:
                self._moved_at_s[witness] = now_s

    def _count_endorsement(
        self, witness: HostIdentity, endorsed: bool, fence: int, carried: bool, sent_at_s: float
    ) -> None:
        if carried and witness in self.previous_witnesses:
            self._carried.add(witness)
        if not endorsed or witness not in self.witnesses:
            return
        until_s = sent_at_s + self._timing.usable_endorsement_s()
        self._endorsed_until_s[witness] = max(until_s, self._endorsed_until_s.get(witness, NEVER_S))
        self._stored_fences[witness] = max(fence, self._stored_fences.get(witness, 0))

    def _count_stored_map(
        self, witness: HostIdentity, endorsed: bool, versions: dict[str, int]
    ) -> None:
        if not endorsed or witness not in self.witnesses:
            return
        version = versions.get(self.back_end, 0)
        self._stored_maps[witness] = max(version, self._stored_maps.get(witness, 0))

    def _update(self, now_s: float) -> None:
        """Updates the state that depends on the time and on the counted replies."""
        self._open(now_s)
        majority_until_s = self._majority_until_s()
        if self.fence and now_s >= max(majority_until_s, self._previous_valid_until_s):
            self._drop()
        if not self.fence and now_s < majority_until_s:
            self._draw_fence()
        is_stored = _kth_largest(self._stored_fences.values(), majority_size(self.witnesses), 0)
        if self.fence and is_stored >= self.fence:
            self._valid_until_s = max(majority_until_s, self._previous_valid_until_s)
        else:
            self._valid_until_s = self._previous_valid_until_s

    def _open(self, now_s: float) -> None:
        if self._is_open or not self.witnesses:
            return
        needed = majority_size(self.previous_witnesses)
        if self._open_at_s is None and len(self._moved_at_s) >= needed:
            moved_at_s = sorted(self._moved_at_s.values())[needed - 1]
            self._open_at_s = moved_at_s + self._timing.takeover_wait_s()
        waited = self._open_at_s is not None and now_s >= self._open_at_s
        self._is_open = waited or (self._may_carry and len(self._carried) >= needed)

    def _majority_until_s(self) -> float:
        if not self._is_open or not self.witnesses:
            return NEVER_S
        return _kth_largest(self._endorsed_until_s.values(), majority_size(self.witnesses), NEVER_S)

    def _draw_fence(self) -> None:
        highest_seen = self._seen_fence
        self.fence = max(self._seen_fence, self.epoch * EPOCH_FENCE_SPAN) + 1
        self._seen_fence = self.fence
        check(self.fence > highest_seen, "dispatch_fence_monotone", server=self.server_key)

    def _drop(self) -> None:
        self.fence = 0
        self._stored_fences.clear()
        self._stored_maps.clear()
        self._previous_valid_until_s = self._valid_until_s = NEVER_S


def majority_size(group: tuple[HostIdentity, ...]) -> int:
    """Returns the smallest number that is more than half of a group."""
    return len(group) // 2 + 1


def _kth_largest(values: Iterable[float], k: int, default: float) -> float:
    ordered = sorted(values, reverse=True)
    return ordered[k - 1] if len(ordered) >= k else default
