"""The witness part of an entry host: endorses one candidate per backend server at a time."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any, NamedTuple

from greengagefall.coordination.epochs import merge_max_versions
from greengagefall.protocol.messages import Endorse, Endorsed

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagefall.coordination.model import MembersRecord
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

ENDORSEMENT_TTL_S = 1.0

HostIdentity = tuple[str, str]


class Holder(NamedTuple):
    """A candidate that a witness endorses.

    Attributes:
        host: Name of the candidate.
        incarnation: Its incarnation.
        until_s: When the endorsement expires, by the witness's clock.
    """

    host: str
    incarnation: str
    until_s: float


class EndorsementState:
    """State that a witness keeps for one backend server.

    Attributes:
        holder: Candidate endorsed last, ``None`` after the endorsement was given back.
        fence: Highest fence stored.
        carried_over_to: Host and incarnation whose endorsement was unexpired at the last
            epoch change.
    """

    def __init__(self) -> None:
        self.holder: Holder | None = None
        self.fence = 0
        self.carried_over_to: HostIdentity | None = None

    def holder_at(self, now_s: float) -> Holder | None:
        """Returns the holder of an unexpired endorsement."""
        if self.holder and now_s < self.holder.until_s:
            return self.holder
        return None


class Witness:
    """Endorses one candidate at a time per backend server, for the endorsement TTL.

    The witness endorses no other candidate until the endorsement expires by the witness's clock or
    is given back, also across epochs. Candidates count the TTL from before their request, so an
    endorsement never expires at the witness while the candidate still relies on it.

    Attributes:
        host: Name of this host.
        incarnation: Incarnation of this process.
        epoch: Epoch of the newest members record seen, 0 for none.
        map_versions: Highest slice map version stored, by back end.
    """

    def __init__(
        self,
        host: str,
        incarnation: str,
        clock: Clock,
        endorsement_ttl_s: float = ENDORSEMENT_TTL_S,
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self.epoch = 0
        self.map_versions: dict[str, int] = {}
        self._clock = clock
        self._endorsement_ttl_s = endorsement_ttl_s
        self._members: set[HostIdentity] = set()
        self._servers: dict[str, EndorsementState] = {}
        self._last_rounds: dict[HostIdentity, int] = {}
        self._given_back_callback: Callable[[list[str], str], None] | None = None

    def on_given_back(self, callback: Callable[[list[str], str], None]) -> None:
        """Sets the callback for endorsements given back; it gets the server keys and the host."""
        self._given_back_callback = callback

    def set_members(self, record: MembersRecord) -> bool:
        """Moves to a newer epoch, after which the witness endorses nobody under the previous one.

        Returns:
            False if the record is not newer.
        """
        if record.epoch <= self.epoch:
            return False
        now_s = self._clock.now_s()
        for endorsement in self._servers.values():
            holder = endorsement.holder_at(now_s)
            endorsement.carried_over_to = holder[:2] if holder else None
        self.epoch = record.epoch
        self._members = {(member.host, member.incarnation) for member in record.members}
        self._last_rounds = {k: v for k, v in self._last_rounds.items() if k in self._members}
        return True

    def handle(self, request: Endorse) -> Endorsed:
        """Handles a candidate's request and returns the reply."""
        now_s = self._clock.now_s()
        candidate = (request.host, request.incarnation)
        self.map_versions = merge_max_versions(self.map_versions, request.map_versions)
        is_late = request.round <= self._last_rounds.get(candidate, 0)
        if not is_late:
            self._last_rounds[candidate] = request.round
        if request.resign and not is_late:
            self._give_back(request, candidate)
        endorses = not (is_late or request.resign) and self._may_endorse(request, candidate)
        results = [
            self._answer(key, candidate, fence, now_s, endorses) for key, fence in request.servers
        ]
        return Endorsed(
            call_id=request.call_id,
            host=self.host,
            incarnation=self.incarnation,
            epoch=self.epoch,
            results=results,
            map_versions=dict(self.map_versions),
        )

    def holder(self, server_key: str) -> Holder | None:
        """Returns the candidate that is currently endorsed for a backend server."""
        endorsement = self._servers.get(server_key)
        return endorsement.holder_at(self._clock.now_s()) if endorsement else None

    def _may_endorse(self, request: Endorse, candidate: HostIdentity) -> bool:
        """Returns whether the request has this epoch and both incarnations are its members."""
        own = (self.host, self.incarnation)
        return request.epoch == self.epoch and {own, candidate} <= self._members

    def _answer(
        self, key: str, candidate: HostIdentity, fence: int, now_s: float, endorses: bool
    ) -> list[Any]:
        endorsement = self._servers.setdefault(key, EndorsementState())
        holder = endorsement.holder_at(now_s)
        endorses = endorses and (holder is None or holder[:2] == candidate)
        if endorses:
            endorsement.holder = Holder(*candidate, now_s + self._endorsement_ttl_s)
            endorsement.fence = max(endorsement.fence, fence)
        return [key, endorses, endorsement.fence, endorsement.carried_over_to == candidate]

    def _give_back(self, request: Endorse, candidate: HostIdentity) -> None:
        given_back = []
        for key, _ in request.servers:
            endorsement = self._servers.get(key)
            if endorsement and endorsement.holder and endorsement.holder[:2] == candidate:
                endorsement.holder = None
                given_back.append(key)
        if given_back and self._given_back_callback:
            self._given_back_callback(given_back, request.host)
