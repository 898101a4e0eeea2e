"""Measures message traffic and lost dispatch rights in a zone of the design size.

    python -m greengagefall.bench.measure_rights --hosts 87 --servers 260 --seed 0

The measurement runs the real witnesses and candidates; hosts, messages and clocks are simulated.
"""

from __future__ import annotations

import heapq
import random
import statistics
from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

import click

from greengagefall.bench.rights_model_hosts import DriftingClock
from greengagefall.coordination import epochs
from greengagefall.coordination.candidate import TICK_S, Candidate, OutgoingRequest
from greengagefall.coordination.model import Member
from greengagefall.coordination.ring import candidates, neighbours
from greengagefall.coordination.witness import Witness
from greengagefall.protocol import codec

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagefall.protocol.messages import Endorsed

SAMPLE_INTERVAL_S = 0.01
SETTLE_DURATION_S = 3.0
TRAFFIC_DURATION_S = 5.0
EPISODE_DURATION_S = 6.0
RESTART_DELAY_S = 1.0
EPOCH_WRITE_DELAY_S = 0.3
MAX_SPREAD_DELAY_S = 0.1
REFETCH_DELAY_S = 0.4
MIN_DELAY_S, MAX_DELAY_S = 0.0002, 0.002


class Delays(NamedTuple):
    """Delay spikes and loss of messages.

    Attributes:
        share: Share of messages with a delay spike.
        longest_s: Maximum delay of messages with a delay spike.
        loss: Share of messages that are lost.
    """

    share: float = 0.0
    longest_s: float = 0.0
    loss: float = 0.0


class Gap(NamedTuple):
    """A period in which no host held the right for a server.

    Attributes:
        server_key: Key of the server.
        holder: Host that held the right before.
        start_s: Start of the period in true time.
        duration_s: Duration of the period.
    """

    server_key: str
    holder: str
    start_s: float
    duration_s: float


class ZoneHost:
    """Simulated entry host of the zone."""

    def __init__(self, zone: ZoneModel, name: str) -> None:
        self.name = name
        self.clock = DriftingClock(zone, zone.rng)
        self.incarnation = 0
        self.paused_until_s = 0.0
        self.start(zone)

    def start(self, zone: ZoneModel) -> None:
        """Starts a new incarnation without the state of the previous one."""
        self.alive = True
        self.incarnation += 1
        self.witness = Witness(self.name, str(self.incarnation), self.clock)
        rng = random.Random(zone.rng.random())
        self.candidate = Candidate(self.witness, self.clock, rng)
        self.candidate.set_servers(zone.server_keys)

    def member(self) -> Member:
        """Returns the host's entry for a members record."""
        return Member(self.name, str(self.incarnation), "", "", False)

    def holds(self, server_key: str) -> bool:
        """Returns whether the host may send to the server now."""
        right = self.candidate.right(server_key)
        return self.alive and right is not None and right.may_send()


class ZoneModel:
    """Simulates the hosts of a zone and their messages in true time."""

    def __init__(self, seed: int, hosts: int, servers: int) -> None:
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.delays = Delays()
        self.server_keys = [f"proofdesk/proofdesk-{number}" for number in range(servers)]
        self.holders: dict[str, str] = {}
        self.missing_since_s: dict[str, float] = {}
        self.gaps: list[Gap] = []
        self.frames: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self.links: set[tuple[str, str]] = set()
        self._events: list[tuple] = []
        self._sequence = 0
        self.hosts = {f"entry-{n:03d}": ZoneHost(self, f"entry-{n:03d}") for n in range(hosts)}
        members = [host.member() for host in self.hosts.values()]
        self.record = epochs.first_members_record("ee-north-a", members)
        for host in self.hosts.values():
            host.candidate.set_members(self.record)
            self.at(self.rng.uniform(0, TICK_S), self._tick, host)
        self.at(0.0, self._sample)

    def at(self, delay_s: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedules ``callback`` after a delay in true time."""
        self._sequence += 1
        heapq.heappush(self._events, (self.now_s + delay_s, self._sequence, callback, args))

    def run(self, duration_s: float) -> None:
        """Runs the simulation for the given true time in seconds."""
        end_s = self.now_s + duration_s
        while self._events[0][0] <= end_s:
            self.now_s, _, callback, args = heapq.heappop(self._events)
            callback(*args)
        self.now_s = end_s

    def restart(self, host: ZoneHost) -> None:
        """Kills a host, restarts it after ``RESTART_DELAY_S`` and writes the next epoch with it."""
        host.alive = False
        self.at(RESTART_DELAY_S, host.start, self)
        self.at(RESTART_DELAY_S + EPOCH_WRITE_DELAY_S, self._write_epoch, host)

    def _write_epoch(self, host: ZoneHost) -> None:
        self.record = epochs.next_members_record(self.record, updated=[host.member()])
        for other in self.hosts.values():
            refetch_s = REFETCH_DELAY_S if self.rng.random() < self.delays.loss else 0.0
            self.at(self.rng.uniform(0, MAX_SPREAD_DELAY_S) + refetch_s, self._take_record, other)

    def _take_record(self, host: ZoneHost) -> None:
        if host.paused_until_s > self.now_s:
            self.at(host.paused_until_s - self.now_s, self._take_record, host)
            return
        host.candidate.set_members(self.record)

    def _tick(self, host: ZoneHost) -> None:
        if host.paused_until_s > self.now_s:
            self.at(host.paused_until_s - self.now_s, self._tick, host)
            return
        self.at(TICK_S, self._tick, host)
        if not host.alive:
            return
        for item in host.candidate.build_requests({}):
            self._send(host.name, item.member.host, item.request, self._on_request, host, item)

    def _send(
        self, sender: str, receiver: str, message: Any, callback: Callable[..., None], *args: Any
    ) -> None:
        self.frames[sender] += 1
        self.bytes[sender] += len(codec.encode(message))
        self.links.add((sender, receiver))
        if self.rng.random() < self.delays.loss:
            return
        has_spike = self.rng.random() < self.delays.share
        max_delay_s = self.delays.longest_s if has_spike else MAX_DELAY_S
        delay_s = self.rng.uniform(MIN_DELAY_S, max_delay_s)
        self.at(delay_s, self._deliver, self.hosts[receiver], callback, args)

    def _deliver(self, host: ZoneHost, callback: Callable[..., None], args: tuple) -> None:
        if host.paused_until_s > self.now_s:
            self.at(host.paused_until_s - self.now_s, self._deliver, host, callback, args)
        elif host.alive:
            callback(host, *args)

    def _on_request(self, host: ZoneHost, requester: ZoneHost, item: OutgoingRequest) -> None:
        reply = host.witness.handle(item.request)
        reply_arguments = (requester.incarnation, reply, item.sent_at_s)
        self._send(host.name, requester.name, reply, self._on_reply, *reply_arguments)

    def _on_reply(
        self, host: ZoneHost, incarnation: int, reply: Endorsed, sent_at_s: float
    ) -> None:
        if host.incarnation == incarnation:
            host.candidate.on_reply(reply, sent_at_s)

    def _sample(self) -> None:
        self.at(SAMPLE_INTERVAL_S, self._sample)
        for key in self.server_keys:
            holder = self.holders.get(key, "")
            is_held = bool(holder) and self.hosts[holder].holds(key)
            if not is_held or key in self.missing_since_s:
                self._find_holder(key, holder)

    def _find_holder(self, key: str, holder: str) -> None:
        missing_since_s = self.missing_since_s.setdefault(key, self.now_s)
        for member in candidates(self.record.members, key):
            if not self.hosts[member.host].holds(key):
                continue
            self.gaps.append(Gap(key, holder, missing_since_s, self.now_s - missing_since_s))
            self.holders[key] = member.host
            del self.missing_since_s[key]
            return


def describe_gaps(name: str, gaps: list[Gap], episodes: int) -> str:
    """Returns a line of text about the periods without a right."""
    if not gaps:
        return f"{name}: {episodes} episodes, no time without a right"
    durations_s = [gap.duration_s for gap in gaps]
    return (
        f"{name}: {episodes} episodes, {len(gaps)} times without a right, "
        f"p50 {statistics.median(durations_s):.2f} s, max {max(durations_s):.2f} s"
    )


def measure_traffic(zone: ZoneModel) -> list[str]:
    """Measures frames and bytes sent without faults, and the time until all rights are held."""
    zone.run(SETTLE_DURATION_S)
    startup_s = max(gap.duration_s for gap in zone.gaps)
    zone.gaps.clear()
    zone.frames.clear()
    zone.bytes.clear()
    zone.run(TRAFFIC_DURATION_S)
    peers = Counter(sender for sender, _ in zone.links)
    max_neighbours = max(len(neighbours(zone.record.members, host)) for host in zone.hosts)
    frames = [zone.frames[host] / TRAFFIC_DURATION_S for host in zone.hosts]
    sizes = [zone.bytes[host] / TRAFFIC_DURATION_S for host in zone.hosts]
    dispatched = Counter(zone.holders.values())
    return [
        f"peers per host max {max(peers.values())} (neighbours max {max_neighbours})",
        f"frames sent a second per host p50 {statistics.median(frames):.1f}, max {max(frames):.1f}",
        f"bytes sent a second per host p50 {statistics.median(sizes):.0f}, max {max(sizes):.0f}",
        f"servers per dispatcher max {max(dispatched.values())}, "
        f"mean {len(zone.server_keys) / len(zone.hosts):.1f}",
        f"all rights held {startup_s:.2f} s after start; "
        f"times without a right in the next {TRAFFIC_DURATION_S:.0f} s: {len(zone.gaps)}",
    ]


def measure_restarts(zone: ZoneModel, episodes: int) -> list[str]:
    """Kills and restarts one dispatching host per episode."""
    host_gaps: list[Gap] = []
    other_gaps: list[Gap] = []
    for _ in range(episodes):
        zone.gaps.clear()
        dispatching = sorted(set(zone.holders.values()))
        host = zone.hosts[zone.rng.choice(dispatching)]
        zone.restart(host)
        zone.run(EPISODE_DURATION_S)
        host_gaps += [gap for gap in zone.gaps if gap.holder == host.name]
        other_gaps += [gap for gap in zone.gaps if gap.holder != host.name]
    return [
        describe_gaps("after a kill, servers of the killed host", host_gaps, episodes),
        describe_gaps(
            "restart with an epoch change, servers of all other hosts", other_gaps, episodes
        ),
    ]


def measure_planned_stops(zone: ZoneModel, episodes: int) -> str:
    """Makes one dispatching host per episode resign and restart."""
    host_gaps: list[Gap] = []
    for _ in range(episodes):
        zone.gaps.clear()
        host = zone.hosts[zone.rng.choice(sorted(set(zone.holders.values())))]
        host.candidate.resign()
        zone.run(SETTLE_DURATION_S)
        host_gaps += [gap for gap in zone.gaps if gap.holder == host.name]
        zone.restart(host)
        zone.run(EPISODE_DURATION_S)
    return describe_gaps("after a planned stop, servers of the stopping host", host_gaps, episodes)


def measure_pauses(zone: ZoneModel, episodes: int, pause_s: float) -> str:
    """Pauses one dispatching host per episode."""
    lost = 0
    held = 0
    for _ in range(episodes):
        zone.gaps.clear()
        host = zone.hosts[zone.rng.choice(sorted(set(zone.holders.values())))]
        held += sum(name == host.name for name in zone.holders.values())
        host.paused_until_s = zone.now_s + pause_s
        zone.run(pause_s + SETTLE_DURATION_S)
        lost += len(zone.gaps)
    return f"pause of {pause_s:.1f} s: {lost} rights lost of {held} held by the paused hosts"


def measure_delays(zone: ZoneModel, delays: Delays, duration_s: float) -> str:
    """Delays and drops messages for ``duration_s`` and counts the lost rights."""
    zone.gaps.clear()
    zone.delays = delays
    zone.run(duration_s)
    zone.delays = Delays()
    zone.run(SETTLE_DURATION_S)
    line = describe_gaps(f"{delays}", zone.gaps, 1)
    server_hours = duration_s * len(zone.server_keys) / 3600
    return f"{line}; {len(zone.gaps) / server_hours:.1f} lost per server and hour"


@click.command()
@click.option("--hosts", default=87)
@click.option("--servers", default=260)
@click.option("--seed", default=0)
@click.option("--episodes", default=15)
def main(hosts: int, servers: int, seed: int, episodes: int) -> None:
    """Prints the figures."""
    zone = ZoneModel(seed, hosts, servers)
    for line in measure_traffic(zone):
        click.echo(line)
    for line in measure_restarts(zone, episodes):
        click.echo(line)
    click.echo(measure_planned_stops(zone, episodes))
    for pause_s in (0.3, 0.5, 0.8, 1.5):
        click.echo(measure_pauses(zone, episodes, pause_s))
    spikes = [
        Delays(0.2, 0.3),
        Delays(0.1, 1.0),
        Delays(0.3, 2.0),
        Delays(loss=0.1),
        Delays(loss=0.3),
    ]
    for delays in spikes:
        click.echo(measure_delays(zone, delays, 10.0))


if __name__ == "__main__":
    main()
