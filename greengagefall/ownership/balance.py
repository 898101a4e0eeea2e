"""Loads and shares of the servers of one service, and parts of key ranges by their load."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from greengagefall.ownership.key_moves import REASON_NO_OWNER, KeyMove
from greengagefall.ownership.model import LAST_KEY
from greengagefall.ownership.shares import target_loads

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

    from greengagefall.ownership.key_load import KeyRates
    from greengagefall.ownership.model import KeyRange, ServerIncarnation
    from greengagefall.ownership.shares import ServerCapacity

KEY_COUNT = LAST_KEY + 1
# Load beyond its share, as a fraction of its capacity, from which keys of any server are moved.
MIN_EXCESS = 0.2
# Standard errors by which a load has to exceed a bound: for an overloaded server, which is relieved
# soon, and for load beyond a share, which can wait for a better estimate.
OVERLOAD_ERRORS = 1.0
EXCESS_ERRORS = 3.0
# Total utilisation that is spread evenly over all keys in addition to the known rates, so that
# keys with unknown load are distributed too.
BASE_UTILISATION = 0.1
# Fraction of its share that a new server gets from one other server, and upper bound of the
# fraction of that server's load.
NEW_SERVER_SHARE = 0.5
# Factor by which a part of a key range may exceed the wanted load, since keys are not divisible.
CUT_TOLERANCE = 1.5


class LoadEstimate(NamedTuple):
    """The load of a service, estimated over some time.

    Attributes:
        servers: Servers that may own keys.
        rates: Requests per second by key.
    """

    servers: list[ServerCapacity]
    rates: KeyRates


class Balance:
    """Loads and shares of the servers, updated with each move that is added to a plan.

    Args:
        key_ranges: Current key ranges of the service.
        estimate: Its load and servers.

    Attributes:
        rates: Requests per second by key.
        servers: Servers that may own keys, by incarnation.
    """

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

    def room_per_s(self, incarnation: ServerIncarnation, max_utilisation: float = 1.0) -> float:
        """Returns the requests per second that a server could execute beside its load."""
        capacity_per_s = self.servers[incarnation].capacity_per_s
        return max_utilisation * capacity_per_s - self._load[incarnation]

    def roomiest(
        self, without: Container[ServerIncarnation], max_utilisation: float = 1.0
    ) -> ServerIncarnation | None:
        """Returns the server that could execute most beside its load, or None without any."""
        candidates = [incarnation for incarnation in self._load if incarnation not in without]
        return max(
            candidates,
            key=lambda incarnation: (self.room_per_s(incarnation, max_utilisation), incarnation),
            default=None,
        )

    def busy_key(self, key_ranges: Iterable[KeyRange]) -> tuple[int, float]:
        """Returns the busiest key of some key ranges and its requests per second."""
        found = [self.rates.busiest_key(one.first, one.last) for one in key_ranges]
        return max(found, key=lambda row: row[1], default=(0, 0.0))

    def mean_utilisation(self) -> float:
        """Returns the load of all servers as a fraction of their total capacity, 0 without any."""
        capacity = sum(server.capacity_per_s for server in self.servers.values())
        return sum(self._load.values()) / capacity if capacity else 0.0

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
        self,
        first: int,
        last: int,
        source: ServerIncarnation,
        target: ServerIncarnation,
        reason: str = REASON_NO_OWNER,
    ) -> KeyMove:
        """Applies a move to the loads and returns it."""
        load = self.range_load(first, last)
        if source in self._load:
            self._load[source] -= load
        self._load[target] += load
        return KeyMove(first, last, source, target, load, reason)


def prefix_end(balance: Balance, first: int, last: int, wanted: float) -> int:
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


def edge_part(
    balance: Balance, key_range: KeyRange, wanted: float, *, at_start: bool
) -> tuple[int, int] | None:
    """Returns keys at one end of a key range with a load of about ``wanted``, but never all."""
    if key_range.size < 2:
        return None
    if at_start:
        end = min(prefix_end(balance, key_range.first, key_range.last, wanted), key_range.last - 1)
        part = (key_range.first, end)
    else:
        rest = balance.range_load(key_range.first, key_range.last) - wanted
        end = prefix_end(balance, key_range.first, key_range.last, rest)
        part = (min(end, key_range.last - 1) + 1, key_range.last)
    fits = balance.range_load(*part) <= CUT_TOLERANCE * wanted
    return part if fits else None


def part_to_move(
    balance: Balance, key_range: KeyRange, wanted: float, *, may_move_all: bool
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
        if (part := edge_part(balance, key_range, wanted, at_start=at_start)) is not None
        and balance.range_load(*part) >= wanted / CUT_TOLERANCE
    ]
    if ends:
        return min(ends, key=lambda part: part[1] - part[0])
    # The load of a single key exceeds the wanted load: this key and the keys before it stay.
    end = min(prefix_end(balance, key_range.first, key_range.last, wanted), key_range.last - 1)
    if balance.range_load(key_range.first, end) <= CUT_TOLERANCE * wanted:
        return key_range.first, end
    if end + 1 <= key_range.last:
        return end + 1, key_range.last
    return None
