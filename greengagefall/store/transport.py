"""HTTP calls to the store; the class of an error shows whether the call may have taken effect."""

from __future__ import annotations

import json
import logging
from typing import Any

from result import Err, Ok, Result
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import HTTPTimeoutError

from greengagefall.store.exceptions import (
    StoreError,
    StoreLeaseLostError,
    StoreOutcomeUnknownError,
    StoreRefusedError,
    StoreUnavailableError,
)

log = logging.getLogger(__name__)

MAX_CALLS_IN_FLIGHT = 64
GRPC_NOT_FOUND = 5  # gRPC status code.
NOT_SENT_TIMEOUTS = ("Timeout while connecting", "Timeout in request queue")


class HttpTransport:
    """Calls the gateway at one address.

    Args:
        address: ``IP:port``.
        call_timeout_s: Timeout of one call.
        headers: Headers of each call.
    """

    def __init__(self, address: str, call_timeout_s: float, headers: dict[str, str]) -> None:
        self._url = f"http://{address}"
        self._call_timeout_s = call_timeout_s
        self._headers = headers
        self._client: AsyncHTTPClient | None = None

    async def start(self) -> None:
        """Creates the HTTP client."""
        self._client = AsyncHTTPClient(force_instance=True, max_clients=MAX_CALLS_IN_FLIGHT)

    async def close(self) -> None:
        """Closes the HTTP client."""
        if self._client is not None:
            self._client.close()
            self._client = None

    async def call(
        self, path: str, body: dict[str, Any], *, is_write: bool
    ) -> Result[dict[str, Any], StoreError]:
        """Posts a JSON object and returns the JSON object of the answer.

        Args:
            path: URL path of the call.
            body: The request.
            is_write: Whether the call may change data, so that its outcome is unknown without an
                answer.
        """
        if self._client is None:
            return Err(StoreUnavailableError("the store client is not started or was closed"))
        request = HTTPRequest(
            self._url + path,
            method="POST",
            headers=self._headers,
            body=json.dumps(body),
            request_timeout=self._call_timeout_s,
            connect_timeout=self._call_timeout_s,
            follow_redirects=False,
        )
        unanswered = StoreOutcomeUnknownError if is_write else StoreUnavailableError
        try:
            response = await self._client.fetch(request, raise_error=False)
        except ConnectionRefusedError as error:
            return Err(StoreUnavailableError(f"{path}: {error}"))
        except HTTPTimeoutError as error:
            if error.message in NOT_SENT_TIMEOUTS:
                return Err(StoreUnavailableError(f"{path}: {error.message}"))
            return Err(unanswered(f"{path}: {error.message}"))
        except (HTTPClientError, OSError) as error:
            return Err(unanswered(f"{path}: {error}"))
        return _read_answer(path, response, unanswered)


def _read_answer(
    path: str, response: HTTPResponse, unanswered: type[StoreError]
) -> Result[dict[str, Any], StoreError]:
    if response.code >= 500:
        return Err(unanswered(f"{path}: status {response.code}"))
    try:
        answer = json.loads(response.body)
    except (ValueError, RecursionError):
        return Err(unanswered(f"{path}: the answer is not JSON"))
    if not isinstance(answer, dict):
        return Err(unanswered(f"{path}: the answer is not a JSON object"))
    if response.code == 200 and "error" in answer:
        return Err(unanswered(f"{path}: {answer['error']}"))
    if response.code == 200:
        return Ok(answer)
    message = f"{path}: status {response.code}: {answer.get('message', '')}"
    if answer.get("code") == GRPC_NOT_FOUND:
        return Err(StoreLeaseLostError(message))
    return Err(StoreRefusedError(message))
