"""Client of the platform's host list, in Prometheus HTTP service discovery form."""

from __future__ import annotations

import json
import logging
from typing import Any, NamedTuple

from result import Err, Ok, Result
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from greengagefall.store.exceptions import HostListError
from greengagefall.utils.metrics import count

log = logging.getLogger(__name__)

STATE_LIVE = "live"
STATE_LEAVING = "leaving"
HOST_STATES = (STATE_LIVE, STATE_LEAVING)
FETCH_TIMEOUT_S = 1.0


class ListedHost(NamedTuple):
    """A host in the list, which may lag behind the host's current state.

    Attributes:
        host: Name of the host.
        zone: Its availability zone.
        address: ``IP:port`` of its peer interface.
        http_address: ``IP:port`` of its interface for callers, empty for none.
        state: ``live`` or ``leaving``.
    """

    host: str
    zone: str
    address: str
    http_address: str
    state: str


class HostListClient:
    """Reads the host list at one address.

    Args:
        address: ``IP:port``.
        timeout_s: Timeout of one call.
    """

    def __init__(self, address: str, *, timeout_s: float = FETCH_TIMEOUT_S) -> None:
        self._url = f"http://{address}/hosts"
        self._timeout_s = timeout_s
        self._client: AsyncHTTPClient | None = None

    async def start(self) -> None:
        """Creates the HTTP client."""
        self._client = AsyncHTTPClient(force_instance=True)

    async def close(self) -> None:
        """Closes the HTTP client."""
        if self._client is not None:
            self._client.close()
            self._client = None

    async def fetch(self) -> Result[list[ListedHost], HostListError]:
        """Returns the list; malformed entries are counted and omitted."""
        if self._client is None:
            return Err(HostListError("the host list client is not started or was closed"))
        try:
            response = await self._client.fetch(
                self._url, request_timeout=self._timeout_s, connect_timeout=self._timeout_s
            )
            rows = json.loads(response.body)
        except (HTTPClientError, OSError, ValueError, RecursionError) as error:
            count("host_list_errors")
            return Err(HostListError(str(error)))
        if not isinstance(rows, list):
            count("host_list_errors")
            return Err(HostListError("the host list is not a JSON array"))
        hosts = [_parse_host(row) for row in rows]
        return Ok([host for host in hosts if host is not None])


def _parse_host(row: Any) -> ListedHost | None:
    try:
        labels = row["labels"]
        host = ListedHost(
            host=labels["host"],
            zone=labels["zone"],
            address=row["targets"][0],
            http_address=labels.get("http", ""),
            state=labels.get("state", STATE_LIVE),
        )
    except (KeyError, IndexError, TypeError, AttributeError):
        host = None
    if host is None or host.state not in HOST_STATES or not all(_is_text(field) for field in host):
        count("host_list_bad_entries")
        log.warning("An entry of the host list is malformed and is omitted: %r.", row)
        return None
    return host


def _is_text(field: Any) -> bool:
    return isinstance(field, str)
