"""Tests that no workspace starves at a server whose queue is served strictly by priority."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from greengagefall.limits.server_queue import QueuedDispatch, ServerQueue
from greengagefall.platform.fields import MAX_NUMBER
from greengagefall.utils.clock import ManualClock
from greengagefall.workspaces.directory import Workspace
from greengagefall.workspaces.fair_priority import FairPriorities

SLOTS = 5
SERVICE_TIME_S = 0.2
CAPACITY_PER_S = SLOTS / SERVICE_TIME_S
STEP_S = 0.005
OBJECTIVE_S = 0.6
TIMEOUT_S = 2.0


class OverloadedServer:
    """One server with the dispatcher's queue, and callers that send at fixed rates.

    Attributes:
        offered: Requests by workspace since the last reset.
        served: Those of them that were executed.
    """

    def __init__(self, seed: int) -> None:
        self._clock = ManualClock()
        self._random = random.Random(seed)
        self._priorities = FairPriorities(self._clock, self._random)
        self._queue = ServerQueue(SLOTS, self._clock)
        self._workspaces: dict[int, Workspace] = {}
        self._running: list[tuple[float, QueuedDispatch]] = []
        self.offered: Counter[str] = Counter()
        self.served: Counter[str] = Counter()

    def run(self, duration_s: float, rates_per_s: dict[Workspace, float]) -> None:
        """Sends requests at random times, at the given rate of each workspace."""
        for _ in range(round(duration_s / STEP_S)):
            self._clock.advance(STEP_S)
            self._end_requests()
            arrivals = [
                workspace
                for workspace, rate_per_s in rates_per_s.items()
                if self._random.random() < rate_per_s * STEP_S
            ]
            self._random.shuffle(arrivals)
            for workspace in arrivals:
                self._offer(workspace)
            self._refuse(self._queue.shed_late())
            self._start_requests()

    def reset(self) -> None:
        """Forgets the counts, but not the state of queue and priorities."""
        self.offered.clear()
        self.served.clear()

    def share(self, name: str) -> float:
        """Returns the share of a workspace's requests that was served."""
        return self.served[name] / self.offered[name]

    def _offer(self, workspace: Workspace) -> None:
        now_s = self._clock.now_s()
        ticket = len(self._workspaces)
        self._workspaces[ticket] = workspace
        self.offered[workspace.name] += 1
        priority = self._priorities.choose(workspace.priority, workspace)
        item = QueuedDispatch(priority, now_s + TIMEOUT_S, ticket, now_s + OBJECTIVE_S)
        self._refuse(self._queue.offer(item))

    def _refuse(self, items: list[QueuedDispatch]) -> None:
        for item in items:
            self._priorities.record(self._workspaces[item.ticket], False)

    def _start_requests(self) -> None:
        while (item := self._queue.start_next()) is not None:
            workspace = self._workspaces[item.ticket]
            self.served[workspace.name] += 1
            self._priorities.record(workspace, True)
            self._running.append((self._clock.now_s() + SERVICE_TIME_S, item))

    def _end_requests(self) -> None:
        now_s = self._clock.now_s()
        for end_s, item in [running for running in self._running if running[0] <= now_s]:
            self._running.remove((end_s, item))
            self._queue.finish(item, SERVICE_TIME_S)


class OneHost:
    """The priorities that one host chooses at times that a test sets."""

    def __init__(self) -> None:
        self._clock = ManualClock()
        self._priorities = FairPriorities(self._clock, random.Random(1))

    def choose(self, workspace: Workspace, count: int, gap_s: float = 0.0) -> set[int]:
        """Returns the priorities of some requests, each ``gap_s`` after the one before."""
        chosen = set()
        for _ in range(count):
            self._clock.advance(gap_s)
            chosen.add(self._priorities.choose(workspace.priority, workspace))
        return chosen


class FairPriorityTests(unittest.TestCase):
    def test_the_least_urgent_workspace_is_served_a_quarter_as_often_as_all(self):
        # By strict priority it would get nothing.
        workspaces = [Workspace(name, priority) for priority, name in enumerate("abcd")]
        for seed in range(2):
            server = OverloadedServer(seed)
            server.run(150, dict.fromkeys(workspaces, CAPACITY_PER_S / 2))
            together = server.served.total() / server.offered.total()
            with self.subTest(seed=seed):
                self.assertLess(together, 0.6)
                self.assertGreater(server.share("d"), together / 4)
                # Priorities still count.
                self.assertGreater(server.share("a"), 1.5 * server.share("d"))

    def test_a_workspace_that_sends_many_times_its_usual_load_displaces_no_others(self):
        flooding, *others = workspaces = [Workspace(name, 3) for name in "abcd"]
        for seed in range(2):
            server = OverloadedServer(seed)
            usual = dict.fromkeys(workspaces, CAPACITY_PER_S / 8)
            server.run(90, usual)
            server.reset()
            server.run(20, {**usual, flooding: 4 * CAPACITY_PER_S})
            with self.subTest(seed=seed):
                for workspace in others:
                    self.assertGreater(server.share(workspace.name), 0.8)

    def test_chance_and_unknown_workspaces_are_no_excess(self):
        # A host gets few requests of most workspaces, often several at once.
        host = OneHost()
        rare, new = Workspace("rare", 3), Workspace("new", 3)
        chosen = set()
        for _ in range(40):
            chosen |= host.choose(rare, 1, gap_s=30.0) | host.choose(rare, 9)
        chosen |= host.choose(new, 1000, gap_s=0.01)
        self.assertLessEqual(chosen, {0, 3})

    def test_a_steady_load_is_no_excess_however_large(self):
        # Guards against a usual load that is not counted, so that every large load is a flood.
        chosen = OneHost().choose(Workspace("busy", 3), 120 * 50, gap_s=0.02)
        self.assertEqual(chosen, {0, 3})

    def test_excess_of_an_urgent_workspace_comes_after_the_least_urgent_ones(self):
        # Guards against a flood that goes ahead of workspaces whose priority is a large number.
        host, flooding = OneHost(), Workspace("flooding", 0)
        host.choose(flooding, 90, gap_s=1.0)
        chosen = host.choose(flooding, 1000)
        self.assertEqual(len(chosen), 2)
        self.assertGreater(max(chosen), MAX_NUMBER)

    def test_requests_without_a_workspace_keep_the_priority_of_their_route(self):
        priorities = FairPriorities(ManualClock(), random.Random(1))
        self.assertEqual({priorities.choose(2, None) for _ in range(1000)}, {2})


if __name__ == "__main__":
    unittest.main()
