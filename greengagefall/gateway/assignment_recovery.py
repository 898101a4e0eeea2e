"""Finds the newest assignment after the store was restored from an older copy of its data.

The store then holds an assignment that hosts may have left behind: keys have other owners since,
and higher fences were given out. Until the newest one is stored again, nothing may be granted by
the stored one. The load that this answers is a restore beside lost coordinators and hosts.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from greengagefall.gateway.view import ASSIGNMENT_VALIDITY_S
from greengagefall.ownership import rows
from greengagefall.ownership.exceptions import AssignmentError
from greengagefall.ownership.key_grants import MAX_DELIVERY_DELAY_S, max_grant_lifetime_s
from greengagefall.ownership.model import (
    EMPTY_ASSIGNMENT,
    NO_INCARNATION,
    Assignment,
    KeyRange,
)
from greengagefall.protocol.gateway_messages import AssignmentPush, AssignmentRequest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagefall.gateway.host_reports import HostReports
    from greengagefall.gateway.peers import Peers
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

# Longest wait for the reports of all hosts.
REPORT_WAIT_S = 2.0
REQUEST_TIMEOUT_S = 0.6
# Hosts in touch have heard of the newest version until the former coordinator was lost; its lease
# and the election of the next one take the rest.
MAX_OUT_OF_TOUCH_S = 4.0
# How long after the restore grants by a forgotten assignment may be in force. The copy may lack the
# records of hosts that are cut off with their servers and go on renewing grants for a while.
GRANTS_END_S = ASSIGNMENT_VALIDITY_S + MAX_DELIVERY_DELAY_S + max_grant_lifetime_s()
# Added to versions and fences for each restore: more than can have been given out and lost with it.
LOST_NUMBERS = 100_000


class AssignmentRecovery:
    """The recovery of one coordinator's assignment.

    Args:
        reports: Reports of the entry hosts.
        peers: Calls to other hosts.
        clock: Clock that counts suspended time.

    Attributes:
        needed: Whether the store holds an assignment from before its last restore.
    """

    def __init__(self, reports: HostReports, peers: Peers, clock: Clock) -> None:
        self.needed = False
        self._reports = reports
        self._peers = peers
        self._clock = clock
        self._began_s = 0.0
        self._stored = EMPTY_ASSIGNMENT
        self._restores = 0

    def begin(self, stored: Assignment, restores: int) -> None:
        """Begins a recovery, or notes what the store holds if one has begun.

        Args:
            stored: The assignment in the store.
            restores: Restores of the store since that was written.
        """
        if not self.needed or restores > self._restores:
            self._began_s = self._clock.now_s()
        self.needed = True
        self._stored = stored
        self._restores = restores

    def end(self) -> None:
        """Ends the recovery, since the newest assignment is stored."""
        self.needed = False

    async def recover(self, known: Assignment, hosts: Iterable[str]) -> Assignment | None:
        """Returns the assignment to store now, or None if it is not certain yet.

        Even a coordinator that goes on does not know by itself that its assignment is the newest:
        the restore may have brought back a lease that it had lost unnoticed.

        Args:
            known: The newest assignment that the coordinator knows.
            hosts: Names of all entry hosts.
        """
        waited_s = self._clock.now_s() - self._began_s
        all_reported = self._reports.all_reported(hosts, self._began_s)
        if waited_s < REPORT_WAIT_S and not all_reported:
            return None
        version, host = self._reports.newest_version(self._began_s)
        if version > known.version:
            found = await self._request(host)
            if found is None:
                return None
            known = found
        # Hosts get no assignment from the store before it is recovered.
        forgotten = version == 0 or (not all_reported and self._is_outdated(version))
        if forgotten and waited_s < GRANTS_END_S:
            # No host remembers who got keys after the copy was made: wait until no grant is left.
            return None
        log.warning(
            "Storing the newest assignment that is known again.",
            extra={
                "version": known.version,
                "stored": self._stored.version,
                "from": host if version >= known.version else "",
                "all_reported": all_reported,
                "forgotten": forgotten,
                "waited_s": round(waited_s, 3),
            },
        )
        return _with_new_fences(self._renumbered(known), clear_sources=forgotten)

    def _is_outdated(self, version: int) -> bool:
        """Returns whether a newer version may have been written while its hosts were out of touch.

        A host that has not reported may know that version, and be cut off with its servers.
        """
        known_s = self._reports.last_newest_s(version, self._began_s)
        return self._began_s - known_s > MAX_OUT_OF_TOUCH_S

    def _renumbered(self, known: Assignment) -> Assignment:
        """Returns an assignment whose next version and fence are above all that were lost.

        Each restore since the stored assignment was written added ``LOST_NUMBERS`` at most to the
        newest numbers, and hosts may have forgotten those of the last ones.
        """
        lost = self._restores * LOST_NUMBERS
        version = max(known.version + LOST_NUMBERS, self._stored.version + lost)
        fence = max(known.last_fence + LOST_NUMBERS, self._stored.last_fence + lost)
        return known._replace(version=version, last_fence=fence)

    async def _request(self, host: str) -> Assignment | None:
        """Returns the assignment of a host, or None without a valid reply."""
        reply = await self._peers.call(host, AssignmentRequest(0), REQUEST_TIMEOUT_S)
        if not isinstance(reply, AssignmentPush):
            return None
        try:
            return rows.from_rows(reply.version, reply.last_fence, reply.rows)
        except AssignmentError as error:
            log.error("Assignment of a host is malformed.", extra={"error": str(error)})
            return None


def _with_new_fences(assignment: Assignment, *, clear_sources: bool) -> Assignment:
    """Returns an assignment in which every key range has a fence above all that were lost.

    Servers may have seen higher fences than the assignment tells and would refuse its grants.
    """
    fence = assignment.last_fence
    key_ranges: dict[str, tuple[KeyRange, ...]] = {}
    for service, found in assignment.key_ranges.items():
        renewed = []
        for key_range in found:
            fence += 1
            source = NO_INCARNATION if clear_sources else key_range.source
            renewed.append(key_range._replace(fence=fence, source=source))
        key_ranges[service] = tuple(renewed)
    return assignment._replace(last_fence=fence, key_ranges=key_ranges)
