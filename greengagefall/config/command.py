"""Builds click commands from settings classes."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any, TypeVar

import click
from result import Err

from greengagefall.config.exceptions import SettingsError
from greengagefall.config.options import IpPort, Option, Settings

SettingsType = TypeVar("SettingsType", bound=Settings)
Function = TypeVar("Function", bound=Callable[..., Any])


class OptionType(click.ParamType):
    """Click parameter type that validates one value of an option."""

    def __init__(self, option: Option) -> None:
        self.name = type(option).__name__.lower()
        self._option = IpPort(help="") if option.multiple else option

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> Any:
        """Returns the converted value; fails with the allowed values if it is invalid."""
        checked = self._option.validate(value)
        if isinstance(checked, Err):
            self.fail(checked.err_value, param, ctx)
        return checked.ok_value

    def split_envvar_value(self, rv: str) -> list[str]:
        """Splits the value of an environment variable at commas and spaces."""
        return rv.replace(",", " ").split()

    def get_missing_message(
        self, param: click.Parameter, ctx: click.Context | None = None
    ) -> str | None:
        """Returns the allowed values, for the error about a missing value."""
        return f"Expected: {self._option.allowed}"


def settings_options(settings_class: type[Settings]) -> Callable[[Function], Function]:
    """Returns a decorator that adds the flags of ``settings_class`` to a command."""

    def decorate(function: Function) -> Function:
        for option in reversed(settings_class.options().values()):
            function = _click_option(option)(function)
        return function

    return decorate


def make_settings(settings_class: type[SettingsType], values: dict[str, Any]) -> SettingsType:
    """Returns the settings, or fails with a usage error that names the flag.

    Args:
        settings_class: Class of the settings.
        values: Values by option name, as click passes them.

    Raises:
        click.UsageError: A value is not allowed; the program exits with code 2.
    """
    given = {name: value for name, value in values.items() if value is not None}
    try:
        return settings_class(**given)
    except SettingsError as error:
        raise click.UsageError(f"Invalid value for {error}") from error


def settings_command(
    settings_class: type[SettingsType], run: Callable[[SettingsType], int], help: str
) -> click.Command:
    """Returns a command that validates the settings and passes them to ``run``.

    Args:
        settings_class: Class of the settings; its options become flags.
        run: Runs the program and returns its exit code.
        help: Text of ``--help``.
    """

    @click.command(help=help, context_settings={"max_content_width": 100})
    @settings_options(settings_class)
    def command(**values: Any) -> None:
        sys.exit(run(make_settings(settings_class, values)))

    return command


def _click_option(option: Option) -> Callable[[Function], Function]:
    attributes: dict[str, Any] = {
        "envvar": option.env_var,
        "show_envvar": True,
        "help": option.help,
    }
    if option.is_flag:
        return click.option(option.flag, is_flag=True, default=option.default, **attributes)
    attributes["type"] = OptionType(option)
    attributes["metavar"] = option.metavar
    if option.required:
        return click.option(option.flag, required=True, **attributes)
    return click.option(
        option.flag,
        multiple=option.multiple,
        default=option.default,
        show_default=option.default not in ("", ()),
        **attributes,
    )
