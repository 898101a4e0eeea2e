"""The program ``greengagefall-gateway``; see ``gateway_command``."""

from __future__ import annotations

import signal


def main() -> None:
    """Runs the program."""
    # By default the signal would end the process while it still loads. The settings file, whose
    # changes it announces, is read only afterwards.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from greengagefall.commands.gateway_command import command

    command()


if __name__ == "__main__":
    main()
