"""Sets faults by name, for the fault endpoints of the stand-ins."""

from __future__ import annotations

from typing import Any, NamedTuple, TypeVar

FaultsType = TypeVar("FaultsType", bound=NamedTuple)


def change_faults(faults: FaultsType, changes: dict[str, Any]) -> FaultsType:
    """Returns ``faults`` with the fields in ``changes`` replaced.

    Raises:
        ValueError: A field is unknown or its value has the wrong type.
    """
    fields: dict[str, Any] = {}
    for name, value in changes.items():
        if name not in faults._fields:
            raise ValueError(f"unknown fault {name!r}; known: {', '.join(faults._fields)}")
        fields[name] = _coerce(name, value, type(getattr(faults, name)))
    return faults._replace(**fields)


def _coerce(name: str, value: Any, expected_type: type) -> Any:
    if expected_type is float and type(value) is int:
        return float(value)
    if expected_type is tuple and isinstance(value, list):
        return tuple(value)
    if type(value) is not expected_type:
        raise ValueError(f"{name} is a {expected_type.__name__}, not {value!r}")
    return value
