"""A small model of backend servers, their successive dispatchers and the slice map."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.coordination import slice_map_changes as changes
from greengagefall.coordination.dispatch_right import CLOCK_RATE_MARGIN
from greengagefall.coordination.grants import (
    MS_PER_S,
    Grant,
    GrantTracker,
    ReleasePreconditions,
    evaluate_release,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from greengagefall.coordination.slice_map import SliceMap

BACK_END = "proofdesk"
SERVERS = ("a", "b")
SLICES = 3
WITNESSES = 3
RATES = (1 - CLOCK_RATE_MARGIN / 2, 1.0, 1 + CLOCK_RATE_MARGIN / 2)


class RatedClock:
    """A clock that runs at a fixed rate relative to the model's time."""

    def __init__(self, model: GrantsModel, rate: float) -> None:
        self._model, self._rate = model, rate

    def now_s(self) -> float:
        return self._model.now_s * self._rate


class Server:
    """A backend server that checks grants."""

    def __init__(self, name: str, clock: RatedClock) -> None:
        self.name, self.clock = name, clock
        self.incarnation = 0
        self.restart()

    def restart(self) -> None:
        self.incarnation += 1
        self.fence = self.map_version = self.until_ms = 0
        self.runs = ()

    def now_ms(self) -> int:
        return int(self.clock.now_s() * MS_PER_S)

    def accept_grant(self, grant: Grant) -> bool:
        is_other = grant.incarnation != str(self.incarnation)
        is_old = grant.fence < self.fence or grant.map_version < self.map_version
        if is_other or is_old or grant.until_ms < self.until_ms:
            return False
        self.fence, self.map_version = grant.fence, grant.map_version
        self.until_ms, self.runs = grant.until_ms, grant.runs
        return True

    def slices(self) -> set[int]:
        if self.clock.now_s() * MS_PER_S >= self.until_ms:
            return set()
        return {i for granted in self.runs for i in range(granted.first, granted.last + 1)}


class Dispatcher:
    """The holder of one server's dispatch right."""

    def __init__(self, tracker: GrantTracker, slice_map: SliceMap, floor: int) -> None:
        self.tracker, self.slice_map, self.floor = tracker, slice_map, floor


class Answer(NamedTuple):
    """A server's answer that was not delivered to the dispatcher yet."""

    dispatcher: Dispatcher
    server: str
    incarnation: str
    now_ms: int
    sent_at_s: float
    grant: Grant | None


class GrantsModel:
    """Drives real grant trackers and slice maps.

    Messages are kept until they are delivered, in any order; a grant may be delivered repeatedly.
    """

    tracker_class = GrantTracker
    server_class = Server
    has_floor = True

    def __init__(self, rates: list[float]) -> None:
        self.now_s = 100.0
        self.current_map = changes.initial_map(BACK_END, SLICES)
        self.maps_by_version = [self.current_map.copy()]
        self.commit(changes.assign(self.current_map, [(0, SLICES - 1)], "a"))
        clocks = [RatedClock(self, rate) for rate in rates]
        self.servers = {n: self.server_class(n, c) for n, c in zip(SERVERS, clocks, strict=False)}
        self.host_clock = clocks[2]
        self.stored = {name: [0] * WITNESSES for name in SERVERS}
        self.fences = dict.fromkeys(SERVERS, 0)
        self.dispatchers: dict[str, Dispatcher] = {}
        self.grants: list[tuple[Dispatcher, str, Grant, float]] = []
        self.answers: list[Answer] = []
        for name in SERVERS:
            self.take_over(name, (0, 1), 1)

    def commit(self, ranges: list) -> None:
        if ranges:
            self.current_map.apply(changes.next_delta(self.current_map, ranges, "c")).unwrap()
            self.maps_by_version.append(self.current_map.copy())

    def take_over(self, server: str, majority: tuple[int, ...], map_version: int) -> None:
        """Gives the right to another host, which learns the floor from a majority of witnesses."""
        floor = max(self.stored[server][i] for i in majority) if self.has_floor else 0
        tracker = self.tracker_class(f"{BACK_END}/{server}", self.host_clock)
        self.fences[server] += 1
        tracker.reset_for_right(self.fences[server])
        known_map = self.maps_by_version[min(map_version, self.current_map.version)].copy()
        self.dispatchers[server] = Dispatcher(tracker, known_map, floor)

    def learn_map(self, server: str) -> None:
        self.dispatchers[server].slice_map = self.current_map.copy()

    def store_version(self, server: str, witness: int) -> None:
        version = self.dispatchers[server].slice_map.version
        self.stored[server][witness] = max(self.stored[server][witness], version)

    def read_clock(self, server: str) -> None:
        self.answer(self.dispatchers[server], server, self.host_clock.now_s(), None)

    def answer(
        self, dispatcher: Dispatcher, name: str, sent_at_s: float, grant: Grant | None
    ) -> None:
        server = self.servers[name]
        row = Answer(dispatcher, name, str(server.incarnation), server.now_ms(), sent_at_s, grant)
        self.answers.append(row)

    def send_grant(self, server: str) -> bool:
        dispatcher = self.dispatchers[server]
        grant = dispatcher.tracker.issue_grant(dispatcher.slice_map, dispatcher.floor)
        if grant:
            self.grants.append((dispatcher, server, grant, self.host_clock.now_s()))
        return grant is not None

    def deliver_grant(self, index: int, keep: bool) -> None:
        index %= len(self.grants)
        dispatcher, name, grant, sent_at_s = self.grants[index]
        if not keep:
            del self.grants[index]
        accepted = self.servers[name].accept_grant(grant)
        self.answer(dispatcher, name, sent_at_s, grant if accepted else None)

    def deliver_answer(self, index: int) -> None:
        row = self.answers.pop(index % len(self.answers))
        tracker = row.dispatcher.tracker
        tracker.record_clock_reading(row.incarnation, row.now_ms, row.sent_at_s)
        if row.grant:
            tracker.record_grant_ack(row.grant, released=True)

    def begin_release(self, slice_id: int) -> None:
        self.commit(changes.begin_release(self.current_map, [(slice_id, slice_id)]))

    def ask_release(self, slice_id: int) -> None:
        """Moves a slice to the other server if its dispatcher says that it is released."""
        slice_range = self.current_map.lookup(slice_id)
        if slice_range.state != "releasing":
            return
        dispatcher = self.dispatchers[slice_range.owner]
        stored = sorted(self.stored[slice_range.owner])[WITNESSES - (WITNESSES // 2 + 1)]
        if not self.has_floor:
            stored = self.current_map.version
        state = ReleasePreconditions(True, stored, dispatcher.slice_map.version)
        release_version = next(
            m.version for m in reversed(self.maps_by_version) if m.lookup(slice_id).state == "owned"
        )
        bounds = [(slice_id, slice_id)]
        released, _ = evaluate_release(dispatcher.tracker, state, bounds, release_version + 1)
        if released:
            owner = "b" if slice_range.owner == "a" else "a"
            self.commit(changes.assign(self.current_map, bounds, owner))

    def slices_granted_twice(self) -> set[int]:
        """Returns the slices for which both servers hold a grant in force, which must be none."""
        return self.servers["a"].slices() & self.servers["b"].slices()

    def step(self, rng: random.Random) -> None:
        """Executes one random step."""
        server, slice_id = rng.choice(SERVERS), rng.randrange(SLICES)
        kinds = ["advance", "renew", "deliver", "answer", "move", "take_over", "restart"]
        kind = rng.choices(kinds, [5, 8, 3, 1, 3, 1, 0.3])[0]
        if kind == "advance":
            self.now_s += rng.choice([0.01, 0.4, 1.0, 1.6])
        elif kind == "renew":
            self.renew(server, newest=rng.random() < 0.6, arrives=rng.random() < 0.7)
        elif kind == "deliver" and self.grants:
            self.deliver_grant(rng.randrange(len(self.grants)), keep=rng.random() < 0.3)
        elif kind == "answer":
            self.read_clock(server)
            self.deliver_answer(rng.randrange(len(self.answers)))
        elif kind == "move":
            self.move(slice_id, rng.sample(range(WITNESSES), 2), learns=rng.random() < 0.8)
        elif kind == "take_over":
            version = rng.randint(1, self.current_map.version)
            self.take_over(server, tuple(rng.sample(range(WITNESSES), 2)), version)
        elif kind == "restart":
            self.servers[server].restart()

    def renew(self, server: str, *, newest: bool, arrives: bool) -> None:
        """Reads the server's clock and sends a grant, which may stay undelivered."""
        if newest:
            self.learn_map(server)
        self.read_clock(server)
        self.deliver_answer(-1)
        if self.send_grant(server) and arrives:
            self.deliver_grant(-1, keep=False)

    def move(self, slice_id: int, witnesses: Sequence[int], *, learns: bool) -> None:
        """Begins or continues to move a slice."""
        self.begin_release(slice_id)
        owner = self.current_map.lookup(slice_id).owner
        if learns:
            self.learn_map(owner)
            for witness in witnesses:
                self.store_version(owner, witness)
        self.ask_release(slice_id)


def first_seed_with_violation(
    model_class: type[GrantsModel], seeds: Iterable[int], steps: int
) -> int | None:
    """Returns the first seed whose random run grants a slice to both servers, if any."""
    for seed in seeds:
        rng = random.Random(seed)
        model = model_class([rng.choice(RATES) for _ in range(3)])
        for _ in range(steps):
            model.step(rng)
            if model.slices_granted_twice():
                return seed
    return None
