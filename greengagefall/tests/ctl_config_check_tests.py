"""Tests of ``greengagefallctl config check``."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from click.testing import CliRunner

from greengagefall.commands import exit_codes
from greengagefall.commands.ctl import main
from greengagefall.commands.ctl_session import Connections
from greengagefall.platform.entry_reader import EntryReader
from greengagefall.standins.platform_documents import rule
from greengagefall.tests.platform_configuration_tests import RULE, SECRET, document, with_value


def write(path: Path, content: bytes | dict) -> str:
    """Writes a document; returns the path."""
    path.write_bytes(content if isinstance(content, bytes) else json.dumps(content).encode())
    return str(path)


class NoConnections(Connections):
    """Fails a test that connects to anything."""

    def store(self, settings):
        raise AssertionError("the command connects to the store")


class ConfigCheckTests(unittest.TestCase):
    def check(self, value: bytes | dict, before: bytes | dict | None = None):
        """Runs the command; returns its findings and exit code."""
        with tempfile.TemporaryDirectory() as folder:
            arguments = ["--json", "config", "check", write(Path(folder, "new.json"), value)]
            if before is not None:
                arguments += ["--against", write(Path(folder, "old.json"), before)]
            result = CliRunner().invoke(main, arguments, obj=NoConnections())
        self.assertNotIn(SECRET, result.output)
        rows = json.loads(result.stdout) if result.stdout else []
        return [(row["kind"], row["path"], row["message"]) for row in rows], result.exit_code

    def assert_found(self, change, kind, path):
        """Checks that a change of the sound document gives one finding at a place."""
        fields = document()
        change(fields)
        findings, code = self.check(fields)
        self.assertEqual([finding[:2] for finding in findings], [(kind, path)])
        self.assertEqual(code, exit_codes.REFUSED if kind == "error" else exit_codes.OK)

    def test_a_sound_document_has_no_findings(self):
        self.assertEqual(self.check(document()), ([], exit_codes.OK))

    def test_what_hosts_cannot_read_is_listed_by_their_decoder(self):
        findings, code = self.check(with_value((*RULE, "kind"), '"stream"'))
        place = "listeners[0].routingRules[0].kind"
        expected = "is 'stream'; expected one of safe, download, unsafe"
        self.assertEqual(findings, [("error", place, expected)])
        self.assertEqual(code, exit_codes.REFUSED)
        # A second implementation of a check would still find it.
        with mock.patch.object(EntryReader, "choice", return_value="safe"):
            self.assertEqual(self.check(with_value((*RULE, "kind"), '"stream"'))[0], [])

    def test_contradicting_limits_are_errors(self):
        route = "listeners[0].routingRules[0]"

        def rule_of(fields):
            return fields["listeners"][0]["routingRules"][0]

        for change, path in (
            (lambda f: rule_of(f)["action"].update(timeoutS=0.5), f"{route}.action.timeoutS"),
            (lambda f: rule_of(f)["action"].update(attempts=0), f"{route}.action.attempts"),
            (lambda f: rule_of(f)["action"].update(service="gone"), f"{route}.action"),
            (lambda f: f["tenants"][0].update(burst=0.5), "tenants[0].burst"),
            (lambda f: f["tenants"][1].update(ratePerS=1), "tenants[1].burst"),
            (lambda f: f["limits"].update(maxBodyBytes=0), "limits.maxBodyBytes"),
            (lambda f: f["limits"].update(maxHeaderBytes=0.5), "limits.maxHeaderBytes"),
            (lambda f: f["clusters"].append(f["clusters"][0]), "clusters[2]"),
        ):
            with self.subTest(path=path):
                self.assert_found(change, "error", path)

    def test_entries_that_can_never_match_are_listed_but_are_no_errors(self):
        def split(fields):
            action = fields["listeners"][1]["routingRules"][0]["action"]
            action["trafficSplit"] = [
                {"service": "spare", "weight": 1},
                {"service": "benchline", "weight": 0},
            ]

        def add_rule(prefix):
            new = rule("again", prefix, "spare", kind="safe")
            # The second listener of a host name adds to the first.
            row = {"hostname": "SHOP.example", "routingRules": [new]}
            return lambda fields: fields["listeners"].append(row)

        unused = {"name": "unused"}
        for change, path in (
            (add_rule("/drafts/"), "listeners[2].routingRules[0]"),
            (add_rule("drafts/"), "listeners[2].routingRules[0]"),
            (split, "listeners[1].routingRules[0].action.trafficSplit[1]"),
            (lambda f: f["clusters"].append(unused), "clusters[2]"),
            (lambda f: f["tenants"].append({"name": "empty"}), "tenants[2]"),
            (lambda f: f["tenants"][1].update(apiKeys=["a", "b\n"]), "tenants[1].apiKeys[1]"),
        ):
            with self.subTest(path=path):
                self.assert_found(change, "unused", path)

    def test_differences_are_found_by_the_names_of_entries(self):
        after = document(8)
        after["tenants"][0].update(apiKeys=["x", "y"], burst=10)
        after["clusters"].reverse()
        after["listeners"][0]["routingRules"][1]["priority"] = 2
        findings, code = self.check(after, document(7))
        self.assertEqual(
            findings,
            [
                (
                    "difference",
                    "listeners[shop.example].routingRules[/drafts/].priority",
                    "1 -> 2",
                ),
                ("difference", "tenants[acme].apiKeys", "2 added, 1 removed"),
                ("difference", "tenants[acme].burst", "9 -> 10"),
            ],
        )
        self.assertEqual(code, exit_codes.OK)

    def test_a_version_that_hosts_would_ignore_is_an_error(self):
        for version in (6, 7):
            [(kind, path, _)], code = self.check(document(version), document(7))
            self.assertEqual((kind, path, code), ("error", "version", exit_codes.REFUSED))

    def test_keys_are_not_shown_wherever_they_are(self):
        key = f'"{SECRET}"'
        shapes = (f'{{"{SECRET}": 1}}', f"[{key}]", f"[[{key}]]", key, f'[{{"{SECRET}": {key}}}]')
        places = [("tenants",), ("tenants", 0), ("tenants", 0, "apiKeys"), ("tenants", 0, "burst")]
        for value in [with_value(place, raw) for place in places for raw in shapes]:
            for before in (None, document()):
                with self.subTest(value=value[-150:]):
                    self.check(value, before)
            self.check(document(), value)

    def test_a_document_that_hosts_would_not_apply_is_refused(self):
        for value in (b"", b"[]", b"{}", with_value(("version",), "7")):
            self.assertEqual(self.check(value), ([], exit_codes.REFUSED))
            self.assertEqual(self.check(document(), value), ([], exit_codes.REFUSED))


if __name__ == "__main__":
    unittest.main()
