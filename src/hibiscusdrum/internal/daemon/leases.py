"""Lease of this node: joining the ring, renewal, and the choice of the guard that grants the lease."""

from __future__ import annotations

import uuid
from collections.abc import Callable

from returns.result import Result, Success

from hibiscusdrum.errors import HibiscusdrumError
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.config.document import Document
from hibiscusdrum.internal.daemon.operations import new_operation_id
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.messages import LeaseGranted, LeaseRefused, RenewLease
from hibiscusdrum.internal.ownership import handover
from hibiscusdrum.internal.ownership.guard import RenewalRefusal
from hibiscusdrum.internal.ownership.guards import choose_guard, find_better_guard
from hibiscusdrum.internal.ownership.lease import LeaseHolder
from hibiscusdrum.internal.ownership.rows import LeaseRow, OwnerRow, lease_key
from hibiscusdrum.internal.platform.table import Row, Transaction
from hibiscusdrum.internal.settings import Settings

# Interval of the checks for a lapsed lease and for a guard that does not respond.
CHECK_INTERVAL_SECONDS = 0.05
# Renewal intervals without a grant after which the node changes its guard. Two lost messages are tolerated,
# and enough of the lease term is left for one write to the table and one renewal.
SILENT_RENEWAL_INTERVALS = 2.2
# Interval of the search for a better guard. While a few nodes guard each other in a cycle, recovery from the
# loss of all of them needs an operator.
GUARD_REVIEW_INTERVAL_SECONDS = 0.5
JOIN_RETRY_SECONDS = 0.2
# Time for which a guard that did not respond is not chosen again: the first time, and the upper bound.
INITIAL_GUARD_AVOID_SECONDS = 3.0
MAX_GUARD_AVOID_SECONDS = 120.0
# Reason that the table client gives for a write that was not sent.
WRITE_REFUSED = "refused"


class LeaseManager(Service):
    """Joins the ring, renews this node's lease and replaces its guard when needed.

    Parameters
    ----------
    settings : Settings
        Names, addresses, term and intervals of this node.
    """

    service_name = "leases"

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self.settings = settings
        self.node = settings.node
        self.term_seconds = settings.lease_term_ms / 1000.0
        self.renewal_interval_seconds = settings.renewal_interval_ms / 1000.0
        self.holder: LeaseHolder | None = None
        self.row_write_pending = False
        self.join_pending = False
        self.join_requested = False
        self.last_reported_valid = False
        self.lease_lost_at = 0.0
        self.avoided_guards: dict[str, float] = {}
        self.guard_avoid_seconds: dict[str, float] = {}
        self.granted_listeners: list[Callable[[], None]] = []
        self.lost_listeners: list[Callable[[], None]] = []

    def on_start(self) -> None:
        """Subscribe to lease messages, rows and configurations, and start the timers."""
        self.membership = self.app.find("membership")
        self.peers = self.app.find("peers")
        handlers = self.peers.control_handlers
        handlers[LeaseGranted] = self.on_lease_granted
        handlers[LeaseRefused] = self.on_lease_refused
        self.membership.listeners.append(self.on_rows)
        every = self.app.scheduler.every
        every(self.renewal_interval_seconds, self.renew)
        every(CHECK_INTERVAL_SECONDS, self.check)
        every(GUARD_REVIEW_INTERVAL_SECONDS, self.review_guard_choice)
        self.app.find("configuration").listeners.append(self.on_document)

    @property
    def now(self) -> float:
        """Monotonic time in seconds."""
        return self.app.clock.monotonic()

    def valid(self) -> bool:
        """Return whether the lease is in force, so that the node may serve its slices."""
        return self.holder is not None and self.holder.valid(self.now)

    def expires_at(self) -> float:
        """Return the monotonic time at which the lease expires; infinity if the node is its own guard."""
        return self.holder.expires_at(self.now) if self.holder is not None else 0.0

    @property
    def guard(self) -> str:
        """Name of the current guard, or empty if there is no lease row."""
        row = self.membership.map.leases.get(self.node)
        return row.guard if row is not None else ""

    def may_be_guard(self, node: str) -> bool:
        """Return whether a node is active and not avoided, so that it may be chosen as guard."""
        row = self.membership.map.leases.get(node)
        avoided_until = self.avoided_guards.get(node, 0.0)
        return row is not None and row.state == handover.ACTIVE and avoided_until < self.now

    def request_join(self) -> None:
        """Join the ring as soon as the preconditions of ``try_join`` hold."""
        self.join_requested = True
        self.try_join()

    def on_target_lost(self) -> None:
        """Mark this node as leaving while it has no target, so that it gets no slices and no new requests."""
        self.write_lease_state(handover.LEAVING)

    def on_target_available(self) -> None:
        """Join the ring, or mark this node as active again."""
        self.request_join()
        self.write_lease_state(handover.ACTIVE)

    def write_lease_state(self, state: str) -> None:
        """Write the state of the lease row; a write in progress is awaited first."""
        holder = self.holder
        if holder is None or holder.row is None or holder.row.state == state or not self.join_requested:
            return
        if (state == handover.ACTIVE) != self.app.find("target").available:
            return
        if self.row_write_pending:
            self.app.scheduler.call_later(JOIN_RETRY_SECONDS, lambda: self.write_lease_state(state))
        else:
            self.write_lease_row(holder.row.guard, state, on_done=lambda: self.write_lease_state(state))

    def disable_rejoin(self) -> None:
        """Do not join again after this node's rows have been deleted."""
        self.join_requested = False

    def try_join(self) -> None:
        """Write this node's rows if its service has a route here, or schedule another attempt.

        Rows of an earlier incarnation must first have been removed by a takeover.
        """
        membership = self.membership
        if not self.join_requested or self.holder is not None or self.join_pending:
            return
        is_routed = self.app.find("configuration").has_route(self.settings.service, self.settings.region)
        if not membership.table_loaded or not is_routed or membership.map.version(lease_key(self.node)):
            self.app.scheduler.call_later(JOIN_RETRY_SECONDS, self.try_join)
            return
        self.join_pending = True
        incarnation = uuid.uuid4().hex
        transaction = self.join_transaction(incarnation)
        self.membership.commit(transaction, lambda result: self.on_join_result(result, incarnation))

    def join_transaction(self, incarnation: str) -> Transaction:
        """Build the transaction that writes this node's first rows."""
        settings = self.settings
        row = OwnerRow(
            node=self.node,
            service=settings.service,
            region=settings.region,
            failure_domain=settings.failure_domain,
            peer_address=settings.peer_address,
            http_address=settings.http_address,
        )
        owners = {**self.membership.map.owners, self.node: row}
        guard = choose_guard(self.node, owners, self.membership.map.leases, self.may_be_guard)
        configuration = self.app.find("configuration")
        return handover.join_transaction(
            self.membership.map,
            row,
            incarnation,
            guard,
            new_operation_id(),
            slice_count=configuration.slice_count(settings.service),
            claim=configuration.accepts_work(row),
        )

    def on_join_result(self, result: Result[int, HibiscusdrumError], incarnation: str) -> None:
        """Adopt the committed lease row and request the first grant, or schedule another attempt."""
        self.join_pending = False
        if not isinstance(result, Success):
            self.app.scheduler.call_later(JOIN_RETRY_SECONDS, self.try_join)
            return
        self.holder = LeaseHolder(self.node, incarnation, self.term_seconds)
        self.adopt_own_row()
        self.renew()

    def adopt_own_row(self) -> None:
        """Pass the current lease row of this node to the lease holder."""
        row = self.membership.map.leases.get(self.node)
        version = self.membership.map.version(lease_key(self.node))
        if self.holder is not None and row is not None:
            self.holder.apply_row(row, version, self.now)

    def on_rows(self, rows: list[Row]) -> None:
        """Process changes of this node's lease row."""
        for row in rows:
            if row.key == lease_key(self.node) and self.holder is not None:
                value = self.membership.map.leases.get(self.node) if row.value is not None else None
                self.on_own_lease_row(value, row.version)

    def on_own_lease_row(self, value: LeaseRow | None, version: int) -> None:
        """Adopt a changed lease row; join again if the node was taken over."""
        if value is None or value.incarnation != self.holder.incarnation:
            self.holder.revoke(self.now)
            self.report_validity_change()
            self.holder = None
            self.try_join()
            return
        self.holder.apply_row(value, version, self.now)
        self.renew()

    def renew(self) -> None:
        """Send a renewal to the guard; a node that is its own guard needs none."""
        holder = self.holder
        if holder is None or holder.row is None or holder.self_guarded:
            self.report_validity_change()
            return
        renewal = holder.start_renewal(self.now)
        address = self.membership.address_of(renewal.guard)
        if address is not None:
            self.peers.send_control(address, self.renewal_message(renewal.lease_version, renewal.nonce))

    def renewal_message(self, lease_version: int, nonce: int) -> RenewLease:
        """Build a renewal message; it also carries this node's revision and table sequence number."""
        return RenewLease(
            node=self.node,
            incarnation=self.holder.incarnation,
            lease_version=lease_version,
            nonce=nonce,
            revision=self.app.find("configuration").acknowledged,
            table_seq=self.membership.map.seq,
        )

    def on_lease_granted(self, message: LeaseGranted) -> None:
        """Extend the lease by a grant and notify the listeners."""
        self.app.find("configuration").on_peer_revision(message.guard, message.revision)
        if self.holder is None or message.node != self.node:
            return
        if self.holder.on_granted(message.nonce, message.lease_version, self.now):
            self.guard_avoid_seconds.pop(message.guard, None)
            self.report_validity_change()
            for listener in self.granted_listeners:
                listener()

    def on_lease_refused(self, message: LeaseRefused) -> None:
        """Read the table if the guard knows another lease row.

        Nothing else is done here: a guard that refuses is replaced like one that does not respond.
        """
        if message.reason in (RenewalRefusal.OLD_VERSION, RenewalRefusal.NOT_GUARD):
            self.membership.poll()

    def report_validity_change(self) -> None:
        """Log that the lease has become valid or has expired, and notify the listeners of an expiry."""
        valid = self.valid()
        if valid == self.last_reported_valid:
            return
        self.last_reported_valid = valid
        version = self.holder.lease_version if self.holder is not None else 0
        if not valid:
            self.lease_lost_at = self.now
            silence_ms = (
                self.holder.seconds_since_grant(self.now) * 1000.0 if self.holder is not None else 0.0
            )
            log_events.emit(
                log_events.LeaseLost(guard=self.guard, lease_version=version, since_last_grant_ms=silence_ms)
            )
            for listener in self.lost_listeners:
                listener()
        elif self.lease_lost_at:
            lost_for_ms = (self.now - self.lease_lost_at) * 1000.0
            log_events.emit(
                log_events.LeaseRecovered(guard=self.guard, lease_version=version, lost_for_ms=lost_for_ms)
            )
        else:
            log_events.emit(log_events.LeaseGrantedFirst(guard=self.guard, lease_version=version))

    def check(self) -> None:
        """Report an expired lease and replace a guard that does not respond."""
        self.report_validity_change()
        self.replace_silent_guard()

    def replace_silent_guard(self) -> None:
        """Change the guard if no grant has arrived for ``SILENT_RENEWAL_INTERVALS``.

        If no other node may be the guard, the node becomes its own guard and recovers through the table.
        """
        holder = self.holder
        if holder is None or holder.row is None or holder.self_guarded or self.row_write_pending:
            return
        if holder.seconds_since_grant(self.now) < SILENT_RENEWAL_INTERVALS * self.renewal_interval_seconds:
            return
        self.avoid_guard(holder.row.guard)
        self.write_lease_row(choose_guard(self.node, *self.guard_choice_rows(), self.may_be_guard))

    def avoid_guard(self, guard: str) -> None:
        """Exclude a guard that did not respond for a time that doubles on each repetition.

        A node that is lost together with its own guard keeps its rows until an operator releases it. With a
        constant time other nodes would choose it again and again and lose their leases each time.
        """
        seconds = self.guard_avoid_seconds.get(guard, INITIAL_GUARD_AVOID_SECONDS)
        self.avoided_guards[guard] = self.now + seconds
        self.guard_avoid_seconds[guard] = min(2.0 * seconds, MAX_GUARD_AVOID_SECONDS)

    def guard_choice_rows(self) -> tuple[dict[str, OwnerRow], dict[str, LeaseRow]]:
        """Return the owner rows and the lease rows from which a guard is chosen."""
        return self.membership.map.owners, self.membership.map.leases

    def review_guard_choice(self) -> None:
        """Change to a better guard if there is one, for example after other nodes have joined or left."""
        holder = self.holder
        if (
            holder is None
            or holder.row is None
            or self.row_write_pending
            or self.node not in self.membership.map.owners
        ):
            return
        better_guard = find_better_guard(self.node, *self.guard_choice_rows(), self.may_be_guard)
        if better_guard is None and not holder.self_guarded and not self.may_be_guard(holder.row.guard):
            better_guard = choose_guard(self.node, *self.guard_choice_rows(), self.may_be_guard)
        if better_guard is not None and better_guard != holder.row.guard:
            self.write_lease_row(better_guard)

    def on_document(self, document: Document) -> None:
        """Give up the lease at once if an operator has released this node as lost."""
        if self.holder is not None and document.allows_takeover(self.node, self.holder.lease_version):
            self.holder.revoke(self.now)
            self.report_validity_change()

    def write_lease_row(
        self, guard: str, state: str | None = None, on_done: Callable[[], None] | None = None
    ) -> None:
        """Write a guard, and optionally a state, to this node's lease row."""
        holder = self.holder
        former = holder.row.guard
        transaction = handover.guard_change_transaction(
            self.membership.map, self.node, guard, new_operation_id(), state
        )
        self.row_write_pending = True
        holder.begin_guard_change(self.now)

        def done(result: Result[int, HibiscusdrumError]) -> None:
            self.row_write_pending = False
            self.on_guard_change_result(result, former, guard)
            if on_done is not None:
                on_done()

        self.membership.commit(transaction, done)

    def on_guard_change_result(self, result: Result[int, HibiscusdrumError], former: str, guard: str) -> None:
        """Process the outcome of a lease row write; a committed row was already adopted by ``on_rows``."""
        holder = self.holder
        if holder is None:
            return
        if isinstance(result, Success):
            self.log_guard_change(former, guard, result.unwrap())
            self.renew()
        elif getattr(result.failure(), "reason", "") == WRITE_REFUSED:
            holder.guard_change_failed(self.now)
        else:
            # After a conflict the row has changed: no new grant counts until it has been read again.
            holder.guard_change_unknown(self.now)

    def log_guard_change(self, former: str, guard: str, version: int) -> None:
        """Log a committed change of the guard."""
        if guard == self.node:
            log_events.emit(log_events.SelfGuarded(lease_version=version))
        elif guard != former:
            log_events.emit(log_events.GuardChanged(former=former, guard=guard, lease_version=version))
