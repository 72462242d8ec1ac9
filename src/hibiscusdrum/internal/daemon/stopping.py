"""Graceful shutdown: refuse new work, hand over slices, finish requests and remove this node's rows."""

from __future__ import annotations

import signal
from typing import Any

from circuits import handler
from returns.result import Result, Success

from hibiscusdrum.errors import HibiscusdrumError
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.daemon.operations import new_operation_id
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.ownership import handover as transactions
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.settings import Settings

STEP_INTERVAL_SECONDS = 0.02
# Time that the nodes guarded by this one get to choose another guard; their leases last at least as long.
GUARD_CHANGE_TIMEOUT_SECONDS = 3.0
# After its rows are removed, the daemon still tells callers with a stale map who the new owner is: the caller
# library reads map changes once a second, and a request sent to a closed daemon has an unknown outcome.
REDIRECT_PERIOD_SECONDS = 1.5


class ShutdownCoordinator(Service):
    """Shuts the daemon down gracefully on SIGTERM or SIGINT.

    Parameters
    ----------
    settings : Settings
        Name of this node and time limit of the shutdown.

    Attributes
    ----------
    started_at : float or None
        Monotonic time at which the shutdown began, or None before it.
    closing : bool
        Whether the rows of this node are being or have been removed, or the application is about to end.
    """

    service_name = "stopping"

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self.settings = settings
        self.started_at: float | None = None
        self.closing = False

    def on_start(self) -> None:
        """Look up the services used."""
        find = self.app.find
        self.leases = find("leases")
        self.guarding = find("guarding")
        self.handover = find("handover")
        self.requests = find("requests")
        self.owned = find("owned")
        self.membership = find("membership")
        self.http = find("http")

    @handler("signal", channel="*")
    def on_signal(self, event: Any, signal_number: int, _frame: Any) -> None:
        """Begin the shutdown, or end at once if the start is not complete; log SIGHUP.

        Further signals are ignored, because the shutdown has a time limit.
        """
        event.stop()
        if signal_number == signal.SIGHUP:
            log_events.emit(events.ReloadAsked(version=self.app.find("configuration").revision))
        elif self not in self.app.started_services:
            self.app.shutdown(0)
        elif self.started_at is None:
            self.begin()

    def begin(self) -> None:
        """Stop taking new work and mark this node as leaving in its lease row."""
        self.started_at = self.app.clock.monotonic()
        in_flight = len(self.requests.pending)
        log_events.emit(log_events.Stopping(reason="signal", in_flight=in_flight))
        self.requests.stopping = True
        self.handover.leave()
        self.leases.disable_rejoin()
        holder = self.leases.holder
        if holder is not None and holder.row is not None and not self.leases.row_write_pending:
            self.leases.write_lease_row(holder.row.guard, state=transactions.LEAVING)
        self.app.scheduler.every(STEP_INTERVAL_SECONDS, self.step)

    @property
    def elapsed(self) -> float:
        """Seconds since the shutdown began."""
        return self.app.clock.monotonic() - self.started_at

    def step(self) -> None:
        """Remove this node's rows once its work is done, or end when the time limit has passed.

        A node without a lease has no rows to remove.
        """
        if self.closing:
            return
        if self.elapsed > self.settings.stop_timeout_s:
            self.finish()
        elif self.requests.pending:
            return
        elif self.leases.holder is None:
            self.finish()
        elif self.handover_complete() and self.guard_change_complete():
            self.leave()

    def handover_complete(self) -> bool:
        """Return whether all slices and hot keys have new owners, or no node can receive them."""
        row = self.owned.row
        if row is None or not (row.slices or row.hot_keys):
            return not self.handover.busy
        return not self.handover.has_drain_receivers()

    def guard_change_complete(self) -> bool:
        """Return whether the nodes that this one guards have another guard, or the time for it is over."""
        return not self.guarding.guard_table.lessees or self.elapsed > GUARD_CHANGE_TIMEOUT_SECONDS

    def leave(self) -> None:
        """Remove the rows of this node; slices that no node could receive become unowned in the ring row."""
        self.closing = True
        transaction = transactions.leave_transaction(
            self.membership.map,
            self.settings.node,
            new_operation_id(),
            self.app.find("configuration").accepts_work,
        )
        self.membership.commit(transaction, self.on_left)

    def on_left(self, result: Result[int, HibiscusdrumError]) -> None:
        """End after a successful commit, otherwise let the next step retry within the time limit.

        The commit fails if the rows have changed in the meantime or the store is unavailable.
        """
        if isinstance(result, Success):
            self.app.scheduler.call_later(REDIRECT_PERIOD_SECONDS, self.finish)
        elif self.elapsed > self.settings.stop_timeout_s:
            self.finish()
        else:
            self.closing = False

    def finish(self) -> None:
        """End the application once its forwarded requests have ended or the time limit has passed."""
        self.closing = True
        if self.http.forwarding_engine.calls and self.elapsed < self.settings.stop_timeout_s:
            self.app.scheduler.call_later(STEP_INTERVAL_SECONDS, self.finish)
            return
        row = self.owned.row
        slices_left = len(row.slices) if row is not None else 0
        log_events.emit(
            log_events.Stopped(
                duration_ms=self.elapsed * 1000.0,
                slices_left=slices_left,
                in_flight=len(self.requests.pending),
            )
        )
        self.app.shutdown(0)
