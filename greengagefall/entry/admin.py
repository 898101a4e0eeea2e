"""HTTP interface of an entry host for operators: health, metrics, status, routing of a key."""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

from greengagefall.coordination.model import SLICE_FREE
from greengagefall.entry.http_answers import write_json, write_text
from greengagefall.protocol import faults
from greengagefall.routing.model import KIND_KEYED, ZONE_IN
from greengagefall.utils import invariants, metrics
from greengagefall.utils.hashing import slice_of_key

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from tornado.httputil import HTTPServerRequest

    from greengagefall.entry.dispatch_table import DispatcherTable
    from greengagefall.entry.host_state import HostState
    from greengagefall.entry.targets import TargetResolver
    from greengagefall.routing.model import BackEnd

log = logging.getLogger(__name__)

PREFIX = "/.greengagefall/"
HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_FORBIDDEN = 403
HTTP_NOT_FOUND = 404
HTTP_UNAVAILABLE = 503


class Admin:
    """Answers requests below ``/.greengagefall/``.

    Args:
        state: Documents of this host.
        dispatcher_table: This host's dispatchers.
        targets: Resolves the target of a request.
        not_ready_reason: Returns why the host is not ready for requests, empty if it is ready.
        allow_faults: Whether tests may set faults, such as cut connections.
    """

    def __init__(
        self,
        state: HostState,
        dispatcher_table: DispatcherTable,
        targets: TargetResolver,
        not_ready_reason: Callable[[], str],
        allow_faults: bool,
    ) -> None:
        self._state = state
        self._dispatcher_table = dispatcher_table
        self._targets = targets
        self._not_ready_reason = not_ready_reason
        self._allow_faults = allow_faults
        self._pages = {
            "health": self._health,
            "ready": self._ready,
            "metrics": self._metrics,
            "status": self._status,
            "slices": self._slices,
            "why": self._why,
            "faults": self._faults,
        }

    def handle(self, request: HTTPServerRequest) -> None:
        """Answers one request."""
        name = request.path.removeprefix(PREFIX)
        page = self._pages.get(name)
        if page is None:
            write_json(request, HTTP_NOT_FOUND, {"error": f"no page {name!r}"})
            return
        page(request)

    def _health(self, request: HTTPServerRequest) -> None:
        write_json(request, HTTP_OK, {"host": self._state.host, "healthy": True})

    def _ready(self, request: HTTPServerRequest) -> None:
        reason = self._not_ready_reason()
        status = HTTP_UNAVAILABLE if reason else HTTP_OK
        write_json(request, status, {"ready": not reason, "why_not": reason})

    def _metrics(self, request: HTTPServerRequest) -> None:
        write_text(request, HTTP_OK, metrics.render_text())

    def _status(self, request: HTTPServerRequest) -> None:
        maps = self._state.document_cache.slice_maps()
        status = {
            "host": self._state.host,
            "zone": self._state.zone,
            "incarnation": self._state.incarnation,
            "epoch": self._state.epoch(),
            "config_version": self._state.config_holder.current.version,
            "map_versions": {name: slice_map.version for name, slice_map in maps.items()},
            "servers": self._servers(),
            "ready": not self._not_ready_reason(),
            "violations": invariants.violations(),
        }
        write_json(request, HTTP_OK, status)

    def _servers(self) -> list[dict[str, Any]]:
        return [
            {
                "server": dispatcher.server_key,
                "state": dispatcher.health.state,
                "limit": dispatcher.limit.limit,
                "in_flight": dispatcher.in_flight(),
                "busy": round(dispatcher.status().busy_share, 3),
                "dispatcher": self._state.host,
                "fence": dispatcher.right.fence,
            }
            for dispatcher in self._dispatcher_table.active_dispatchers()
        ]

    def _slices(self, request: HTTPServerRequest) -> None:
        maps = self._state.document_cache.slice_maps()
        write_json(
            request, HTTP_OK, {name: slice_map.to_json() for name, slice_map in maps.items()}
        )

    def _why(self, request: HTTPServerRequest) -> None:
        arguments = parse_qs(request.query)
        name = arguments.get("back_end", [""])[0]
        key = arguments.get("key", [""])[0]
        back_end = self._state.config_holder.current.back_ends.get(name)
        if back_end is None:
            write_json(request, HTTP_NOT_FOUND, {"error": f"no back end {name!r}"})
            return
        if back_end.kind != KIND_KEYED or not key:
            write_json(request, HTTP_BAD_REQUEST, {"error": "give a keyed back end and a key"})
            return
        write_json(request, HTTP_OK, self._explain(back_end, key))

    def _explain(self, back_end: BackEnd, key: str) -> dict[str, Any]:
        slice_map = self._state.slice_map(back_end.name)
        if slice_map is None:
            return {"back_end": back_end.name, "key": key, "why": "no slice map has come yet"}
        slice_id = slice_of_key(key, slice_map.slice_count)
        slice_range = slice_map.lookup(slice_id)
        explanation: dict[str, Any] = {
            "back_end": back_end.name,
            "key": key,
            "slice": slice_id,
            "state": slice_range.state,
            "owner": slice_range.owner,
            "fence": slice_range.fence,
            "home_zone": slice_range.home_zone,
            "map_version": slice_map.version,
        }
        server = back_end.servers.get(slice_range.owner)
        if slice_range.state == SLICE_FREE or server is None:
            explanation["why"] = "the slice has no owner"
            return explanation
        server_key = f"{back_end.name}/{server.name}"
        zones = self._state.config_holder.current.zones
        explanation["zone"] = server.zone
        explanation["zone_state"] = zones.get(server.zone, ZONE_IN)
        explanation["server_state"] = server.state
        explanation["dispatcher"] = self._targets.dispatcher_host(server_key, server.zone)
        candidates = self._state.candidates(server_key, server.zone)
        explanation["candidates"] = [member.host for member in candidates]
        dispatcher = self._dispatcher_table.get(server_key)
        if dispatcher is not None and dispatcher.right.may_send():
            explanation["server_health"] = dispatcher.health.state
            explanation["granted_fence"] = dispatcher.grants.granted_fence(slice_id)
        explanation["why"] = ""
        return explanation

    def _faults(self, request: HTTPServerRequest) -> None:
        if not self._allow_faults:
            write_json(request, HTTP_FORBIDDEN, {"error": "start with --allow-faults"})
            return
        try:
            fields = json.loads(request.body or b"{}")
            faults.heal()
            faults.cut(fields.get("cut_from", ()), outbound=False)
            faults.cut(fields.get("cut_to", ()), inbound=False)
        except (ValueError, AttributeError, TypeError) as error:
            write_json(request, HTTP_BAD_REQUEST, {"error": f"not understood: {error}"})
            return
        write_json(request, HTTP_OK, faults.cuts())
