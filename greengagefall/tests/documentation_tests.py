"""Tests that the pages in docs/ match the code."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

from greengagefall.documentation.pages import DOCS_DIR, fill_tables, pages, table_names
from greengagefall.documentation.tables import TABLES
from greengagefall.gateway.outcomes import OUTCOMES
from greengagefall.protocol.refusals import REFUSALS
from greengagefall.routing import parse

REPOSITORY_DIR = DOCS_DIR.parent
PACKAGE_DIR = Path(__file__).parent.parent
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")
METRIC_ROW = re.compile(r"^\| (`[^|]+`) \| ", re.MULTILINE)
METRIC_NAME = re.compile(r"`([a-z_]+)")
FIELDS = (
    *parse.DOCUMENT_FIELDS,
    *parse.ZONE_FIELDS,
    *parse.BACK_END_FIELDS,
    *parse.CLASS_FIELDS,
    *parse.SERVER_FIELDS,
)


def read(name: str) -> str:
    """Returns the text of a page."""
    return (DOCS_DIR / name).read_text()


class DocumentationTests(unittest.TestCase):
    def test_reference_tables_are_up_to_date(self):
        """Run ``python -m greengagefall.documentation`` if this fails."""
        for path in pages():
            text = path.read_text()
            self.assertEqual(fill_tables(text), text, path.name)

    def test_every_table_is_in_a_page(self):
        present = {name for path in pages() for name in table_names(path.read_text())}
        self.assertEqual(present, TABLES.keys())

    def test_every_refusal_has_advice(self):
        advice = read("user-guide/refusals.md").partition("## What to do")[2]
        named = re.findall(r"^\| `(\w+)` \|", advice, re.MULTILINE)
        self.assertEqual(named, list(REFUSALS))

    def test_reasons_of_the_gateway_with_advice_exist(self):
        section = read("user-guide/refusals.md").partition("## Of the gateway")[2]
        named = re.findall(r"^\| `(\w+)` \|", section.partition("## ")[0], re.MULTILINE)
        self.assertTrue(named)
        self.assertEqual(set(named) - OUTCOMES.keys(), set())

    def test_every_field_of_the_configuration_is_described(self):
        described = set(re.findall(r"^\| `(\w+)` \|", read("user-guide/configuration.md"), re.M))
        self.assertEqual(set(FIELDS) - described, set())

    def test_metrics_to_watch_exist(self):
        sources = "".join(path.read_text() for path in PACKAGE_DIR.rglob("*.py"))
        watched = read("user-guide/operating.md").partition("## What to watch")[2]
        rows = METRIC_ROW.findall(watched)
        self.assertTrue(rows)
        for name in {name for row in rows for name in METRIC_NAME.findall(row)}:
            self.assertRegex(sources, rf'(count|observe_ms)\(\s*"{name}"')

    def test_links_point_to_existing_files(self):
        for path in [*pages(), REPOSITORY_DIR / "README.md"]:
            for target in LINK.findall(path.read_text()):
                self.assertTrue((path.parent / target).exists(), f"{path.name}: {target}")

    def test_paths_of_the_code_exist(self):
        page = read("developer-guide/where-a-change-goes.md")
        for name in re.findall(r"`(\w+/\w+\.py)`", page):
            self.assertTrue((PACKAGE_DIR / name).exists(), name)


if __name__ == "__main__":
    unittest.main()
