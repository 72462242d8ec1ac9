"""Shared fixture: an application whose loop the test turns, on free loopback ports."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from typing import Any

from circuits.core.events import started

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal.clock import Clock
from hibiscusdrum.internal.kernel import Application, Service

TICK_SECONDS = 0.005
# A start takes two rounds of events (started, start_services) and the sockets that it opens one more.
SETTLE_TICKS = 6


def free_address() -> str:
    """Return ``ip:port`` of a loopback port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def invalid_argument(function: Callable, *arguments: Any, **options: Any) -> str:
    """Return the name of the argument that a function refuses."""
    try:
        function(*arguments, **options)
    except InvalidArgument as error:
        return error.name
    return "none: the arguments were accepted"


class Loopback:
    """Holds clients and stand-ins in one application, by default on the system's clock."""

    def __init__(self, *services: Service, clock: Clock | None = None) -> None:
        self.app = Application(clock)
        for service in services:
            self.app.add(service)
        self.app._running = True
        self.app.fire(started(self.app), "*")
        self.settle()

    def run_until(self, condition: Callable[[], bool], limit: float = 5.0) -> None:
        """Turn the loop until a condition holds; fails when it does not within the limit."""
        end = time.monotonic() + limit
        while not condition():
            assert time.monotonic() < end, f"the condition did not hold within {limit} s"
            self.app.tick(TICK_SECONDS)

    def settle(self) -> None:
        """Let the events that were already fired take effect."""
        for _ in range(SETTLE_TICKS):
            self.app.tick(0)

    def run_for(self, seconds: float) -> None:
        """Turn the loop for a time."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.app.tick(TICK_SECONDS)

    def stop(self) -> None:
        """Stop the services and close the sockets."""
        self.app.shutdown()


class Results(list):
    """Collects the results that a callback gets."""

    def one(self, loopback: Loopback, limit: float = 5.0) -> Any:
        """Wait for the first result, then check that no second one follows."""
        loopback.run_until(lambda: len(self) > 0, limit)
        loopback.settle()
        assert len(self) == 1, f"the callback was called {len(self)} times"
        return self[0]
