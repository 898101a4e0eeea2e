"""Measures the processor time of small calls over a link between two hosts.

Run it alone: ``python -m greengagefall.bench.measure_links``. Both ends are in this process, so
that a figure covers caller and callee. Each size is measured several times; the least counts, since
other processes can only raise the time.
"""

from __future__ import annotations

import asyncio
import time

import click

from greengagefall.protocol.gateway_messages import Dispatch, Dispatched
from greengagefall.protocol.link import PeerLink
from greengagefall.protocol.messages import PROTOCOL_VERSION, Hello
from greengagefall.protocol.server import PeerServer
from greengagefall.utils.waiting import wait_until

US_PER_S = 1_000_000
TIMEOUT_S = 20.0
CONCURRENT_CALLS = 32
HEADERS = [["Content-Type", "application/json"], ["Accept", "*/*"]]


def _hello(host: str) -> Hello:
    return Hello(PROTOCOL_VERSION, "gateway", host, "zone-a", "1", "", "")


def _request(body_bytes: int) -> Dispatch:
    return Dispatch(
        0,
        "request-1",
        "service",
        "server-1",
        17,
        "POST",
        "example.org",
        "/a",
        HEADERS,
        bytes(body_bytes),
        2000,
        200,
        True,
        1,
    )


async def measure_us(body_bytes: int, calls: int) -> float:
    """Returns the processor time per call with bodies of a size in both directions."""
    answer = Dispatched(0, 200, HEADERS, bytes(body_bytes), 10)

    async def handle(message: Dispatch) -> Dispatched:
        return answer

    server = PeerServer("127.0.0.1:0", _hello("b"), lambda peer, message: handle(message))
    await server.start()
    link = PeerLink(server.address, _hello("a"))
    await link.start()
    await wait_until(lambda: link.connected, TIMEOUT_S)
    request = _request(body_bytes)

    async def call_in_turn() -> None:
        for _ in range(calls // CONCURRENT_CALLS):
            await link.call(request, TIMEOUT_S)

    started_s = time.process_time()
    await asyncio.gather(*(call_in_turn() for _ in range(CONCURRENT_CALLS)))
    used_s = time.process_time() - started_s
    await link.close()
    await server.close()
    return used_s / calls * US_PER_S


@click.command()
@click.option("--calls", default=6400, help="Calls of each measurement.")
@click.option("--repeats", default=9, help="Measurements of each size.")
def main(calls: int, repeats: int) -> None:
    """Prints the processor time per call by size of body and answer."""
    print("body bytes  least us  median us")
    for body_bytes in (0, 1_000, 16_000):
        times_us = sorted(asyncio.run(measure_us(body_bytes, calls)) for _ in range(repeats))
        print(f"{body_bytes:10}  {times_us[0]:8.1f}  {times_us[repeats // 2]:9.1f}")


if __name__ == "__main__":
    main()
