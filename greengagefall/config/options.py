"""Declarative settings with validation.

A settings class lists its options as class attributes. Each option has a flag
(``--http-listen``) and an environment variable (``GREENGAGEFALL_HTTP_LISTEN``);
the flag takes precedence over the variable.
"""

from __future__ import annotations

import math
from typing import Any, Generic, TypeVar

from result import Err, Ok, Result

from greengagefall.config.exceptions import SettingsError
from greengagefall.routing.addresses import ADDRESS_RULE, is_address
from greengagefall.routing.fields import NAME_PATTERN, NAME_RULE

ENV_PREFIX = "GREENGAGEFALL_"
TRUE_TEXTS = ("true", "1", "yes", "on")
FALSE_TEXTS = ("false", "0", "no", "off")

Value = TypeVar("Value")
Number = TypeVar("Number", int, float)


class Required:
    """Marks an option that has no default."""


REQUIRED = Required()


class Option(Generic[Value]):
    """One setting; subclasses validate and convert its value.

    Attributes:
        name: Name of the class attribute that holds the option.
        default: Value if none is given, or ``REQUIRED``.
        help: One sentence for ``--help`` and the reference.
        multiple: Whether the flag may be repeated.
        is_flag: Whether the flag takes no value.
        metavar: Placeholder of the value in ``--help``.
    """

    metavar = "VALUE"
    multiple = False
    is_flag = False

    def __init__(self, default: Value | Required = REQUIRED, *, help: str) -> None:
        self.name = ""
        self.default = default
        self.help = help

    def __set_name__(self, owner: type, name: str) -> None:
        self.name = name

    def __get__(self, instance: Settings | None, owner: type) -> Any:
        """Returns the value in ``instance``, or the option itself if read from the class."""
        if instance is None:
            return self
        return instance.values[self.name]

    @property
    def flag(self) -> str:
        """The flag, such as ``--http-listen``."""
        return "--" + self.name.replace("_", "-")

    @property
    def env_var(self) -> str:
        """The environment variable, such as ``GREENGAGEFALL_HTTP_LISTEN``."""
        return ENV_PREFIX + self.name.upper()

    @property
    def required(self) -> bool:
        """Whether a value must be given."""
        return isinstance(self.default, Required)

    @property
    def allowed(self) -> str:
        """Allowed values, as the end of an error message."""
        raise NotImplementedError

    def validate(self, value: object) -> Result[Value, str]:
        """Returns ``value`` (text or already converted) converted, or an error message."""
        converted = self.convert(value)
        if converted is None:
            return Err(f"{value!r} is not allowed; expected {self.allowed}")
        return Ok(converted)

    def convert(self, value: object) -> Value | None:
        """Returns the converted value, or None if it is not allowed."""
        raise NotImplementedError


class Name(Option[str]):
    """Name of a host or availability zone."""

    metavar = "NAME"

    @property
    def allowed(self) -> str:
        """Allowed values."""
        return NAME_RULE

    def convert(self, value: object) -> str | None:
        """Returns the name, or None if it is not allowed."""
        if isinstance(value, str) and NAME_PATTERN.fullmatch(value):
            return value
        return None


class IpPort(Option[str]):
    """Address in the form ``IP:port``; an empty default means that there is no address."""

    metavar = "IP:PORT"

    @property
    def allowed(self) -> str:
        """Allowed values."""
        return ADDRESS_RULE

    def convert(self, value: object) -> str | None:
        """Returns the address, or None if it is not allowed."""
        if isinstance(value, str) and (is_address(value) or value == self.default):
            return value
        return None


class IpPorts(Option[tuple[str, ...]]):
    """Any number of addresses, separated by commas or spaces in the environment variable."""

    metavar = "IP:PORT"
    multiple = True

    @property
    def allowed(self) -> str:
        """Allowed values."""
        return ADDRESS_RULE

    def convert(self, value: object) -> tuple[str, ...] | None:
        """Returns the addresses, or None if one is not allowed."""
        parts = value.replace(",", " ").split() if isinstance(value, str) else value
        if not isinstance(parts, (tuple, list)):
            return None
        if not all(isinstance(part, str) and is_address(part) for part in parts):
            return None
        return tuple(parts)


class Ranged(Option[Number]):
    """Number in a range, both ends included."""

    def __init__(
        self,
        default: Number | Required = REQUIRED,
        *,
        minimum: Number,
        maximum: Number,
        help: str,
    ) -> None:
        super().__init__(default, help=help)
        self.minimum = minimum
        self.maximum = maximum


class Integer(Ranged[int]):
    """Integer in a range."""

    metavar = "NUMBER"

    @property
    def allowed(self) -> str:
        """Allowed values."""
        return f"an integer from {self.minimum} to {self.maximum}"

    def convert(self, value: object) -> int | None:
        """Returns the integer, or None if it is not allowed."""
        try:
            number = int(str(value))
        except ValueError:
            return None
        return number if self.minimum <= number <= self.maximum else None


class DurationS(Ranged[float]):
    """Duration in seconds, in a range."""

    metavar = "SECONDS"

    @property
    def allowed(self) -> str:
        """Allowed values."""
        return f"seconds from {self.minimum:g} to {self.maximum:g}"

    def convert(self, value: object) -> float | None:
        """Returns the seconds, or None if they are not allowed."""
        try:
            seconds = float(str(value))
        except ValueError:
            return None
        if not math.isfinite(seconds) or not self.minimum <= seconds <= self.maximum:
            return None
        return seconds


class Choice(Option[str]):
    """One of a fixed set of words."""

    metavar = "WORD"

    def __init__(
        self, default: str | Required = REQUIRED, *, choices: tuple[str, ...], help: str
    ) -> None:
        super().__init__(default, help=help)
        self.choices = choices

    @property
    def allowed(self) -> str:
        """Allowed values."""
        return "one of " + ", ".join(self.choices)

    def convert(self, value: object) -> str | None:
        """Returns the word, or None if it is not allowed."""
        return value if isinstance(value, str) and value in self.choices else None


class Switch(Option[bool]):
    """A flag without a value; off by default."""

    is_flag = True

    def __init__(self, default: bool = False, *, help: str) -> None:
        super().__init__(default, help=help)

    @property
    def allowed(self) -> str:
        """Allowed values."""
        return "true or false"

    def convert(self, value: object) -> bool | None:
        """Returns the boolean, or None if it is not allowed."""
        text = str(value).lower()
        if text in TRUE_TEXTS:
            return True
        return False if text in FALSE_TEXTS else None


class Settings:
    """Base class of the settings of one program.

    Attributes:
        values: Validated values by option name.
    """

    def __init__(self, **given: object) -> None:
        """Validates the given values and uses defaults for the others.

        Args:
            **given: Values by option name, as text or already converted.

        Raises:
            SettingsError: A value is missing or not allowed, or a name is unknown.
        """
        self.values: dict[str, Any] = {}
        options = self.options()
        for name in given:
            if name not in options:
                raise SettingsError(name, f"unknown setting; expected one of {', '.join(options)}")
        for name, option in options.items():
            self.values[name] = _validated_value(option, given)
        self.check()

    @classmethod
    def options(cls) -> dict[str, Option]:
        """Returns the options by name, those of base classes first."""
        found: dict[str, Option] = {}
        for owner in reversed(cls.__mro__):
            for name, value in vars(owner).items():
                if isinstance(value, Option):
                    found[name] = value
        return found

    def check(self) -> None:
        """Checks rules that involve several options; subclasses override it.

        Raises:
            SettingsError: A rule is violated.
        """


def _validated_value(option: Option, given: dict[str, object]) -> Any:
    if option.name not in given:
        if option.required:
            raise SettingsError(option.flag, f"is required; expected {option.allowed}")
        return option.default
    checked = option.validate(given[option.name])
    if isinstance(checked, Err):
        raise SettingsError(option.flag, checked.err_value)
    return checked.ok_value
