"""Simulation of the entry hosts of one zone that compete for one dispatch right.

The simulation runs the real witnesses, candidates and dispatch rights. It delivers their messages
with random delays and gives each host its own clock. An oracle checks their behaviour in true
time, the simulated time without clock errors.
"""

from __future__ import annotations

import heapq
import random
from typing import TYPE_CHECKING, Any

from greengagefall.bench.rights_model_hosts import (
    BACK_END,
    SERVER_KEY,
    CoordinatorModel,
    HostModel,
)
from greengagefall.coordination import epochs
from greengagefall.coordination.candidate import TICK_S, Candidate, OutgoingRequest
from greengagefall.coordination.dispatch_right import DispatchRight

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagefall.bench.rights_faults import Faults


COORDINATOR = "coordinator"
COORDINATOR_INTERVAL_S = 0.15
SAMPLE_INTERVAL_S = 0.05
MAP_SEND_PROBABILITY = 0.3
NEW_MAP_PROBABILITY = 0.1
COORDINATOR_CHANGE_PROBABILITY = 0.05


class RightsModel:
    """Simulates hosts, messages and faults, and checks the invariants.

    Attributes:
        now_s: True time in seconds.
        violations: Descriptions of the violations that the oracle found.
        valid_samples: Number of samples in which some host held the right.
        samples: Number of all samples.
        take_overs: Number of times that a host, incarnation or fence became the one in use.
    """

    def __init__(
        self,
        seed: int,
        *,
        hosts: int,
        faults: Faults,
        right_class: type[DispatchRight] = DispatchRight,
        coordinator_class: type[CoordinatorModel] | None = None,
    ) -> None:
        coordinator_class = coordinator_class or CoordinatorModel
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.faults = faults
        self.candidate_class = type("ModelCandidate", (Candidate,), {"right_class": right_class})
        self.violations: list[str] = []
        self.samples = self.valid_samples = self.take_overs = 0
        self.map_version = 0
        self._released = 0
        self._last_use = ("", 0, 0)
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._sequence = 0
        self._partitioned_until_s: dict[tuple[str, str], float] = {}
        self.attested: set[str] = set()
        self._coordinators = [coordinator_class(self), coordinator_class(self)]
        self._coordinator = self._coordinators[0]
        self.hosts = {f"entry-{n}": HostModel(self, f"entry-{n}") for n in range(hosts)}
        listed = [host.member() for host in self.hosts.values()]
        self.record = epochs.first_members_record("ee-north-a", listed)
        for host in self.hosts.values():
            self.at(self.rng.uniform(0, TICK_S), self._tick, host)
            host.candidate.set_members(self.record)
        self.at(0.0, self._coordinate)
        self.at(0.0, self._sample)

    def at(self, delay_s: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedules ``callback`` after a delay in true time."""
        self._sequence += 1
        heapq.heappush(self._events, (self.now_s + delay_s, self._sequence, callback, args))

    def run(self, duration_s: float) -> None:
        """Runs the simulation for the given true time in seconds."""
        end_s = self.now_s + duration_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, callback, args = heapq.heappop(self._events)
            callback(*args)
        self.now_s = end_s

    def inject(self) -> None:
        """Injects one fault drawn at random."""
        host = self.rng.choice(list(self.hosts.values()))
        holders = [holder for holder in self.hosts.values() if holder.may_send()]
        if holders and self.rng.random() < 0.5:
            host = holders[0]
        faults = [self.pause, self.restart, self.partition, self.kill, self.give_back, self.resign]
        self.rng.choices(faults, [4, 3, 4, 1, 1, 1])[0](host)

    def pause(self, host: HostModel) -> None:
        """Pauses a process for 0.1 to 3 s; messages to it are delivered afterwards."""
        host.paused_until_s = self.now_s + self.rng.uniform(0.1, 3.0)

    def restart(self, host: HostModel) -> None:
        """Kills a process and starts a new one without its state up to 0.5 s later."""
        host.alive = False
        self.at(self.rng.uniform(0.0, 0.5), self._start, host, host.incarnation)

    def kill(self, host: HostModel) -> None:
        """Kills a process and starts a new one 2 to 5 s later.

        In half of the cases, operators attest that the killed incarnation is lost.
        """
        host.alive = False
        if self.rng.random() < 0.5:
            self.attested.add(epochs.member_id(host.name, str(host.incarnation)))
        self.at(self.rng.uniform(2.0, 5.0), self._start, host, host.incarnation)

    def partition(self, host: HostModel) -> None:
        """Drops messages on random directions of a host's links for 0.2 to 4 s."""
        until_s = self.now_s + self.rng.uniform(0.2, 4.0)
        if self.rng.random() < 0.7:
            self._partitioned_until_s[(COORDINATOR, host.name)] = until_s
        for other in self.hosts:
            if self.rng.random() < 0.7:
                self._partitioned_until_s[(host.name, other)] = until_s
            if self.rng.random() < 0.7:
                self._partitioned_until_s[(other, host.name)] = until_s

    def give_back(self, host: HostModel) -> None:
        """Makes a host give back its right."""
        host.candidate.give_back(SERVER_KEY)

    def resign(self, host: HostModel) -> None:
        """Makes a host resign as in a planned stop, and restarts it 1 to 3 s later."""
        host.resigned = True
        host.candidate.resign()
        self.at(self.rng.uniform(1.0, 3.0), self.restart, host)

    def toggle_listing(self) -> None:
        """Removes a random host from the platform's host list, or adds it again."""
        host = self.rng.choice(list(self.hosts.values()))
        host.listed = not host.listed

    def send(self, sender: str, receiver: str, callback: Callable[..., None], *args: Any) -> None:
        """Sends a message, which may be lost, duplicated or delayed.

        ``callback`` is called with the receiving host and ``args`` for each delivery.
        """
        faults, rng = self.faults, self.rng
        if (
            rng.random() < faults.loss
            or self._partitioned_until_s.get((sender, receiver), 0.0) > self.now_s
        ):
            return
        copies = 2 if rng.random() < faults.duplication else 1
        for _ in range(copies):
            max_delay_s = faults.spike_s if rng.random() < faults.spike else faults.normal_s
            self.at(rng.uniform(0.0, max_delay_s), self._deliver, receiver, callback, args)

    def can_answer(self, host: HostModel) -> bool:
        """Returns whether a host can answer a coordinator now."""
        is_partitioned = self._partitioned_until_s.get((COORDINATOR, host.name), 0.0) > self.now_s
        return host.alive and host.paused_until_s <= self.now_s and not is_partitioned

    def _deliver(self, receiver: str, callback: Callable[..., None], args: tuple) -> None:
        host = self.hosts[receiver]
        if not host.alive:
            return
        if host.paused_until_s > self.now_s:
            delay_s = host.paused_until_s - self.now_s + self.rng.uniform(0, 0.01)
            self.at(delay_s, self._deliver, receiver, callback, args)
            return
        callback(host, *args)
        self._check()

    def _tick(self, host: HostModel) -> None:
        if host.paused_until_s > self.now_s:
            self.at(host.paused_until_s - self.now_s, self._tick, host)
            return
        self.at(self.rng.uniform(0.8, 1.2) * TICK_S, self._tick, host)
        if not host.alive:
            return
        for item in host.candidate.build_requests({BACK_END: host.map_version}):
            self.send(
                host.name, item.member.host, self._on_request, host.name, host.incarnation, item
            )
        self._check()

    def _on_request(
        self, host: HostModel, sender: str, incarnation: int, item: OutgoingRequest
    ) -> None:
        reply = host.witness.handle(item.request)
        self.send(host.name, sender, self._on_reply, incarnation, reply, item.sent_at_s)

    def _on_reply(self, host: HostModel, incarnation: int, reply: Any, sent_at_s: float) -> None:
        if host.incarnation == incarnation:
            host.candidate.on_reply(reply, sent_at_s)

    def _start(self, host: HostModel, incarnation: int) -> None:
        if host.incarnation == incarnation:
            host.alive = False
            host.start()

    def _coordinate(self) -> None:
        """Runs a step of the active coordinator and sends hosts the record and the map version."""
        self.at(COORDINATOR_INTERVAL_S, self._coordinate)
        if self.rng.random() < NEW_MAP_PROBABILITY:
            self.map_version += 1
        if self.rng.random() < COORDINATOR_CHANGE_PROBABILITY:
            self._coordinator = self.rng.choice(self._coordinators)
        self._coordinator.step(list(self.hosts.values()))
        for name in self.hosts:
            self.send(COORDINATOR, name, HostModel.take_record, self.record)
            if self.rng.random() < MAP_SEND_PROBABILITY:
                self.send(COORDINATOR, name, HostModel.take_map, self.map_version)

    def _sample(self) -> None:
        self.at(SAMPLE_INTERVAL_S, self._sample)
        self.samples += 1
        self.valid_samples += any(host.may_send() for host in self.hosts.values())
        self._check()
        if self.rng.random() < self.faults.per_s * SAMPLE_INTERVAL_S:
            self.inject()
        if self.rng.random() < self.faults.per_s * SAMPLE_INTERVAL_S / 10:
            self.toggle_listing()

    def _check(self) -> None:
        """Checks that at most one host holds the right, and checks each use of the right."""
        holders = [host for host in self.hosts.values() if host.may_send()]
        if len(holders) > 1:
            names = [f"{host.name}/{host.incarnation}" for host in holders]
            self.violations.append(f"two dispatchers at {self.now_s:.3f}: {names}")
        for host in holders:
            self._check_use(host)

    def _check_use(self, host: HostModel) -> None:
        """Checks that fences increase and that no grant uses a map older than a release."""
        right = host.right()
        use = (host.name, host.incarnation, right.fence)
        if use != self._last_use:
            if right.fence <= self._last_use[2]:
                self.violations.append(f"fence {use} after {self._last_use}")
            self._last_use = use
            self.take_overs += 1
        if host.map_version >= right.map_floor() and host.map_version < self._released:
            self.violations.append(
                f"{use} may grant by map {host.map_version} after release {self._released}"
            )
        if host.paused_until_s <= self.now_s:
            self._released = max(self._released, right.stored_map_version())
