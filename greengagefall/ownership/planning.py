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

from greengagefall.ownership.balance import (
    KEY_COUNT,
    MIN_EXCESS,
    Balance,
    edge_part,
    part_to_move,
    prefix_end,
)
from greengagefall.ownership.key_moves import (
    REASON_EXCESS,
    REASON_NEW_SERVER,
    REASON_OVERLOAD,
    KeyMove,
)
from greengagefall.ownership.model import LAST_KEY, NO_INCARNATION

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Iterator

    from greengagefall.ownership.balance import LoadEstimate
    from greengagefall.ownership.model import KeyRange, ServerIncarnation
    from greengagefall.ownership.shares import ServerCapacity

# Utilisation above which keys of a server are moved at once, if it also exceeds the mean by
# ``EXCESS_FACTOR``.
FULL_UTILISATION = 0.6
# Ratio of a server's utilisation to the mean above which such a move is planned.
EXCESS_FACTOR = 1.3
MIN_MOVE_LIMIT = 6
# Moves of one plan as a fraction of the number of servers; ``MIN_MOVE_LIMIT`` moves are always
# allowed.
MOVING_SHARE = 0.1
# Utilisation from which the keys of a server are spread over several servers in one plan. One move
# in each plan would halve the load of busy keys that lie side by side, and take seconds.
SPREAD_UTILISATION = 1.0
# Servers that get keys of such servers in one plan, as a fraction of all.
SPREAD_SERVERS_SHARE = 0.5
# Utilisation up to which a server gets such keys. It is above an even share, so that few moves
# relieve the source at once; later plans even the load out.
SPREAD_TARGET_UTILISATION = 0.6
# Keys that are moved so in one plan, as a fraction of all keys. Beyond it, moves cost more than
# the load of few keys is worth.
SPREAD_KEYS_SHARE = 0.02
# Least load of such a move, as a fraction of the capacity of the server that gets it.
MIN_SPREAD_LOAD_SHARE = 0.1
# Fraction of an excess that the owner of neighbouring keys has to take for a move to it.
NEIGHBOUR_SHARE = 0.5
# Largest load that one move of keys without a usable owner adds to a server, as a fraction of its
# capacity.
ORPHAN_SHARE = 0.3
# Rate of a key, as a fraction of its server's capacity, from which it may be moved alone.
BUSY_KEY_SHARE = 0.5
# The same, as a fraction of its server's load beyond its share.
BUSY_KEY_EXCESS_SHARE = 0.5
# Ratio of the room for a busy key at two servers that justifies its move.
MIN_RELOCATION_GAIN = 1.25


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


def plan_moves(plan_input: PlanInput) -> list[KeyMove]:
    """Returns the moves that should begin now, the most urgent first.

    Moves of keys without a usable owner are urgent; a plan with such moves contains no others.
    """
    urgent = plan_urgent_moves(plan_input)
    if urgent or not plan_input.key_ranges:
        return urgent
    current = Balance(plan_input.key_ranges, plan_input.current)
    steady = Balance(plan_input.key_ranges, plan_input.steady)
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
    return _place_orphans(orphans, Balance(plan_input.key_ranges, plan_input.current))


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
        last = round(KEY_COUNT * slots / total) - 1
        if last >= first:
            moves.append(KeyMove(first, last, NO_INCARNATION, server.incarnation))
        first = last + 1
    return moves


def _place_orphans(
    orphans: list[tuple[int, int, ServerIncarnation]], balance: Balance
) -> list[KeyMove]:
    """Moves key ranges whose owner may no longer own keys, and keys without an owner."""
    moves = []
    for first, last, source in orphans:
        start = first
        while start <= last:
            target = balance.least_loaded()
            share = ORPHAN_SHARE * balance.servers[target].capacity_per_s
            end = prefix_end(balance, start, last, share)
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
        self._reason = ""
        self._max_moves = max(MIN_MOVE_LIMIT, int(MOVING_SHARE * server_count))
        self._max_spread_moves = int(SPREAD_SERVERS_SHARE * server_count)
        self._spread_moves = 0
        self._spread_keys_left = int(SPREAD_KEYS_SHARE * KEY_COUNT)

    def fill_new_servers(self, balance: Balance) -> None:
        """Moves keys to servers without keys, for a part of their share."""
        self._reason = REASON_NEW_SERVER
        owners = {key_range.owner for key_range in self._key_ranges}
        for incarnation in sorted(balance.servers):
            if incarnation in owners or incarnation in self._busy or self._is_complete():
                continue
            source = next(self._descending(balance, balance.excess), None)
            if source is not None:
                load = balance.initial_load(source, incarnation)
                self._move_load(balance, source, incarnation, load)

    def relieve_overloaded(self, balance: Balance) -> None:
        """Moves keys of overloaded servers to the servers with the lowest excess."""
        self._reason = REASON_OVERLOAD
        max_utilisation = max(FULL_UTILISATION, EXCESS_FACTOR * balance.mean_utilisation())
        for source in self._descending(balance, balance.utilisation):
            if self._is_complete() or balance.utilisation(source) < max_utilisation:
                return
            if not balance.is_overloaded(source, max_utilisation):
                continue
            if self._relocate_busy_key(balance, source):
                continue
            if balance.utilisation(source) < SPREAD_UTILISATION or not self._spread(
                balance, source, max_utilisation
            ):
                self._move_to_least_loaded(balance, source)

    def shift_excess(self, balance: Balance) -> None:
        """Moves load beyond the shares, preferably to owners of neighbouring keys."""
        self._reason = REASON_EXCESS
        for source in self._descending(balance, balance.excess):
            if self._is_complete() or balance.excess(source) < MIN_EXCESS:
                return
            if balance.has_excess(source) and not self._shift_to_neighbour(balance, source):
                self._move_to_least_loaded(balance, source, only_settled=True)

    def _is_complete(self) -> bool:
        return len(self.moves) - self._spread_moves >= self._max_moves

    def _descending(
        self, balance: Balance, measure: Callable[[ServerIncarnation], float]
    ) -> Iterator[ServerIncarnation]:
        """Yields servers that take part in no move yet; later moves don't change the order."""
        for incarnation in sorted(balance.servers, key=measure, reverse=True):
            if incarnation not in self._busy:
                yield incarnation

    def _add(
        self,
        balance: Balance,
        first: int,
        last: int,
        source: ServerIncarnation,
        target: ServerIncarnation,
    ) -> None:
        self.moves.append(balance.move(first, last, source, target, self._reason))
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
        self, balance: Balance, source: ServerIncarnation, *, only_settled: bool = False
    ) -> bool:
        """Adds a move to the server with the lowest excess; returns whether one was added."""
        target = balance.least_loaded(self._busy)
        if target is None:
            return False
        wanted = min(balance.deficit_per_s(target), -balance.deficit_per_s(source))
        return self._move_load(balance, source, target, wanted, only_settled=only_settled)

    def _move_load(
        self,
        balance: Balance,
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
            part = part_to_move(balance, key_range, wanted, may_move_all=not only_one)
            if part is not None:
                self._add(balance, *part, source, target)
                return True
        return False

    def _spread(self, balance: Balance, source: ServerIncarnation, max_utilisation: float) -> bool:
        """Moves busy keys of a server to as many servers as their load needs.

        Returns:
            Whether a move was added.
        """
        key_ranges = self._ranges_not_moving(source)
        spread = False
        while (
            self._spread_moves < self._max_spread_moves
            and balance.utilisation(source) >= max_utilisation
        ):
            target = balance.roomiest({*self._busy, source}, SPREAD_TARGET_UTILISATION)
            if target is None:
                break
            room_per_s = balance.room_per_s(target, SPREAD_TARGET_UTILISATION)
            if room_per_s < MIN_SPREAD_LOAD_SHARE * balance.servers[target].capacity_per_s:
                break
            wanted_per_s = min(room_per_s, -balance.deficit_per_s(source))
            part = self._busiest_part(balance, key_ranges, wanted_per_s)
            if part is None:
                break
            self._spread_moves += 1
            self._spread_keys_left -= part[1] - part[0] + 1
            key_ranges = _without_keys(key_ranges, *part)
            self._add(balance, *part, source, target)
            spread = True
        return spread

    def _busiest_part(
        self, balance: Balance, key_ranges: list[KeyRange], wanted_per_s: float
    ) -> tuple[int, int] | None:
        """Returns the part with the wanted load of the key range that has the highest load."""
        busiest = max(
            key_ranges, key=lambda one: balance.range_load(one.first, one.last), default=None
        )
        if busiest is None:
            return None
        part = part_to_move(balance, busiest, wanted_per_s, may_move_all=len(key_ranges) > 1)
        if part is None or part[1] - part[0] >= self._spread_keys_left:
            return None
        return part

    def _shift_to_neighbour(self, balance: Balance, source: ServerIncarnation) -> bool:
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
                part = edge_part(balance, key_range, wanted, at_start=at_start)
                if part is None or balance.range_load(*part) < NEIGHBOUR_SHARE * wanted:
                    continue
                self._add(balance, *part, source, target)
                return True
        return False

    def _relocate_busy_key(self, balance: Balance, source: ServerIncarnation) -> bool:
        """Moves a key that overloads its server alone to the server with most room for it.

        Servers can't share a key, so the keys beside it would have to leave one after the other.
        A key that is only a small part of the excess is left to a move of many keys.

        Returns:
            Whether the key was moved.
        """
        key, rate_per_s = balance.busy_key(self._ranges_not_moving(source))
        best = balance.roomiest({*self._busy, source})
        if rate_per_s < BUSY_KEY_SHARE * balance.servers[source].capacity_per_s or best is None:
            return False
        if rate_per_s < BUSY_KEY_EXCESS_SHARE * -balance.deficit_per_s(source):
            return False
        present_room_per_s = balance.room_per_s(source) + rate_per_s
        if balance.room_per_s(best) < MIN_RELOCATION_GAIN * present_room_per_s:
            return False
        self._add(balance, key, key, source, best)
        return True


def _without_keys(key_ranges: list[KeyRange], first: int, last: int) -> list[KeyRange]:
    """Returns key ranges without the keys from ``first`` to ``last``, which one of them has."""
    left = []
    for key_range in key_ranges:
        if key_range.last < first or last < key_range.first:
            left.append(key_range)
            continue
        if key_range.first < first:
            left.append(key_range._replace(last=first - 1))
        if last < key_range.last:
            left.append(key_range._replace(first=last + 1))
    return left


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
