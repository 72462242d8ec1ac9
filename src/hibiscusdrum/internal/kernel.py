"""Application object, registry of services, and timer scheduler.

Everything runs on one thread, in the event loop of circuits. On the request path, services call each other
directly because each circuits event costs tens of microseconds; sockets and life-cycle hooks use events.
"""

from __future__ import annotations

import heapq
import itertools
import signal
from collections.abc import Callable
from typing import Any

from circuits import BaseComponent, Event, handler
from circuits.core.pollers import EPoll
from loguru import logger

from hibiscusdrum.errors import NotFound
from hibiscusdrum.internal.clock import Clock, SystemClock

# A timer that runs this late shows that the process was paused, or had no processor time.
PAUSE_SECONDS = 0.3
IGNORED_AT_END = (signal.SIGHUP, signal.SIGTERM)


class start_services(Event):  # noqa: N801 - circuits names events in lower case
    """Event that starts the services in the order in which they were added."""


def do_nothing() -> None:
    """Stand in for the callback of a cancelled timer."""


class Timer:
    """A scheduled callback that can be cancelled."""

    __slots__ = ("callback", "cancelled", "due")

    def __init__(self, due: float, callback: Callable[[], None]) -> None:
        self.due = due
        self.callback = callback
        self.cancelled = False

    def cancel(self) -> None:
        """Cancel the callback, and release what it refers to; has no effect after it has run."""
        self.cancelled = True
        self.callback = do_nothing


class Scheduler(BaseComponent):
    """Runs timers on the monotonic clock.

    ``circuits.Timer`` uses the wall clock, so a clock step could delay lease renewals.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.

    Attributes
    ----------
    resumed_at : float
        Monotonic time in seconds at which the process last went on after a pause. Messages that arrived
        during the pause may not have been read yet, so nobody counts as silent because of the time before.
    """

    channel = "scheduler"

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self.clock = clock
        self.heap: list[tuple[float, int, Timer]] = []
        self.sequence_numbers = itertools.count()
        self.resumed_at = float("-inf")

    def call_later(self, delay: float, callback: Callable[[], None]) -> Timer:
        """Call ``callback`` once, ``delay`` seconds from now."""
        timer = Timer(self.clock.monotonic() + delay, callback)
        heapq.heappush(self.heap, (timer.due, next(self.sequence_numbers), timer))
        return timer

    def every(self, interval: float, callback: Callable[[], None]) -> Timer:
        """Call ``callback`` every ``interval`` seconds until the returned timer is cancelled."""
        handle = Timer(0.0, callback)

        def run() -> None:
            if handle.cancelled:
                return
            self.call_later(interval, run)
            callback()

        self.call_later(interval, run)
        return handle

    def silence_seconds(self, heard_at: float) -> float:
        """Return the seconds without a message since ``heard_at`` during which this process was running."""
        return self.clock.monotonic() - max(heard_at, self.resumed_at)

    def create_work_timer(self, interval: float, callback: Callable[[], bool]) -> WorkTimer:
        """Return a timer that, once woken, repeats ``callback`` until it returns False."""
        return WorkTimer(self, interval, callback)

    @handler("generate_events", priority=10)
    def run_due(self, event: Any) -> None:
        """Run the timers that are due and limit the poller's wait to the time until the next one."""
        now = self.clock.monotonic()
        heap = self.heap
        if heap and now - heap[0][0] > PAUSE_SECONDS:
            self.resumed_at = now
        while heap and heap[0][0] <= now:
            timer = heapq.heappop(heap)[2]
            if not timer.cancelled:
                self.run_callback(timer)
                # The callback may have fired events, and circuits does not wake the poller for events
                # that its own thread fires.
                event.reduce_time_left(0)
        if heap:
            event.reduce_time_left(max(0.0, heap[0][0] - self.clock.monotonic()))

    def run_callback(self, timer: Timer) -> None:
        """Run one callback; an exception is logged and does not stop the event loop."""
        try:
            timer.callback()
        except Exception:
            logger.exception("timer callback failed")


class WorkTimer:
    """Repeats a callback only while it has work, so that an idle process does not wake up.

    Parameters
    ----------
    scheduler : Scheduler
        Scheduler that runs the callback.
    interval : float
        Seconds between calls, and from ``wake`` to the first call.
    callback : callable
        Returns whether there is more work. It is called again after an exception.
    """

    __slots__ = ("callback", "interval", "scheduled", "scheduler")

    def __init__(self, scheduler: Scheduler, interval: float, callback: Callable[[], bool]) -> None:
        self.scheduler = scheduler
        self.interval = interval
        self.callback = callback
        self.scheduled = False

    def wake(self) -> None:
        """Schedule the next call unless one is already scheduled."""
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
    """Base class of services, which are found by name and have start and stop hooks.

    Attributes
    ----------
    service_name : str
        Name under which other services find this one.
    app : Application or None
        Application to which the service was added.
    """

    service_name = "service"

    def __init__(self) -> None:
        super().__init__(channel=self.service_name)
        self.app: Application | None = None

    def on_start(self) -> None:
        """Acquire resources.

        All services are registered by then, and those added before this one are started.
        """

    def on_stop(self) -> None:
        """Release resources; services are stopped in reverse order of their start."""


class Application(BaseComponent):
    """Owns the services and the event loop.

    Parameters
    ----------
    clock : Clock, optional
        Clock shared by all services; the system clock by default.

    Attributes
    ----------
    on_started : list of callable
        Called once all services are started.
    handles_signals : bool
        Whether signals to the process are passed to the services.
    exit_code : int
        Exit code for the process.
    failure : BaseException or None
        Exception that made the start of a service fail.
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
        self.handles_signals = False
        self.exit_code = 0
        self.failure: BaseException | None = None

    def run(self, socket: Any = None) -> None:
        """Run the event loop until ``shutdown``; SIGHUP is passed to the services like the stop signals."""
        # circuits handles only SIGINT and SIGTERM; the default action of SIGHUP ends the process.
        signal.signal(signal.SIGHUP, self._signal_handler)
        self.handles_signals = True
        super().run(socket)

    def add(self, service: Service) -> Service:
        """Register a service under its name and return it."""
        service.app = self
        self.services[service.service_name] = service
        service.register(self)
        return service

    def find(self, name: str) -> Any:
        """Return the service that was added under a name.

        Raises
        ------
        NotFound
            If there is no service of that name.
        """
        try:
            return self.services[name]
        except KeyError:
            raise NotFound(kind="service", name=name) from None

    @handler("started", channel="*")
    def fire_start_services(self, *_args: Any) -> None:
        """Fire the event that starts the services, once the event loop runs."""
        self.fire(start_services(), self.channel)

    @handler("start_services")
    def run_start_hooks(self) -> None:
        """Call ``on_start`` of each service in order; an exception stops the application."""
        for service in list(self.services.values()):
            try:
                service.on_start()
            except Exception as error:
                self.failure = error
                self.shutdown(1)
                return
            self.started_services.append(service)
        for callback in self.on_started:
            callback()

    def shutdown(self, exit_code: int = 0) -> None:
        """Call ``on_stop`` of the started services in reverse order and end the event loop."""
        self.exit_code = exit_code
        if self.handles_signals:
            self.ignore_signals()
        for service in reversed(self.started_services):
            try:
                service.on_stop()
            except Exception:
                logger.exception("on_stop of service {} failed", service.service_name)
        self.stop()

    def ignore_signals(self) -> None:
        """Ignore further signals to reload or stop, because the process is ending.

        A handler would interrupt the wait for what services still transmit. The interpreter resets handlers
        to the default action before it deletes its modules, but leaves an ignored signal ignored.
        """
        for number in IGNORED_AT_END:
            signal.signal(number, signal.SIG_IGN)

    @handler("exception", channel="*")
    def log_exception(
        self, error_type: Any, value: Any, traceback: Any, handler: Any = None, fevent: Any = None
    ) -> None:
        """Log an exception in an event handler; the event loop continues."""
        logger.opt(exception=value).error("event handler failed: {}", error_type.__name__)
