"""Micro-kernel: an application object, services found by name, and one scheduler.

Everything runs in the circuits loop on one thread. Services call each other directly on the request path,
since each circuits event costs tens of microseconds; sockets and life-cycle hooks use events.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any

from circuits import BaseComponent, Event, handler
from circuits.core.pollers import EPoll
from loguru import logger

from hibiscusdrum.errors import NotFound
from hibiscusdrum.internal.clock import Clock, SystemClock


class start_services(Event):  # noqa: N801 - circuits names events in lower case
    """Starts the services in the order in which they were added."""


class Timer:
    """A call scheduled for later; ``cancel`` prevents it."""

    __slots__ = ("callback", "cancelled", "due")

    def __init__(self, due: float, callback: Callable[[], None]) -> None:
        self.due = due
        self.callback = callback
        self.cancelled = False

    def cancel(self) -> None:
        """Prevent the call; no effect after it ran."""
        self.cancelled = True


class Scheduler(BaseComponent):
    """Timers on the monotonic clock.

    ``circuits.Timer`` counts on the wall clock, so that a clock step would delay lease renewals.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    channel = "scheduler"

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self.clock = clock
        self.heap: list[tuple[float, int, Timer]] = []
        self.counter = itertools.count()

    def call_later(self, delay: float, callback: Callable[[], None]) -> Timer:
        """Call ``callback`` once, ``delay`` seconds from now."""
        timer = Timer(self.clock.monotonic() + delay, callback)
        heapq.heappush(self.heap, (timer.due, next(self.counter), timer))
        return timer

    def every(self, interval: float, callback: Callable[[], None]) -> Timer:
        """Call ``callback`` each ``interval`` seconds until the returned timer is cancelled."""
        handle = Timer(0.0, callback)

        def run() -> None:
            if handle.cancelled:
                return
            self.call_later(interval, run)
            callback()

        self.call_later(interval, run)
        return handle

    def create_work_timer(self, interval: float, callback: Callable[[], bool]) -> WorkTimer:
        """Return a timer that repeats ``callback`` from ``wake`` until it returns False."""
        return WorkTimer(self, interval, callback)

    @handler("generate_events", priority=10)
    def run_due(self, event: Any) -> None:
        """Run the timers that are due and bound the poller's wait by the next one."""
        now = self.clock.monotonic()
        heap = self.heap
        while heap and heap[0][0] <= now:
            timer = heapq.heappop(heap)[2]
            if not timer.cancelled:
                self.run_callback(timer)
                # circuits does not end the poller's wait for events that its own thread fires meanwhile.
                event.reduce_time_left(0)
        if heap:
            event.reduce_time_left(max(0.0, heap[0][0] - self.clock.monotonic()))

    def run_callback(self, timer: Timer) -> None:
        """Run one callback; a failure is logged and does not stop the loop."""
        try:
            timer.callback()
        except Exception:
            logger.exception("timer callback failed")


class WorkTimer:
    """Repeats a call while there is work for it, so that an idle process does not wake up.

    Parameters
    ----------
    scheduler : Scheduler
        Runs the calls.
    interval : float
        Seconds between calls, and from ``wake`` to the first.
    callback : callable
        Returns whether there is more work. After an exception the call is repeated.
    """

    __slots__ = ("callback", "interval", "scheduled", "scheduler")

    def __init__(self, scheduler: Scheduler, interval: float, callback: Callable[[], bool]) -> None:
        self.scheduler = scheduler
        self.interval = interval
        self.callback = callback
        self.scheduled = False

    def wake(self) -> None:
        """Schedule the next call unless one is scheduled already."""
        if not self.scheduled:
            self.scheduled = True
            self.scheduler.call_later(self.interval, self._run)

    def _run(self) -> None:
        self.scheduled = False
        more = True
        try:
            more = self.callback()
        finally:
            if more:
                self.wake()


class Service(BaseComponent):
    """A named part of the application, with hooks that the kernel calls.

    Attributes
    ----------
    name : str
        Name under which other services find this one.
    """

    service_name = "service"

    def __init__(self) -> None:
        super().__init__(channel=self.service_name)
        self.app: Application | None = None

    def on_start(self) -> None:
        """Acquire resources; all services are registered, earlier ones are started."""

    def on_stop(self) -> None:
        """Release resources; called in reverse order of start."""


class Application(BaseComponent):
    """Owns the services and the loop.

    Parameters
    ----------
    clock : Clock, optional
        Time source shared by all services.
    """

    channel = "application"

    def __init__(self, clock: Clock | None = None) -> None:
        super().__init__()
        self.clock = clock or SystemClock()
        self.services: dict[str, Service] = {}
        self.started_services: list[Service] = []
        self.on_started: list[Callable[[], None]] = []
        # The poller must be registered before any socket, or circuits falls back to select().
        self.poller = EPoll().register(self)
        self.scheduler = Scheduler(self.clock).register(self)
        self.exit_code = 0
        self.failure: BaseException | None = None

    def add(self, service: Service) -> Service:
        """Register a service under its name."""
        service.app = self
        self.services[service.service_name] = service
        service.register(self)
        return service

    def find(self, name: str) -> Any:
        """Return the service with a name.

        Raises
        ------
        NotFound
            If no such service was added.
        """
        try:
            return self.services[name]
        except KeyError:
            raise NotFound(kind="service", name=name) from None

    @handler("started", channel="*")
    def start_all(self, *_args: Any) -> None:
        """Start the services once the loop runs; a failing start stops the application."""
        self.fire(start_services(), self.channel)

    @handler("start_services")
    def run_start_hooks(self) -> None:
        """Call ``on_start`` of each service in order."""
        for service in list(self.services.values()):
            try:
                service.on_start()
            except Exception as error:
                self.failure = error
                self.shutdown(1)
                return
            self.started_services.append(service)
        for listener in self.on_started:
            listener()

    def shutdown(self, exit_code: int = 0) -> None:
        """Call ``on_stop`` in reverse order and end the loop."""
        self.exit_code = exit_code
        for service in reversed(self.started_services):
            try:
                service.on_stop()
            except Exception:
                logger.exception("stop hook of service {} failed", service.service_name)
        self.stop()

    @handler("exception", channel="*")
    def log_exception(
        self, error_type: Any, value: Any, traceback: Any, handler: Any = None, fevent: Any = None
    ) -> None:
        """Log a failing event handler; the loop goes on."""
        logger.opt(exception=value).error("event handler failed: {}", error_type.__name__)
