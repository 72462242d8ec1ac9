"""Planned stop: no new work, slices handed over, requests finished, rows removed."""

from __future__ import annotations

from typing import Any

from circuits import handler
from returns.result import Result, Success

from hibiscusdrum.errors import HibiscusdrumError
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.daemon.operations import new_operation_id
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.ownership import handover as transactions
from hibiscusdrum.internal.settings import Settings

STEP_INTERVAL_SECONDS = 0.02
# Nodes that this one guards get this long to choose another guard; their leases last at least as long.
LESSEES_WAIT_SECONDS = 3.0
# After leaving, callers with an old map are still told the new owner: the library reads changes each second.
# A request sent to a closed daemon gets no answer, so its outcome would be unknown.
REDIRECT_SECONDS = 1.5


class Stopping(Service):
    """Runs the planned stop on SIGTERM or SIGINT.

    Parameters
    ----------
    settings : Settings
        Gives the time limit of the stop.
    """

    service_name = "stopping"

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self.settings = settings
        self.started_at: float | None = None
        self.left = False

    def on_start(self) -> None:
        """Find the services that take part."""
        find = self.app.find
        self.leases = find("leases")
        self.guarding = find("guarding")
        self.handover = find("handover")
        self.requests = find("requests")
        self.owned = find("owned")
        self.membership = find("membership")
        self.http = find("http")

    @handler("signal", channel="*")
    def on_signal(self, event: Any, _signal_number: int, _frame: Any) -> None:
        """Begin the stop; a second signal changes nothing, since the stop has a time limit."""
        event.stop()
        if self not in self.app.started_services:
            self.app.shutdown(0)
        elif self.started_at is None:
            self.begin()

    def begin(self) -> None:
        """Stop taking new work and announce that this node leaves."""
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
        """Seconds since the stop began."""
        return self.app.clock.monotonic() - self.started_at

    def step(self) -> None:
        """Wait for each stage of the stop, within its time limit."""
        if self.left:
            return
        if self.elapsed > self.settings.stop_timeout_s or self.leases.holder is None:
            self.finish()
        elif not self.requests.pending and self.slices_gone() and self.lessees_gone():
            self.leave()

    def slices_gone(self) -> bool:
        """Return whether the slices have new owners, or there is nobody to take them."""
        row = self.owned.row
        if row is None or not (row.slices or row.hot_keys):
            return not self.handover.busy
        return not self.handover.has_drain_receivers()

    def lessees_gone(self) -> bool:
        """Return whether the nodes that this one guards have another guard, or have had time for it."""
        return not self.guarding.guard_table.lessees or self.elapsed > LESSEES_WAIT_SECONDS

    def leave(self) -> None:
        """Remove the rows of this node, with slices that nobody could take left to the ring row."""
        self.left = True
        transaction = transactions.leave_transaction(
            self.membership.map,
            self.settings.node,
            new_operation_id(),
            self.app.find("configuration").accepts_work,
        )
        self.membership.commit(transaction, self.on_left)

    def on_left(self, result: Result[int, HibiscusdrumError]) -> None:
        """End, or try again when the rows have changed meanwhile or the store is away."""
        if isinstance(result, Success):
            self.app.scheduler.call_later(REDIRECT_SECONDS, self.finish)
        elif self.elapsed > self.settings.stop_timeout_s:
            self.finish()
        else:
            self.left = False

    def finish(self) -> None:
        """End the application when its forwarded requests have ended."""
        self.left = True
        if self.http.engine.calls and self.elapsed < self.settings.stop_timeout_s:
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
