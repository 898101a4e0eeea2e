"""Tests that a planned stop of a gateway host cuts no request, on real sockets."""

from __future__ import annotations

import asyncio
import os
import signal
import time
import unittest

from greengagefall.bench.gateway_fleet import GatewayFleet
from greengagefall.bench.processes import free_addresses
from greengagefall.dispatch.connection_pool import ConnectionPool, HttpRequest
from greengagefall.dispatch.exceptions import AnswerLostError, NotSentError
from greengagefall.gateway import outcomes
from greengagefall.gateway.host import GatewayHost
from greengagefall.gateway.model import NO_KEY, OperatorLimits, PlatformSettings
from greengagefall.protocol.gateway_messages import Dispatch, NotDispatched
from greengagefall.standins.platform_documents import HOST_NAME, caller_headers, routing, rule
from greengagefall.standins.platform_server import PlatformServerStandIn
from greengagefall.standins.platform_store import PlatformStoreStandIn
from greengagefall.utils.waiting import wait_until

ZONES = ("north-a", "north-b")
START_S = 8.0
BODY_LIMIT_BYTES = 64_000_000
MS_PER_S = 1000
# An answer that does not come within this time counts as cut.
PATIENCE_S = 12.0
GRACE_S = 4.0
RUN = 200
NOT_RUN = 503
MAY_HAVE_RUN = 502
CUT = 0


class StopTestCase(unittest.IsolatedAsyncioTestCase):
    hosts_count = 1

    async def asyncSetUp(self):
        self.store = PlatformStoreStandIn()
        await self.store.start()
        self.addAsyncCleanup(self.store.close)
        self.servers = [
            PlatformServerStandIn("p0", "proofdesk", ZONES[0], keyed=True),
            PlatformServerStandIn("b0", "benchline", ZONES[0], keyed=False),
        ]
        for server in self.servers:
            await server.start()
            self.addAsyncCleanup(server.close)
            await self.store.put_json(f"servers/{server.server_id}", server.entry())
        rules = [
            rule("drafts", "/drafts/", "proofdesk", kind="safe", attempts=2, timeout_s=2.0),
            rule("approvals", "/approvals/", "proofdesk", kind="unsafe", timeout_s=30.0),
            rule("orders", "/orders/", "benchline", kind="unsafe", timeout_s=30.0),
        ]
        await self.store.put_json("op/config", routing(7, rules=rules))
        self.hosts = [self.make_host(f"edge-{number}") for number in range(self.hosts_count)]
        for host in self.hosts:
            await host.start()
            self.addAsyncCleanup(host.kill)
        self.assertTrue(await wait_until(self.all_granted, START_S))

    def make_host(self, name):
        limits = OperatorLimits(grace_period_s=GRACE_S)
        return GatewayHost(
            PlatformSettings(
                name,
                ZONES[0],
                *free_addresses(3),
                self.store.address,
                0.5,
                1.0,
                20.0,
                1.0,
                limits,
            ),
            0,
        )

    def all_granted(self):
        held = self.servers[0].holds(0) and self.servers[0].holds(65_535)
        routed = all(
            host.view.routing_table.version
            and len(host.view.servers) == 2
            and len(host.view.assignment.dispatchers) == 2
            for host in self.hosts
        )
        return held and routed

    def begin_stop(self):
        """Begins to stop the first host; in tests of several, the pooled server's dispatcher."""
        self.stopped_s = time.monotonic()
        self.stop = asyncio.create_task(self.hosts[0].close())

    async def sleep_until(self, after_stop_s):
        await asyncio.sleep(self.stopped_s + after_stop_s - time.monotonic())

    async def send(self, path, request_id, timeout_s, key=None, host=0, body=b"x"):
        """Returns the status of the answer, ``CUT`` if the connection ended without one."""
        pool = ConnectionPool(self.hosts[host].settings.caller_address, BODY_LIMIT_BYTES)
        rows = caller_headers(request_id, int(timeout_s * MS_PER_S), key)
        try:
            answer = await pool.exchange(
                HttpRequest("POST", path, rows, body), PATIENCE_S, lambda: True
            )
        except AnswerLostError:
            return CUT
        finally:
            pool.close()
        return answer.status

    def executed(self):
        return [request_id for server in self.servers for request_id in server.executed]


class StopTests(StopTestCase):
    async def test_request_that_comes_late_in_the_grace_period_is_not_cut(self):
        self.servers[1].work_s = 1.9
        self.begin_stop()
        await self.sleep_until(1.9)
        status = await self.send("/orders/1", "late", 2.0)
        self.assertEqual((status, self.executed()), (NOT_RUN, []))

    async def test_request_whose_deadline_is_after_the_exit_is_not_cut(self):
        self.servers[1].work_s = 4.5
        self.begin_stop()
        await self.sleep_until(0.1)
        status = await self.send("/orders/1", "long", 5.0)
        self.assertEqual((status, self.executed()), (NOT_RUN, []))

    async def test_requests_that_fit_into_the_grace_period_are_served(self):
        for server in self.servers:
            server.work_s = 1.0
        self.begin_stop()
        await self.sleep_until(1.5)
        statuses = await asyncio.gather(
            self.send("/orders/1", "pooled", 1.5), self.send("/drafts/1", "keyed", 1.5, key=1)
        )
        self.assertEqual(statuses, [RUN, RUN])

    async def test_request_in_flight_at_the_exit_gets_an_answer_that_it_may_have_run(self):
        self.servers[1].work_s = 6.0
        running = asyncio.create_task(self.send("/orders/1", "running", 8.0))
        await asyncio.sleep(0.3)
        self.begin_stop()
        self.assertEqual(await running, MAY_HAVE_RUN)
        self.assertGreater(time.monotonic() - self.stopped_s, GRACE_S - 0.6)
        await self.stop
        self.assertLess(time.monotonic() - self.stopped_s, GRACE_S)

    async def test_request_that_waits_for_a_slot_at_the_exit_is_refused_as_not_run(self):
        self.servers[1].work_s = 6.0
        for host in self.hosts:
            host.view.routing_table.routes[HOST_NAME] = tuple(
                route._replace(objective_s=30.0)
                for route in host.view.routing_table.routes[HOST_NAME]
            )
        running = [
            asyncio.create_task(self.send(f"/orders/{number}", f"r-{number}", 20.0))
            for number in range(6)
        ]
        await asyncio.sleep(0.3)
        waiting = asyncio.create_task(self.send("/orders/7", "waiting", 20.0))
        await asyncio.sleep(0.3)
        self.assertFalse(waiting.done())
        self.begin_stop()
        self.assertEqual(await waiting, NOT_RUN)
        self.assertEqual(await asyncio.gather(*running), [MAY_HAVE_RUN] * 6)
        self.assertNotIn("waiting", self.executed())


class DispatchStopTests(StopTestCase):
    hosts_count = 2

    async def asyncSetUp(self):
        await super().asyncSetUp()
        dispatching = self.hosts[0].view.assignment.dispatchers["b0"]
        self.hosts.sort(key=lambda host: host.host_incarnation != dispatching.dispatcher)

    async def dispatch(self, request_id, timeout_s, service="benchline", server_id="", key=NO_KEY):
        """Sends a request from the second host to the stopping one."""
        message = Dispatch(
            0,
            request_id,
            service,
            server_id,
            key,
            "POST",
            HOST_NAME,
            "/orders/1",
            [],
            b"x",
            int(timeout_s * MS_PER_S),
            int(timeout_s * MS_PER_S),
            False,
            1,
        )
        stopping = self.hosts[0].host_incarnation.host
        return await self.hosts[1]._peers.call(stopping, message, PATIENCE_S)

    async def test_request_of_another_host_whose_deadline_is_after_the_exit_is_not_cut(self):
        self.servers[1].work_s = 4.5
        self.begin_stop()
        reply = await self.dispatch("sent-on", 5.0)
        self.assertIsInstance(reply, NotDispatched)
        self.assertEqual((reply.reason, reply.not_run), (outcomes.STOPPING, True))
        self.assertEqual(self.executed(), [])

    async def test_request_of_another_host_that_waits_for_its_key_at_the_exit_gets_a_reply(self):
        self.hosts[0].view.update_assignment = lambda _: None
        self.begin_stop()
        await self.sleep_until(1.5)
        self.servers[0].swallow_grants = 100
        self.servers[0].release_keys(0, 65_535)
        await self.dispatch("without-key", 1.0, "proofdesk", "p0", 1)
        await self.sleep_until(1.9)
        reply = await self.dispatch("waiting", 1.0, "proofdesk", "p0", 1)
        self.assertIsInstance(reply, NotDispatched)
        self.assertEqual((reply.reason, reply.not_run), (outcomes.NOT_GRANTED, True))

    async def test_unsafe_requests_to_a_stopping_dispatcher_are_served_by_another(self):
        self.begin_stop()
        statuses = await asyncio.gather(
            *(
                self.send(path, f"{path}{number}", 5.0, key=key, host=1)
                for number in range(4)
                for path, key in (("/orders/", None), ("/approvals/", 1))
            )
        )
        self.assertEqual(statuses, [RUN] * 8)


class CoordinatorStopTests(StopTestCase):
    async def test_unsafe_requests_are_served_while_the_coordinator_and_dispatcher_stops(self):
        other = self.make_host("edge-1")
        self.hosts.append(other)
        self.addAsyncCleanup(other.kill)
        await other.start()
        self.assertTrue(await wait_until(self.all_granted, START_S))
        await asyncio.sleep(1.0)
        stopping = self.hosts[0].host_incarnation
        self.assertEqual(other.view.coordinator, stopping)
        dispatchers = other.view.assignment.dispatchers
        self.assertEqual({dispatchers[name].dispatcher for name in ("p0", "b0")}, {stopping})
        self.begin_stop()
        running = []
        for number in range(10):
            for path, key in (("/orders/", None), ("/approvals/", 1)):
                send = self.send(path, f"{path}{number}", 5.0, key=key, host=1)
                running.append(asyncio.create_task(send))
            await asyncio.sleep(0.05)
        self.assertEqual(await asyncio.gather(*running), [RUN] * 20)


class CallerConnectionStopTests(StopTestCase):
    async def open_connection(self):
        host, _, port = self.hosts[0].settings.caller_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        return reader, writer

    def request_bytes(self, request_id, timeout_s, body_bytes=1):
        rows = caller_headers(request_id, int(timeout_s * MS_PER_S), None)
        lines = [f"{name}: {value}" for name, value in rows]
        head = ["POST /orders/1 HTTP/1.1", *lines, f"Content-Length: {body_bytes}", "", ""]
        return "\r\n".join(head).encode()

    async def read_status(self, reader):
        """Reads one answer; returns its status, ``CUT`` if it is missing or incomplete."""
        try:
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), PATIENCE_S)
            length = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
            await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return CUT
        return int(head.split()[1])

    async def test_body_that_is_read_when_the_host_could_exit_is_answered(self):
        reader, writer = await self.open_connection()
        writer.write(self.request_bytes("slow-body", 1.0, body_bytes=2) + b"x")
        await asyncio.sleep(0.2)
        self.begin_stop()
        await self.sleep_until(3.0)
        writer.write(b"x")
        self.assertEqual(await self.read_status(reader), NOT_RUN)
        await self.stop
        self.assertEqual(self.executed(), [])

    async def test_body_that_never_ends_does_not_hold_the_exit_up(self):
        _, writer = await self.open_connection()
        writer.write(self.request_bytes("endless-body", 1.0, body_bytes=2) + b"x")
        await asyncio.sleep(0.2)
        self.begin_stop()
        await self.stop
        self.assertLess(time.monotonic() - self.stopped_s, GRACE_S)

    async def test_large_answer_to_a_slow_reader_is_complete_at_the_exit(self):
        self.servers[1].answer_bytes = 16_000_000
        reader, writer = await self.open_connection()
        writer.write(self.request_bytes("large", 1.5) + b"x")
        await asyncio.sleep(0.5)
        self.begin_stop()
        await self.sleep_until(2.8)
        self.assertEqual(await self.read_status(reader), RUN)
        await self.stop

    async def test_pipelined_requests_are_all_answered_during_a_stop(self):
        self.servers[1].work_s = 0.5
        reader, writer = await self.open_connection()
        self.begin_stop()
        await self.sleep_until(1.8)
        for number in range(4):
            writer.write(self.request_bytes(f"pipelined-{number}", 1.5) + b"x")
        statuses = [await self.read_status(reader) for _ in range(4)]
        self.assertEqual(statuses, [RUN, NOT_RUN, NOT_RUN, NOT_RUN])
        self.assertEqual(self.executed(), ["pipelined-0"])

    async def test_requests_on_a_kept_connection_up_to_the_exit_are_never_cut_once_passed_on(self):
        self.servers[1].work_s = 0.05
        reader, writer = await self.open_connection()
        self.begin_stop()
        statuses = []
        while not self.stop.done():
            request_id = f"kept-{len(statuses)}"
            writer.write(self.request_bytes(request_id, 0.4) + b"x")
            statuses.append((request_id, await self.read_status(reader)))
            await asyncio.sleep(0.005)
        answered = [request_id for request_id, status in statuses if status == RUN]
        self.assertEqual(self.executed(), answered)
        self.assertIn(NOT_RUN, [status for _, status in statuses])


class ProcessStopTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = GatewayFleet(hosts=1, servers=1)
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start()
        while await self.send("before", 2.0) != RUN:
            continue
        for server in self.fleet.servers.values():
            server.executed.clear()
            server.work_s = 1.9

    async def send(self, request_id, timeout_s):
        """Returns the status, ``CUT`` if a sent request got no answer, None if nothing was sent."""
        pool = ConnectionPool(self.fleet.callers["edge-0"], BODY_LIMIT_BYTES)
        rows = caller_headers(request_id, int(timeout_s * MS_PER_S), 1)
        try:
            request = HttpRequest("POST", "/approvals/1", rows, b"x")
            return (await pool.exchange(request, PATIENCE_S, lambda: True)).status
        except NotSentError:
            return None
        except AnswerLostError:
            return CUT
        finally:
            pool.close()

    async def test_signals_and_settings_changes_during_a_stop_neither_cut_nor_prolong_it(self):
        processes = self.fleet.processes
        pid = processes.pid("edge-0")
        path = processes.log_dir / "edge-0.conf"
        running = {}
        signals = {0: signal.SIGTERM, 6: signal.SIGTERM, 10: signal.SIGHUP, 14: signal.SIGINT}
        for number in range(80):
            if number == 8:
                path.write_text(path.read_text().replace("gracePeriodS=4.0", "gracePeriodS=20"))
            if number in signals:
                os.kill(pid, signals[number])
            request_id = f"r-{number}"
            send = self.send(request_id, (0.7, 1.6, 5.0)[number % 3])
            running[request_id] = asyncio.create_task(send)
            await asyncio.sleep(0.05)
        self.assertFalse(processes.is_running("edge-0"))
        self.assertEqual(processes.stop("edge-0"), 0)
        statuses = {request_id: await task for request_id, task in running.items()}
        executed = [name for server in self.fleet.servers.values() for name in server.executed]
        self.assertGreater(len(executed), 0)
        self.assertEqual([name for name in executed if statuses[name] in (CUT, NOT_RUN)], [])
