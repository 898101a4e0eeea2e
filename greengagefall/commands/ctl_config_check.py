"""The command that checks a configuration of the platform's form before it is written."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import click

from greengagefall.commands import exit_codes
from greengagefall.commands.ctl_session import fail
from greengagefall.commands.output import print_rows
from greengagefall.platform.configuration_check import ERROR, check_configuration
from greengagefall.platform.configuration_diff import diff_configurations
from greengagefall.platform.exceptions import RecordError
from greengagefall.platform.fields import read_object

if TYPE_CHECKING:
    from greengagefall.commands.ctl_session import CtlSession

CHECK_HELP = """Checks a configuration of the platform's form; sends nothing.

FILE contains the whole configuration; - reads standard input. Lists
errors (unreadable values, limits that contradict each other), entries that can never match, and
with --against the differences from the version in force. Ends with exit code 1 if there are
errors. API keys are never printed.
"""
AGAINST_HELP = "File with the version in force."

HEADERS = ("Kind", "Path", "Message")


@click.command(help=CHECK_HELP)
@click.argument("file", type=click.File("rb"))
@click.option("--against", type=click.File("rb"), help=AGAINST_HELP)
@click.pass_obj
def check(session: CtlSession, file: Any, against: Any) -> None:
    """Lists the findings of all checks."""
    document = _read(file)
    findings = _or_fail(file, check_configuration, document)
    if against is not None:
        in_force = _read(against)
        _or_fail(against, check_configuration, in_force)
        findings += diff_configurations(in_force, document)
    print_rows(session.settings.json, HEADERS, [tuple(finding) for finding in findings])
    if any(finding.kind == ERROR for finding in findings):
        sys.exit(exit_codes.REFUSED)


def _read(file: Any) -> dict[str, Any]:
    return _or_fail(file, lambda value: read_object(file.name, value), file.read())


def _or_fail(file: Any, work: Any, value: Any) -> Any:
    try:
        return work(value)
    except RecordError as error:
        return fail(exit_codes.REFUSED, f"{file.name}: {error}")
