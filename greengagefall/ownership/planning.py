"""Decides which server should own which keys.

It answers two loads: servers that can take no keys any more, whose runs go to the others at once,
and runs that are busier than their server can bear, which are cut so that several servers share
them. All of it is arithmetic on records.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from greengagefall.ownership.model import LAST_KEY, NOBODY, Assignment, KeyRun, Life

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from greengagefall.ownership.key_load import KeyRates

KEY_COUNT = LAST_KEY + 1
# Utilisation above which a server gives keys away, if it is also above the others.
FULL_UTILISATION = 0.6
# Excess over the mean utilisation that a move has to find.
EXCESS_FACTOR = 1.3
# Utilisation that every key has at least, so that unknown load is spread too.
IDLE_UTILISATION = 0.1
MAX_MOVES_PER_PLAN = 6
# Largest share of a server's capacity in one run of a server that is gone.
ORPHAN_SHARE = 0.3
# How much more a server has to bear for a single busy key to move there.
RELOCATION_GAIN = 1.25
# A part of a run may weigh this much more than wanted, since keys are not divisible.
CUT_TOLERANCE = 1.5


class ServerCapacity(NamedTuple):
    """A server that may own keys.

    Attributes:
        life: Which life of which server.
        zone: Its availability zone.
        slots: Requests that it runs at once.
        service_time_s: How long it takes for a request.
        bound_per_s: Most requests a second that it bears, such as while it is cold.
    """

    life: Life
    zone: str
    slots: int
    service_time_s: float
    bound_per_s: float

    @property
    def capacity_per_s(self) -> float:
        """Requests per second with all slots busy."""
        return min(self.bound_per_s, self.slots / self.service_time_s)


class KeyMove(NamedTuple):
    """Keys that are to change their owner; ``source`` is ``NOBODY`` for unowned ones."""

    first: int
    last: int
    source: Life
    target: Life


class ServiceView(NamedTuple):
    """What a plan for one service rests on.

    Attributes:
        runs: Its present runs.
        servers: Servers that may own keys.
        rates: Requests per second by key.
    """

    runs: tuple[KeyRun, ...]
    servers: list[ServerCapacity]
    rates: KeyRates


class _Balance:
    """Utilisation of servers while a plan grows."""

    def __init__(self, view: ServiceView) -> None:
        self._rates = view.rates
        self.servers = {server.life: server for server in view.servers}
        total = sum(server.capacity_per_s for server in view.servers)
        self._idle_per_key = IDLE_UTILISATION * total / KEY_COUNT
        self._load = dict.fromkeys(self.servers, 0.0)
        for run in view.runs:
            if run.owner in self._load:
                self._load[run.owner] += self.weight(run.first, run.last)

    def weight(self, first: int, last: int) -> float:
        """Returns the requests per second of a range, with a little for unknown load."""
        return self._rates.rate(first, last) + self._idle_per_key * (last - first + 1)

    def utilisation(self, life: Life) -> float:
        """Returns the load of a server as a share of its capacity."""
        return self._load[life] / self.servers[life].capacity_per_s

    def mean(self) -> float:
        """Returns the load of all servers as a share of their capacity."""
        capacity = sum(server.capacity_per_s for server in self.servers.values())
        return sum(self._load.values()) / capacity

    def least(self, without: Iterable[Life] = ()) -> Life:
        """Returns the least utilised server."""
        left_out = set(without)
        names = [life for life in self._load if life not in left_out] or list(self._load)
        return min(names, key=lambda life: (self.utilisation(life), life))

    def room(self, life: Life, level: float) -> float:
        """Returns the requests per second that a server bears up to a utilisation."""
        return level * self.servers[life].capacity_per_s - self._load[life]

    def move(self, first: int, last: int, source: Life, target: Life) -> KeyMove:
        """Notes a move and returns it."""
        weight = self.weight(first, last)
        if source in self._load:
            self._load[source] -= weight
        self._load[target] += weight
        return KeyMove(first, last, source, target)


def plan_moves(view: ServiceView) -> list[KeyMove]:
    """Returns the moves that should begin now, the most urgent first."""
    if not view.servers:
        return []
    balance = _Balance(view)
    if not view.runs:
        return _first_owners(view)
    orphans = _place_orphans(view, balance)
    if orphans:
        return orphans
    return _spread(view, balance)


def _first_owners(view: ServiceView) -> list[KeyMove]:
    """Gives each server a run in proportion to its slots."""
    servers = sorted(view.servers, key=lambda server: server.life)
    total = sum(server.slots for server in servers)
    moves = []
    first = 0
    slots = 0
    for server in servers:
        slots += server.slots
        last = KEY_COUNT * slots // total - 1
        if last >= first:
            moves.append(KeyMove(first, last, NOBODY, server.life))
        first = last + 1
    return moves


def _place_orphans(view: ServiceView, balance: _Balance) -> list[KeyMove]:
    """Moves runs whose owner may own no keys, and keys without an owner."""
    moves = []
    for first, last, source in _orphans(view, balance.servers):
        start = first
        while start <= last:
            target = balance.least()
            share = ORPHAN_SHARE * balance.servers[target].capacity_per_s
            end = _prefix_end(view.rates, balance, start, last, share)
            moves.append(balance.move(start, end, source, target))
            start = end + 1
    return moves


def _orphans(view: ServiceView, usable: Mapping[Life, object]) -> list[tuple[int, int, Life]]:
    found = []
    expected = 0
    for run in view.runs:
        if run.first > expected:
            found.append((expected, run.first - 1, NOBODY))
        if run.owner not in usable and not run.moving:
            found.append((run.first, run.last, run.owner))
        expected = run.last + 1
    if expected <= LAST_KEY:
        found.append((expected, LAST_KEY, NOBODY))
    return found


def _prefix_end(rates: KeyRates, balance: _Balance, first: int, last: int, wanted: float) -> int:
    """Returns the end of a prefix that weighs about ``wanted``; at least one key long."""
    if balance.weight(first, last) <= wanted:
        return last
    low, high = first, last
    while low < high:
        middle = (low + high) // 2
        if balance.weight(first, middle) < wanted:
            low = middle + 1
        else:
            high = middle
    return low


def _spread(view: ServiceView, balance: _Balance) -> list[KeyMove]:
    """Cuts runs of servers that are too full, and gives idle servers a share."""
    moves: list[KeyMove] = []
    busy = {run.owner for run in view.runs if run.moving}
    busy |= {run.source for run in view.runs if run.moving}
    owners = {run.owner for run in view.runs}
    for life in sorted(balance.servers):
        if life not in owners and life not in busy and len(moves) < MAX_MOVES_PER_PLAN:
            source = _fullest(balance, busy)
            if source is not None:
                _give(view, balance, source, life, moves, busy)
    while len(moves) < MAX_MOVES_PER_PLAN:
        source = _fullest(balance, busy)
        if source is None:
            break
        level = balance.mean()
        if balance.utilisation(source) < max(FULL_UTILISATION, EXCESS_FACTOR * level):
            break
        target = balance.least(busy)
        if target not in busy and _give(view, balance, source, target, moves, busy):
            continue
        if not _relocate(view, balance, source, moves, busy):
            busy.add(source)
    return moves


def _fullest(balance: _Balance, busy: set[Life]) -> Life | None:
    names = [life for life in balance.servers if life not in busy]
    return max(names, key=balance.utilisation, default=None)


def _give(
    view: ServiceView,
    balance: _Balance,
    source: Life,
    target: Life,
    moves: list[KeyMove],
    busy: set[Life],
) -> bool:
    """Plans a move that brings two servers closer together; returns whether there is one."""
    level = _common_level(balance, source, target)
    wanted = min(balance.room(target, level), -balance.room(source, level))
    runs = [run for run in view.runs if run.owner == source and not run.moving]
    if wanted <= 0 or not runs:
        return False
    runs.sort(key=lambda run: -balance.weight(run.first, run.last))
    for run in runs:
        cut = _cut(view.rates, balance, run, wanted)
        if cut is None:
            continue
        moves.append(balance.move(*cut, source, target))
        busy.add(source)
        busy.add(target)
        return True
    return False


def _relocate(
    view: ServiceView, balance: _Balance, source: Life, moves: list[KeyMove], busy: set[Life]
) -> bool:
    """Moves a key that alone is too busy for its server to the server that bears most.

    No other server can share a key, so the fastest one serves most of its requests.
    """
    runs = [run for run in view.runs if run.owner == source and not run.moving]
    if len(runs) != 1 or runs[0].size != 1:
        return False
    present = balance.servers[source].capacity_per_s
    others = [life for life in balance.servers if life not in busy and life != source]
    if not others:
        return False
    best = max(others, key=lambda life: (balance.servers[life].capacity_per_s, life))
    if balance.servers[best].capacity_per_s < RELOCATION_GAIN * present:
        return False
    moves.append(balance.move(runs[0].first, runs[0].last, source, best))
    busy.add(source)
    busy.add(best)
    return True


def _common_level(balance: _Balance, source: Life, target: Life) -> float:
    pair = (source, target)
    capacity = sum(balance.servers[life].capacity_per_s for life in pair)
    load = sum(balance.utilisation(life) * balance.servers[life].capacity_per_s for life in pair)
    return load / capacity


def _cut(rates: KeyRates, balance: _Balance, run: KeyRun, wanted: float) -> tuple[int, int] | None:
    """Returns the part of a run that should go: its prefix, or all behind a prefix."""
    if run.size < 2:
        # A whole run of one key goes only if it fits.
        fits = balance.weight(run.first, run.last) <= wanted
        return (run.first, run.last) if fits else None
    weight = balance.weight(run.first, run.last)
    if weight <= wanted:
        return run.first, run.last
    end = min(_prefix_end(rates, balance, run.first, run.last, wanted), run.last - 1)
    moved = balance.weight(run.first, end)
    if moved <= CUT_TOLERANCE * wanted:
        return run.first, end
    # A single key outweighs the share: it stays alone with its left neighbours.
    if end + 1 <= run.last:
        return end + 1, run.last
    return None


def apply_moves(assignment: Assignment, service: str, moves: Iterable[KeyMove]) -> Assignment:
    """Returns the assignment with some keys on their way to other owners.

    Each move gets a fence of its own, above all earlier ones.
    """
    runs = list(assignment.runs.get(service, ()))
    fence = assignment.last_fence
    for move in moves:
        fence += 1
        runs = _replace(runs, move, fence)
    by_service = {**assignment.runs, service: tuple(sorted(runs))}
    return assignment._replace(last_fence=fence, runs=by_service)


def _replace(runs: list[KeyRun], move: KeyMove, fence: int) -> list[KeyRun]:
    kept = []
    for run in runs:
        if run.last < move.first or move.last < run.first:
            kept.append(run)
            continue
        if run.first < move.first:
            kept.append(run._replace(last=move.first - 1))
        if move.last < run.last:
            kept.append(run._replace(first=move.last + 1))
    kept.append(KeyRun(move.first, move.last, move.target, fence, move.source))
    return kept


def joined(assignment: Assignment, service: str) -> Assignment:
    """Joins neighbouring settled runs of one owner into one with a fence above all.

    A server takes a grant with a higher fence over keys that it holds already.
    """
    runs: list[KeyRun] = []
    fence = assignment.last_fence
    for run in assignment.runs.get(service, ()):
        before = runs[-1] if runs else None
        if before is None or run.moving or before.moving or before.owner != run.owner:
            runs.append(run)
            continue
        fence += 1
        runs[-1] = KeyRun(before.first, run.last, run.owner, fence)
    if fence == assignment.last_fence:
        return assignment
    return assignment._replace(last_fence=fence, runs={**assignment.runs, service: tuple(runs)})
