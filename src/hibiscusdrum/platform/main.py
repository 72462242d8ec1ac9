"""Command line of the router on the platform: runs it or checks its settings."""

from __future__ import annotations

import os
import random
import signal
import sys
from collections.abc import Callable
from functools import partial

from hibiscusdrum import __version__
from hibiscusdrum.errors import HibiscusdrumError, InvalidArgument, InvalidSettings
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.clock import BootClock
from hibiscusdrum.internal.kernel import Application
from hibiscusdrum.internal.log_output import NonBlockingOutput
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.application import add_router, target_client
from hibiscusdrum.internal.router.quarantine_rows import ROW_KIND, decode_identity
from hibiscusdrum.internal.router.routes import HeaderNames
from hibiscusdrum.internal.transport.descriptor_limits import raise_descriptor_limit
from hibiscusdrum.platform.boot import BOOT_VARIABLE, read_boot_file, router_settings
from hibiscusdrum.platform.operator import OperatorRows
from hibiscusdrum.platform.quarantine_command import QuarantineCommand
from hibiscusdrum.platform.reports import ReportEndpoint
from hibiscusdrum.platform.store import StoreClient

EXIT_FAILED = 1
EXIT_USAGE = 2
STDOUT_FD = 1
HEADERS = HeaderNames(
    attempt_id="x-hibiscusdrum-attempt-id",
    deadline_ms="x-hibiscusdrum-deadline-ms",
    key="x-hibiscusdrum-shard-key",
    signature="x-hibiscusdrum-response-sig",
    expected_target="x-hibiscusdrum-expect-instance",
    not_run="x-hibiscusdrum-not-executed",
    caller="x-hibiscusdrum-caller",
    rate_limit="server-limit",
    leaving="server-leaving",
    account_key="x-hibiscusdrum-key",
    account="x-hibiscusdrum-tenant",
    load_report="x-hibiscusdrum-load-report",
)


def run(boot_file: str) -> int:
    """Run the router until it is stopped; returns its exit code."""
    try:
        settings = router_settings(read_boot_file(boot_file))
    except InvalidSettings as error:
        return print_problems(error)
    clock = BootClock()
    log_events.configure(settings.node, settings.log_level, clock, NonBlockingOutput(STDOUT_FD))
    raise_descriptor_limit()
    app = Application(clock)
    store = StoreClient(settings.store_address)
    router = add_router(app, settings, HEADERS, store, random.Random())
    app.add(ReportEndpoint(settings))
    app.add(OperatorRows())
    started = events.RouterStarted(
        version=__version__,
        service=settings.service,
        failure_domain=settings.failure_domain,
        caller_address=settings.caller_address,
        peer_address=settings.peer_address,
        incarnation=router.incarnation,
    )
    app.on_started.append(lambda: log_events.emit(started))
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
    app.run()
    if app.failure is not None:
        code = app.failure.code if isinstance(app.failure, HibiscusdrumError) else type(app.failure).__name__
        log_events.emit(log_events.StartFailed(code=code, reason=str(app.failure)))
        return EXIT_FAILED
    return app.exit_code


def check(boot_file: str) -> int:
    """Print the settings in force without starting; returns the exit code."""
    try:
        settings = router_settings(read_boot_file(boot_file))
    except InvalidSettings as error:
        return print_problems(error)
    for name in settings.__struct_fields__:
        print(f"{name}={getattr(settings, name)}")
    return 0


def run_store_command(boot_file: str, begin: Callable[[QuarantineCommand], None]) -> int:
    """Run a command on the platform's store; returns its exit code."""
    try:
        settings = router_settings(read_boot_file(boot_file))
    except InvalidSettings as error:
        return print_problems(error)
    app = Application()
    store = StoreClient(settings.store_address)
    app.add(target_client(HEADERS))
    app.add(store)
    app.on_started.append(lambda: begin(QuarantineCommand(app, store)))
    app.run()
    return app.exit_code


def list_quarantine(boot_file: str) -> int:
    """Print the requests in quarantine; returns the exit code."""
    return run_store_command(boot_file, QuarantineCommand.list_rows)


def release(identity: str, boot_file: str) -> int:
    """Release a request from quarantine on all nodes; returns the exit code."""
    try:
        decoded = decode_identity(f"{ROW_KIND}/{identity}")
    except InvalidArgument as error:
        print(f"hibiscusdrum: {error}", file=sys.stderr)
        return EXIT_USAGE
    return run_store_command(boot_file, lambda command: command.release(decoded))


def print_problems(error: InvalidSettings) -> int:
    """Print each problem of the settings to standard error; returns the exit code."""
    for problem in error.problems:
        print(f"hibiscusdrum: {problem}", file=sys.stderr)
    return EXIT_USAGE


def main(arguments: list[str] | None = None) -> int:
    """Run the router or a command with its settings file, which an argument or the environment names.

    Parameters
    ----------
    arguments : list of str, optional
        ``[run|check|quarantine|release IDENTITY] [FILE]``; those of the process when not given. They are
        parsed without an argument parsing library, whose import would add 0.2 s to each restart.
    """
    remaining = list(sys.argv[1:] if arguments is None else arguments)
    if remaining[:1] == ["release"]:
        identity = remaining[1] if len(remaining) > 1 else ""
        remaining = remaining[2:]
        action = partial(release, identity)
    else:
        action = COMMANDS[remaining.pop(0) if remaining and remaining[0] in COMMANDS else "run"]
    path = remaining.pop(0) if remaining else os.environ.get(BOOT_VARIABLE, "")
    if remaining or not path or path.startswith("-"):
        print(USAGE, file=sys.stderr)
        return EXIT_USAGE
    return action(path)


COMMANDS = {"run": run, "check": check, "quarantine": list_quarantine}
USAGE = (
    "usage: python -m hibiscusdrum.platform [run|check|quarantine|release IDENTITY] [FILE]; "
    f"without FILE, {BOOT_VARIABLE} names it"
)
