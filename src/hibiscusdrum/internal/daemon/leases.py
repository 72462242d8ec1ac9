"""The node's own lease: joining, renewal, and the choice of its guard."""

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

# Time between checks for a silent guard.
CHECK_SECONDS = 0.05
# Renewals without a grant, in renewal intervals, after which the owner changes its guard. Two lost messages
# are tolerated, and enough of the term is left for one write and one renewal.
SILENT_INTERVALS = 2.2
# Time between looks for a better guard. Until a short cycle is dissolved, the loss of all its nodes needs an
# operator.
REVIEW_SECONDS = 0.5
JOIN_RETRY_SECONDS = 0.2
# A guard that did not answer is not chosen again for this long at first, and at most.
AVOID_SECONDS = 3.0
MAX_AVOID_SECONDS = 120.0
# Reason of the table client for a write that was never sent.
REFUSED = "refused"


class Leases(Service):
    """Joins the ring, renews the node's lease and changes its guard.

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
        self.term = settings.lease_term_ms / 1000.0
        self.renewal_seconds = settings.renewal_interval_ms / 1000.0
        self.holder: LeaseHolder | None = None
        self.writing = False
        self.joining = False
        self.wanted = False
        self.was_valid = False
        self.lost_at = 0.0
        self.avoided: dict[str, float] = {}
        self.avoid_seconds: dict[str, float] = {}
        self.granted_listeners: list[Callable[[], None]] = []
        self.lost_listeners: list[Callable[[], None]] = []

    def on_start(self) -> None:
        """Subscribe to messages and rows and start the timers."""
        self.membership = self.app.find("membership")
        self.peers = self.app.find("peers")
        handlers = self.peers.control_handlers
        handlers[LeaseGranted] = self.on_lease_granted
        handlers[LeaseRefused] = self.on_lease_refused
        self.membership.listeners.append(self.on_rows)
        every = self.app.scheduler.every
        every(self.renewal_seconds, self.renew)
        every(CHECK_SECONDS, self.check)
        every(REVIEW_SECONDS, self.review)
        self.app.find("configuration").listeners.append(self.on_document)

    # State

    @property
    def now(self) -> float:
        """Monotonic time in seconds."""
        return self.app.clock.monotonic()

    def valid(self) -> bool:
        """Return whether the node may consider itself the owner of its slices now."""
        return self.holder is not None and self.holder.valid(self.now)

    def expires_at(self) -> float:
        """Return the monotonic time at which the lease ends; infinity when self-guarded."""
        return self.holder.expires_at(self.now) if self.holder is not None else 0.0

    @property
    def guard(self) -> str:
        """Name of the present guard, or empty."""
        row = self.membership.map.leases.get(self.node)
        return row.guard if row is not None else ""

    def usable(self, node: str) -> bool:
        """Return whether a node may be chosen as guard."""
        row = self.membership.map.leases.get(node)
        avoided_until = self.avoided.get(node, 0.0)
        return row is not None and row.state == handover.ACTIVE and avoided_until < self.now

    # Joining

    def request_join(self) -> None:
        """Join the ring as soon as the table allows it."""
        self.wanted = True
        self.try_join()

    def on_target_lost(self) -> None:
        """Announce that this node takes no slices and no shared work while it has no target."""
        self.write_state(handover.LEAVING)

    def on_target_available(self) -> None:
        """Join, or announce that this node has a target again."""
        self.request_join()
        self.write_state(handover.ACTIVE)

    def write_state(self, state: str) -> None:
        """Write the state of the lease row, after a write that is under way."""
        holder = self.holder
        if holder is None or holder.row is None or holder.row.state == state or not self.wanted:
            return
        if (state == handover.ACTIVE) != self.app.find("target").available:
            return
        if self.writing:
            self.app.scheduler.call_later(JOIN_RETRY_SECONDS, lambda: self.write_state(state))
        else:
            self.change_guard(holder.row.guard, state, then=lambda: self.write_state(state))

    def leave_wanted(self) -> None:
        """Do not join again after the rows are gone."""
        self.wanted = False

    def try_join(self) -> None:
        """Write the node's rows when there is a route; former rows must be taken over first."""
        membership = self.membership
        if not self.wanted or self.holder is not None or self.joining:
            return
        routed = self.app.find("configuration").serves(self.settings.service, self.settings.region)
        if not membership.loaded or not routed or membership.map.version(lease_key(self.node)):
            self.app.scheduler.call_later(JOIN_RETRY_SECONDS, self.try_join)
            return
        self.joining = True
        incarnation = uuid.uuid4().hex
        transaction = self.join_transaction(incarnation)
        self.membership.commit(transaction, lambda result: self.joined(result, incarnation))

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
        guard = choose_guard(self.node, owners, self.membership.map.leases, self.usable)
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

    def joined(self, result: Result[int, HibiscusdrumError], incarnation: str) -> None:
        """Adopt the lease row, or try again."""
        self.joining = False
        if not isinstance(result, Success):
            self.app.scheduler.call_later(JOIN_RETRY_SECONDS, self.try_join)
            return
        self.holder = LeaseHolder(self.node, incarnation, self.term)
        self.adopt_own_row()
        self.renew()

    def adopt_own_row(self) -> None:
        """Give the lease holder the present row of this node."""
        row = self.membership.map.leases.get(self.node)
        version = self.membership.map.version(lease_key(self.node))
        if self.holder is not None and row is not None:
            self.holder.apply_row(row, version, self.now)

    # Rows

    def on_rows(self, rows: list[Row]) -> None:
        """Note a change of the own lease row."""
        for row in rows:
            if row.key == lease_key(self.node) and self.holder is not None:
                value = self.membership.map.leases.get(self.node) if row.value is not None else None
                self.on_own_row(value, row.version)

    def on_own_row(self, value: LeaseRow | None, version: int) -> None:
        """Adopt a changed own row; when the node was taken over, join again."""
        if value is None or value.incarnation != self.holder.incarnation:
            self.holder.revoke(self.now)
            self.note_validity()
            self.holder = None
            self.try_join()
            return
        self.holder.apply_row(value, version, self.now)
        self.renew()

    # Renewal

    def renew(self) -> None:
        """Ask the guard for a grant."""
        holder = self.holder
        if holder is None or holder.row is None or holder.self_guarded:
            self.note_validity()
            return
        ask = holder.start_renewal(self.now)
        address = self.membership.address_of(ask.guard)
        if address is not None:
            self.peers.send_control(address, self.renewal_message(ask.lease_version, ask.nonce))

    def renewal_message(self, lease_version: int, nonce: int) -> RenewLease:
        """Build a renewal, which also carries what the guard may lack."""
        return RenewLease(
            node=self.node,
            incarnation=self.holder.incarnation,
            lease_version=lease_version,
            nonce=nonce,
            revision=self.app.find("configuration").acknowledged,
            table_seq=self.membership.map.seq,
        )

    def on_lease_granted(self, message: LeaseGranted) -> None:
        """Count a grant."""
        self.app.find("configuration").note_peer_revision(message.guard, message.revision)
        if self.holder is None or message.node != self.node:
            return
        if self.holder.on_granted(message.nonce, message.lease_version, self.now):
            self.avoid_seconds.pop(message.guard, None)
            self.note_validity()
            for listener in self.granted_listeners:
                listener()

    def on_lease_refused(self, message: LeaseRefused) -> None:
        """Read the table when the guard knows another row; a refusing guard is replaced like a silent one."""
        if message.reason in (RenewalRefusal.OLD_VERSION, RenewalRefusal.NOT_GUARD):
            self.membership.poll()

    def note_validity(self) -> None:
        """Log and announce that the lease has become valid or has lapsed."""
        valid = self.valid()
        if valid == self.was_valid:
            return
        self.was_valid = valid
        version = self.holder.lease_version if self.holder is not None else 0
        if not valid:
            self.lost_at = self.now
            silence = self.holder.seconds_since_grant(self.now) * 1000.0 if self.holder is not None else 0.0
            log_events.emit(
                log_events.LeaseLost(guard=self.guard, lease_version=version, since_last_grant_ms=silence)
            )
            for listener in self.lost_listeners:
                listener()
        elif self.lost_at:
            lost_for = (self.now - self.lost_at) * 1000.0
            log_events.emit(
                log_events.LeaseRecovered(guard=self.guard, lease_version=version, lost_for_ms=lost_for)
            )
        else:
            log_events.emit(log_events.LeaseGrantedFirst(guard=self.guard, lease_version=version))

    def check(self) -> None:
        """Note a lapse of the lease, and replace a silent guard."""
        self.note_validity()
        self.replace_silent_guard()

    # Change of guard

    def replace_silent_guard(self) -> None:
        """Change the guard after missed grants; without any usable guard, recover through the table."""
        holder = self.holder
        if holder is None or holder.row is None or holder.self_guarded or self.writing:
            return
        if holder.seconds_since_grant(self.now) < SILENT_INTERVALS * self.renewal_seconds:
            return
        self.avoid(holder.row.guard)
        self.change_guard(choose_guard(self.node, *self.rows_for_choice(), self.usable))

    def avoid(self, guard: str) -> None:
        """Do not choose a silent guard again for a time that doubles with each silence.

        A lost node whose own guard was lost too keeps its rows until an operator releases it. Without the
        growth other nodes would choose it again and again, and lose their leases each time.
        """
        seconds = self.avoid_seconds.get(guard, AVOID_SECONDS)
        self.avoided[guard] = self.now + seconds
        self.avoid_seconds[guard] = min(2.0 * seconds, MAX_AVOID_SECONDS)

    def rows_for_choice(self) -> tuple[dict[str, OwnerRow], dict[str, LeaseRow]]:
        """Return the rows that the choice of a guard depends on."""
        return self.membership.map.owners, self.membership.map.leases

    def review(self) -> None:
        """Change to a better guard, for example after other nodes have joined or announced their leaving."""
        holder = self.holder
        if (
            holder is None
            or holder.row is None
            or self.writing
            or self.node not in self.membership.map.owners
        ):
            return
        better = find_better_guard(self.node, *self.rows_for_choice(), self.usable)
        if better is None and not holder.self_guarded and not self.usable(holder.row.guard):
            better = choose_guard(self.node, *self.rows_for_choice(), self.usable)
        if better is not None and better != holder.row.guard:
            self.change_guard(better)

    # Nodes that an operator declared gone

    def on_document(self, document: Document) -> None:
        """Give up the own lease at once when an operator has declared this node gone."""
        if self.holder is not None and document.allows_takeover(self.node, self.holder.lease_version):
            self.holder.revoke(self.now)
            self.note_validity()

    def change_guard(
        self, guard: str, state: str | None = None, then: Callable[[], None] | None = None
    ) -> None:
        """Write another guard or state into the node's lease row."""
        holder = self.holder
        former = holder.row.guard
        transaction = handover.guard_change_transaction(
            self.membership.map, self.node, guard, new_operation_id(), state
        )
        self.writing = True
        holder.begin_guard_change(self.now)

        def done(result: Result[int, HibiscusdrumError]) -> None:
            self.writing = False
            self.guard_changed(result, former, guard)
            if then is not None:
                then()

        self.membership.commit(transaction, done)

    def guard_changed(self, result: Result[int, HibiscusdrumError], former: str, guard: str) -> None:
        """Note the outcome of a change of guard; the row itself was adopted when it was published."""
        holder = self.holder
        if holder is None:
            return
        if isinstance(result, Success):
            self.log_guard(former, guard, result.unwrap())
            self.renew()
        elif getattr(result.failure(), "reason", "") == REFUSED:
            holder.guard_change_failed(self.now)
        else:
            # A conflict means that the row has changed: no new grant counts until it has been read back.
            holder.guard_change_unknown(self.now)

    def log_guard(self, former: str, guard: str, version: int) -> None:
        """Log a change of guard."""
        if guard == self.node:
            log_events.emit(log_events.SelfGuarded(lease_version=version))
        elif guard != former:
            log_events.emit(log_events.GuardChanged(former=former, guard=guard, lease_version=version))
