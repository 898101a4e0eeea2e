"""Simulated hosts and coordinators of the dispatch rights simulation."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Protocol

from greengagefall.coordination import epochs
from greengagefall.coordination.dispatch_right import CLOCK_RATE_MARGIN, DispatchRight
from greengagefall.coordination.epochs import HostAnswer
from greengagefall.coordination.model import Member
from greengagefall.coordination.witness import Witness

if TYPE_CHECKING:
    from greengagefall.bench.rights_faults import Faults
    from greengagefall.coordination.candidate import Candidate
    from greengagefall.coordination.model import MembersRecord

SERVER_KEY = "proofdesk/proofdesk-01"
BACK_END = "proofdesk"
MAX_RATE_ERROR = CLOCK_RATE_MARGIN / 2 * 0.98
MIN_NO_ANSWER_PROBABILITY = 0.1


class RightsSimulation(Protocol):
    """Part of the simulation that its hosts and coordinators use.

    Attributes:
        now_s: True time in seconds.
        rng: Source of all random decisions.
        faults: Fault rates and message delays.
        candidate_class: Class of each host's candidate.
        record: Current members record.
        attested: Ids of members that operators attested as lost.
        map_version: Newest slice map version.
    """

    now_s: float
    rng: random.Random
    faults: Faults
    candidate_class: type[Candidate]
    record: MembersRecord
    attested: set[str]
    map_version: int

    def can_answer(self, host: HostModel) -> bool:
        """Returns whether a host can answer a coordinator now."""


class DriftingClock:
    """Clock of a host with its own rate and its own start time."""

    def __init__(self, simulation: RightsSimulation, rng: random.Random) -> None:
        self._simulation = simulation
        self._rate = 1 + rng.uniform(-MAX_RATE_ERROR, MAX_RATE_ERROR)
        self._start_s = rng.uniform(0, 1000)

    def now_s(self) -> float:
        """Returns the host's time."""
        return self._start_s + self._simulation.now_s * self._rate


class HostModel:
    """Simulated entry host.

    Attributes:
        name: Name of the host.
        incarnation: Number of the current incarnation, from 1.
        alive: Whether the process is running.
        paused_until_s: True time at which the process continues.
        map_version: Newest slice map version that the host received.
        listed: Whether the platform's host list contains the host.
        resigned: Whether the host resigned for a planned stop.
    """

    def __init__(self, simulation: RightsSimulation, name: str) -> None:
        self.name = name
        self.clock = DriftingClock(simulation, simulation.rng)
        self.incarnation = 0
        self.alive = True
        self.paused_until_s = 0.0
        self.map_version = 0
        self.listed = True
        self.resigned = False
        self._simulation = simulation
        self.start()

    def start(self) -> None:
        """Starts a new incarnation without the state of the previous one."""
        self.incarnation += 1
        self.alive = True
        self.resigned = False
        self.paused_until_s = 0.0
        self.map_version = 0
        self.witness = Witness(self.name, str(self.incarnation), self.clock)
        self.candidate = self._simulation.candidate_class(
            self.witness, self.clock, random.Random(self._simulation.rng.random())
        )
        self.candidate.set_servers([SERVER_KEY])

    def member(self) -> Member:
        """Returns the host's entry for a members record."""
        return Member(self.name, str(self.incarnation), "", "", self.resigned)

    def take_record(self, record: MembersRecord) -> None:
        """Passes a received members record to the candidate."""
        self.candidate.set_members(record)

    def take_map(self, version: int) -> None:
        """Stores a received slice map version unless it is older than the current one."""
        self.map_version = max(self.map_version, version)

    def answer(self) -> HostAnswer:
        """Returns the host's answer to the coordinator."""
        return HostAnswer(str(self.incarnation), self.witness.epoch, "")

    def right(self) -> DispatchRight | None:
        """Returns the dispatch right, or None while the host is no candidate for it."""
        return self.candidate.right(SERVER_KEY)

    def may_send(self) -> bool:
        """Returns whether the host may send to the server now."""
        right = self.right()
        return self.alive and right is not None and right.may_send()


class CoordinatorModel:
    """Simulated coordinator; it keeps outdated answers of hosts while it is not the active one."""

    def __init__(self, simulation: RightsSimulation) -> None:
        self._simulation = simulation
        self._last_record: MembersRecord | None = None
        self._answers: dict[str, HostAnswer] = {}
        self._members: dict[str, Member] = {}

    def step(self, hosts: list[HostModel]) -> None:
        """Collects answers of hosts and writes the next epoch if the current one is complete."""
        simulation = self._simulation
        if self._last_record != simulation.record:
            self._last_record = simulation.record
            self.forget()
        for host in hosts:
            if simulation.can_answer(host) and simulation.rng.random() > max(
                simulation.faults.loss, MIN_NO_ANSWER_PROBABILITY
            ):
                self._answers[host.name] = host.answer()
                self._members[host.name] = host.member()
        if epochs.is_epoch_complete(simulation.record, self._answers, simulation.attested):
            self._write_next_epoch(hosts)

    def forget(self) -> None:
        """Drops answers to requests that were sent before the record was read."""
        self._answers.clear()
        self._members.clear()

    def _write_next_epoch(self, hosts: list[HostModel]) -> None:
        simulation = self._simulation
        current = {member.host: member for member in simulation.record.members}
        unlisted = {host.name for host in hosts if not host.listed}
        changed = [
            member
            for name, member in self._members.items()
            if name not in unlisted and member != current.get(name)
        ]
        member_ids = {epochs.member_id(*member[:2]) for member in current.values()}
        lost = member_ids & simulation.attested
        changed = [
            entry for entry in changed if epochs.member_id(*entry[:2]) not in simulation.attested
        ]
        removed_hosts = unlisted & current.keys()
        if changed or removed_hosts or lost:
            simulation.record = epochs.next_members_record(
                simulation.record,
                updated=changed,
                removed=removed_hosts,
                lost_hosts=lost,
                map_floors={BACK_END: simulation.map_version},
            )
