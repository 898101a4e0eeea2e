"""Runs all test modules of this package, with hypothesis derandomized."""

from __future__ import annotations

import sys
import unittest
from pathlib import Path

from hypothesis import settings

PACKAGE_DIR = Path(__file__).parent
KNOWN_RED = PACKAGE_DIR.parent.parent / "KNOWN-RED.txt"
TEST_FILES = "*_tests.py"


def known_red_ids() -> set[str]:
    """Returns the ids of the tests that KNOWN-RED.txt lists as known failures."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split()[1] for line in lines if line.startswith("test: ")}


def flatten(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    """Returns the test cases of a suite and its nested suites."""
    cases = []
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            cases.extend(flatten(item))
        else:
            cases.append(item)
    return cases


def main() -> int:
    """Runs all tests except known failures and returns the exit code."""
    settings.register_profile("ci", derandomize=True, deadline=None, database=None)
    settings.load_profile("ci")
    suite = unittest.defaultTestLoader.discover(
        str(PACKAGE_DIR), pattern=TEST_FILES, top_level_dir=str(PACKAGE_DIR.parent.parent)
    )
    known_red = known_red_ids()
    cases = [case for case in flatten(suite) if case.id() not in known_red]
    result = unittest.TextTestRunner(verbosity=1).run(unittest.TestSuite(cases))
    failed = len(result.failures) + len(result.errors)
    passed = result.testsRun - failed - len(result.skipped)
    print(f"{passed} passed, {failed} failed, {len(result.skipped)} skipped")
    return 0 if result.wasSuccessful() else 1


if __name__ == "__main__":
    sys.exit(main())
