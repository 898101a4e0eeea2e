"""The candidate part of an entry host: requests dispatch rights and renews them.

A host calls ``build_requests`` every ``TICK_S``, sends the requests that are due, and passes the
replies to ``on_reply``. One message per witness covers all backend servers that are due within
``REQUEST_BATCH_WINDOW_S``.
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
        member: The witness. It may be a member of the previous epoch only.
        request: The message to send.
        sent_at_s: This host's clock when the request was built, which is not after it is sent;
            ``on_reply`` takes it with the reply.
    """

    member: Member
    request: Endorse
    sent_at_s: float


class Candidate:
    """All dispatch rights that a host holds or may acquire.

    The host calls its own witness directly. Replies of the other witnesses are passed
    to ``on_reply``.

    Attributes:
        host: Name of this host.
        incarnation: Incarnation of this process.
        resigned: Whether this host has resigned all rights permanently.
    """

    right_class = DispatchRight

    def __init__(
        self, witness: Witness, clock: Clock, rng: random.Random, timing: RightTiming | None = None
    ) -> None:
        self.host = witness.host
        self.incarnation = witness.incarnation
        self.resigned = False
        self._witness = witness
        self._clock = clock
        self._rng = rng
        self._timing = timing or RightTiming()
        self._record: MembersRecord | None = None
        self._server_keys: tuple[str, ...] = ()
        self._schedules: dict[str, RequestSchedule] = {}
        self._keys_to_give_back: dict[str, list[str]] = {}
        self._round = 0
        self._peer_stability = PeerStability(clock)
        witness.on_given_back(self._on_given_back)

    def set_members(self, record: MembersRecord) -> bool:
        """Moves this host and its witness to a newer epoch; returns False if it is not newer."""
        if not self._witness.set_members(record):
            return False
        self._record = record
        self._peer_stability.clear()
        for schedule in self._schedules.values():
            schedule.right.set_members(record)
            schedule.next_at_s = 0.0
        self._update_schedules()
        return True

    def set_servers(self, server_keys: Iterable[str]) -> None:
        """Sets the backend servers of the zone, as ``back end/server``."""
        self._server_keys = tuple(sorted(server_keys))
        for key in set(self._schedules) - set(self._server_keys):
            self.give_back(key)
            del self._schedules[key]
        self._update_schedules()

    def right(self, server_key: str) -> DispatchRight | None:
        """Returns the right for a backend server, or ``None`` if this host cannot acquire it."""
        schedule = self._schedules.get(server_key)
        return schedule.right if schedule else None

    def held_rights(self) -> list[DispatchRight]:
        """Returns the rights that allow this host to send now."""
        return [
            schedule.right for schedule in self._schedules.values() if schedule.right.may_send()
        ]

    def dispatcher_host(self, server_key: str) -> str:
        """Returns the host known here to dispatch a server, or an empty string if none is known."""
        right = self.right(server_key)
        if right and right.may_send():
            return self.host
        holder = self._witness.holder(server_key)
        return holder.host if holder else ""

    def build_requests(self, map_versions: dict[str, int]) -> list[OutgoingRequest]:
        """Calls this host's own witness and returns the requests due to the other witnesses.

        Args:
            map_versions: Slice map version that this host uses, by back end.
        """
        now_s = self._clock.now_s()
        outgoing = self._build_give_back_requests(now_s)
        if self._record is None:
            return outgoing
        rows: dict[str, list[list]] = {}
        for schedule in self._due(now_s):
            self._add_rows(schedule, rows, now_s)
        for member in self._known_members():
            if member.host in rows:
                request = self._request(rows[member.host], map_versions)
                outgoing.append(OutgoingRequest(member, request, now_s))
        return self._call_own_witness(outgoing)

    def on_reply(self, reply: Endorsed, sent_at_s: float) -> None:
        """Passes a witness's reply to the rights.

        Args:
            reply: The reply.
            sent_at_s: ``OutgoingRequest.sent_at_s`` of its request.
        """
        now_s = self._clock.now_s()
        if self._record and reply.epoch == self._record.epoch:
            self._peer_stability.record_answer(reply.host)
        for schedule in self._schedules.values():
            schedule.right.on_reply(reply, sent_at_s)
            if schedule.right.fence != schedule.last_sent_fence:
                schedule.next_at_s = now_s
            elif self._record and reply.epoch < self._record.epoch:
                schedule.next_at_s = min(schedule.next_at_s, now_s + RETRY_INTERVAL_S)

    def give_back(self, server_key: str) -> None:
        """Gives back one right; the next ``build_requests`` returns the messages to the witnesses.

        Another candidate can acquire the right once a majority of witnesses has received them.
        """
        schedule = self._schedules.get(server_key)
        if schedule is None:
            return
        schedule.right.discard()
        schedule.not_before_s = self._clock.now_s() + schedule.backoff_s(self._rng)
        schedule.attempts = 0
        witnesses = (*schedule.right.witnesses, *schedule.right.previous_witnesses)
        for host in dict.fromkeys(host for host, _ in witnesses):
            self._keys_to_give_back.setdefault(host, []).append(server_key)

    def resign(self) -> None:
        """Gives back all rights and never requests one again, because the host is shutting down."""
        self.resigned = True
        for server_key in self._schedules:
            self.give_back(server_key)

    def servers_to_hand_back(self) -> list[str]:
        """Returns servers whose held rights a preferred candidate could take over.

        The host may wait for the requests in flight to such a server and then call ``give_back``.
        """
        to_hand_back = []
        for key, schedule in self._schedules.items():
            if not schedule.right.may_send() or self._record is None or schedule.rank == 0:
                continue
            first = candidates(self._record.members, key)[0]
            if not first.resigned and self._peer_stability.is_stable(first.host):
                to_hand_back.append(key)
        return to_hand_back

    def _update_schedules(self) -> None:
        if self._record is None:
            return
        for key in self._server_keys:
            rank = self._rank(key)
            schedule = self._schedules.get(key)
            if schedule is None and rank is not None:
                schedule = self._schedules[key] = RequestSchedule(self._new_right(key), rank)
                schedule.not_before_s = self._clock.now_s() + schedule.rank_delay_s(self._rng)
            if schedule is None:
                continue
            schedule.rank = rank
            if rank is None and not schedule.right.may_send():
                del self._schedules[key]

    def _new_right(self, server_key: str) -> DispatchRight:
        right = self.right_class(server_key, self.host, self.incarnation, self._clock, self._timing)
        right.set_members(self._record)
        return right

    def _rank(self, server_key: str) -> int | None:
        for rank, member in enumerate(candidates(self._record.members, server_key)):
            if (member.host, member.incarnation) == (self.host, self.incarnation):
                return rank
        return None

    def _due(self, now_s: float) -> list[RequestSchedule]:
        """Returns the schedules of the rights to request now.

        If one is due, those due within ``REQUEST_BATCH_WINDOW_S`` are included.
        """
        if self.resigned:
            return []
        wanted = [
            schedule
            for schedule in self._schedules.values()
            if self._should_request(schedule, now_s)
        ]
        if not any(schedule.next_at_s <= now_s for schedule in wanted):
            return []
        return [
            schedule for schedule in wanted if schedule.next_at_s <= now_s + REQUEST_BATCH_WINDOW_S
        ]

    def _should_request(self, schedule: RequestSchedule, now_s: float) -> bool:
        right = schedule.right
        if right.may_send() or right.has_majority():
            return True
        if schedule.rank is None:
            return False
        if not right.is_open():
            schedule.not_before_s = now_s + schedule.rank_delay_s(self._rng)
            return right.opens_at_s() is None
        holder = self._witness.holder(right.server_key)
        if holder and holder.host != self.host:
            schedule.not_before_s = holder.until_s + schedule.rank_delay_s(self._rng)
            return False
        return now_s >= schedule.not_before_s

    def _add_rows(
        self, schedule: RequestSchedule, rows: dict[str, list[list]], now_s: float
    ) -> None:
        """Adds the right's row for each witness.

        A witness without a row gets an empty request; the reply contains the witness's epoch.
        """
        right = schedule.right
        needs_only_renewal = right.may_send() and right.is_open() and right.has_majority()
        if (
            right.is_open()
            and not right.has_majority()
            and self._back_off_after_split_vote(schedule)
        ):
            return
        schedule.next_at_s = now_s + (RENEW_INTERVAL_S if needs_only_renewal else RETRY_INTERVAL_S)
        schedule.last_sent_fence = right.fence
        witnesses = (
            right.witnesses if right.is_open() else (*right.witnesses, *right.previous_witnesses)
        )
        for host in dict.fromkeys(host for host, _ in witnesses):
            row = rows.setdefault(host, [])
            if right.is_open() or right.may_send():
                row.append([right.server_key, right.fence])

    def _back_off_after_split_vote(self, schedule: RequestSchedule) -> bool:
        """Ends a split vote: gives back a minority's endorsements and waits a random backoff."""
        schedule.attempts += 1
        if schedule.attempts <= ATTEMPTS_BEFORE_BACKOFF or schedule.right.may_send():
            return False
        self.give_back(schedule.right.server_key)
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

    def _build_give_back_requests(self, now_s: float) -> list[OutgoingRequest]:
        given_back, self._keys_to_give_back = self._keys_to_give_back, {}
        outgoing = []
        for member in self._known_members():
            keys = given_back.get(member.host)
            if keys:
                request = self._request([[key, 0] for key in keys], {}, resign=True)
                outgoing.append(OutgoingRequest(member, request, now_s))
        return self._call_own_witness(outgoing)

    def _call_own_witness(self, outgoing: list[OutgoingRequest]) -> list[OutgoingRequest]:
        remote = []
        for outgoing_request in outgoing:
            if outgoing_request.member.host != self.host:
                remote.append(outgoing_request)
                continue
            self.on_reply(
                self._witness.handle(outgoing_request.request), outgoing_request.sent_at_s
            )
        return remote

    def _known_members(self) -> list[Member]:
        """Returns the members of this epoch and those of the previous epoch only."""
        if self._record is None:
            return []
        known = {member.host: member for member in self._record.previous}
        known.update((member.host, member) for member in self._record.members)
        return list(known.values())

    def _on_given_back(self, server_keys: list[str], by_host: str) -> None:
        """Schedules requests for servers given back by another candidate, by preference."""
        now_s = self._clock.now_s()
        if self._record is None or by_host == self.host:
            return
        for key in server_keys:
            schedule = self._schedules.get(key)
            if schedule is None:
                continue
            hosts = [m.host for m in candidates(self._record.members, key) if m.host != by_host]
            rank = hosts.index(self.host) if self.host in hosts else len(hosts)
            schedule.not_before_s = now_s + rank * RANK_STEP_S
            schedule.next_at_s = schedule.not_before_s
