"""Graceful shutdown of the router: readiness is denied, requests in flight finish, then the process exits.

The readiness check makes callers on the VM use other routers, and each response closes its connection. The
local target ignores readiness: the calls that its runs make are served as long as it runs any.
"""

from __future__ import annotations

import math
import signal
from typing import Any

from circuits import handler

from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.gateway import EARLY_END_PATIENCE_SECONDS
from hibiscusdrum.internal.router.local_target import TargetState
from hibiscusdrum.internal.router.settings import RouterSettings

STOP_STEP_INTERVAL_SECONDS = 0.05
# Callers stop sending new requests once readiness has been denied twice, one second apart.
READINESS_DENIAL_SECONDS = 2.3
# New requests for the local target are refused from this time after the signal, so that those in flight can
# finish before the process is killed.
REQUEST_REFUSAL_DELAY_SECONDS = 2.3
# Peers learn this long before the process exits that it does: many times the delay between regions.
END_NOTICE_SECONDS = 0.2
# The process exits only once no caller has used its connection for this long, many times the delay to one.
QUIET_SECONDS = 0.3
# A target that still runs has sent a heartbeat within this time.
ROW_REMOVAL_DELAY_SECONDS = 1.8
# A body that no node has requested this long before the process is killed is no longer sent.
UNSENT_BODY_MARGIN_SECONDS = 2.0
# The process exits this long before it would be killed.
EXIT_MARGIN_SECONDS = 0.4
# A process that waits until its last replies to other nodes or responses to callers are transmitted ends this
# long before it would be killed.
KILL_MARGIN_SECONDS = 0.1
# Requests end this long before the process exits, since the answer of a target that has reached its deadline
# takes a round trip between regions and ``RESPONSE_GRACE_SECONDS``.
ANSWER_MARGIN_SECONDS = 0.3


class RouterStopping(Service):
    """Shuts down gracefully on SIGTERM; SIGHUP is only logged, since settings are read only at start.

    Attributes
    ----------
    stop_started_at : float or None
        Monotonic time in seconds at which the shutdown began.
    row_removed : bool
        Whether the removal of this node's row has been requested.
    announced_at : float or None
        Seconds after the begin of the shutdown at which the peers were told that the process ends.
    finished : bool
        Whether the application has been told to end.
    """

    service_name = "stopping"

    def __init__(self, settings: RouterSettings) -> None:
        super().__init__()
        self.settings = settings
        self.stop_started_at: float | None = None
        self.row_removed = False
        self.announced_at: float | None = None
        self.finished = False

    def on_start(self) -> None:
        """Look up the services that take part in the shutdown."""
        find = self.app.find
        self.gateway = find("gateway")
        self.receiver = find("receiver")
        self.readiness = find("readiness")
        self.entry = find("entry")
        self.peers = find("peers")
        self.hop = find("hop")
        self.target = find("local_target")
        self.members = find("members")
        self.gateway.service_seconds_left = self.service_seconds_left
        self.receiver.service_seconds_left = self.service_seconds_left

    @handler("signal", channel="*")
    def on_signal(self, event: Any, signal_number: int, _frame: Any) -> None:
        """Begin the shutdown, or log SIGHUP; a second stop signal has no effect."""
        event.stop()
        if signal_number == signal.SIGHUP:
            log_events.emit(events.ReloadAsked(version=self.gateway.route_table.version))
        elif self not in self.app.started_services:
            self.app.shutdown(0)
        elif self.stop_started_at is None:
            self.begin_stop()

    def begin_stop(self) -> None:
        """Deny readiness, and make other nodes choose other targets."""
        self.stop_started_at = self.app.clock.monotonic()
        in_flight = len(self.gateway.pending_requests) + len(self.receiver.jobs)
        log_events.emit(log_events.Stopping(reason="signal", in_flight=in_flight))
        self.readiness.stopping = True
        self.receiver.stopping = True
        self.gateway.stopping = True
        self.app.scheduler.every(STOP_STEP_INTERVAL_SECONDS, self.advance_stop)

    def service_seconds_left(self) -> float:
        """Return the seconds within which requests must end; infinite unless the process is shutting down."""
        if self.stop_started_at is None:
            return math.inf
        elapsed = self.app.clock.monotonic() - self.stop_started_at
        return self.settings.grace - EXIT_MARGIN_SECONDS - ANSWER_MARGIN_SECONDS - elapsed

    @property
    def target_ended(self) -> bool:
        """Whether the target has ended for good, as far as this process can tell.

        A target that has announced its departure and still runs must be known as leaving to the next process
        of this node.
        """
        target = self.target
        if self.app.clock.monotonic() - self.stop_started_at < ROW_REMOVAL_DELAY_SECONDS:
            return False
        heard = target.last_seen_at > self.stop_started_at
        leaving = target.last_incarnation in target.leaving_incarnations
        return target.state is TargetState.ABSENT or (leaving and not heard)

    @property
    def busy(self) -> bool:
        """Whether a request is in flight or not read yet, or an answer waits for the link."""
        in_flight = (
            self.gateway.has_pending
            or self.receiver.has_jobs
            or self.entry.unanswered_count
            or self.hop.has_queued
        )
        return bool(in_flight or self.entry.has_incoming or self.peers.has_unread_messages)

    @property
    def callers_quiet(self) -> bool:
        """Whether no caller has used its connection lately, or has yet to read a response or the close."""
        connections = self.entry.connections_of(self.settings.caller_address)
        return all(
            not connection.discard_until
            and connection.idle_seconds >= QUIET_SECONDS
            and not connection.count_undelivered()
            for connection in connections
        )

    def peers_told(self, elapsed: float) -> bool:
        """Return whether the peers have had time to read that the process ends."""
        return self.announced_at is not None and elapsed > self.announced_at + END_NOTICE_SECONDS

    def advance_stop(self) -> None:
        """Advance the shutdown; exit when no request is in flight or the grace period is over."""
        if self.finished:
            return
        elapsed = self.app.clock.monotonic() - self.stop_started_at
        if not self.row_removed and self.target_ended:
            self.row_removed = True
            self.members.remove_local_row(lambda: None)
        if elapsed > REQUEST_REFUSAL_DELAY_SECONDS:
            self.refuse_requests(elapsed)
        self.end_late_requests(elapsed)
        self.hop.fit_queue(self.settings.grace - EXIT_MARGIN_SECONDS - elapsed)
        if self.must_end(elapsed) or self.may_end(elapsed):
            self.finished = True
            self.log_connections_left()
            self.peers.close_linger = max(0.0, self.settings.grace - KILL_MARGIN_SECONDS - elapsed)
            log_events.emit(
                log_events.Stopped(
                    duration_ms=round(elapsed * 1000),
                    slices_left=0,
                    in_flight=len(self.gateway.pending_requests),
                )
            )
            self.app.shutdown(0)

    def refuse_requests(self, elapsed: float) -> None:
        """Take no more requests for the local target, and no new callers once its runs have ended."""
        if self.announced_at is None:
            self.announced_at = elapsed
            self.hop.announce_end()
        self.receiver.closed = True
        if not self.gateway.closed and not self.receiver.has_jobs:
            self.gateway.close()

    def end_late_requests(self, elapsed: float) -> None:
        """Give an outcome to the requests that would still be without one when the process is killed."""
        if elapsed > self.settings.grace - UNSENT_BODY_MARGIN_SECONDS:
            self.gateway.refuse_unsent()
        if self.service_seconds_left() <= 0.0:
            self.receiver.decline_unsent()
        if self.service_seconds_left() <= -EARLY_END_PATIENCE_SECONDS:
            self.gateway.end_unanswered()

    def must_end(self, elapsed: float) -> bool:
        """Return whether the grace period is over, but for what callers have not received."""
        left = self.settings.grace - elapsed
        if KILL_MARGIN_SECONDS <= left < EXIT_MARGIN_SECONDS:
            return not any(
                connection.output_buffer or connection.count_undelivered()
                for connection in self.entry.connections_of(self.settings.caller_address)
            )
        return left < KILL_MARGIN_SECONDS

    def may_end(self, elapsed: float) -> bool:
        """Return whether the process can exit without cutting off a request."""
        denied = elapsed > READINESS_DENIAL_SECONDS and self.peers_told(elapsed)
        return denied and self.gateway.closed and not self.busy and self.callers_quiet

    def log_connections_left(self) -> None:
        """Log in which state callers' connections are closed by the end of the process."""
        connections = self.entry.connections_of(self.settings.caller_address)
        if not connections:
            return
        log_events.emit(
            events.ConnectionsLeft(
                open=len(connections),
                unread=sum(connection.receiving or connection.has_unread_input for connection in connections),
                unanswered=sum(bool(connection.pending) for connection in connections),
                discarding=sum(bool(connection.discard_until) for connection in connections),
                quiet_s=round(min(connection.idle_seconds for connection in connections), 3),
            )
        )
