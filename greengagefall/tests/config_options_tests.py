"""Tests of settings, their flags and environment variables."""

from __future__ import annotations

import unittest

from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from greengagefall.config.command import settings_command
from greengagefall.config.coordinator import CoordinatorSettings
from greengagefall.config.ctl import CtlSettings
from greengagefall.config.entry import EntrySettings
from greengagefall.config.exceptions import SettingsError

FLAGS = {
    "--host": "entry-1",
    "--zone": "tanta",
    "--http-listen": "127.0.0.1:8080",
    "--peer-listen": "127.0.0.1:7070",
}


def arguments(**changes: str | None) -> list[str]:
    """Returns the command-line arguments for ``FLAGS`` with changes; None removes a flag."""
    flags = FLAGS | {"--" + name.replace("_", "-"): value for name, value in changes.items()}
    return [f"{flag}={value}" for flag, value in flags.items() if value is not None]


class SettingsCommandTests(unittest.TestCase):
    def setUp(self):
        self.settings = None
        self.command = settings_command(EntrySettings, self.run_program, "Runs an entry host.")

    def run_program(self, settings: EntrySettings) -> int:
        self.settings = settings
        return 0

    def invoke(self, args: list[str], **env: str):
        return CliRunner(env=env).invoke(self.command, args)

    def test_flags_variables_and_defaults(self):
        outcome = self.invoke(
            arguments(host=None, zone="zagazig"),
            GREENGAGEFALL_HOST="entry-7",
            GREENGAGEFALL_ZONE="tanta",
        )
        self.assertEqual(outcome.exit_code, 0, outcome.output)
        self.assertEqual((self.settings.host, self.settings.zone), ("entry-7", "zagazig"))
        self.assertEqual(self.settings.peer_address, "127.0.0.1:7070")
        self.assertEqual(self.settings.drain_timeout_s, 30.0)

    def test_errors_name_flag_value_and_allowed_values(self):
        cases = [
            (arguments(http_listen="localhost:80"), ["--http-listen", "'localhost:80'", "IP:port"]),
            (arguments(host="Entry 1"), ["--host", "'Entry 1'", "a-z"]),
            (arguments(host=None), ["--host", "GREENGAGEFALL_HOST", "a-z"]),
            (arguments(lease_ms="5"), ["--lease-ms", "'5'", "200 to 10000"]),
            (arguments(drain_timeout_s="nan"), ["--drain-timeout-s", "'nan'", "0 to 600"]),
            (arguments(log_level="LOUD"), ["--log-level", "'LOUD'", "DEBUG, INFO"]),
            (arguments(http_listen="0.0.0.0:80"), ["--http-listen", "--http-advertise"]),
        ]
        for args, parts in cases:
            with self.subTest(parts=parts):
                outcome = self.invoke(args)
                self.assertEqual(outcome.exit_code, 2)
                for part in parts:
                    self.assertIn(part, outcome.output)

    def test_error_names_invalid_variable(self):
        outcome = self.invoke(arguments(), GREENGAGEFALL_LEASE_MS="soon")
        self.assertEqual(outcome.exit_code, 2)
        self.assertIn("GREENGAGEFALL_LEASE_MS", outcome.output)

    def test_help_lists_every_flag_and_variable(self):
        text = self.invoke(["--help"]).output
        for option in EntrySettings.options().values():
            self.assertIn(option.flag, text)
            self.assertIn(option.env_var, text)


class ListOptionTests(unittest.TestCase):
    def addresses(self, args: list[str], **env: str) -> tuple[int, str]:
        command = settings_command(CtlSettings, self.print_addresses, "Shows addresses.")
        outcome = CliRunner(env=env).invoke(command, args)
        return outcome.exit_code, outcome.output

    def print_addresses(self, settings: CtlSettings) -> int:
        print(*settings.entry)
        return 0

    def test_flags_and_variable(self):
        given = ["--entry", "127.0.0.1:1", "--entry", "[::1]:3"]
        self.assertEqual(self.addresses(given), (0, "127.0.0.1:1 [::1]:3\n"))
        from_variable = self.addresses([], GREENGAGEFALL_ENTRY="127.0.0.1:1,127.0.0.1:2 [::1]:3")
        self.assertEqual(from_variable, (0, "127.0.0.1:1 127.0.0.1:2 [::1]:3\n"))

    def test_error_names_invalid_address(self):
        code, output = self.addresses(["--entry", "127.0.0.1:0"])
        self.assertEqual(code, 2)
        for part in ("--entry", "'127.0.0.1:0'", "IP:port"):
            self.assertIn(part, output)


class SettingsTests(unittest.TestCase):
    def test_constructor_validates_values(self):
        with self.assertRaises(SettingsError):
            CtlSettings(colour="red")
        with self.assertRaises(SettingsError):
            CoordinatorSettings(host="c-1")
        self.assertEqual(CtlSettings(call_timeout_s=3).call_timeout_s, 3.0)

    @given(st.one_of(st.text(), st.integers(), st.floats(), st.booleans(), st.none()))
    def test_any_value_is_converted_or_refused(self, value):
        for settings_class in (EntrySettings, CoordinatorSettings, CtlSettings):
            for option in settings_class.options().values():
                checked = option.validate(value)
                if checked.is_ok():
                    self.assertEqual(option.validate(checked.ok_value), checked)


if __name__ == "__main__":
    unittest.main()
