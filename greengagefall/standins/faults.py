"""Changing faults by name, for the stand-ins' fault endpoints."""

from __future__ import annotations

from typing import Any, NamedTuple, TypeVar

FaultsType = TypeVar("FaultsType", bound=NamedTuple)


def change_faults(faults: FaultsType, changes: dict[str, Any]) -> FaultsType:
    """Returns ``faults`` with some fields changed.

    Raises:
        ValueError: A field is unknown or its value has another type.
    """
    fields: dict[str, Any] = {}
    for name, value in changes.items():
        if name not in faults._fields:
            raise ValueError(f"unknown fault {name!r}; known: {', '.join(faults._fields)}")
        fields[name] = _coerce(name, value, type(getattr(faults, name)))
    return faults._replace(**fields)


def _coerce(name: str, value: Any, wanted: type) -> Any:
    if wanted is float and type(value) is int:
        return float(value)
    if wanted is tuple and isinstance(value, list):
        return tuple(value)
    if type(value) is not wanted:
        raise ValueError(f"{name} is a {wanted.__name__}, not {value!r}")
    return value
