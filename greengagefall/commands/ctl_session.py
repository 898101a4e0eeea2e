"""Connections, errors and exit codes shared by the commands of ``greengagefallctl``."""

from __future__ import annotations

import asyncio
import json
import sys
from typing import TYPE_CHECKING, Any, NoReturn, TypeVar
from urllib.parse import urlencode

import click
from result import Err, Ok, Result
from tornado.httpclient import AsyncHTTPClient, HTTPError

from greengagefall.commands import exit_codes
from greengagefall.commands.output import print_json
from greengagefall.routing.exceptions import (
    PatchOutcomeUnknownError,
    RegistryUnavailableError,
    StalePatchError,
)
from greengagefall.store.client import StoreClient

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from greengagefall.config.ctl import CtlSettings
    from greengagefall.store.model import Store

HTTP_OK = 200
ADMIN_PREFIX = "/.greengagefall/"

Value = TypeVar("Value")


class EntryError(Exception):
    """An entry host gave no usable answer to a request of ``greengagefallctl``."""


class Connections:
    """Connects to the store and to entry hosts; tests replace it by a fake."""

    def store(self, settings: CtlSettings) -> Store:
        """Returns a client of the store, not yet started."""
        return StoreClient(settings.store, call_timeout_s=settings.call_timeout_s)

    async def fetch(self, address: str, path: str, timeout_s: float) -> Result[Any, EntryError]:
        """Returns the JSON document that an entry host serves at ``path``."""
        url = f"http://{address}{path}"
        try:
            answer = await AsyncHTTPClient().fetch(
                url, connect_timeout=timeout_s, request_timeout=timeout_s, raise_error=False
            )
        except (OSError, HTTPError) as error:
            return Err(EntryError(f"{address}: {error}"))
        try:
            document = json.loads(answer.body)
        except ValueError:
            document = None
        if not isinstance(document, dict):
            return Err(EntryError(f"{address}: status {answer.code}, no JSON object"))
        if answer.code != HTTP_OK:
            return Err(EntryError(f"{address}: {document.get('error', answer.reason)}"))
        return Ok(document)


class CtlSession:
    """One invocation of ``greengagefallctl``.

    Attributes:
        settings: Settings of the invocation.
    """

    def __init__(self, settings: CtlSettings, connections: Connections) -> None:
        self.settings = settings
        self._connections = connections

    def with_store(self, work: Callable[[Store], Awaitable[Result[Value, Exception]]]) -> Value:
        """Runs ``work`` with the store and returns its value; exits the program if it fails."""
        if not self.settings.store:
            raise click.UsageError("This command needs --store (GREENGAGEFALL_STORE).")
        return self._unwrap(asyncio.run(self._run_with_store(work)))

    def fetch_first(self, page: str, **arguments: str) -> Any:
        """Returns an admin page from the first entry host that serves it.

        Exits the program if none does.
        """
        failures = []
        for _, answer in self.fetch_all(page, **arguments):
            if isinstance(answer, Ok):
                return answer.ok_value
            failures.append(str(answer.err_value))
        return fail(exit_codes.REFUSED, "; ".join(failures))

    def fetch_all(self, page: str, **arguments: str) -> list[tuple[str, Result[Any, EntryError]]]:
        """Returns the address of each entry host with its answer for an admin page."""
        if not self.settings.entry:
            raise click.UsageError("This command needs --entry (GREENGAGEFALL_ENTRY).")
        path = ADMIN_PREFIX + page
        if arguments:
            path += "?" + urlencode(arguments)
        return asyncio.run(self._fetch_from_all(path))

    def print_version(self, version: int, patch_id: str, text: str) -> None:
        """Prints ``text``, or with ``--json`` the version and patch id of a change."""
        if self.settings.json:
            print_json({"version": version, "patch_id": patch_id})
            return
        click.echo(text)

    async def _run_with_store(
        self, work: Callable[[Store], Awaitable[Result[Value, Exception]]]
    ) -> Result[Value, Exception]:
        store = self._connections.store(self.settings)
        await store.start()
        try:
            return await work(store)
        finally:
            await store.close()

    async def _fetch_from_all(self, path: str) -> list[tuple[str, Result[Any, EntryError]]]:
        timeout_s = self.settings.call_timeout_s
        addresses = self.settings.entry
        answers = await asyncio.gather(
            *(self._connections.fetch(address, path, timeout_s) for address in addresses)
        )
        return list(zip(addresses, answers, strict=True))

    def _unwrap(self, outcome: Result[Value, Exception]) -> Value:
        if isinstance(outcome, Ok):
            return outcome.ok_value
        error = outcome.err_value
        message = str(error)
        if isinstance(error, RegistryUnavailableError):
            message = f"the store at {self.settings.store} is not available: {message}"
        return fail(exit_code_of(error), message)


def exit_code_of(error: Exception) -> int:
    """Returns the exit code for ``error``."""
    if isinstance(error, StalePatchError):
        return exit_codes.STALE_PATCH
    if isinstance(error, RegistryUnavailableError):
        return exit_codes.STORE_UNAVAILABLE
    if isinstance(error, PatchOutcomeUnknownError):
        return exit_codes.OUTCOME_UNKNOWN
    return exit_codes.REFUSED


def fail(code: int, message: str) -> NoReturn:
    """Prints a message on standard error and exits the program with ``code``."""
    click.echo(f"Error: {message}", err=True)
    sys.exit(code)
