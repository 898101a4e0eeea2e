"""Output of tables and JSON on standard output."""

from __future__ import annotations

import json
from typing import Any

import click

COLUMN_GAP = "  "


def render_table(headers: tuple[str, ...], rows: list[tuple[object, ...]]) -> str:
    """Returns the rows as text, in aligned columns below their headers."""
    cells = [headers, *([_as_text(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headers))]
    lines = (
        COLUMN_GAP.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    )
    return "\n".join(lines)


def print_json(value: Any) -> None:
    """Prints ``value`` as indented JSON."""
    click.echo(json.dumps(value, indent=2, ensure_ascii=False, sort_keys=True))


def print_rows(as_json: bool, headers: tuple[str, ...], rows: list[tuple[object, ...]]) -> None:
    """Prints rows as a table, or as a JSON array of objects with the headers as keys."""
    if as_json:
        fields = [header.lower().replace(" ", "_") for header in headers]
        print_json([dict(zip(fields, row, strict=True)) for row in rows])
        return
    click.echo(render_table(headers, rows))


def _as_text(cell: object) -> str:
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    return str(cell)
