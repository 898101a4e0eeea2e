"""A small model of the hosts of one zone that ask for one dispatch right.

It drives the real witnesses, candidates and rights with a bag of messages and one clock per host,
and compares what they do with an oracle in true time.
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
MAP_SHARE = 0.3
NEW_MAP_SHARE = 0.1
CHANGE_SHARE = 0.05


class RightsModel:
    """Runs hosts, messages, faults and the oracle.

    Attributes:
        now_s: True time.
        violations: What the oracle found, in words.
        valid_samples: Samples in which some host held the right.
        samples: All samples.
        take_overs: Number of changes of the holder.
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
        self._cuts: dict[tuple[str, str], float] = {}
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

    def at(self, delay_s: float, act: Callable[..., None], *args: Any) -> None:
        """Schedules ``act`` after a delay in true time."""
        self._sequence += 1
        heapq.heappush(self._events, (self.now_s + delay_s, self._sequence, act, args))

    def run(self, duration_s: float) -> None:
        """Runs until the given true time has passed."""
        end_s = self.now_s + duration_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, act, args = heapq.heappop(self._events)
            act(*args)
        self.now_s = end_s

    def inject(self) -> None:
        """Injects one fault drawn at random."""
        host = self.rng.choice(list(self.hosts.values()))
        holders = [one for one in self.hosts.values() if one.may_send()]
        if holders and self.rng.random() < 0.5:
            host = holders[0]
        faults = [self.pause, self.restart, self.cut, self.kill, self.give_back, self.resign]
        self.rng.choices(faults, [4, 3, 4, 1, 1, 1])[0](host)

    def pause(self, host: HostModel) -> None:
        """Stops a process for a while; its messages wait."""
        host.paused_until_s = self.now_s + self.rng.uniform(0.1, 3.0)

    def restart(self, host: HostModel) -> None:
        """Ends a process and starts another without memory."""
        host.alive = False
        self.at(self.rng.uniform(0.0, 0.5), self._start, host, host.incarnation)

    def kill(self, host: HostModel) -> None:
        """Ends a process for long; operators attest it, or it comes back."""
        host.alive = False
        if self.rng.random() < 0.5:
            self.attested.add(epochs.member_id(host.name, str(host.incarnation)))
        self.at(self.rng.uniform(2.0, 5.0), self._start, host, host.incarnation)

    def cut(self, host: HostModel) -> None:
        """Cuts a host, or one direction of some of its links, for a while."""
        until_s = self.now_s + self.rng.uniform(0.2, 4.0)
        if self.rng.random() < 0.7:
            self._cuts[(COORDINATOR, host.name)] = until_s
        for other in self.hosts:
            if self.rng.random() < 0.7:
                self._cuts[(host.name, other)] = until_s
            if self.rng.random() < 0.7:
                self._cuts[(other, host.name)] = until_s

    def give_back(self, host: HostModel) -> None:
        """Lets a host give back its right."""
        host.candidate.give_back(SERVER_KEY)

    def resign(self, host: HostModel) -> None:
        """Stops a host as planned and starts it anew later."""
        host.resigned = True
        host.candidate.resign()
        self.at(self.rng.uniform(1.0, 3.0), self.restart, host)

    def move_members(self) -> None:
        """Lets the platform's list leave out a host or take it back."""
        host = self.rng.choice(list(self.hosts.values()))
        host.listed = not host.listed

    def send(self, sender: str, receiver: str, act: Callable[..., None], *args: Any) -> None:
        """Puts a message into the bag."""
        faults, rng = self.faults, self.rng
        if rng.random() < faults.loss or self._cuts.get((sender, receiver), 0.0) > self.now_s:
            return
        copies = 2 if rng.random() < faults.duplication else 1
        for _ in range(copies):
            longest_s = faults.spike_s if rng.random() < faults.spike else faults.usual_s
            self.at(rng.uniform(0.0, longest_s), self._deliver, receiver, act, args)

    def hears(self, host: HostModel) -> bool:
        """Returns whether a host would answer a coordinator now."""
        is_cut = self._cuts.get((COORDINATOR, host.name), 0.0) > self.now_s
        return host.alive and host.paused_until_s <= self.now_s and not is_cut

    def _deliver(self, receiver: str, act: Callable[..., None], args: tuple) -> None:
        host = self.hosts[receiver]
        if not host.alive:
            return
        if host.paused_until_s > self.now_s:
            wait_s = host.paused_until_s - self.now_s + self.rng.uniform(0, 0.01)
            self.at(wait_s, self._deliver, receiver, act, args)
            return
        act(host, *args)
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
        self, host: HostModel, asker: str, incarnation: int, item: OutgoingRequest
    ) -> None:
        reply = host.witness.handle(item.request)
        self.send(host.name, asker, self._on_reply, incarnation, reply, item.sent_at_s)

    def _on_reply(self, host: HostModel, incarnation: int, reply: Any, sent_at_s: float) -> None:
        if host.incarnation == incarnation:
            host.candidate.on_reply(reply, sent_at_s)

    def _start(self, host: HostModel, incarnation: int) -> None:
        if host.incarnation == incarnation:
            host.alive = False
            host.start()

    def _coordinate(self) -> None:
        """One of two coordinators asks the hosts, writes the next epoch if due, and spreads it."""
        self.at(COORDINATOR_INTERVAL_S, self._coordinate)
        if self.rng.random() < NEW_MAP_SHARE:
            self.map_version += 1
        if self.rng.random() < CHANGE_SHARE:
            self._coordinator = self.rng.choice(self._coordinators)
        self._coordinator.step(list(self.hosts.values()))
        for name in self.hosts:
            self.send(COORDINATOR, name, HostModel.take_record, self.record)
            if self.rng.random() < MAP_SHARE:
                self.send(COORDINATOR, name, HostModel.take_map, self.map_version)

    def _sample(self) -> None:
        self.at(SAMPLE_INTERVAL_S, self._sample)
        self.samples += 1
        self.valid_samples += any(host.may_send() for host in self.hosts.values())
        self._check()
        if self.rng.random() < self.faults.per_s * SAMPLE_INTERVAL_S:
            self.inject()
        if self.rng.random() < self.faults.per_s * SAMPLE_INTERVAL_S / 10:
            self.move_members()

    def _check(self) -> None:
        """The oracle: one holder, growing fences, and no map below the release floor."""
        holders = [host for host in self.hosts.values() if host.may_send()]
        if len(holders) > 1:
            names = [f"{host.name}/{host.incarnation}" for host in holders]
            self.violations.append(f"two dispatchers at {self.now_s:.3f}: {names}")
        for host in holders:
            self._check_use(host)

    def _check_use(self, host: HostModel) -> None:
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
