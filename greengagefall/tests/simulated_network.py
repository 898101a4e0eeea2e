"""The simulated connections of a host to backend servers and to other hosts."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders

from greengagefall.dispatch.connection_pool import HttpAnswer
from greengagefall.dispatch.exceptions import (
    AnswerLostError,
    AnswerTimeoutError,
    NotSentError,
    SendRefusedError,
)
from greengagefall.gateway.peers import REPLY_LOST, UNREACHABLE
from greengagefall.platform.requests import (
    RATE_LIMIT_HEADER,
    REQUEST_ID_HEADER,
    SIGNATURE_HEADER,
)

if TYPE_CHECKING:
    import random

    from greengagefall.tests.ownership_simulation import Simulation
    from greengagefall.tests.simulated_hosts import SimulatedHost

SERVICE_TIME_S = 0.2
GRANT_PATH_SUFFIX = "grant"
# Longest time from the end of a cut to the retransmission of what it held up.
MAX_RETRANSMISSION_S = 3.0
LATE_MESSAGE_RANGE_S = (0.5, 9.0)
# Times after a send at which TCP repeats what is not acknowledged.
TCP_REPETITIONS_S = (0.2, 0.6, 1.4, 3.0, 6.2, 12.6, 25.4)


# What calls of a host to a server meet while the path between them is broken.
PATH_SILENT = "silent"
PATH_ANSWERS_LOST = "answers_lost"
PATH_RESET = "reset"
PATH_NO_NEW_CONNECTIONS = "no_new_connections"
PATH_STATES = (PATH_SILENT, PATH_ANSWERS_LOST, PATH_RESET, PATH_NO_NEW_CONNECTIONS)
CONNECT_TIMEOUT_S = 0.5


class SimulatedPool:
    """Simulates the connections of one host to one server.

    A connection that is kept belongs to the incarnation of the server that accepted it. While the
    path is broken or holds calls up, a call over it may still arrive, and no new connection can be
    opened. What is held up when its host is killed arrives at a repetition of TCP.

    Args:
        simulation: The simulation.
        host: The host.
        address: The server's address.
        rng: Random numbers; by default those that choose the faults, too.

    Attributes:
        resets_given_up_calls: Whether giving a call up discards what the network holds of it.
    """

    resets_given_up_calls = True

    def __init__(
        self,
        simulation: Simulation,
        host: SimulatedHost,
        address: str,
        rng: random.Random | None = None,
    ) -> None:
        self.on_idle_close = None
        self.host_name = host.name
        self._simulation = simulation
        self._rng = rng or simulation.rng
        self._host = host
        self._server = simulation.server_at(address)
        self._server.pools.append(self)
        self._kept_with_ms: int | None = None

    def close(self) -> None:
        """Does nothing."""

    async def exchange(self, request, timeout_s, may_send, matches=None) -> HttpAnswer:
        simulation, server = self._simulation, self._server
        rng = self._rng
        await asyncio.sleep(rng.uniform(0.0005, 0.005))
        if not self._host.up:
            raise NotSentError(f"{self._host.name} was killed")
        if not server.up or simulation.is_cut(self._host.name, server.name):
            if server.up or rng.random() < 0.5:
                await asyncio.sleep(min(timeout_s, 0.5))
            raise NotSentError(f"no connection to {server.name}")
        path = simulation.broken_paths.get((self._host.name, server.name), "")
        if path and self._kept_with_ms != server.start_ms:
            await asyncio.sleep(CONNECT_TIMEOUT_S if path == PATH_SILENT else 0.0)
            raise NotSentError(f"no new connection to {server.name}")
        if not server.calls_pass.is_set() and self._kept_with_ms != server.start_ms:
            await asyncio.sleep(min(timeout_s, CONNECT_TIMEOUT_S))
            raise NotSentError(f"no new connection to {server.name}")
        if not may_send():
            raise SendRefusedError(f"the call to {server.name} is no longer current")
        if self._kept_with_ms not in (None, server.start_ms):
            # A connection ends with the process that accepted it; its next call is answered by a
            # reset, and nothing of it reaches a later process.
            self._kept_with_ms = None
            raise AnswerLostError(f"{server.name} has restarted")
        self._kept_with_ms = server.start_ms
        arrived_s = simulation.loop.now_s
        if path in (PATH_SILENT, PATH_ANSWERS_LOST):
            return await self._exchange_unanswered(request, timeout_s, path)
        if not server.calls_pass.is_set():
            return await self._exchange_held_up(request, timeout_s)
        request_id = dict(request.headers).get(REQUEST_ID_HEADER)
        if request_id is not None:
            return await self._execute(request_id)
        if rng.random() < simulation.delayed_share:
            delay_s = rng.uniform(0.5, 6.0)
            simulation.loop.call_later(delay_s, self._apply, request, arrived_s, server.start_ms)
            await asyncio.sleep(timeout_s)
            raise AnswerTimeoutError(f"no answer from {server.name} within {timeout_s} s")
        answer = self._apply(request, arrived_s, server.start_ms)
        await asyncio.sleep(rng.uniform(0.0005, 0.005))
        if rng.random() < simulation.lost_share:
            await asyncio.sleep(timeout_s)
            raise AnswerTimeoutError(f"no answer from {server.name} within {timeout_s} s")
        return answer

    def reset(self) -> None:
        """Ends the connections, as a reset from the network does."""
        self._kept_with_ms = None
        if self.on_idle_close is not None:
            self.on_idle_close()

    async def _exchange_unanswered(self, request, timeout_s: float, path: str) -> HttpAnswer:
        """Sends a call over a kept connection of a broken path; it is given up with a reset."""
        if path == PATH_ANSWERS_LOST:
            self._apply(request, self._simulation.loop.now_s, self._server.start_ms)
        await asyncio.sleep(timeout_s)
        self._kept_with_ms = None
        raise AnswerTimeoutError(f"no answer from {self._server.name} within {timeout_s} s")

    async def _exchange_held_up(self, request, timeout_s: float) -> HttpAnswer:
        sent_s, start_ms = self._simulation.loop.now_s, self._server.start_ms
        answered = asyncio.get_running_loop().create_future()
        delivery = self._simulation.start_delivery(self._deliver_late(request, start_ms, answered))
        try:
            async with asyncio.timeout(timeout_s):
                return await answered
        except TimeoutError as error:
            self._kept_with_ms = None
            raise AnswerTimeoutError(f"no answer within {timeout_s} s") from error
        finally:
            if not self._host.up and not delivery.done():
                # Nobody is left to reset the connection: the operating system goes on sending.
                delivery.cancel()
                self._simulation.start_delivery(self._deliver_of_killed(request, start_ms, sent_s))
            elif self.resets_given_up_calls:
                delivery.cancel()

    async def _deliver_late(self, request, start_ms: int, answered: asyncio.Future) -> None:
        await self._server.calls_pass.wait()
        await asyncio.sleep(self._rng.uniform(0.0, MAX_RETRANSMISSION_S))
        answer = self._apply(request, self._simulation.loop.now_s, start_ms)
        if answer is not None and not answered.done():
            answered.set_result(answer)

    async def _deliver_of_killed(self, request, start_ms: int, sent_s: float) -> None:
        """Delivers a call of a killed host at the first repetition that the network lets pass."""
        simulation, server = self._simulation, self._server
        for repetition_s in TCP_REPETITIONS_S:
            due_s = sent_s + repetition_s
            await asyncio.sleep(max(0.0, due_s - simulation.loop.now_s))
            healed_s = simulation.link_healed_s(self._host.name, server.name)
            if simulation.calls_pass(self._host.name, server.name) and due_s >= healed_s:
                self._apply(request, simulation.loop.now_s, start_ms, healed_s)
                return

    async def _execute(self, request_id: str) -> HttpAnswer:
        server = self._server
        server.requests.append((self._host.name, self._simulation.loop.now_s))
        await asyncio.sleep(SERVICE_TIME_S)
        fields = {REQUEST_ID_HEADER: request_id, SIGNATURE_HEADER: "signed"}
        if server.rate_limit:
            fields[RATE_LIMIT_HEADER] = server.rate_limit
        return HttpAnswer(200, HTTPHeaders(fields), b"")

    def _apply(
        self, request, arrived_s: float, start_ms: int, healed_s: float | None = None
    ) -> HttpAnswer | None:
        """Has the server carry out a call; ``healed_s`` is for calls that outlived their host."""
        server = self._server
        if not server.up or server.start_ms != start_ms:
            return None
        if not request.body:
            return HttpAnswer(200, HTTPHeaders({"Instance-Id": server.server_id}), b"")
        fields = json.loads(request.body)
        if request.path.endswith(GRANT_PATH_SUFFIX):
            return HttpAnswer(server.grant(fields, arrived_s, healed_s), HTTPHeaders(), b"")
        server.fences.append((fields["from"], fields["target"], fields["fence"]))
        server.release(fields["from"], fields["target"])
        return HttpAnswer(200, HTTPHeaders({"Handover": f"{fields['fence']}"}), b"")


class SimulatedPeers:
    """Simulates the calls of one host to other hosts.

    Args:
        simulation: The simulation.
        host: The host that calls.
        rng: Random numbers; by default those that choose the faults, too.
    """

    def __init__(
        self, simulation: Simulation, host: SimulatedHost, rng: random.Random | None = None
    ) -> None:
        self._simulation = simulation
        self._host = host
        self._rng = rng or simulation.rng

    def connected(self, name) -> bool:
        target = self._simulation.hosts.get(name)
        return target is not None and target.up

    def is_lost(self, name) -> bool:
        cut = name != self._host.name and self._simulation.is_cut(self._host.name, name)
        return cut or not self.connected(name)

    async def call(self, name, message, timeout_s):
        target = self._simulation.hosts.get(name)
        if name != self._host.name:
            await asyncio.sleep(self._rng.uniform(0.0005, 0.003))
            if target is None or not target.up or self._simulation.is_cut(self._host.name, name):
                await asyncio.sleep(self._rng.choice((0.0, timeout_s)))
                return UNREACHABLE
            late_share = self._simulation.late_message_share
            # Without such a fault nothing is drawn, so that seeds keep their meaning.
            if late_share and self._rng.random() < late_share:
                self._deliver_late(target, message)
                await asyncio.sleep(timeout_s)
                return REPLY_LOST
        try:
            async with asyncio.timeout(timeout_s):
                reply = target.handlers.handle(target.hello, message)
                reply = await reply if hasattr(reply, "__await__") else reply
        except TimeoutError:
            return REPLY_LOST
        if self._rng.random() < self._simulation.lost_share:
            return REPLY_LOST
        return reply

    def _deliver_late(self, target: SimulatedHost, message) -> None:
        """Has a message arrive after its sender gave it up; its reply is lost."""
        self._simulation.start_delivery(self._deliver(target, message))

    async def _deliver(self, target: SimulatedHost, message) -> None:
        await asyncio.sleep(self._rng.uniform(*LATE_MESSAGE_RANGE_S))
        if not target.up:
            return
        reply = target.handlers.handle(target.hello, message)
        if hasattr(reply, "__await__"):
            await reply
