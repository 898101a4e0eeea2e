"""Tests of a signal that reaches the gateway's process while it still loads."""

from __future__ import annotations

import signal
import subprocess
import sys
import unittest

END_S = 20.0
PROGRAM = "greengagefall.commands.gateway"
# A module that the program loads long before it handles signals.
LOADED_MODULE = "greengagefall.config.command"
# Runs the program; tells when it begins to load the module, and waits for the signal then.
START = f"""
import runpy, sys, time

class Pause:
    def find_spec(self, name, path=None, target=None):
        if name == "{LOADED_MODULE}":
            print("loading", flush=True)
            time.sleep(0.5)

sys.meta_path.insert(0, Pause())
sys.argv = ["greengagefall-gateway"]
runpy.run_module("{PROGRAM}", run_name="__main__", alter_sys=True)
"""
EXIT_INVALID_SETTINGS = 2


class EarlySignalTests(unittest.TestCase):
    def test_a_reload_while_the_process_loads_does_not_end_it(self):
        # A SIGHUP in the first 0.2 s ended the process, before its handler was there.
        process = subprocess.Popen(
            [sys.executable, "-c", START],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            env={"GREENGAGEFALL_NODE_FILE": "/nonexistent"},
        )
        self.addCleanup(process.stdout.close)
        self.assertEqual(process.stdout.readline(), b"loading\n")
        process.send_signal(signal.SIGHUP)
        # Without its settings file the program ends by itself, and says so.
        self.assertEqual(process.wait(END_S), EXIT_INVALID_SETTINGS)


if __name__ == "__main__":
    unittest.main()
