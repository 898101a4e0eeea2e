"""Decides which server should own which keys.

It answers two loads: servers that can take no keys any more, whose runs go to the others at once,
and servers with more load than ``shares`` gives them, whose runs are cut so that several servers
share them. All of it is arithmetic on records.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from greengagefall.ownership.model import (
    LAST_KEY,
    NO_INCARNATION,
    Assignment,
    KeyRange,
    ServerIncarnation,
)
from greengagefall.ownership.shares import target_loads

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Iterable, Iterator, Mapping

    from greengagefall.ownership.key_load import KeyRates
    from greengagefall.ownership.shares import ServerCapacity

KEY_COUNT = LAST_KEY + 1
# Utilisation above which a server gives keys away at once, if it is also above the others.
FULL_UTILISATION = 0.6
# Excess over the mean utilisation that such a move has to find.
EXCESS_FACTOR = 1.3
# Load beyond its share, as part of its capacity, from which on any server gives keys away.
MIN_EXCESS = 0.2
# Utilisation that every key has at least, so that unknown load is spread too.
BASE_UTILISATION = 0.1
MIN_MOVE_LIMIT = 6
# Part of the servers that may give keys away in one plan.
MOVING_SHARE = 0.1
# Part of an excess that a neighbour has to take for the keys to go there.
NEIGHBOUR_SHARE = 0.5
# Part of its share that a new server gets from one other, and of that one's load at most.
NEW_SERVER_SHARE = 0.5
# Largest share of a server's capacity in one run of a server that is gone.
ORPHAN_SHARE = 0.3
# How much more a server has to bear for a single busy key to move there.
MIN_RELOCATION_GAIN = 1.25
# A part of a run may weigh this much more than wanted, since keys are not divisible.
CUT_TOLERANCE = 1.5


class KeyMove(NamedTuple):
    """Keys that are to change their owner; ``source`` is ``NO_INCARNATION`` for unowned ones."""

    first: int
    last: int
    source: ServerIncarnation
    target: ServerIncarnation


class PlanInput(NamedTuple):
    """What a plan for one service rests on.

    Attributes:
        key_ranges: Its present runs.
        servers: Servers that may own keys.
        rates: Requests per second by key.
    """

    key_ranges: tuple[KeyRange, ...]
    servers: list[ServerCapacity]
    rates: KeyRates


class _Balance:
    """Loads of servers and their shares while a plan grows."""

    def __init__(self, view: PlanInput) -> None:
        self._rates = view.rates
        self.servers = {server.incarnation: server for server in view.servers}
        total = sum(server.capacity_per_s for server in view.servers)
        self._idle_per_key = BASE_UTILISATION * total / KEY_COUNT
        self._load = dict.fromkeys(self.servers, 0.0)
        for run in view.key_ranges:
            if run.owner in self._load:
                self._load[run.owner] += self.weight(run.first, run.last)
        self._targets = target_loads(view.servers, self.weight(0, LAST_KEY))

    def weight(self, first: int, last: int) -> float:
        """Returns the requests per second of a range, with a little for unknown load."""
        return self._rates.rate(first, last) + self._idle_per_key * (last - first + 1)

    def room(self, life: ServerIncarnation) -> float:
        """Returns the requests per second that a server lacks to its share; below 0 for excess."""
        return self._targets[life] - self._load[life]

    def utilisation(self, life: ServerIncarnation) -> float:
        """Returns the load of a server as a share of its capacity."""
        return self._load[life] / self.servers[life].capacity_per_s

    def mean(self) -> float:
        """Returns the load of all servers as a share of their capacity."""
        capacity = sum(server.capacity_per_s for server in self.servers.values())
        return sum(self._load.values()) / capacity

    def first_share(self, source: ServerIncarnation, target: ServerIncarnation) -> float:
        """Returns the requests per second that a server without keys should get from another."""
        return NEW_SERVER_SHARE * min(self.room(target), self._load[source])

    def excess(self, life: ServerIncarnation) -> float:
        """Returns the load of a server beyond its share, as part of its capacity."""
        return -self.room(life) / self.servers[life].capacity_per_s

    def roomiest(self, without: Container[ServerIncarnation] = ()) -> ServerIncarnation | None:
        """Returns the server that lacks most to its share, for its capacity; None without one."""
        names = [life for life in self._load if life not in without]
        return min(names, key=lambda life: (self.excess(life), life), default=None)

    def move(
        self, first: int, last: int, source: ServerIncarnation, target: ServerIncarnation
    ) -> KeyMove:
        """Notes a move and returns it."""
        weight = self.weight(first, last)
        if source in self._load:
            self._load[source] -= weight
        self._load[target] += weight
        return KeyMove(first, last, source, target)


def plan_moves(view: PlanInput, *, rebalance: bool = True) -> list[KeyMove]:
    """Returns the moves that should begin now, the most urgent first.

    Args:
        view: What the plan rests on.
        rebalance: Whether servers that are not full may give keys away too.
    """
    if not view.servers:
        return []
    balance = _Balance(view)
    if not view.key_ranges:
        return _first_owners(view)
    orphans = _place_orphans(view, balance)
    if orphans:
        return orphans
    plan = _Plan(view, balance)
    plan.serve_new()
    plan.relieve_full()
    if rebalance:
        plan.shift_excess()
    return plan.moves


def _first_owners(view: PlanInput) -> list[KeyMove]:
    """Gives each server a run in proportion to its slots."""
    servers = sorted(view.servers, key=lambda server: server.incarnation)
    total = sum(server.slots for server in servers)
    moves = []
    first = 0
    slots = 0
    for server in servers:
        slots += server.slots
        last = KEY_COUNT * slots // total - 1
        if last >= first:
            moves.append(KeyMove(first, last, NO_INCARNATION, server.incarnation))
        first = last + 1
    return moves


def _place_orphans(view: PlanInput, balance: _Balance) -> list[KeyMove]:
    """Moves runs whose owner may own no keys, and keys without an owner."""
    moves = []
    for first, last, source in _orphans(view, balance.servers):
        start = first
        while start <= last:
            target = balance.roomiest()
            share = ORPHAN_SHARE * balance.servers[target].capacity_per_s
            end = _prefix_end(view.rates, balance, start, last, share)
            moves.append(balance.move(start, end, source, target))
            start = end + 1
    return moves


def _orphans(
    view: PlanInput, usable: Mapping[ServerIncarnation, object]
) -> list[tuple[int, int, ServerIncarnation]]:
    found = []
    expected = 0
    for run in view.key_ranges:
        if run.first > expected:
            found.append((expected, run.first - 1, NO_INCARNATION))
        if run.owner not in usable and not run.moving:
            found.append((run.first, run.last, run.owner))
        expected = run.last + 1
    if expected <= LAST_KEY:
        found.append((expected, LAST_KEY, NO_INCARNATION))
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


class _Plan:
    """Moves of one plan; each server takes part in one of them at most.

    Attributes:
        moves: The moves so far.
    """

    def __init__(self, view: PlanInput, balance: _Balance) -> None:
        self.moves: list[KeyMove] = []
        self._view = view
        self._balance = balance
        self._busy = {run.owner for run in view.key_ranges if run.moving}
        self._busy |= {run.source for run in view.key_ranges if run.moving}
        self._most = max(MIN_MOVE_LIMIT, int(MOVING_SHARE * len(balance.servers)))

    def serve_new(self) -> None:
        """Gives servers without keys a part of their share."""
        balance = self._balance
        owners = {run.owner for run in self._view.key_ranges}
        for life in sorted(balance.servers):
            if life in owners or life in self._busy or self._is_long():
                continue
            source = next(self._descending(balance.excess), None)
            if source is not None:
                self._give(source, life, balance.first_share(source, life))

    def relieve_full(self) -> None:
        """Cuts runs of servers that are too full, for the servers with most room."""
        balance = self._balance
        full = max(FULL_UTILISATION, EXCESS_FACTOR * balance.mean())
        for source in self._descending(balance.utilisation):
            if self._is_long() or balance.utilisation(source) < full:
                return
            if not self._give_roomiest(source):
                self._relocate(source)

    def shift_excess(self) -> None:
        """Moves what is beyond the shares, to owners of neighbouring keys if they have room."""
        balance = self._balance
        for source in self._descending(balance.excess):
            if self._is_long() or balance.excess(source) < MIN_EXCESS:
                return
            if not self._shift(source):
                self._give_roomiest(source)

    def _is_long(self) -> bool:
        return len(self.moves) >= self._most

    def _descending(
        self, measure: Callable[[ServerIncarnation], float]
    ) -> Iterator[ServerIncarnation]:
        """Yields the servers that take part in no move yet; moves of others do not reorder them."""
        for life in sorted(self._balance.servers, key=measure, reverse=True):
            if life not in self._busy:
                yield life

    def _add(
        self, first: int, last: int, source: ServerIncarnation, target: ServerIncarnation
    ) -> None:
        self.moves.append(self._balance.move(first, last, source, target))
        self._busy.add(source)
        self._busy.add(target)

    def _settled_runs(self, owner: ServerIncarnation) -> list[KeyRange]:
        return [run for run in self._view.key_ranges if run.owner == owner and not run.moving]

    def _give_roomiest(self, source: ServerIncarnation) -> bool:
        """Adds a move to the server with most room; returns whether there is one."""
        balance = self._balance
        target = balance.roomiest(self._busy)
        if target is None:
            return False
        return self._give(source, target, min(balance.room(target), -balance.room(source)))

    def _give(self, source: ServerIncarnation, target: ServerIncarnation, wanted: float) -> bool:
        """Adds a move of about ``wanted`` requests per second; returns whether there is one."""
        balance = self._balance
        if wanted <= 0:
            return False
        runs = self._settled_runs(source)
        runs.sort(key=lambda run: -balance.weight(run.first, run.last))
        for run in runs:
            cut = _cut(self._view.rates, balance, run, wanted)
            if cut is not None:
                self._add(*cut, source, target)
                return True
        return False

    def _shift(self, source: ServerIncarnation) -> bool:
        """Adds a move to the owner of neighbouring keys, which makes no run more.

        Returns:
            Whether there is one that takes enough.
        """
        balance = self._balance
        excess = -balance.room(source)
        for index, run in enumerate(self._view.key_ranges):
            if run.owner != source or run.moving:
                continue
            for neighbour in _neighbours(self._view.key_ranges, index):
                target = neighbour.owner
                if target in self._busy or target not in balance.servers:
                    continue
                wanted = min(balance.room(target), excess)
                if wanted < NEIGHBOUR_SHARE * excess:
                    continue
                at_start = neighbour.last < run.first
                part = _edge(self._view.rates, balance, run, wanted, at_start=at_start)
                if part is None or balance.weight(*part) < NEIGHBOUR_SHARE * wanted:
                    continue
                self._add(*part, source, target)
                return True
        return False

    def _relocate(self, source: ServerIncarnation) -> None:
        """Moves a key that alone is too busy for its server to the server that bears most.

        No other server can share a key, so the fastest one serves most of its requests.
        """
        balance = self._balance
        runs = self._settled_runs(source)
        others = [life for life in balance.servers if life not in self._busy and life != source]
        if len(runs) != 1 or runs[0].size != 1 or not others:
            return
        best = max(others, key=lambda life: (balance.servers[life].capacity_per_s, life))
        present = balance.servers[source].capacity_per_s
        if balance.servers[best].capacity_per_s >= MIN_RELOCATION_GAIN * present:
            self._add(runs[0].first, runs[0].last, source, best)


def _neighbours(runs: tuple[KeyRange, ...], index: int) -> list[KeyRange]:
    """Returns the settled runs of other owners right before and after a run."""
    run = runs[index]
    beside = runs[max(0, index - 1) : index] + runs[index + 1 : index + 2]
    return [
        other
        for other in beside
        if not other.moving
        and other.owner != run.owner
        and (other.last + 1 == run.first or run.last + 1 == other.first)
    ]


def _edge(
    rates: KeyRates, balance: _Balance, run: KeyRange, wanted: float, *, at_start: bool
) -> tuple[int, int] | None:
    """Returns the keys at one edge of a run that weigh about ``wanted``, but not all of it."""
    if run.size < 2:
        return None
    if at_start:
        end = min(_prefix_end(rates, balance, run.first, run.last, wanted), run.last - 1)
        part = (run.first, end)
    else:
        rest = balance.weight(run.first, run.last) - wanted
        end = _prefix_end(rates, balance, run.first, run.last, rest)
        part = (min(end, run.last - 1) + 1, run.last)
    fits = balance.weight(*part) <= CUT_TOLERANCE * wanted
    return part if fits else None


def _cut(
    rates: KeyRates, balance: _Balance, run: KeyRange, wanted: float
) -> tuple[int, int] | None:
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
    runs = list(assignment.key_ranges.get(service, ()))
    fence = assignment.last_fence
    for move in moves:
        fence += 1
        runs = _replace(runs, move, fence)
    by_service = {**assignment.key_ranges, service: tuple(sorted(runs))}
    return assignment._replace(last_fence=fence, key_ranges=by_service)


def _replace(runs: list[KeyRange], move: KeyMove, fence: int) -> list[KeyRange]:
    kept = []
    for run in runs:
        if run.last < move.first or move.last < run.first:
            kept.append(run)
            continue
        if run.first < move.first:
            kept.append(run._replace(last=move.first - 1))
        if move.last < run.last:
            kept.append(run._replace(first=move.last + 1))
    kept.append(KeyRange(move.first, move.last, move.target, fence, move.source))
    return kept


def merge_adjacent_ranges(assignment: Assignment, service: str) -> Assignment:
    """Joins neighbouring settled runs of one owner into one with a fence above all.

    A server takes a grant with a higher fence over keys that it holds already.
    """
    runs: list[KeyRange] = []
    fence = assignment.last_fence
    for run in assignment.key_ranges.get(service, ()):
        before = runs[-1] if runs else None
        if before is None or run.moving or before.moving or before.owner != run.owner:
            runs.append(run)
            continue
        fence += 1
        runs[-1] = KeyRange(before.first, run.last, run.owner, fence)
    if fence == assignment.last_fence:
        return assignment
    return assignment._replace(
        last_fence=fence, key_ranges={**assignment.key_ranges, service: tuple(runs)}
    )
