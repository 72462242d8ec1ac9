"""Entry point of ``hibiscusdrumd``."""

from __future__ import annotations

import signal


def main() -> None:
    """Run the command line.

    SIGHUP is ignored while the libraries are imported, since it would end the process.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    from hibiscusdrum.internal.cli.daemon import main as run_command

    run_command()
