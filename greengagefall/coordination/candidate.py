"""The candidate part of an entry host: asks for the rights to dispatch and renews them.

A host builds its due requests every ``TICK_S``, sends them, and hands in the replies. One frame
per witness holds all backend servers that are due at about the same time.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.coordination.dispatch_right import DispatchRight, RightTiming
from greengagefall.coordination.request_schedule import RANK_STEP_S, PeerStability, RequestSchedule
from greengagefall.coordination.ring import candidates
from greengagefall.protocol.messages import Endorse, Endorsed

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from greengagefall.coordination.model import Member, MembersRecord
    from greengagefall.coordination.witness import Witness
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

TICK_S = 0.05
RENEW_INTERVAL_S = 0.4
RETRY_INTERVAL_S = 0.15
REQUEST_BATCH_WINDOW_S = 0.1
ATTEMPTS_BEFORE_BACKOFF = 2


class OutgoingRequest(NamedTuple):
    """A request to send to a witness.

    Attributes:
        member: The witness; it may belong to the epoch before only.
        request: What to send.
        asked_at_s: Time to hand in with the reply.
    """

    member: Member
    request: Endorse
    asked_at_s: float


class Candidate:
    """All dispatch rights that a host holds or may come to hold.

    The host's own witness is asked directly; replies of the others come through ``on_reply``.

    Attributes:
        host: Name of this host.
        incarnation: Incarnation of this process.
        resigned: Whether this host gave up all rights for good.
    """

    right_class = DispatchRight

    def __init__(
        self, witness: Witness, clock: Clock, rng: random.Random, terms: RightTiming | None = None
    ) -> None:
        self.host = witness.host
        self.incarnation = witness.incarnation
        self.resigned = False
        self._witness = witness
        self._clock = clock
        self._rng = rng
        self._terms = terms or RightTiming()
        self._record: MembersRecord | None = None
        self._server_keys: tuple[str, ...] = ()
        self._asking: dict[str, RequestSchedule] = {}
        self._given_back: dict[str, list[str]] = {}
        self._round = 0
        self._presence = PeerStability(clock)
        witness.on_given_back(self._on_freed)

    def set_members(self, record: MembersRecord) -> bool:
        """Moves this host, its witness included, to a newer epoch; False if it is not newer."""
        if not self._witness.set_members(record):
            return False
        self._record = record
        self._presence.clear()
        for asking in self._asking.values():
            asking.right.set_members(record)
            asking.next_at_s = 0.0
        self._choose_rights()
        return True

    def set_servers(self, server_keys: Iterable[str]) -> None:
        """Sets the backend servers of the zone, as ``back end/server``."""
        self._server_keys = tuple(sorted(server_keys))
        for key in set(self._asking) - set(self._server_keys):
            self.give_back(key)
            del self._asking[key]
        self._choose_rights()

    def right(self, server_key: str) -> DispatchRight | None:
        """Returns the right for a backend server, if this host may come to hold it."""
        asking = self._asking.get(server_key)
        return asking.right if asking else None

    def held_rights(self) -> list[DispatchRight]:
        """Returns the rights under which this host may send now."""
        return [asking.right for asking in self._asking.values() if asking.right.may_send()]

    def dispatcher_host(self, server_key: str) -> str:
        """Returns the host that dispatches a server as far as is known here, else empty."""
        right = self.right(server_key)
        if right and right.may_send():
            return self.host
        holder = self._witness.holder(server_key)
        return holder.host if holder else ""

    def build_requests(self, map_versions: dict[str, int]) -> list[OutgoingRequest]:
        """Returns the requests that are due, after asking the own witness.

        Args:
            map_versions: Slice map version under which this host acts, by back end.
        """
        now_s = self._clock.now_s()
        outgoing = self._flush_given_back(now_s)
        if self._record is None:
            return outgoing
        rows: dict[str, list[list]] = {}
        for asking in self._due(now_s):
            self._add_rows(asking, rows, now_s)
        for member in self._known_members():
            if member.host in rows:
                request = self._request(rows[member.host], map_versions)
                outgoing.append(OutgoingRequest(member, request, now_s))
        return self._ask_own_witness(outgoing)

    def on_reply(self, reply: Endorsed, asked_at_s: float) -> None:
        """Hands a witness's reply to the rights.

        Args:
            reply: The reply.
            asked_at_s: ``OutgoingRequest.asked_at_s`` of its request.
        """
        now_s = self._clock.now_s()
        if self._record and reply.epoch == self._record.epoch:
            self._presence.record_answer(reply.host)
        for asking in self._asking.values():
            asking.right.on_reply(reply, asked_at_s)
            if asking.right.fence != asking.last_sent_fence:
                asking.next_at_s = now_s
            elif self._record and reply.epoch < self._record.epoch:
                asking.next_at_s = min(asking.next_at_s, now_s + RETRY_INTERVAL_S)

    def give_back(self, server_key: str) -> None:
        """Gives up one right and tells the witnesses, so that another candidate may follow."""
        asking = self._asking.get(server_key)
        if asking is None:
            return
        asking.right.give_up()
        asking.not_before_s = self._clock.now_s() + asking.backoff_s(self._rng)
        asking.attempts = 0
        witnesses = (*asking.right.witnesses, *asking.right.previous_witnesses)
        for host in dict.fromkeys(host for host, _ in witnesses):
            self._given_back.setdefault(host, []).append(server_key)

    def resign(self) -> None:
        """Gives up all rights for good; the other candidates may follow at once."""
        self.resigned = True
        for server_key in self._asking:
            self.give_back(server_key)

    def servers_to_hand_back(self) -> list[str]:
        """Returns held servers that a preferred candidate could take over.

        The host may finish what is in flight to such a server and then ``give_back`` it.
        """
        found = []
        for key, asking in self._asking.items():
            if not asking.right.may_send() or self._record is None or asking.rank == 0:
                continue
            first = candidates(self._record.members, key)[0]
            if not first.resigned and self._presence.is_stable(first.host):
                found.append(key)
        return found

    def _choose_rights(self) -> None:
        if self._record is None:
            return
        for key in self._server_keys:
            rank = self._rank(key)
            asking = self._asking.get(key)
            if asking is None and rank is not None:
                asking = self._asking[key] = RequestSchedule(self._new_right(key), rank)
                asking.not_before_s = self._clock.now_s() + asking.rank_delay_s(self._rng)
            if asking is None:
                continue
            asking.rank = rank
            if rank is None and not asking.right.may_send():
                del self._asking[key]

    def _new_right(self, server_key: str) -> DispatchRight:
        right = self.right_class(server_key, self.host, self.incarnation, self._clock, self._terms)
        right.set_members(self._record)
        return right

    def _rank(self, server_key: str) -> int | None:
        for rank, member in enumerate(candidates(self._record.members, server_key)):
            if (member.host, member.incarnation) == (self.host, self.incarnation):
                return rank
        return None

    def _due(self, now_s: float) -> list[RequestSchedule]:
        """Returns what is to be asked now, with all that is due soon if anything is."""
        if self.resigned:
            return []
        wanted = [asking for asking in self._asking.values() if self._wants(asking, now_s)]
        if not any(asking.next_at_s <= now_s for asking in wanted):
            return []
        return [asking for asking in wanted if asking.next_at_s <= now_s + REQUEST_BATCH_WINDOW_S]

    def _wants(self, asking: RequestSchedule, now_s: float) -> bool:
        right = asking.right
        if right.may_send() or right.has_majority():
            return True
        if asking.rank is None:
            return False
        if not right.is_open():
            asking.not_before_s = now_s + asking.rank_delay_s(self._rng)
            return right.opens_at_s() is None
        holder = self._witness.holder(right.server_key)
        if holder and holder.host != self.host:
            asking.not_before_s = holder.until_s + asking.rank_delay_s(self._rng)
            return False
        return now_s >= asking.not_before_s

    def _add_rows(self, asking: RequestSchedule, rows: dict[str, list[list]], now_s: float) -> None:
        """Adds the right's row for each witness, or an empty request that asks for epochs."""
        right = asking.right
        is_settled = right.may_send() and right.is_open() and right.has_majority()
        if right.is_open() and not right.has_majority() and self._backs_off(asking):
            return
        asking.next_at_s = now_s + (RENEW_INTERVAL_S if is_settled else RETRY_INTERVAL_S)
        asking.last_sent_fence = right.fence
        witnesses = (
            right.witnesses if right.is_open() else (*right.witnesses, *right.previous_witnesses)
        )
        for host in dict.fromkeys(host for host, _ in witnesses):
            row = rows.setdefault(host, [])
            if right.is_open() or right.may_send():
                row.append([right.server_key, right.fence])

    def _backs_off(self, asking: RequestSchedule) -> bool:
        """Ends a split vote: gives back what a minority endorsed and waits a random time."""
        asking.attempts += 1
        if asking.attempts <= ATTEMPTS_BEFORE_BACKOFF or asking.right.may_send():
            return False
        self.give_back(asking.right.server_key)
        return True

    def _request(
        self, rows: list[list], map_versions: dict[str, int], *, resign: bool = False
    ) -> Endorse:
        self._round += 1
        return Endorse(
            call_id=0,
            host=self.host,
            incarnation=self.incarnation,
            epoch=self._record.epoch if self._record else 0,
            servers=rows,
            map_versions=dict(map_versions),
            resign=resign,
            round=self._round,
        )

    def _flush_given_back(self, now_s: float) -> list[OutgoingRequest]:
        given_back, self._given_back = self._given_back, {}
        outgoing = []
        for member in self._known_members():
            keys = given_back.get(member.host)
            if keys:
                request = self._request([[key, 0] for key in keys], {}, resign=True)
                outgoing.append(OutgoingRequest(member, request, now_s))
        return self._ask_own_witness(outgoing)

    def _ask_own_witness(self, outgoing: list[OutgoingRequest]) -> list[OutgoingRequest]:
        remote = []
        for item in outgoing:
            if item.member.host != self.host:
                remote.append(item)
                continue
            self.on_reply(self._witness.handle(item.request), item.asked_at_s)
        return remote

    def _known_members(self) -> list[Member]:
        """Returns the members of this epoch and those that stand in the epoch before alone."""
        if self._record is None:
            return []
        known = {member.host: member for member in self._record.previous}
        known.update((member.host, member) for member in self._record.members)
        return list(known.values())

    def _on_freed(self, server_keys: list[str], by_host: str) -> None:
        """Asks soon for servers that another candidate gave back, in order of preference."""
        now_s = self._clock.now_s()
        if self._record is None or by_host == self.host:
            return
        for key in server_keys:
            asking = self._asking.get(key)
            if asking is None:
                continue
            hosts = [m.host for m in candidates(self._record.members, key) if m.host != by_host]
            rank = hosts.index(self.host) if self.host in hosts else len(hosts)
            asking.not_before_s = now_s + rank * RANK_STEP_S
            asking.next_at_s = asking.not_before_s
