"""HTTP clients that are compared for requests to backend servers."""

from __future__ import annotations

from typing import Protocol

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from greengagefall.dispatch.connection_pool import ConnectionPool, HttpRequest
from greengagefall.dispatch.exceptions import DispatchError
from greengagefall.utils.registry import Registry

MAX_ANSWER_BYTES = 4 * 1024 * 1024
TIMEOUT_S = 5.0
NO_ANSWER = 0


class Client(Protocol):
    """An HTTP client to measure."""

    async def get(self, address: str, path: str, request_id: str) -> int:
        """Returns the status of a GET request, 0 for no answer."""

    def close(self) -> None:
        """Closes all connections."""


CLIENTS: Registry[type[Client]] = Registry("client")


@CLIENTS.register("kept")
class PersistentClient:
    """The project's pool of persistent connections on Tornado's HTTP/1 connection class."""

    def __init__(self, callers: int) -> None:
        self._pools: dict[str, ConnectionPool] = {}

    async def get(self, address: str, path: str, request_id: str) -> int:
        """Returns the status of a GET request, 0 for no answer."""
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = ConnectionPool(address, MAX_ANSWER_BYTES)
        request = HttpRequest("GET", path, [["X-Request-Id", request_id]], b"")
        try:
            return (await pool.exchange(request, TIMEOUT_S, lambda: True)).status
        except DispatchError:
            return NO_ANSWER

    def close(self) -> None:
        """Closes all connections."""
        for pool in self._pools.values():
            pool.close()


class _TornadoClient:
    """A client with the interface of Tornado's ``AsyncHTTPClient``."""

    def __init__(self, client: SimpleAsyncHTTPClient | CurlAsyncHTTPClient) -> None:
        self._client = client

    async def get(self, address: str, path: str, request_id: str) -> int:
        """Returns the status of a GET request, 0 for no answer."""
        answer = await self._client.fetch(
            f"http://{address}{path}",
            headers={"X-Request-Id": request_id},
            request_timeout=TIMEOUT_S,
            raise_error=False,
        )
        return 200 if answer.code == 200 else NO_ANSWER

    def close(self) -> None:
        """Closes all connections."""
        self._client.close()


@CLIENTS.register("simple")
class SimpleClient(_TornadoClient):
    """Tornado's ``SimpleAsyncHTTPClient``: opens a connection for each request."""

    def __init__(self, callers: int) -> None:
        super().__init__(SimpleAsyncHTTPClient(force_instance=True, max_clients=callers))


@CLIENTS.register("curl")
class CurlClient(_TornadoClient):
    """Tornado's client on libcurl, with persistent connections."""

    def __init__(self, callers: int) -> None:
        super().__init__(CurlAsyncHTTPClient(force_instance=True, max_clients=callers))
