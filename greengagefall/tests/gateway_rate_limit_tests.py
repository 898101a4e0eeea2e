"""Tests of how a gateway keeps the request rate that a backend server names, in virtual time."""

from __future__ import annotations

import asyncio
import logging
import unittest
from typing import TYPE_CHECKING
from unittest import mock

from tornado.httputil import HTTPHeaders

from greengagefall.dispatch.connection_pool import HttpAnswer
from greengagefall.gateway.dispatchers import ChannelManager
from greengagefall.gateway.model import (
    NO_KEY,
    OperatorLimits,
    PlatformSettings,
    RoutingTable,
    ServerEntry,
    Service,
)
from greengagefall.gateway.server_channel import ServerChannel
from greengagefall.gateway.view import ClusterView
from greengagefall.limits.server_queue import LIMITED_BURST_REQUESTS
from greengagefall.ownership.model import (
    LAST_KEY,
    Assignment,
    DispatcherRecord,
    HostIncarnation,
    KeyRange,
)
from greengagefall.protocol.gateway_messages import Dispatch, NotDispatched
from greengagefall.tests.ownership_simulation import Simulation
from greengagefall.tests.simulated_servers import SERVICE
from greengagefall.tests.virtual_time import LoopClock, VirtualLoop

if TYPE_CHECKING:
    from greengagefall.tests.simulated_hosts import SimulatedHost

KEYED = Service("proofdesk", "/health", 100, 3.0, 5.0, True, 5.0)
POOLED = KEYED._replace(name="benchline", keyed=False)
SERVICE_TIME_S = 0.2
OBJECTIVE_S = 0.6
# The platform allows one and a half times the limit, and some requests more, in a window.
WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
EXTRA_REQUESTS = 5
# Requests that are sent this long after the first answer with a limit count.
NOTICE_S = 0.5
ARRIVALS_PER_S = 20.0
BURST_ARRIVALS_PER_S = 60.0
STEP_S = 1 / ARRIVALS_PER_S


class LimitedServer:
    """A server that names a rate limit; it also serves as the connections to itself.

    Attributes:
        limit: Value of the header that names the limit, empty for none.
        arrivals_s: When each request arrived.
        limited_arrivals_s: Those of them that arrived while the limit was known.
        first_named_s: When the first answer that names a limit was sent.
        healthy: Whether the health check passes.
        health_checks: Number of health checks.
        load: Value of the header that reports the load, empty for none.
        path_loads: Values of that header by path, where they differ.
        status: Status of its answers.
        signed: Whether it signs its answers.
        work_s: Service time by path.
    """

    def __init__(self, clock: LoopClock) -> None:
        self.limit = ""
        self.arrivals_s: list[float] = []
        self.limited_arrivals_s: list[float] = []
        self.first_named_s = float("inf")
        self.load = ""
        self.path_loads: dict[str, str] = {}
        self.status = 200
        self.signed = True
        self.work_s: dict[str, float] = {}
        self.healthy = True
        self.health_checks = 0
        self.on_idle_close = None
        self._clock = clock

    def close(self) -> None:
        """Does nothing."""

    async def exchange(self, request, timeout_s, may_send, matches=None) -> HttpAnswer:
        request_headers = dict(request.headers)
        if request.method == "GET" and request.path == KEYED.health_path:
            self.health_checks += 1
            status = 200 if self.healthy else 503
            return HttpAnswer(status, HTTPHeaders({"Instance-Id": "s0"}), b"")
        if "Request-Id" not in request_headers:
            return HttpAnswer(200, HTTPHeaders(), b"")
        self.arrivals_s.append(self._clock.now_s())
        if self._clock.now_s() >= self.first_named_s + NOTICE_S and self.limit:
            self.limited_arrivals_s.append(self._clock.now_s())
        await asyncio.sleep(self.work_s.get(request.path, SERVICE_TIME_S))
        fields = {"Request-Id": request_headers["Request-Id"]}
        if self.signed:
            fields["Upstream-Signature"] = "signed"
        if load := self.path_loads.get(request.path, self.load):
            fields["Upstream-Load"] = load
        if self.limit:
            fields["Server-Limit"] = self.limit
            self.first_named_s = min(self.first_named_s, self._clock.now_s())
        return HttpAnswer(self.status, HTTPHeaders(fields), b"")

    def most_in_window(self) -> int:
        """Returns the largest number of requests in a window while the limit was known."""
        counted = self.limited_arrivals_s
        return max(
            (sum(start_s <= at_s < start_s + WINDOW_S for at_s in counted) for start_s in counted),
            default=0,
        )


def dispatch(number: int, service: Service) -> Dispatch:
    key = number % (LAST_KEY + 1) if service.keyed else NO_KEY
    return Dispatch(
        call_id=0,
        request_id=f"r-{number}",
        service=service.name,
        server_id="",
        key=key,
        method="GET",
        host_name="shop.example",
        target="/drafts/1",
        headers=[],
        body=b"",
        remaining_ms=1500,
        objective_ms=int(OBJECTIVE_S * 1000),
        idempotent=True,
        priority=1,
    )


class ChannelTests(unittest.TestCase):
    """Base class of tests of a channel to such a server."""

    def setUp(self):
        self.loop = VirtualLoop()
        self.addCleanup(self.loop.close)
        self.clock = LoopClock(self.loop)
        self.server = LimitedServer(self.clock)
        self.outcomes = []

    def channel(self, service: Service) -> ServerChannel:
        entry = ServerEntry("s0", service.name, "127.0.0.1:1", "a", 6, False, 0.0, 1)
        return ServerChannel(entry, service, self.clock, self.server)


class RateLimitTests(ChannelTests):
    async def call(self, channel: ServerChannel, number: int, service: Service) -> None:
        started_s = self.clock.now_s()
        outcome = await channel.submit(dispatch(number, service), started_s)
        self.outcomes.append((outcome, self.clock.now_s() - started_s))

    async def send_steadily(
        self, channel: ServerChannel, service: Service, duration_s: float
    ) -> None:
        calls = []
        for number in range(int(duration_s * ARRIVALS_PER_S)):
            calls.append(asyncio.create_task(self.call(channel, number, service)))
            await asyncio.sleep(STEP_S)
        await asyncio.gather(*calls)

    async def play(self, service: Service, limits: list[tuple[str, float]]) -> None:
        """Sends requests while the server names one limit after the other."""
        channel = self.channel(service)
        channel.start()
        if service.keyed:
            channel.set_key_ranges([KeyRange(0, LAST_KEY, channel.incarnation, 1)])
            await asyncio.sleep(0.1)
        for limit, duration_s in limits:
            self.server.limit = limit
            await self.send_steadily(channel, service, duration_s)
        channel.close()

    def test_server_that_names_a_rate_limit_gets_no_more_than_it_takes(self):
        for service in (KEYED, POOLED):
            with self.subTest(service=service.name):
                self.setUp()
                self.loop.run_until_complete(self.play(service, [("", 3.0), ("3.0", 12.0)]))
                allowed = LIMIT_FACTOR * 3.0 * WINDOW_S + EXTRA_REQUESTS
                self.assertLessEqual(self.server.most_in_window(), allowed)
                self.assertGreater(self.arrivals_after(3.0), 0.8 * 12.0 * 3.0)

    def test_requests_beyond_a_rate_limit_are_refused_at_once(self):
        self.loop.run_until_complete(self.play(KEYED, [("3.0", 12.0)]))
        refused = sorted(
            duration_s
            for outcome, duration_s in self.outcomes
            if isinstance(outcome, NotDispatched)
        )
        self.assertGreater(len(refused), 100)
        self.assertEqual(refused[len(refused) // 2], 0.0)
        self.assertLess(refused[-1], OBJECTIVE_S)
        hints_ms = [
            outcome.retry_after_ms
            for outcome, _ in self.outcomes
            if isinstance(outcome, NotDispatched)
        ]
        self.assertGreater(min(hints_ms), 0)

    def test_full_rate_returns_once_the_server_names_no_limit(self):
        self.loop.run_until_complete(self.play(KEYED, [("3.0", 5.0), ("", 5.0)]))
        self.assertGreater(self.arrivals_after(7.0), 0.9 * 3.0 * ARRIVALS_PER_S)

    def test_a_limit_of_zero_lets_single_requests_show_its_end(self):
        self.loop.run_until_complete(self.play(KEYED, [("0", 20.0), ("", 12.0)]))
        self.assertLessEqual(self.server.most_in_window(), EXTRA_REQUESTS)
        self.assertGreater(self.arrivals_after(27.0), 0.9 * 5.0 * ARRIVALS_PER_S)

    def test_a_limited_server_without_room_reports_itself_as_full(self):
        channel = self.channel(POOLED)
        self.assertEqual(channel.load_percent(), 0)
        channel.queue.set_rate_limit(2.0)
        self.assertGreater(channel.load_percent(), 100)

    def test_health_checks_count_towards_the_rate_limit(self):
        channel = self.channel(POOLED)
        channel.queue.set_rate_limit(0.5)
        for _ in range(2):
            channel.health.record_failure(refused=True)

        async def probe() -> None:
            channel.start()
            self.server.healthy = False
            await asyncio.sleep(20.0)
            channel.close()

        self.loop.run_until_complete(probe())
        self.assertGreater(self.server.health_checks, 5)
        self.assertLessEqual(self.server.health_checks, 0.5 * 20.0 + 2)

    def arrivals_after(self, start_s: float) -> int:
        return sum(at_s >= start_s for at_s in self.server.arrivals_s)


class NextDispatcherTests(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.addCleanup(self.close_loop)
        self.simulation = None

    def close_loop(self):
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()
        asyncio.set_event_loop(None)

    def coordinator_host(self) -> SimulatedHost:
        hosts = self.simulation.hosts.values()
        return next(host for host in hosts if host.handlers.coordinator is not None)

    def dispatcher(self, server_id: str) -> SimulatedHost:
        record = self.coordinator_host().view.assignment.dispatchers[server_id]
        return self.simulation.hosts[record.dispatcher.host]

    async def send_steadily(self, server_id: str, duration_s: float) -> None:
        """Sends requests for the first key of a server to the host that dispatches it."""
        for number in range(int(duration_s * BURST_ARRIVALS_PER_S)):
            host = self.dispatcher(server_id)
            entry = host.view.servers[server_id]
            owned = host.view.assignment.key_ranges_owned_by(SERVICE, entry.incarnation)
            request = dispatch(number, KEYED)._replace(server_id=server_id, key=owned[0].first)
            asyncio.get_running_loop().create_task(host.channels.submit(request))
            await asyncio.sleep(1 / BURST_ARRIVALS_PER_S)

    async def replace_dispatcher(self) -> tuple[str, str]:
        """Has a server with a limit change its dispatcher; returns both dispatchers' names."""
        self.simulation = Simulation(self.loop, seed=3)
        delivery = asyncio.create_task(self.simulation.deliver_records())
        await asyncio.sleep(6.0)
        server = next(
            server
            for server in self.simulation.servers.values()
            if self.dispatcher(server.server_id) is not self.coordinator_host()
        )
        server.rate_limit = "3.0"
        self.requests = server.requests
        await self.send_steadily(server.server_id, 4.0)
        before = self.dispatcher(server.server_id)
        before.heartbeats.stopping = True
        await self.send_steadily(server.server_id, 6.0)
        after = self.dispatcher(server.server_id)
        for host in self.simulation.hosts.values():
            await host.kill()
        delivery.cancel()
        return before.name, after.name

    def test_next_dispatcher_keeps_the_rate_limit_that_a_server_named_before(self):
        before, after = self.loop.run_until_complete(self.replace_dispatcher())
        self.assertNotEqual(before, after)
        sent_s = [at_s for host, at_s in self.requests if host == after]
        in_first_second = sum(at_s < sent_s[0] + 1.0 for at_s in sent_s)
        self.assertLessEqual(in_first_second, 3.0 + LIMITED_BURST_REQUESTS)


class WorkEstimateTests(ChannelTests):
    """Guards against a channel that does not learn from the answers of its server."""

    async def send_one_by_one(self, channel: ServerChannel, kinds: list[str]) -> None:
        for number, kind in enumerate(kinds):
            request = dispatch(number, POOLED)._replace(kind=kind, target=f"/{kind}")
            await channel.submit(request, self.clock.now_s())

    def test_kinds_of_work_are_told_apart(self):
        channel = self.channel(POOLED)
        self.server.work_s = {"/short": 0.085, "/long": 0.27}
        self.loop.run_until_complete(self.send_one_by_one(channel, ["short", "long"] * 40))
        expected_s = channel.queue.work.expected_s
        self.assertAlmostEqual(expected_s("short"), 0.085, delta=0.02)
        self.assertAlmostEqual(expected_s("long"), 0.27, delta=0.05)
        requests = [dispatch(1, POOLED)._replace(kind=kind) for kind in ("short", "long")]
        short_s, long_s = (channel.expected_finish_s(request) for request in requests)
        self.assertLess(short_s, long_s / 2)

    def test_a_reported_slowdown_counts_from_the_first_answer(self):
        channel = self.channel(POOLED)
        self.loop.run_until_complete(self.send_one_by_one(channel, ["k"] * 40))
        usual_s = channel.queue.work.expected_s("k")
        self.server.load, self.server.work_s = "1,0,6,300", {"/k": 3 * SERVICE_TIME_S}
        self.loop.run_until_complete(self.send_one_by_one(channel, ["k"]))
        self.assertGreater(channel.queue.work.expected_s("k"), 2.5 * usual_s)

    def test_answers_with_errors_of_the_server_are_no_samples(self):
        """Guards against work that looks short since the server fails at once."""
        channel = self.channel(POOLED)
        self.loop.run_until_complete(self.send_one_by_one(channel, ["k"] * 20))
        usual_s = channel.queue.work.expected_s("k")
        self.server.status, self.server.work_s = 500, {"/k": 0.001}
        self.loop.run_until_complete(self.send_one_by_one(channel, ["k"] * 20))
        self.assertAlmostEqual(channel.queue.work.expected_s("k"), usual_s, delta=0.02)

    def test_a_slowdown_in_an_unsigned_answer_is_ignored(self):
        channel = self.channel(POOLED)
        self.server.status, self.server.signed, self.server.load = 404, False, "1,0,6,900"
        self.loop.run_until_complete(self.send_one_by_one(channel, ["k"]))
        self.assertEqual(channel.queue.work.slowdown, 1.0)

    def test_the_channels_of_a_service_share_what_they_learn(self):
        """Guards against a new server whose work is unknown although others show it."""
        me = HostIncarnation("me", 1)
        settings = PlatformSettings("me", "a", "", "", "", "", 1, 1, 20, 1, OperatorLimits())
        view = ClusterView(settings, me, self.clock)
        view.update_routing_table(RoutingTable(1, {}, {POOLED.name: POOLED}, 0, 0, 0.0))
        manager = ChannelManager(view, self.clock, lambda address: self.server)
        names = ("s0", "s1")

        async def open_and_send() -> list[ServerChannel]:
            for name in names:
                entry = ServerEntry(name, POOLED.name, "127.0.0.1:1", "a", 6, False, 0.0, 1)
                view.update_server(entry)
            dispatching = dict.fromkeys(names, DispatcherRecord(me))
            view.update_assignment(Assignment(1, 1, {}, dispatching))
            channels = list(manager._channels.values())
            await self.send_one_by_one(channels[0], ["k"] * 40)
            manager.close()
            return channels

        self.server.work_s = {"/k": 0.8}
        _, other = self.loop.run_until_complete(open_and_send())
        self.assertGreater(other.queue.work.expected_s("k"), 0.6)

    def test_a_slowdown_belongs_to_the_answer_that_reports_it(self):
        """Guards against the slowdown of another answer that arrives in the same moment."""
        channel = self.channel(POOLED)
        self.server.path_loads = {"/slow": "2,0,6,400", "/usual": "2,0,6,100"}
        recorded = []
        finish = channel.queue.finish

        def record(item, duration_s, slowdown):
            recorded.append((item.kind, slowdown))
            finish(item, duration_s, slowdown)

        async def send_both() -> None:
            requests = [
                dispatch(number, POOLED)._replace(kind=kind, target=f"/{kind}")
                for number, kind in enumerate(("slow", "usual"))
            ]
            now_s = self.clock.now_s()
            await asyncio.gather(*(channel.submit(request, now_s) for request in requests))

        with mock.patch.object(channel.queue, "finish", record):
            self.loop.run_until_complete(send_both())
        self.assertEqual(sorted(recorded), [("slow", 4.0), ("usual", 1.0)])
