"""Command line of the daemon ``hibiscusdrumd``."""

from __future__ import annotations

import inspect
import os
import sys
from collections.abc import Callable, Mapping
from typing import Any

import defopt

from hibiscusdrum import __version__
from hibiscusdrum.errors import HibiscusdrumError, InvalidSettings
from hibiscusdrum.internal.settings import SETTINGS, Settings, load

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
COMMANDS = ("run", "check")


def main(arguments: list[str] | None = None, environment: Mapping[str, str] | None = None) -> None:
    """Run a command; ``run`` is the default.

    Parameters
    ----------
    arguments : list of str, optional
        Command line without the program name.
    environment : mapping, optional
        Environment variables; those of the process when not given.
    """
    argv = list(sys.argv[1:] if arguments is None else arguments)
    if not argv or argv[0] not in (*COMMANDS, "-h", "--help", "--version"):
        argv.insert(0, "run")
    variables = os.environ if environment is None else environment
    commands = [
        _command("run", "Run the daemon.", run, variables),
        _command("check", "Validate the settings without starting.", check, variables),
    ]
    sys.exit(
        defopt.run(
            commands,
            argv=argv,
            version=f"hibiscusdrumd {__version__}",
            short={},
            show_defaults=False,
            argparse_kwargs={"prog": "hibiscusdrumd"},
        )
    )


def run(settings: Settings) -> int:
    """Start the daemon and return its exit code."""
    # Imported here, so that ``check`` and ``--help`` do not load the socket and metrics modules.
    from hibiscusdrum.internal.daemon.main import run as run_daemon

    return run_daemon(settings) or EXIT_OK


def check(settings: Settings) -> int:
    """Print the settings in force, without secrets."""
    for name, value in settings.public().items():
        print(f"{name}={value}")
    return EXIT_OK


def _command(
    name: str, summary: str, action: Callable[[Settings], int], environment: Mapping[str, str]
) -> Callable[..., int]:
    """Build a command function for defopt, whose signature and doc comment have one flag per setting."""

    def command(**flags: str | None) -> int:
        return _run_with_settings(action, flags, environment)

    settings = [setting for setting in SETTINGS if setting.flag]
    command.__name__ = name
    command.__signature__ = inspect.Signature(
        [
            inspect.Parameter(
                setting.name, inspect.Parameter.KEYWORD_ONLY, default=None, annotation=str | None
            )
            for setting in settings
        ],
        return_annotation=int,
    )
    command.__annotations__ = {setting.name: str | None for setting in settings} | {"return": int}
    lines = [summary, "", "Parameters", "----------"]
    for setting in settings:
        default = "required" if setting.default is None else f"default {setting.default}"
        lines += [setting.name, f"    {setting.help} Accepted: {setting.accepted}; {default}."]
    command.__doc__ = "\n".join(lines) + "\n"
    return command


def _run_with_settings(
    action: Callable[[Settings], int], flags: Mapping[str, Any], environment: Mapping[str, str]
) -> int:
    try:
        settings = load(flags, environment)
    except InvalidSettings as error:
        for problem in error.problems:
            print(f"hibiscusdrumd: {problem}", file=sys.stderr)
        return EXIT_USAGE
    try:
        return action(settings)
    except HibiscusdrumError as error:
        print(f"hibiscusdrumd: {error}", file=sys.stderr)
        return EXIT_FAILED


if __name__ == "__main__":
    main()
