"""Decides which server should own which keys.

Keys without an owner, or whose owner may no longer own keys, are moved to the usable servers at
once. By load, keys are moved to servers that own none, away from overloaded servers, and away from
servers with more load than their share by ``ownership.shares``. At a few requests a second for each
server, loads differ by chance; a difference counts only beyond what chance explains. Only as many
keys are moved as carry the load in question. The module only computes with records: it makes no
calls and keeps no state.
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
    from collections.abc import Callable, Container, Iterable, Iterator

    from greengagefall.ownership.key_load import KeyRates
    from greengagefall.ownership.shares import ServerCapacity

KEY_COUNT = LAST_KEY + 1
# Utilisation above which keys of a server are moved at once, if it also exceeds the mean by
# ``EXCESS_FACTOR``.
FULL_UTILISATION = 0.6
# Ratio of a server's utilisation to the mean above which such a move is planned.
EXCESS_FACTOR = 1.3
# Load beyond its share, as a fraction of its capacity, from which keys of any server are moved.
MIN_EXCESS = 0.2
# Standard errors by which a load has to exceed a bound: for an overloaded server, which is relieved
# soon, and for load beyond a share, which can wait for a better estimate.
OVERLOAD_ERRORS = 2.0
EXCESS_ERRORS = 3.0
# Total utilisation that is spread evenly over all keys in addition to the known rates, so that
# keys with unknown load are distributed too.
BASE_UTILISATION = 0.1
MIN_MOVE_LIMIT = 6
# Moves of one plan as a fraction of the number of servers; ``MIN_MOVE_LIMIT`` moves are always
# allowed.
MOVING_SHARE = 0.1
# Fraction of an excess that the owner of neighbouring keys has to take for a move to it.
NEIGHBOUR_SHARE = 0.5
# Fraction of its share that a new server gets from one other server, and upper bound of the
# fraction of that server's load.
NEW_SERVER_SHARE = 0.5
# Largest load that one move of keys without a usable owner adds to a server, as a fraction of its
# capacity.
ORPHAN_SHARE = 0.3
# Ratio of capacities that justifies a move of a single busy key to a faster server.
MIN_RELOCATION_GAIN = 1.25
# Factor by which a part of a key range may exceed the wanted load, since keys are not divisible.
CUT_TOLERANCE = 1.5


class KeyMove(NamedTuple):
    """A planned change of owner.

    Attributes:
        first: First key.
        last: Last key, inclusive.
        source: Present owner; ``NO_INCARNATION`` for keys without one.
        target: New owner.
        load_per_s: Requests per second of the keys, as planned.
    """

    first: int
    last: int
    source: ServerIncarnation
    target: ServerIncarnation
    load_per_s: float = 0.0


class LoadEstimate(NamedTuple):
    """The load of a service, estimated over some time.

    Attributes:
        servers: Servers that may own keys.
        rates: Requests per second by key.
    """

    servers: list[ServerCapacity]
    rates: KeyRates


class PlanInput(NamedTuple):
    """The input of a plan for one service.

    Attributes:
        key_ranges: Current key ranges of the service.
        current: Load over the last second or two, which shows a sudden load soon.
        steady: Load over several seconds, which varies less by chance; of the same servers.
        settling: Bounds of key ranges that were moved a short time ago. They are moved again only
            away from an overloaded server.
    """

    key_ranges: tuple[KeyRange, ...]
    current: LoadEstimate
    steady: LoadEstimate
    settling: tuple[tuple[int, int], ...] = ()


class _Balance:
    """Loads and shares of the servers, updated with each move that is added to a plan."""

    def __init__(self, key_ranges: tuple[KeyRange, ...], estimate: LoadEstimate) -> None:
        self.rates = estimate.rates
        self.servers = {server.incarnation: server for server in estimate.servers}
        total = sum(server.capacity_per_s for server in estimate.servers)
        self._base_rate_per_key = BASE_UTILISATION * total / KEY_COUNT
        self._load = dict.fromkeys(self.servers, 0.0)
        for key_range in key_ranges:
            if key_range.owner in self._load:
                self._load[key_range.owner] += self.range_load(key_range.first, key_range.last)
        self._targets = target_loads(estimate.servers, self.range_load(0, LAST_KEY))

    def range_load(self, first: int, last: int) -> float:
        """Returns the requests per second of a key range, plus an allowance for unknown load."""
        return self.rates.rate(first, last) + self._base_rate_per_key * (last - first + 1)

    def deficit_per_s(self, incarnation: ServerIncarnation) -> float:
        """Returns the load that a server is below its share; negative if it is above."""
        return self._targets[incarnation] - self._load[incarnation]

    def utilisation(self, incarnation: ServerIncarnation) -> float:
        """Returns the load of a server as a fraction of its capacity."""
        return self._load[incarnation] / self.servers[incarnation].capacity_per_s

    def mean_utilisation(self) -> float:
        """Returns the load of all servers as a fraction of their total capacity."""
        capacity = sum(server.capacity_per_s for server in self.servers.values())
        return sum(self._load.values()) / capacity

    def initial_load(self, source: ServerIncarnation, target: ServerIncarnation) -> float:
        """Returns the load that a server without keys should get from another server."""
        return NEW_SERVER_SHARE * min(self.deficit_per_s(target), self._load[source])

    def excess(self, incarnation: ServerIncarnation) -> float:
        """Returns the load of a server beyond its share, as a fraction of its capacity."""
        return -self.deficit_per_s(incarnation) / self.servers[incarnation].capacity_per_s

    def is_overloaded(self, incarnation: ServerIncarnation, max_utilisation: float) -> bool:
        """Returns whether a utilisation exceeds a bound by more than chance explains."""
        load = self._load[incarnation]
        least_load = load - OVERLOAD_ERRORS * self.rates.standard_error(load)
        return least_load >= max_utilisation * self.servers[incarnation].capacity_per_s

    def has_excess(self, incarnation: ServerIncarnation) -> bool:
        """Returns whether a server exceeds its share considerably and not by chance."""
        chance = EXCESS_ERRORS * self.rates.standard_error(self._load[incarnation])
        considerable = MIN_EXCESS * self.servers[incarnation].capacity_per_s
        return -self.deficit_per_s(incarnation) >= max(chance, considerable)

    def least_loaded(self, without: Container[ServerIncarnation] = ()) -> ServerIncarnation | None:
        """Returns the server with the lowest excess, or None if there is none to choose from."""
        candidates = [incarnation for incarnation in self._load if incarnation not in without]
        return min(
            candidates,
            key=lambda incarnation: (self.excess(incarnation), incarnation),
            default=None,
        )

    def move(
        self, first: int, last: int, source: ServerIncarnation, target: ServerIncarnation
    ) -> KeyMove:
        """Applies a move to the loads and returns it."""
        load = self.range_load(first, last)
        if source in self._load:
            self._load[source] -= load
        self._load[target] += load
        return KeyMove(first, last, source, target, load)


def plan_moves(plan_input: PlanInput) -> list[KeyMove]:
    """Returns the moves that should begin now, the most urgent first.

    Moves of keys without a usable owner are urgent; a plan with such moves contains no others.
    """
    urgent = plan_urgent_moves(plan_input)
    if urgent or not plan_input.key_ranges:
        return urgent
    current = _Balance(plan_input.key_ranges, plan_input.current)
    steady = _Balance(plan_input.key_ranges, plan_input.steady)
    plan = _Plan(plan_input, len(steady.servers))
    plan.fill_new_servers(steady)
    plan.relieve_overloaded(current)
    plan.relieve_overloaded(steady)
    plan.shift_excess(steady)
    return plan.moves


def plan_urgent_moves(plan_input: PlanInput) -> list[KeyMove]:
    """Returns the moves of keys that have no owner or one that may no longer own keys."""
    servers = plan_input.current.servers
    if not servers:
        return []
    if not plan_input.key_ranges:
        return _plan_first_owners(servers)
    orphans = _find_orphans(plan_input.key_ranges, {server.incarnation for server in servers})
    if not orphans:
        return []
    return _place_orphans(orphans, _Balance(plan_input.key_ranges, plan_input.current))


def has_orphans(key_ranges: tuple[KeyRange, ...], usable: Container[ServerIncarnation]) -> bool:
    """Returns whether keys have no owner, or one that is not in ``usable``."""
    return bool(_find_orphans(key_ranges, usable))


def _plan_first_owners(servers: list[ServerCapacity]) -> list[KeyMove]:
    """Assigns each server a key range in proportion to its slots."""
    total = sum(server.slots for server in servers)
    moves = []
    first = 0
    slots = 0
    for server in sorted(servers, key=lambda server: server.incarnation):
        slots += server.slots
        last = KEY_COUNT * slots // total - 1
        if last >= first:
            moves.append(KeyMove(first, last, NO_INCARNATION, server.incarnation))
        first = last + 1
    return moves


def _place_orphans(
    orphans: list[tuple[int, int, ServerIncarnation]], balance: _Balance
) -> list[KeyMove]:
    """Moves key ranges whose owner may no longer own keys, and keys without an owner."""
    moves = []
    for first, last, source in orphans:
        start = first
        while start <= last:
            target = balance.least_loaded()
            share = ORPHAN_SHARE * balance.servers[target].capacity_per_s
            end = _prefix_end(balance, start, last, share)
            moves.append(balance.move(start, end, source, target))
            start = end + 1
    return moves


def _find_orphans(
    key_ranges: tuple[KeyRange, ...], usable: Container[ServerIncarnation]
) -> list[tuple[int, int, ServerIncarnation]]:
    found = []
    expected = 0
    for key_range in key_ranges:
        if key_range.first > expected:
            found.append((expected, key_range.first - 1, NO_INCARNATION))
        if key_range.owner not in usable and not key_range.moving:
            found.append((key_range.first, key_range.last, key_range.owner))
        expected = key_range.last + 1
    if expected <= LAST_KEY:
        found.append((expected, LAST_KEY, NO_INCARNATION))
    return found


def _prefix_end(balance: _Balance, first: int, last: int, wanted: float) -> int:
    """Returns the end of a prefix with a load of about ``wanted`` and at least one key."""
    if balance.range_load(first, last) <= wanted:
        return last
    low, high = first, last
    while low < high:
        middle = (low + high) // 2
        if balance.range_load(first, middle) < wanted:
            low = middle + 1
        else:
            high = middle
    return low


class _Plan:
    """The moves of one plan; each server takes part in at most one of them.

    Args:
        plan_input: Current key ranges and loads.
        server_count: Number of servers that may own keys.

    Attributes:
        moves: The moves so far.
    """

    def __init__(self, plan_input: PlanInput, server_count: int) -> None:
        self.moves: list[KeyMove] = []
        self._key_ranges = plan_input.key_ranges
        self._settling = plan_input.settling
        self._busy = {key_range.owner for key_range in plan_input.key_ranges if key_range.moving}
        self._busy |= {key_range.source for key_range in plan_input.key_ranges if key_range.moving}
        self._max_moves = max(MIN_MOVE_LIMIT, int(MOVING_SHARE * server_count))

    def fill_new_servers(self, balance: _Balance) -> None:
        """Moves keys to servers without keys, for a part of their share."""
        owners = {key_range.owner for key_range in self._key_ranges}
        for incarnation in sorted(balance.servers):
            if incarnation in owners or incarnation in self._busy or self._is_complete():
                continue
            source = next(self._descending(balance, balance.excess), None)
            if source is not None:
                load = balance.initial_load(source, incarnation)
                self._move_load(balance, source, incarnation, load)

    def relieve_overloaded(self, balance: _Balance) -> None:
        """Moves keys of overloaded servers to the servers with the lowest excess."""
        max_utilisation = max(FULL_UTILISATION, EXCESS_FACTOR * balance.mean_utilisation())
        for source in self._descending(balance, balance.utilisation):
            if self._is_complete() or balance.utilisation(source) < max_utilisation:
                return
            if not balance.is_overloaded(source, max_utilisation):
                continue
            if not self._move_to_least_loaded(balance, source):
                self._relocate(balance, source)

    def shift_excess(self, balance: _Balance) -> None:
        """Moves load beyond the shares, preferably to owners of neighbouring keys."""
        for source in self._descending(balance, balance.excess):
            if self._is_complete() or balance.excess(source) < MIN_EXCESS:
                return
            if balance.has_excess(source) and not self._shift_to_neighbour(balance, source):
                self._move_to_least_loaded(balance, source, only_settled=True)

    def _is_complete(self) -> bool:
        return len(self.moves) >= self._max_moves

    def _descending(
        self, balance: _Balance, measure: Callable[[ServerIncarnation], float]
    ) -> Iterator[ServerIncarnation]:
        """Yields servers that take part in no move yet; later moves don't change the order."""
        for incarnation in sorted(balance.servers, key=measure, reverse=True):
            if incarnation not in self._busy:
                yield incarnation

    def _add(
        self,
        balance: _Balance,
        first: int,
        last: int,
        source: ServerIncarnation,
        target: ServerIncarnation,
    ) -> None:
        self.moves.append(balance.move(first, last, source, target))
        self._busy.add(source)
        self._busy.add(target)

    def _ranges_not_moving(self, owner: ServerIncarnation) -> list[KeyRange]:
        return [
            key_range
            for key_range in self._key_ranges
            if key_range.owner == owner and not key_range.moving
        ]

    def _is_settling(self, key_range: KeyRange) -> bool:
        return any(
            first <= key_range.last and key_range.first <= last for first, last in self._settling
        )

    def _move_to_least_loaded(
        self, balance: _Balance, source: ServerIncarnation, *, only_settled: bool = False
    ) -> bool:
        """Adds a move to the server with the lowest excess; returns whether one was added."""
        target = balance.least_loaded(self._busy)
        if target is None:
            return False
        wanted = min(balance.deficit_per_s(target), -balance.deficit_per_s(source))
        return self._move_load(balance, source, target, wanted, only_settled=only_settled)

    def _move_load(
        self,
        balance: _Balance,
        source: ServerIncarnation,
        target: ServerIncarnation,
        wanted: float,
        *,
        only_settled: bool = False,
    ) -> bool:
        """Adds a move of about ``wanted`` requests per second.

        Args:
            balance: Loads of the servers.
            source: Owner of the keys.
            target: Server that gets them.
            wanted: Requests per second to move.
            only_settled: Whether key ranges that were moved a short time ago are left alone.

        Returns:
            Whether a move was added.
        """
        if wanted <= 0:
            return False
        key_ranges = self._ranges_not_moving(source)
        only_one = len(key_ranges) == 1
        key_ranges.sort(key=lambda key_range: -balance.range_load(key_range.first, key_range.last))
        for key_range in key_ranges:
            if only_settled and self._is_settling(key_range):
                continue
            part = _part_to_move(balance, key_range, wanted, may_move_all=not only_one)
            if part is not None:
                self._add(balance, *part, source, target)
                return True
        return False

    def _shift_to_neighbour(self, balance: _Balance, source: ServerIncarnation) -> bool:
        """Adds a move to an owner of neighbouring keys, which adds no key range.

        Returns:
            Whether a move of enough load was added.
        """
        excess = -balance.deficit_per_s(source)
        for index, key_range in enumerate(self._key_ranges):
            if key_range.owner != source or key_range.moving or self._is_settling(key_range):
                continue
            for neighbour in _neighbours(self._key_ranges, index):
                target = neighbour.owner
                if target in self._busy or target not in balance.servers:
                    continue
                wanted = min(balance.deficit_per_s(target), excess)
                if wanted < NEIGHBOUR_SHARE * excess:
                    continue
                at_start = neighbour.last < key_range.first
                part = _edge_part(balance, key_range, wanted, at_start=at_start)
                if part is None or balance.range_load(*part) < NEIGHBOUR_SHARE * wanted:
                    continue
                self._add(balance, *part, source, target)
                return True
        return False

    def _relocate(self, balance: _Balance, source: ServerIncarnation) -> None:
        """Moves a single key that overloads its server to the server with the highest capacity.

        Servers can't share a key, so the fastest server can serve most of its requests.
        """
        key_ranges = self._ranges_not_moving(source)
        others = [
            incarnation
            for incarnation in balance.servers
            if incarnation not in self._busy and incarnation != source
        ]
        if len(key_ranges) != 1 or key_ranges[0].size != 1 or not others:
            return
        best = max(
            others,
            key=lambda incarnation: (balance.servers[incarnation].capacity_per_s, incarnation),
        )
        present = balance.servers[source].capacity_per_s
        if balance.servers[best].capacity_per_s >= MIN_RELOCATION_GAIN * present:
            self._add(balance, key_ranges[0].first, key_ranges[0].last, source, best)


def _neighbours(key_ranges: tuple[KeyRange, ...], index: int) -> list[KeyRange]:
    """Returns the adjacent key ranges of other owners that are not moving."""
    key_range = key_ranges[index]
    beside = key_ranges[max(0, index - 1) : index] + key_ranges[index + 1 : index + 2]
    return [
        other
        for other in beside
        if not other.moving
        and other.owner != key_range.owner
        and (other.last + 1 == key_range.first or key_range.last + 1 == other.first)
    ]


def _edge_part(
    balance: _Balance, key_range: KeyRange, wanted: float, *, at_start: bool
) -> tuple[int, int] | None:
    """Returns keys at one end of a key range with a load of about ``wanted``, but never all."""
    if key_range.size < 2:
        return None
    if at_start:
        end = min(_prefix_end(balance, key_range.first, key_range.last, wanted), key_range.last - 1)
        part = (key_range.first, end)
    else:
        rest = balance.range_load(key_range.first, key_range.last) - wanted
        end = _prefix_end(balance, key_range.first, key_range.last, rest)
        part = (min(end, key_range.last - 1) + 1, key_range.last)
    fits = balance.range_load(*part) <= CUT_TOLERANCE * wanted
    return part if fits else None


def _part_to_move(
    balance: _Balance, key_range: KeyRange, wanted: float, *, may_move_all: bool
) -> tuple[int, int] | None:
    """Returns the part of a key range to move: the end of it with fewer keys, or all of it.

    Args:
        balance: Loads of the servers.
        key_range: The key range.
        wanted: Requests per second to move.
        may_move_all: Whether its owner keeps other keys.
    """
    if key_range.size < 2:
        # A key range of a single key is moved only if its load fits.
        fits = balance.range_load(key_range.first, key_range.last) <= wanted
        return (key_range.first, key_range.last) if fits and may_move_all else None
    if may_move_all and balance.range_load(key_range.first, key_range.last) <= wanted:
        return key_range.first, key_range.last
    ends = [
        part
        for at_start in (True, False)
        if (part := _edge_part(balance, key_range, wanted, at_start=at_start)) is not None
        and balance.range_load(*part) >= wanted / CUT_TOLERANCE
    ]
    if ends:
        return min(ends, key=lambda part: part[1] - part[0])
    # The load of a single key exceeds the wanted load: this key and the keys before it stay.
    end = min(_prefix_end(balance, key_range.first, key_range.last, wanted), key_range.last - 1)
    if balance.range_load(key_range.first, end) <= CUT_TOLERANCE * wanted:
        return key_range.first, end
    if end + 1 <= key_range.last:
        return end + 1, key_range.last
    return None


def apply_moves(assignment: Assignment, service: str, moves: Iterable[KeyMove]) -> Assignment:
    """Returns the assignment with the moves begun.

    Each move gets its own fencing token, higher than all earlier ones.
    """
    key_ranges = list(assignment.key_ranges.get(service, ()))
    fence = assignment.last_fence
    for move in moves:
        fence += 1
        key_ranges = _apply_move(key_ranges, move, fence)
    by_service = {**assignment.key_ranges, service: tuple(sorted(key_ranges))}
    return assignment._replace(last_fence=fence, key_ranges=by_service)


def _apply_move(key_ranges: list[KeyRange], move: KeyMove, fence: int) -> list[KeyRange]:
    kept = []
    for key_range in key_ranges:
        if key_range.last < move.first or move.last < key_range.first:
            kept.append(key_range)
            continue
        if key_range.first < move.first:
            kept.append(key_range._replace(last=move.first - 1))
        if move.last < key_range.last:
            kept.append(key_range._replace(first=move.last + 1))
    kept.append(KeyRange(move.first, move.last, move.target, fence, move.source))
    return kept


def merge_adjacent_ranges(assignment: Assignment, service: str) -> Assignment:
    """Joins adjacent key ranges of one owner that are not moving, under a new highest fence.

    A server accepts a grant with a higher fencing token for keys that it already holds.
    """
    key_ranges: list[KeyRange] = []
    fence = assignment.last_fence
    for key_range in assignment.key_ranges.get(service, ()):
        before = key_ranges[-1] if key_ranges else None
        if before is None or key_range.moving or before.moving or before.owner != key_range.owner:
            key_ranges.append(key_range)
            continue
        fence += 1
        key_ranges[-1] = KeyRange(before.first, key_range.last, key_range.owner, fence)
    if fence == assignment.last_fence:
        return assignment
    return assignment._replace(
        last_fence=fence, key_ranges={**assignment.key_ranges, service: tuple(key_ranges)}
    )
