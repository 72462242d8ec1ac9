"""Builds and runs the router on the users' platform."""

from __future__ import annotations

import os
import random
import signal
import sys

from hibiscusdrum import __version__
from hibiscusdrum.errors import HibiscusdrumError, InvalidSettings
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.clock import BootClock
from hibiscusdrum.internal.kernel import Application
from hibiscusdrum.internal.log_output import NonBlockingOutput
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.application import add_router
from hibiscusdrum.internal.router.routes import HeaderNames
from hibiscusdrum.platform.boot import BOOT_VARIABLE, read_boot_file, router_settings
from hibiscusdrum.platform.operator import OperatorRows
from hibiscusdrum.platform.reports import Reports
from hibiscusdrum.platform.store import StoreClient

EXIT_FAILED = 1
EXIT_USAGE = 2
STDOUT = 1
HEADERS = HeaderNames(
    attempt_id="x-hibiscusdrum-attempt-id",
    deadline_ms="x-hibiscusdrum-deadline-ms",
    key="x-hibiscusdrum-shard-key",
    signature="x-hibiscusdrum-response-sig",
    expected_target="x-hibiscusdrum-expect-instance",
    target_id="x-hibiscusdrum-instance-id",
    not_run="x-hibiscusdrum-not-executed",
    load="x-hibiscusdrum-load-report",
    caller="x-hibiscusdrum-caller",
    warmup_ms="x-hibiscusdrum-warmup-ms",
)


def run(boot_file: str) -> int:
    """Run the router until it is stopped; returns its exit code."""
    try:
        settings = router_settings(read_boot_file(boot_file))
    except InvalidSettings as error:
        for problem in error.problems:
            print(f"hibiscusdrum: {problem}", file=sys.stderr)
        return EXIT_USAGE
    clock = BootClock()
    log_events.configure(settings.node, settings.log_level, clock, NonBlockingOutput(STDOUT))
    app = Application(clock)
    store = StoreClient(settings.store_address)
    router = add_router(app, settings, HEADERS, store, random.Random())
    app.add(Reports(settings))
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


def main() -> None:
    """Run with the settings file that the environment names."""
    path = os.environ.get(BOOT_VARIABLE, "")
    if not path:
        print(f"hibiscusdrum: {BOOT_VARIABLE} names no settings file", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    sys.exit(run(path))
