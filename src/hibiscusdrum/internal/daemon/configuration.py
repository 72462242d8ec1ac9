"""The configuration in force on this node, and its spread to the other nodes."""

from __future__ import annotations

from typing import Any

from hibiscusdrum.errors import HibiscusdrumError, InvalidArgument
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.config.document import Document, decode_config_row, empty_document, encode_document
from hibiscusdrum.internal.config.revisions import ACCEPTED, Acceptance, Applied, Behind, RevisionState
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.messages import ConfigAck, ConfigChange, ConfigRequest
from hibiscusdrum.internal.ownership.keys import DEFAULT_SLICE_COUNT
from hibiscusdrum.internal.ownership.rows import CONFIG_KEY, LEASE_PREFIX, OwnerRow
from hibiscusdrum.internal.platform.table import Row

# An unacknowledged revision is sent again at this interval; three tries fit into the 7 s limit.
RESEND_SECONDS = 1.0
# Revisions whose acknowledgements are tracked; 420 changes a day arrive far apart.
MAX_TRACKED = 32
# Time in which a drained node hands its slices over before it refuses their requests.
DRAIN_GRACE_SECONDS = 4.0


class Configuration(Service):
    """Applies revisions, never a lower one, and tracks who has acknowledged those committed here.

    Parameters
    ----------
    node, failure_domain : str
        Names of this node and of its failure domain.
    """

    service_name = "configuration"

    def __init__(self, node: str, failure_domain: str) -> None:
        super().__init__()
        self.node = node
        self.failure_domain = failure_domain
        self.drained_at: float | None = None
        self.state = RevisionState(empty_document())
        self.acknowledged_revision = 0
        self.tracked: dict[int, Acceptance] = {}
        self.started: dict[int, float] = {}
        self.listeners: list[Any] = []

    def on_start(self) -> None:
        """Subscribe to the configuration row and to peers' messages."""
        self.membership = self.app.find("membership")
        self.membership.listeners.append(self.on_rows)
        self.peers = self.app.find("peers")
        handlers = self.peers.control_handlers
        handlers[ConfigChange] = self.on_change
        handlers[ConfigAck] = self.on_ack
        handlers[ConfigRequest] = self.on_request
        self.app.scheduler.every(RESEND_SECONDS, self.resend)

    # Reading

    @property
    def document(self) -> Document:
        """Configuration in force."""
        return self.state.document

    @property
    def revision(self) -> int:
        """Revision in force."""
        return self.state.revision

    @property
    def acknowledged(self) -> int:
        """Revision that this node acknowledges to others.

        A suspension is acknowledged only when no request of the suspended tenants is in flight here, because
        their keys may be served in another region as soon as every node has acknowledged it.
        """
        if self.acknowledged_revision < self.revision:
            suspended = {name for name, tenant in self.document.tenants.items() if tenant.suspended}
            if not suspended or not self.app.find("requests").has_pending_of(suspended):
                self.acknowledged_revision = self.revision
        return self.acknowledged_revision

    def accepts_work(self, row: OwnerRow) -> bool:
        """Return whether a node may be given slices and new work."""
        return self.document.accepts_work(row.node, row.failure_domain)

    def serves(self, service: str, region: str) -> bool:
        """Return whether a route places a service in a region."""
        route = self.document.routes.get(service)
        return route is not None and region in route.regions

    def slice_count(self, service: str) -> int:
        """Return the number of slices of a service's rings."""
        route = self.document.routes.get(service)
        return route.slices if route is not None else DEFAULT_SLICE_COUNT

    # Applying

    def on_rows(self, rows: list[Row]) -> None:
        """Apply the configuration row, and note nodes that are gone."""
        for row in rows:
            if row.key == CONFIG_KEY and row.value is not None:
                self.apply_row(row.value)
            elif row.key.startswith(LEASE_PREFIX) and row.value is None:
                for acceptance in self.tracked.values():
                    acceptance.on_lease_deleted(row.key[len(LEASE_PREFIX) :])

    def apply_row(self, value: Any) -> None:
        """Apply the document of the configuration row; a malformed one is reported and ignored."""
        try:
            document = decode_config_row(value)
        except InvalidArgument as error:
            log_events.emit(log_events.InvalidFrame(party="table", reason=error.name))
            return
        self.note(self.state.offer_document(document))

    def note(self, outcome: Any) -> None:
        """Log an applied revision and tell the listeners."""
        if not isinstance(outcome, Applied):
            return
        former, document = outcome.previous, outcome.document
        self.note_drained(document)
        log_events.emit(log_events.ConfigApplied(revision=document.revision, former=former.revision))
        self.record_ack(self.node, self.acknowledged)
        for listener in self.listeners:
            listener(document)

    def note_drained(self, document: Document) -> None:
        """Record since when this node takes no new work."""
        if document.accepts_work(self.node, self.failure_domain):
            self.drained_at = None
        elif self.drained_at is None:
            self.drained_at = self.app.clock.monotonic()

    def refuses_owned(self) -> bool:
        """Return whether this node has been drained for longer than a handover should take.

        Until then it serves the keys that it still owns; afterwards it refuses them, even when no other node
        can take them, because a drained failure domain gets no new work after a few seconds.
        """
        if self.drained_at is None:
            return False
        return self.app.clock.monotonic() - self.drained_at > DRAIN_GRACE_SECONDS

    def on_change(self, message: ConfigChange) -> None:
        """Apply a peer's change and acknowledge the revision in force."""
        try:
            outcome = self.state.offer_change(message.revision, message.base_revision, message.content)
        except HibiscusdrumError as error:
            log_events.emit(log_events.InvalidFrame(party="peer", reason=error.code))
            return
        self.note(outcome)
        address = self.membership.address_of(message.node)
        if isinstance(outcome, Behind):
            log_events.emit(log_events.ConfigBehind(revision=outcome.revision, offered=outcome.offered))
            self.request_from(message.node)
        elif address is not None and self.app.find("leases").holder is not None:
            # Before it has joined, this process must not answer for an earlier incarnation of its name.
            self.peers.send_control(address, ConfigAck(node=self.node, revision=self.acknowledged))

    def note_peer_revision(self, node: str, revision: int) -> None:
        """Fetch the document from a peer that is ahead; a renewal or a grant carried its revision."""
        if revision > self.revision:
            self.request_from(node)
        self.record_ack(node, revision)

    def request_from(self, node: str) -> None:
        """Ask a peer for its document."""
        address = self.membership.address_of(node)
        if address is not None:
            self.peers.send_control(address, ConfigRequest(node=self.node, revision=self.revision))

    def on_request(self, message: ConfigRequest) -> None:
        """Send the document to a peer that is behind."""
        address = self.membership.address_of(message.node)
        if address is not None and message.revision < self.revision:
            self.peers.send_control(address, self.whole_change())

    def whole_change(self) -> ConfigChange:
        """Return the message that carries the whole document."""
        return ConfigChange(
            node=self.node, revision=self.revision, base_revision=0, content=encode_document(self.document)
        )

    # Spreading

    def on_committed(self, document: Document, base_revision: int, content: Any) -> None:
        """Put a revision committed through this daemon in force, and send the change to all nodes."""
        self.note(self.state.offer_document(document))
        self.track(document.revision)
        change = ConfigChange(
            node=self.node, revision=document.revision, base_revision=base_revision, content=content
        )
        self.membership.broadcast(change)

    def track(self, revision: int) -> None:
        """Begin to track who has acknowledged a revision."""
        if revision in self.tracked:
            return
        acceptance = Acceptance(revision, self.membership.map.leases)
        acceptance.on_ack(self.node, self.acknowledged)
        self.tracked[revision] = acceptance
        self.started[revision] = self.app.clock.monotonic()
        while len(self.tracked) > MAX_TRACKED:
            oldest = min(self.tracked)
            del self.tracked[oldest], self.started[oldest]

    def acceptance(self, revision: int) -> Acceptance | None:
        """Return who has yet to acknowledge a revision, or None when it is not tracked here."""
        return self.tracked.get(revision)

    def on_ack(self, message: ConfigAck) -> None:
        """Record an acknowledgement."""
        self.record_ack(message.node, message.revision)

    def record_ack(self, node: str, revision: int) -> None:
        """Record that a node has a revision in force, and log revisions that are accepted by that."""
        for tracked, acceptance in self.tracked.items():
            before = acceptance.state
            acceptance.on_ack(node, revision)
            if before != ACCEPTED and acceptance.state == ACCEPTED:
                duration = (self.app.clock.monotonic() - self.started[tracked]) * 1000.0
                log_events.emit(log_events.ConfigAccepted(revision=tracked, duration_ms=duration))

    def resend(self) -> None:
        """Send the document again to nodes that have not acknowledged the newest tracked revision."""
        if not self.tracked:
            return
        self.record_ack(self.node, self.acknowledged)
        for node in self.tracked[max(self.tracked)].missing:
            address = self.membership.address_of(node)
            if address is not None and node != self.node:
                self.peers.send_control(address, self.whole_change())
