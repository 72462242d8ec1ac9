"""Planned stop of the router: no new callers, requests under way finished, then the end."""

from __future__ import annotations

import signal
from typing import Any

from circuits import handler

from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.local_target import TargetState
from hibiscusdrum.internal.router.settings import RouterSettings

STOP_STEP_INTERVAL_SECONDS = 0.05
# Callers send new requests until readiness has been denied twice, a second apart.
READINESS_DENIAL_SECONDS = 2.3
# From then on new requests are refused, so that those under way can end before the process is killed.
REQUEST_REFUSAL_DELAY_SECONDS = 2.3
# Bodies that no node has asked for this long before the process is killed are not sent any more.
UNSENT_BODY_MARGIN_SECONDS = 2.0
# Kept free before the process is killed, in seconds.
EXIT_MARGIN_SECONDS = 0.4


class RouterStopping(Service):
    """Runs the planned stop on SIGTERM; SIGHUP is logged, since settings are read at start only."""

    service_name = "stopping"

    def __init__(self, settings: RouterSettings) -> None:
        super().__init__()
        self.settings = settings
        self.stop_started_at: float | None = None
        self.finished = False

    def on_start(self) -> None:
        """Find the services that take part."""
        find = self.app.find
        self.gateway = find("gateway")
        self.receiver = find("receiver")
        self.readiness = find("readiness")
        self.entry = find("entry")
        self.target = find("local_target")
        self.members = find("members")

    @handler("signal", channel="*")
    def on_signal(self, event: Any, signal_number: int, _frame: Any) -> None:
        """Begin the stop; a second signal changes nothing."""
        event.stop()
        if signal_number == signal.SIGHUP:
            log_events.emit(events.ReloadAsked(version=self.gateway.route_table.version))
        elif self not in self.app.started_services:
            self.app.shutdown(0)
        elif self.stop_started_at is None:
            self.begin_stop()

    def begin_stop(self) -> None:
        """Deny readiness, and let other daemons choose other targets."""
        self.stop_started_at = self.app.clock.monotonic()
        in_flight = len(self.gateway.pending_requests) + len(self.receiver.jobs)
        log_events.emit(log_events.Stopping(reason="signal", in_flight=in_flight))
        self.readiness.stopping = True
        self.receiver.stopping = True
        self.gateway.stopping = True
        if (
            self.target.state is TargetState.ABSENT
            or self.target.last_heartbeat.incarnation in self.target.leaving_incarnations
        ):
            self.members.remove_local_row(lambda: None)
        self.app.scheduler.every(STOP_STEP_INTERVAL_SECONDS, self.advance_stop)

    def advance_stop(self) -> None:
        """End when nothing is under way, or when the time is over."""
        if self.finished:
            return
        elapsed = self.app.clock.monotonic() - self.stop_started_at
        if elapsed > REQUEST_REFUSAL_DELAY_SECONDS and not self.gateway.closed:
            self.gateway.close()
            self.receiver.closed = True
        if elapsed > self.settings.grace - UNSENT_BODY_MARGIN_SECONDS:
            self.gateway.refuse_unsent()
        last = elapsed > self.settings.grace - EXIT_MARGIN_SECONDS
        busy = self.gateway.has_pending or self.receiver.has_jobs or self.entry.unanswered
        if last or (elapsed > READINESS_DENIAL_SECONDS and not busy):
            self.finished = True
            log_events.emit(
                log_events.Stopped(
                    duration_ms=round(elapsed * 1000),
                    slices_left=0,
                    in_flight=len(self.gateway.pending_requests),
                )
            )
            self.app.shutdown(0)
