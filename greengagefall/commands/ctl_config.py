"""Commands that show and change the routing configuration."""

from __future__ import annotations

import json
import uuid
from typing import TYPE_CHECKING, Any

import click
from result import Err, Ok, Result

from greengagefall.commands import exit_codes
from greengagefall.commands.ctl_config_check import check
from greengagefall.commands.ctl_session import CtlSession, fail
from greengagefall.commands.output import print_json, print_rows
from greengagefall.commands.removal_check import check_removals
from greengagefall.routing.diff import diff_documents
from greengagefall.routing.exceptions import ConfigError, RoutingError
from greengagefall.routing.parse import empty_config
from greengagefall.routing.patch import Patch, apply_patch
from greengagefall.routing.records import load_current_config, load_history, load_version
from greengagefall.routing.registry import propose

if TYPE_CHECKING:
    from greengagefall.routing.model import RoutingConfig
    from greengagefall.store.model import Store

CONFIG_HELP = "Shows and changes the routing configuration."
SHOW_HELP = "Prints the current version, or the one with the given number, as JSON."
APPLY_HELP = """Creates the next version from a JSON Merge Patch (RFC 7386).

FILE contains the patch; - reads standard input. The first version is a patch against version 0.
The patch is refused if --base-version is not the current version, or if the resulting
configuration is invalid. After exit code 5, repeat the command with the printed patch id: a patch
id is accepted at most once.
"""
HISTORY_HELP = "Lists the versions that the store still holds and what each one changed."
DIFF_HELP = "Lists the fields in which two versions differ."
BASE_HELP = "Version that the patch applies to."
PATCH_ID_HELP = "Id of the patch, to repeat one of unknown outcome; generated if omitted."
DRY_RUN_HELP = "Check the patch against the current version and list its changes; apply nothing."
VERSION_HELP = "Number of the version."

DIFF_HEADERS = ("Path", "Before", "After")


@click.group(help=CONFIG_HELP)
def config() -> None:
    """Groups the commands for the configuration."""


config.add_command(check)


@config.command(help=SHOW_HELP)
@click.option("--version", type=click.IntRange(min=1), help=VERSION_HELP)
@click.pass_obj
def show(session: CtlSession, version: int | None) -> None:
    """Prints one version."""
    print_json(session.with_store(lambda store: _load(store, version)).document)


@config.command(help=APPLY_HELP)
@click.argument("file", type=click.File())
@click.option("--base-version", type=click.IntRange(min=0), required=True, help=BASE_HELP)
@click.option("--patch-id", help=PATCH_ID_HELP)
@click.option("--dry-run", is_flag=True, help=DRY_RUN_HELP)
@click.pass_obj
def apply(
    session: CtlSession, file: Any, base_version: int, patch_id: str | None, dry_run: bool
) -> None:
    """Proposes a patch."""
    patch = Patch(base_version, patch_id or uuid.uuid4().hex, _read_merge(file))
    if dry_run:
        before, after = session.with_store(lambda store: _preview_patch(store, patch))
        _print_diff(session, before.document, after.document)
        return
    accepted = session.with_store(lambda store: _check_and_propose(store, patch))
    text = f"Version {accepted.version} is accepted (patch {accepted.patch_id})."
    session.print_version(accepted.version, accepted.patch_id, text)


@config.command(help=HISTORY_HELP)
@click.pass_obj
def history(session: CtlSession) -> None:
    """Lists the versions in the store."""
    documents = session.with_store(load_history)
    rows = []
    for version in sorted(documents):
        before = documents.get(version - 1) if version > 1 else {}
        changed = "" if before is None else _changed_paths(before, documents[version])
        rows.append((version, documents[version].get("patch_id", ""), changed))
    print_rows(session.settings.json, ("Version", "Patch id", "Changed"), rows)


@config.command(help=DIFF_HELP)
@click.argument("before", type=click.IntRange(min=1))
@click.argument("after", type=click.IntRange(min=1))
@click.pass_obj
def diff(session: CtlSession, before: int, after: int) -> None:
    """Lists the differences between two versions."""
    first = session.with_store(lambda store: _load(store, before))
    second = session.with_store(lambda store: _load(store, after))
    _print_diff(session, first.document, second.document)


def _read_merge(file: Any) -> dict[str, Any]:
    try:
        merge = json.load(file)
    except (ValueError, RecursionError) as error:
        fail(exit_codes.REFUSED, f"{file.name}: not JSON: {error}")
    if not isinstance(merge, dict):
        fail(exit_codes.REFUSED, f"{file.name}: not a JSON object")
    return merge


async def _load(store: Store, version: int | None) -> Result[RoutingConfig, RoutingError]:
    loaded = await (load_current_config(store) if version is None else load_version(store, version))
    if isinstance(loaded, Ok) and loaded.ok_value is None:
        missing = "no version yet" if version is None else f"no version {version}"
        return Err(ConfigError("version", f"the store holds {missing}"))
    return loaded


async def _check_and_propose(store: Store, patch: Patch) -> Result[RoutingConfig, RoutingError]:
    patched = await _preview_patch(store, patch)
    if isinstance(patched, Ok):
        checked = await check_removals(store, *patched.ok_value)
        if isinstance(checked, Err):
            return checked
    # `propose` is also called after a failed preview: it recognizes a patch that was accepted
    # before.
    return await propose(store, patch)


async def _preview_patch(
    store: Store, patch: Patch
) -> Result[tuple[RoutingConfig, RoutingConfig], RoutingError]:
    head = await load_current_config(store)
    if isinstance(head, Err):
        return head
    before = head.ok_value or empty_config()
    return apply_patch(before, patch).map(lambda after: (before, after))


def _changed_paths(before: dict[str, Any], after: dict[str, Any]) -> str:
    return ", ".join(difference.path for difference in diff_documents(before, after))


def _print_diff(session: CtlSession, before: dict[str, Any], after: dict[str, Any]) -> None:
    rows = [
        (difference.path, _as_text(difference.before), _as_text(difference.after))
        for difference in diff_documents(before, after)
    ]
    print_rows(session.settings.json, DIFF_HEADERS, rows)


def _as_text(value: Any) -> str:
    return "-" if value is None else json.dumps(value, ensure_ascii=False)
