"""Inserts the generated reference tables into the pages.

The table NAME is between the markers ``<!-- table: NAME -->`` and ``<!-- end -->``.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import TYPE_CHECKING

from greengagefall.documentation.tables import TABLES

if TYPE_CHECKING:
    from collections.abc import Iterator

DOCS_DIR = Path(__file__).parent.parent.parent / "docs"
TABLE_PATTERN = re.compile(r"(<!-- table: ([\w-]+) -->\n).*?(<!-- end -->)", re.DOTALL)


def pages() -> Iterator[Path]:
    """Yields the paths of all pages."""
    yield from sorted(DOCS_DIR.rglob("*.md"))


def table_names(text: str) -> list[str]:
    """Returns the names of the tables in a page."""
    return [match.group(2) for match in TABLE_PATTERN.finditer(text)]


def fill_tables(text: str) -> str:
    """Returns the text of a page with regenerated tables."""
    return TABLE_PATTERN.sub(_render_match, text)


def _render_match(match: re.Match[str]) -> str:
    begin, name, end = match.groups()
    return f"{begin}\n{TABLES[name]()}\n\n{end}"
