"""Reference tables in Markdown, generated from the code, by name."""

from __future__ import annotations

import inspect
from typing import TYPE_CHECKING, Any

import click

from greengagefall.commands.ctl import main as ctl
from greengagefall.commands.exit_codes import MEANINGS
from greengagefall.config.coordinator import CoordinatorSettings
from greengagefall.config.ctl import CtlSettings
from greengagefall.config.entry import EntrySettings
from greengagefall.config.gateway import GatewaySettings
from greengagefall.gateway.outcomes import OUTCOMES
from greengagefall.protocol import gateway_messages
from greengagefall.protocol.messages import MESSAGE_KINDS, MESSAGE_TYPES
from greengagefall.protocol.refusals import REFUSALS
from greengagefall.routing.parse import DEFAULT_RETRY_RATIO, LIMIT_RANGES
from greengagefall.routing.policy_names import POLICY_AREAS, TUNING_RANGES

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from greengagefall.config.options import Settings
    from greengagefall.protocol.refusal_reasons import RefusalReason

Row = tuple[object, ...]

TABLES: dict[str, Callable[[], str]] = {}


def table(name: str) -> Callable[[Callable[[], str]], Callable[[], str]]:
    """Returns a decorator that registers a function as the renderer of the table ``name``."""

    def add(render: Callable[[], str]) -> Callable[[], str]:
        TABLES[name] = render
        return render

    return add


def render_rows(headers: Row, rows: Iterable[Row]) -> str:
    """Returns a Markdown table."""
    lines = [headers, ("---",) * len(headers), *rows]
    return "\n".join(f"| {' | '.join(_cell(cell) for cell in line)} |" for line in lines)


@table("entry-settings")
def render_entry_settings() -> str:
    """Returns the flags of ``greengagefall-entry``."""
    return _render_settings(EntrySettings)


@table("coordinator-settings")
def render_coordinator_settings() -> str:
    """Returns the flags of ``greengagefall-coordinator``."""
    return _render_settings(CoordinatorSettings)


@table("gateway-settings")
def render_gateway_settings() -> str:
    """Returns the flags of ``greengagefall-gateway``."""
    return _render_settings(GatewaySettings)


@table("ctl-settings")
def render_ctl_settings() -> str:
    """Returns the flags of ``greengagefallctl`` itself."""
    return _render_settings(CtlSettings)


@table("ctl-commands")
def render_ctl_commands() -> str:
    """Returns the commands of ``greengagefallctl``."""
    rows = ((f"`{usage}`", text) for usage, text in _commands(ctl, ""))
    return render_rows(("Command", "What it does"), rows)


@table("exit-codes")
def render_exit_codes() -> str:
    """Returns the exit codes of ``greengagefallctl``."""
    return render_rows(("Code", "Meaning"), MEANINGS.items())


@table("limits")
def render_limits() -> str:
    """Returns the fields of ``limits``."""
    rows: list[Row] = [
        (f"`{name}`", default, f"{minimum} to {maximum}")
        for name, (default, minimum, maximum) in LIMIT_RANGES.items()
    ]
    rows.append(("`retry_ratio`", DEFAULT_RETRY_RATIO, "0 to 1"))
    return render_rows(("Field", "Default", "Allowed"), rows)


@table("policies")
def render_policies() -> str:
    """Returns the policy areas with their policies."""
    rows = (
        (f"`{name}`", _code_list(area.names), f"`{area.default}`", area.description)
        for name, area in POLICY_AREAS.items()
    )
    return render_rows(("Area", "Policies", "Default", "Decides"), rows)


@table("tuning")
def render_tuning() -> str:
    """Returns the tuning parameters of policies."""
    rows = (
        (f"`{name}`", f"{allowed.minimum:g} to {allowed.maximum:g}", allowed.description)
        for name, allowed in TUNING_RANGES.items()
    )
    return render_rows(("Field", "Allowed", "Sets"), rows)


@table("refusals")
def render_refusals() -> str:
    """Returns the reasons of refusals."""
    rows = (_reason_row(row) for row in REFUSALS.values())
    return render_rows(("Reason", "Status", "`not_run`", "Tried again", "Meaning"), rows)


@table("gateway-outcomes")
def render_gateway_outcomes() -> str:
    """Returns the reasons for which the gateway has no answer from a server."""
    rows = (_reason_row(row) for row in OUTCOMES.values())
    return render_rows(("Reason", "Status", "`not_run`", "Looked up again", "Meaning"), rows)


def _reason_row(reason: RefusalReason) -> Row:
    return (
        f"`{reason.name}`",
        reason.http_status,
        "true" if reason.not_run else "false",
        "yes" if reason.retryable else "no",
        reason.meaning,
    )


@table("messages")
def render_messages() -> str:
    """Returns the messages of the internal protocol with their fields in order."""
    return _render_messages([cls for cls in MESSAGE_TYPES.values() if not _is_gateway(cls)])


@table("gateway-messages")
def render_gateway_messages() -> str:
    """Returns the messages between gateways with their fields in order."""
    return _render_messages([cls for cls in MESSAGE_TYPES.values() if _is_gateway(cls)])


def _is_gateway(cls: type) -> bool:
    return cls.__module__ == gateway_messages.__name__


def _render_messages(classes: Iterable[type]) -> str:
    sections = []
    for cls in classes:
        types = inspect.get_annotations(cls)
        fields = ", ".join(f"`{field}` {types[field]}" for field in cls._fields)
        summary = inspect.getdoc(cls).partition("\n")[0]
        sections.append(f"### {MESSAGE_KINDS[cls]}\n\n{summary}\n\nFields: {fields}.")
    return "\n\n".join(sections)


def _render_settings(settings_class: type[Settings]) -> str:
    rows = (
        (
            f"`{option.flag}`",
            f"`{option.env_var}`",
            "required" if option.required else _default(option.default),
            option.allowed,
            option.help,
        )
        for option in settings_class.options().values()
    )
    return render_rows(("Flag", "Variable", "Default", "Allowed", "Meaning"), rows)


def _default(value: Any) -> str:
    return f"`{value}`" if value not in ("", ()) else "none"


def _commands(group: click.Group, prefix: str) -> Iterator[tuple[str, str]]:
    for name, command in group.commands.items():
        if isinstance(command, click.Group):
            yield from _commands(command, f"{prefix}{name} ")
            continue
        usage = " ".join(_parameter_usage(command))
        summary = (command.help or "").strip().partition("\n")[0]
        yield f"{prefix}{name} {usage}".strip(), summary


def _parameter_usage(command: click.Command) -> Iterator[str]:
    for parameter in command.params:
        if isinstance(parameter, click.Argument):
            name = (parameter.metavar or parameter.name).upper()
            yield name if parameter.required else f"[{name}]"
            continue
        flag = parameter.opts[0]
        usage = flag if parameter.is_flag else f"{flag} {parameter.name.upper()}"
        yield usage if parameter.required else f"[{usage}]"


def _code_list(names: Iterable[str]) -> str:
    return ", ".join(f"`{name}`" for name in names)


def _cell(value: object) -> str:
    return str(value).replace("|", "\\|")
