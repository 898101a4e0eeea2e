"""Hosts and coordinators of the model of dispatch rights."""

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
MIN_SILENCE = 0.1


class RightsWorld(Protocol):
    """What hosts and coordinators see of the model that runs them.

    Attributes:
        now_s: True time.
        rng: Source of all chance.
        faults: How much goes wrong.
        candidate_class: Makes each host's candidate.
        record: Members record in force.
        attested: Ids of lost members that operators attested.
        map_version: Newest slice map version.
    """

    now_s: float
    rng: random.Random
    faults: Faults
    candidate_class: type[Candidate]
    record: MembersRecord
    attested: set[str]
    map_version: int

    def hears(self, host: HostModel) -> bool:
        """Returns whether the coordinator hears a host."""


class DriftingClock:
    """A host's clock that runs at its own rate from its own start."""

    def __init__(self, world: RightsWorld, rng: random.Random) -> None:
        self._world = world
        self._rate = 1 + rng.uniform(-MAX_RATE_ERROR, MAX_RATE_ERROR)
        self._start_s = rng.uniform(0, 1000)

    def now_s(self) -> float:
        """Returns the host's time."""
        return self._start_s + self._world.now_s * self._rate


class HostModel:
    """One entry host.

    Attributes:
        name: Its name.
        incarnation: Number of its present process.
        alive: Whether a process runs.
        paused_until_s: True time at which its process goes on.
        map_version: Slice map version that it holds.
        listed: Whether the platform lists it.
        resigned: Whether it is stopping.
    """

    def __init__(self, world: RightsWorld, name: str) -> None:
        self.name = name
        self.clock = DriftingClock(world, world.rng)
        self.incarnation = 0
        self.alive = True
        self.paused_until_s = 0.0
        self.map_version = 0
        self.listed = True
        self.resigned = False
        self._world = world
        self.start()

    def start(self) -> None:
        """Starts a process without memory."""
        self.incarnation += 1
        self.alive = True
        self.resigned = False
        self.paused_until_s = 0.0
        self.map_version = 0
        self.witness = Witness(self.name, str(self.incarnation), self.clock)
        self.candidate = self._world.candidate_class(
            self.witness, self.clock, random.Random(self._world.rng.random())
        )
        self.candidate.set_servers([SERVER_KEY])

    def member(self) -> Member:
        """Returns its entry for a members record."""
        return Member(self.name, str(self.incarnation), "", "", self.resigned)

    def take_record(self, record: MembersRecord) -> None:
        """Takes a members record out of a message."""
        self.candidate.set_members(record)

    def take_map(self, version: int) -> None:
        """Takes a slice map version out of a message."""
        self.map_version = max(self.map_version, version)

    def answer(self) -> HostAnswer:
        """Returns its answer to the coordinator."""
        return HostAnswer(str(self.incarnation), self.witness.epoch, "")

    def right(self) -> DispatchRight | None:
        """Returns its right, if it may come to hold it."""
        return self.candidate.right(SERVER_KEY)

    def may_send(self) -> bool:
        """Returns whether it would send now."""
        right = self.right()
        return self.alive and right is not None and right.may_send()


class CoordinatorModel:
    """A coordinator; while it is not the active one, its answers grow old."""

    def __init__(self, world: RightsWorld) -> None:
        self._world = world
        self._known: MembersRecord | None = None
        self._answers: dict[str, HostAnswer] = {}
        self._members: dict[str, Member] = {}

    def step(self, hosts: list[HostModel]) -> None:
        """Asks the hosts and writes the next epoch if one is due."""
        world = self._world
        if self._known != world.record:
            self._known = world.record
            self.forget()
        for host in hosts:
            if world.hears(host) and world.rng.random() > max(world.faults.loss, MIN_SILENCE):
                self._answers[host.name] = host.answer()
                self._members[host.name] = host.member()
        if epochs.is_epoch_complete(world.record, self._answers, world.attested):
            self._write(hosts)

    def forget(self) -> None:
        """Drops answers to questions that were sent before the record was read."""
        self._answers.clear()
        self._members.clear()

    def _write(self, hosts: list[HostModel]) -> None:
        world = self._world
        present = {member.host: member for member in world.record.members}
        unlisted = {host.name for host in hosts if not host.listed}
        seen = [
            member
            for name, member in self._members.items()
            if name not in unlisted and member != present.get(name)
        ]
        ids = {epochs.member_id(*member[:2]) for member in present.values()}
        lost = ids & world.attested
        seen = [one for one in seen if epochs.member_id(*one[:2]) not in world.attested]
        leaving = unlisted & present.keys()
        if seen or leaving or lost:
            world.record = epochs.next_members_record(
                world.record,
                updated=seen,
                removed=leaving,
                lost_hosts=lost,
                map_floors={BACK_END: world.map_version},
            )
