"""Faults that the soak injects; each is undone after its duration."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.bench.fleet import STORE
from greengagefall.utils.registry import Registry

if TYPE_CHECKING:
    import random

    from greengagefall.bench.fleet import Fleet

Undo = Callable[[], Awaitable[None]]


class Fault(NamedTuple):
    """An injected fault.

    Attributes:
        kind: Name in ``FAULTS``.
        target: Process, zone or setting that the fault affects.
        seconds: Duration of the fault.
        undo: Ends the fault.
    """

    kind: str
    target: str
    seconds: float
    undo: Undo


FAULTS: Registry[Callable[[Fleet, random.Random], Awaitable[Fault]]] = Registry("fault")


async def _no_undo() -> None:
    """Does nothing: the fault ends by itself."""


def _restart(fleet: Fleet, name: str) -> Undo:
    async def undo() -> None:
        if not fleet.processes.is_running(name):
            fleet.processes.restart(name)

    return undo


def _resume(fleet: Fleet, name: str) -> Undo:
    async def undo() -> None:
        if fleet.processes.is_running(name):
            fleet.processes.resume(name)

    return undo


def _pick_server(fleet: Fleet, rng: random.Random) -> str:
    return rng.choice(sorted(fleet.servers))


def _pick_host(fleet: Fleet, rng: random.Random) -> str:
    return rng.choice(sorted(fleet.entries))


def _kill(fleet: Fleet, name: str) -> None:
    if fleet.processes.is_running(name):
        fleet.processes.kill(name)


def _pause(fleet: Fleet, name: str) -> None:
    if fleet.processes.is_running(name):
        fleet.processes.pause(name)


@FAULTS.register("kill_server")
async def kill_server(fleet: Fleet, rng: random.Random) -> Fault:
    """Kills a backend server and restarts it as a new incarnation."""
    name = _pick_server(fleet, rng)
    _kill(fleet, name)
    return Fault("kill_server", name, rng.uniform(1.0, 6.0), _restart(fleet, name))


@FAULTS.register("freeze_server")
async def freeze_server(fleet: Fleet, rng: random.Random) -> Fault:
    """Pauses a backend server's process."""
    name = _pick_server(fleet, rng)
    _pause(fleet, name)
    return Fault("freeze_server", name, rng.uniform(0.5, 5.0), _resume(fleet, name))


@FAULTS.register("kill_entry")
async def kill_entry(fleet: Fleet, rng: random.Random) -> Fault:
    """Kills an entry host's process and restarts it as a new incarnation."""
    name = f"entry-{_pick_host(fleet, rng)}"
    _kill(fleet, name)
    return Fault("kill_entry", name, rng.uniform(0.5, 4.0), _restart(fleet, name))


@FAULTS.register("stop_entry")
async def stop_entry(fleet: Fleet, rng: random.Random) -> Fault:
    """Stops an entry host gracefully and restarts it."""
    name = f"entry-{_pick_host(fleet, rng)}"
    if fleet.processes.is_running(name):
        fleet.processes.terminate(name)
    return Fault("stop_entry", name, rng.uniform(4.0, 7.0), _restart(fleet, name))


@FAULTS.register("freeze_entry")
async def freeze_entry(fleet: Fleet, rng: random.Random) -> Fault:
    """Pauses an entry host's process, in some cases for longer than its lease."""
    name = f"entry-{_pick_host(fleet, rng)}"
    _pause(fleet, name)
    return Fault("freeze_entry", name, rng.uniform(0.2, 4.0), _resume(fleet, name))


@FAULTS.register("kill_coordinator")
async def kill_coordinator(fleet: Fleet, rng: random.Random) -> Fault:
    """Kills a coordinator's process, active or not."""
    name = f"coordinator-{_pick_host(fleet, rng)}"
    _kill(fleet, name)
    return Fault("kill_coordinator", name, rng.uniform(1.0, 5.0), _restart(fleet, name))


@FAULTS.register("freeze_coordinator")
async def freeze_coordinator(fleet: Fleet, rng: random.Random) -> Fault:
    """Pauses a coordinator's process, in some cases for longer than its store lease."""
    name = f"coordinator-{_pick_host(fleet, rng)}"
    _pause(fleet, name)
    return Fault("freeze_coordinator", name, rng.uniform(1.0, 8.0), _resume(fleet, name))


@FAULTS.register("kill_store")
async def kill_store(fleet: Fleet, rng: random.Random) -> Fault:
    """Kills the platform's store and restarts it with its stored data."""
    _kill(fleet, STORE)
    return Fault("kill_store", STORE, rng.uniform(1.0, 8.0), _restart(fleet, STORE))


def _store_fault(kind: str, fault: dict, no_fault: dict, seconds: float, target: str = STORE):
    async def inject(fleet: Fleet) -> Fault:
        async def undo() -> None:
            await fleet.post_json(fleet.store_address, "/fault", no_fault)

        await fleet.post_json(fleet.store_address, "/fault", fault)
        return Fault(kind, target, seconds, undo)

    return inject


@FAULTS.register("store_outage")
async def store_outage(fleet: Fleet, rng: random.Random) -> Fault:
    """Makes the store refuse calls or leave them unanswered."""
    outage = rng.choice(("refuse", "hang"))
    seconds = rng.uniform(1.0, 10.0)
    return await _store_fault("store_outage", {"outage": outage}, {"outage": ""}, seconds, outage)(
        fleet
    )


@FAULTS.register("store_slow")
async def store_slow(fleet: Fleet, rng: random.Random) -> Fault:
    """Delays each call to the store."""
    slow_ms = rng.uniform(50.0, 1500.0)
    seconds = rng.uniform(2.0, 8.0)
    fault = {"slow_ms": slow_ms}
    return await _store_fault("store_slow", fault, {"slow_ms": 0.0}, seconds)(fleet)


@FAULTS.register("store_lost_answers")
async def store_lost_answers(fleet: Fleet, rng: random.Random) -> Fault:
    """Drops the answers of writes that the store has applied."""
    fault = {"lose_answers": rng.randint(1, 5)}
    return await _store_fault("store_lost_answers", fault, {"lose_answers": 0}, 8.0)(fleet)


@FAULTS.register("cut_zones")
async def cut_zones(fleet: Fleet, rng: random.Random) -> Fault:
    """Cuts a zone's entry hosts off from another zone's.

    At random, the cut is one-way, and the zone is also cut off from the store.
    """
    first, second = rng.sample(fleet.spec.zones, 2)
    one_way = rng.random() < 0.3
    store_cut = rng.random() < 0.5
    cut_entries = [entry for entry in fleet.entries.values() if entry.zone == first]
    others = [entry.host for entry in fleet.entries.values() if entry.zone == second]
    for entry in cut_entries:
        cut = {"cut_to": others} if one_way else {"cut_to": others, "cut_from": others}
        await _set_cut(fleet, entry.http, cut)
    if store_cut:
        await fleet.post_json(fleet.store_address, "/fault", {"cut_zones": [first]})

    async def undo() -> None:
        for entry in cut_entries:
            await _set_cut(fleet, entry.http, {})
        await fleet.post_json(fleet.store_address, "/fault", {"cut_zones": []})

    seconds = rng.uniform(2.0, 10.0)
    target = f"{first}-{second}{' one way' if one_way else ''}{' and store' if store_cut else ''}"
    return Fault("cut_zones", target, seconds, undo)


@FAULTS.register("cut_all_zones")
async def cut_all_zones(fleet: Fleet, rng: random.Random) -> Fault:
    """Cuts all zones off from each other.

    At random, all zones but the first are also cut off from the store.
    """
    entries = list(fleet.entries.values())
    for entry in entries:
        others = [other.host for other in entries if other.zone != entry.zone]
        await _set_cut(fleet, entry.http, {"cut_to": others, "cut_from": others})
    cut_from_store = rng.random() < 0.5
    if cut_from_store:
        cut = list(fleet.spec.zones[1:])
        await fleet.post_json(fleet.store_address, "/fault", {"cut_zones": cut})

    async def undo() -> None:
        for entry in entries:
            await _set_cut(fleet, entry.http, {})
        await fleet.post_json(fleet.store_address, "/fault", {"cut_zones": []})

    target = "all apart" + (", the store with one" if cut_from_store else "")
    return Fault("cut_all_zones", target, rng.uniform(3.0, 8.0), undo)


@FAULTS.register("cut_host")
async def cut_host(fleet: Fleet, rng: random.Random) -> Fault:
    """Cuts one entry host off from all others."""
    entry = fleet.entries[_pick_host(fleet, rng)]
    others = [host for host in fleet.entries if host != entry.host]
    await _set_cut(fleet, entry.http, {"cut_to": others, "cut_from": others})

    async def undo() -> None:
        await _set_cut(fleet, entry.http, {})

    return Fault("cut_host", entry.host, rng.uniform(1.0, 6.0), undo)


async def _set_cut(fleet: Fleet, address: str, cut: dict) -> None:
    await fleet.post_json(address, "/.greengagefall/faults", cut)


@FAULTS.register("zone_out")
async def zone_out(fleet: Fleet, rng: random.Random) -> Fault:
    """Evacuates a zone and puts it back into service."""
    zone = rng.choice(fleet.spec.zones)
    fleet.start_patch({"zones": {zone: {"state": "out"}}})

    async def undo() -> None:
        fleet.start_patch({"zones": {zone: {"state": "in"}}})

    return Fault("zone_out", zone, rng.uniform(6.0, 15.0), undo)


@FAULTS.register("drain_server")
async def drain_server(fleet: Fleet, rng: random.Random) -> Fault:
    """Drains a backend server and makes it active again."""
    server = fleet.servers[_pick_server(fleet, rng)]

    def patch(state: str) -> dict:
        servers = {server.name: {"state": state}}
        return {"back_ends": {server.back_end: {"servers": servers}}}

    fleet.start_patch(patch("draining"))

    async def undo() -> None:
        fleet.start_patch(patch("active"))

    return Fault("drain_server", server.name, rng.uniform(4.0, 10.0), undo)


@FAULTS.register("racing_patches")
async def racing_patches(fleet: Fleet, rng: random.Random) -> Fault:
    """Applies three patches concurrently, as from three operators."""
    for _ in range(3):
        fleet.start_patch({"limits": {"caller_in_flight": rng.randint(200, 1000)}})
    return Fault("racing_patches", "limits", 1.0, _no_undo)


def _server_fault(kind: str, draw_fault: Callable[[random.Random], dict], no_fault: dict):
    async def inject(fleet: Fleet, rng: random.Random) -> Fault:
        server = fleet.servers[_pick_server(fleet, rng)]
        await _set_server_fault(fleet, server.address, draw_fault(rng))

        async def undo() -> None:
            await _set_server_fault(fleet, server.address, no_fault)

        return Fault(kind, server.name, rng.uniform(2.0, 8.0), undo)

    return inject


async def _set_server_fault(fleet: Fleet, address: str, fault: dict) -> None:
    await fleet.post_json(address, "/fault", fault)


FAULTS.register("slow_server")(
    _server_fault(
        "slow_server",
        lambda rng: {"slow_factor": rng.uniform(3.0, 20.0)},
        {"slow_factor": 1.0},
    )
)
FAULTS.register("crossed_answers")(
    _server_fault(
        "crossed_answers",
        lambda rng: {"crossed_answers": rng.randint(1, 3)},
        {"crossed_answers": 0},
    )
)
FAULTS.register("late_answers")(
    _server_fault(
        "late_answers",
        lambda rng: {"late_answers": rng.randint(1, 5), "late_s": rng.uniform(0.5, 4.0)},
        {"late_answers": 0, "late_s": 0.0},
    )
)


@FAULTS.register("cold_server")
async def cold_server(fleet: Fleet, rng: random.Random) -> Fault:
    """Makes a backend server cold again, announced or not at random."""
    server = fleet.servers[_pick_server(fleet, rng)]
    seconds = rng.uniform(2.0, 5.0)
    fault = {"cold_s": seconds, "announce": rng.random() < 0.5}
    await _set_server_fault(fleet, server.address, fault)
    return Fault("cold_server", server.name, seconds, _no_undo)


FAULTS.register("shedding_server")(
    _server_fault("shedding_server", lambda rng: {"shedding": True}, {"shedding": False})
)
