"""Selection of the entry hosts that are witnesses and candidates for each backend server.

The hosts of a zone are ordered on a hash ring by their names. Rendezvous hashing picks one host as
head for each backend server; the witness group is the window of hosts that starts at the head. So
a host shares groups only with the hosts less than one window away on either side, whatever the
size of the zone. Hashes use names rather than incarnations, so that a restarted host keeps its
groups.
"""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING

from greengagefall.utils.hashing import hash64

if TYPE_CHECKING:
    from greengagefall.coordination.model import Member

MAX_GROUP_SIZE = 5
CANDIDATE_COUNT = 3
CACHED_GROUPS = 8192
RING_SALT = "ring"
HEAD_SALT = "head"
ORDER_SALT = "order"

Members = tuple["Member", ...]


def group_size(host_count: int) -> int:
    """Returns the largest odd number up to ``MAX_GROUP_SIZE`` and ``host_count``."""
    size = min(host_count, MAX_GROUP_SIZE)
    return size if size % 2 else max(size - 1, 0)


@lru_cache(maxsize=64)
def ring_order(members: Members) -> Members:
    """Returns the members in their order on the hash ring."""
    return tuple(sorted(members, key=lambda member: (hash64(RING_SALT, member.host), member.host)))


@lru_cache(maxsize=CACHED_GROUPS)
def witness_group(members: Members, server_key: str) -> Members:
    """Returns the witnesses of a backend server, the head first.

    Args:
        members: Members of an epoch.
        server_key: ``back end/server``.
    """
    if not members:
        return ()
    order = ring_order(members)
    head = max(
        range(len(order)), key=lambda index: hash64(HEAD_SALT, server_key, order[index].host)
    )
    return ring_window(order, head)


def ring_window(order: Members, head: int) -> Members:
    """Returns the group whose head is the member at this index of the ring."""
    return tuple(order[(head + step) % len(order)] for step in range(group_size(len(order))))


@lru_cache(maxsize=CACHED_GROUPS)
def candidates(members: Members, server_key: str) -> Members:
    """Returns the members that may dispatch a backend server, in order of preference.

    These are the first three of the group: the head, then the others ordered by a hash for
    each server. Resigned members come last, so a resigned member is a candidate only if the group
    has fewer than three other members.
    """
    group = witness_group(members, server_key)
    rest = sorted(group[1:], key=lambda member: hash64(ORDER_SALT, server_key, member.host))
    preferred = sorted([*group[:1], *rest], key=lambda member: member.resigned)
    return tuple(preferred[:CANDIDATE_COUNT])


def neighbours(members: Members, host: str) -> Members:
    """Returns the other members that share any possible group with ``host``."""
    order = ring_order(members)
    reach = group_size(len(order)) - 1
    names = [member.host for member in order]
    if host not in names:
        return ()
    index = names.index(host)
    steps = [*range(-reach, 0), *range(1, reach + 1)]
    found = dict.fromkeys(order[(index + step) % len(order)] for step in steps)
    found.pop(order[index], None)
    return tuple(found)
