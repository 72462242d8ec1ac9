"""Membership: each node publishes a row in the store and follows the rows of all nodes."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable

import msgspec
from returns.result import Result, Success

from hibiscusdrum.errors import HibiscusdrumError, InvalidArgument
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.daemon.operations import new_operation_id
from hibiscusdrum.internal.decoding import (
    AddressText,
    Life,
    Name,
    Whole,
    check_address,
    excerpt,
    refusing_malformed,
)
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.load.retry_budget import full_jitter
from hibiscusdrum.internal.platform.table import Changes, Row, Transaction, era_of, number_of
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.change_batching import ChangeBatching
from hibiscusdrum.internal.router.known_rows import KnownRows
from hibiscusdrum.internal.router.local_target import LocalTarget
from hibiscusdrum.internal.router.poll_hold import (
    CHECK_INTERVAL_SECONDS,
    SHORT_HOLD_SECONDS,
    PollConditions,
    PollHold,
)
from hibiscusdrum.internal.router.ring import Owner
from hibiscusdrum.internal.router.selection import Candidate
from hibiscusdrum.internal.router.settings import RouterSettings
from hibiscusdrum.internal.router.unreadable import unreadable_entries

NODE_PREFIX = "node/"
PUBLISH_RETRY_SECONDS = 0.3
# Targets send a heartbeat every 1 to 1.5 s; one that has sent none within this time counts as absent.
FIRST_HEARTBEAT_TIMEOUT_SECONDS = 4.0
# Initial and longest backoff after a failed read of the rows.
READ_BACKOFF_SECONDS = 0.2
MAX_READ_BACKOFF_SECONDS = 0.5
# A restored store may have the row of a node that was removed. It is deleted again after this delay, within
# which a running node writes its row anew, and random jitter, so that few nodes try to delete it.
STALE_ROW_DELAY_SECONDS = 1.0
STALE_ROW_JITTER_SECONDS_PER_NODE = 0.1
# Rows of a node that are remembered, and removed nodes of which any are.
MAX_REMEMBERED_ROWS = 8
MAX_REMOVED_NODES = 500

RowListener = Callable[[Row], None]


class NodeRow(msgspec.Struct, frozen=True):
    """Stored row that a node publishes about itself.

    Attributes
    ----------
    life : str
        Current incarnation of its target; empty when there is none.
    accepting : bool
        Whether the target accepts new requests.
    leaving : bool
        Whether this incarnation of the target has announced that it leaves, which it does not take back.
    draining_since : int
        Sequence number of the heartbeat by which this incarnation reported first that it drains; 0 otherwise.
    """

    node: Name
    region: Name
    failure_domain: Name
    service: Name
    peer_address: AddressText
    life: Life = ""
    accepting: bool = False
    leaving: bool = False
    draining_since: Whole = 0


def decode_node_row(name: str, value: object) -> NodeRow:
    """Decode the value of the row of a node.

    Raises
    ------
    InvalidArgument
        If it is malformed, or names another node or no address.
    """
    with refusing_malformed("node row", value):
        row = msgspec.convert(value, NodeRow)
        check_address(row.peer_address, "peer_address")
        if row.node != name:
            raise ValueError(f"the row of node {excerpt(name)}, got that of {row.node}")
        return row


class NodeHistory:
    """What is remembered of a node's rows, to recognize one that a restored store brings back.

    Attributes
    ----------
    rows : deque of (int, NodeRow)
        The last rows and the number that each had in the store.
    removed_in : int or None
        Era of the store in which the node was last seen to be removed; None while it is present.
    """

    __slots__ = ("removed_in", "rows")

    def __init__(self) -> None:
        self.rows: deque[tuple[int, NodeRow]] = deque(maxlen=MAX_REMEMBERED_ROWS)
        self.removed_in: int | None = None

    def is_stale(self, version: int, row: NodeRow) -> bool:
        """Return whether a row is from before the removal, and is back because the store was restored."""
        removed_before = self.removed_in is not None and self.removed_in < era_of(version)
        return removed_before and (number_of(version), row) in self.rows


class Members(Service):
    """Publishes this node's row and keeps the rows of all nodes.

    Attributes
    ----------
    row_versions : dict of str to int
        Newest known version of each row, by key.
    histories : dict of str to NodeHistory
        Rows and removal of each node, by name; bounded for removed nodes.
    loaded : bool
        Whether the rows have been read at least once.
    unnotified : bool
        Whether rows have changed since all listeners were last notified.
    evacuated_domains : frozenset of str
        Failure domains whose targets get neither requests nor keys.
    evacuated_since : dict of str to float
        Monotonic time in seconds since when each of them may have been evacuated.
    confirmed_age : callable
        Returns for how many seconds at most the evacuated failure domains have not been known to be current.
    row_listeners : dict of str to callable
        Called with rows of other kinds, by the first part of their key.
    on_change : list of callable
        Called when nodes or evacuated failure domains have changed.
    leaving_since : dict of str to float
        Monotonic time in seconds at which an answer to this node first said that the target leaves, by
        incarnation. The router on the target's VM knows it too, unless it was restarted meanwhile.
    published_row : NodeRow or None
        This node's row as stored.
    store_reachable : bool
        Whether the last read of changes succeeded.
    batching : ChangeBatching
        Decides how long the next read waits after one that returned rows.
    hold : PollHold
        Decides how long the store may hold a read.
    known_rows : KnownRows
        Fingerprint of the rows, and when they were known to be the newest.
    conditions : callable or None
        Returns what ``hold`` decides by; reads are short without it.
    on_refreshed : callable
        Called when a read that was no short one has ended, to tell peers that the rows are the newest.
    """

    service_name = "members"

    def __init__(self, settings: RouterSettings) -> None:
        super().__init__()
        self.settings = settings
        self.nodes: dict[str, NodeRow] = {}
        self.by_service: dict[str, list[NodeRow]] = {}
        self.candidate_cache: dict[tuple[str, tuple[str, ...]], list[Candidate]] = {}
        self.row_versions: dict[str, int] = {}
        self.histories: dict[str, NodeHistory] = {}
        self.last_seq = 0
        self.loaded = False
        self.unnotified = False
        self.failed_reads = 0
        self.evacuated_domains: frozenset[str] = frozenset()
        self.evacuated_since: dict[str, float] = {}
        self.confirmed_age: Callable[[], float] = lambda: 0.0
        self.row_listeners: dict[str, RowListener] = {}
        self.on_change: list[Callable[[], None]] = []
        self.leaving_since: dict[str, float] = {}
        self.publishing = False
        self.local_row_key = NODE_PREFIX + settings.node
        self.local_row_version = 0
        self.published_row: NodeRow | None = None
        self.leaving = False
        self.store_reachable = True
        self.first_heartbeat_deadline = 0.0
        self.rng = random.Random(settings.node)
        self.batching = ChangeBatching()
        self.hold = PollHold(self.rng)
        self.known_rows = KnownRows()
        self.conditions: Callable[[], PollConditions] | None = None
        self.on_refreshed: Callable[[], None] = lambda: None

    @property
    def now(self) -> float:
        """Monotonic time in seconds."""
        return self.app.clock.monotonic()

    def on_start(self) -> None:
        """Start to read rows, and publish this node's when its target appears."""
        self.table = self.app.find("table")
        self.target: LocalTarget = self.app.find("local_target")
        self.target.on_change.append(self.publish)
        self.target.is_departure_stored = self.is_departure_stored
        self.first_heartbeat_deadline = self.app.clock.monotonic() + FIRST_HEARTBEAT_TIMEOUT_SECONDS
        self.app.scheduler.call_later(FIRST_HEARTBEAT_TIMEOUT_SECONDS + 0.01, self.publish)
        self.app.scheduler.every(CHECK_INTERVAL_SECONDS, self.check_hold)
        self.poll_changes()

    def poll_changes(self) -> None:
        """Request the rows that changed since the last read; the store answers once there are some."""
        seconds = SHORT_HOLD_SECONDS
        if self.conditions is not None and self.last_seq:
            seconds = self.hold.begin(self.now, self.conditions())
        if seconds == SHORT_HOLD_SECONDS:
            self.table.changes(self.last_seq, self.on_changes)
        else:
            self.table.changes(self.last_seq, self.on_changes, seconds)

    def check_hold(self) -> None:
        """End a read that the store holds when something casts doubt on the known rows, and read again."""
        if not self.hold.long or self.conditions is None:
            return
        reason = self.hold.reason_to_end(self.now, self.conditions())
        if reason and self.table.withdraw_poll():
            self.hold.end_early(self.now, reason)
            log_events.emit(events.StorePollWithdrawn(table="members", reason=reason))
            self.poll_changes()

    def on_changes(self, result: Result[Changes, HibiscusdrumError]) -> None:
        """Apply changed rows and continue to poll."""
        if not isinstance(result, Success):
            self.hold.record_answer()
            self.failed_reads += 1
            self.set_store_reachable(False, result.failure().code)
            wait = full_jitter(self.failed_reads, self.rng, READ_BACKOFF_SECONDS, MAX_READ_BACKOFF_SECONDS)
            self.app.scheduler.call_later(wait, self.poll_changes)
            return
        self.failed_reads = 0
        self.set_store_reachable(True, "")
        changes = result.unwrap()
        refreshes = self.hold.record_answer(bool(changes.rows))
        # After an exception, the rows that were not applied are read again.
        delay = MAX_READ_BACKOFF_SECONDS
        try:
            self.apply_changes(changes)
            if refreshes:
                self.on_refreshed()
            delay = self.batching.wait_seconds(len(self.nodes), self.now) if changes.rows else 0.0
        finally:
            if delay:
                self.app.scheduler.call_later(delay, self.poll_changes)
            else:
                self.poll_changes()

    def apply_changes(self, changes: Changes) -> None:
        """Apply changed rows, notify the listeners, and publish this node's row if it has to be."""
        self.unnotified = self.unnotified or bool(changes.rows) or not self.loaded
        if changes.complete and self.loaded and era_of(changes.seq) > era_of(self.last_seq):
            self.log_rolled_back(changes)
        former = self.nodes.keys() | {self.settings.node}
        for row in changes.rows:
            self.apply_row(row)
        if self.loaded:
            self.batching.record_joined(len(self.nodes.keys() - former), self.now)
        if changes.complete:
            self.apply_missed_deletions(changes)
        if era_of(changes.seq) != era_of(self.last_seq):
            self.known_rows.forget_stamps()
        self.known_rows.confirm(changes.stamp)
        # A complete read may be older than the position if the store lost rows without naming a new era.
        self.last_seq = changes.seq if changes.complete else max(self.last_seq, changes.seq)
        self.loaded = True
        if self.unnotified:
            self.notify_rows_changed()
            self.unnotified = False
        # Another node may have removed this node's row, for example after an expired lease.
        self.publish()

    def apply_missed_deletions(self, changes: Changes) -> None:
        """Delete the rows that a complete listing lacks, since the store did not report their deletion."""
        present = {row.key for row in changes.rows}
        for key, version in list(self.row_versions.items()):
            if key not in present and version < changes.seq:
                self.apply_row(Row(key, changes.seq))

    def log_rolled_back(self, changes: Changes) -> None:
        """Log how many known rows are newer than in the first complete read of a new era."""
        read = {row.key: row.version for row in changes.rows}
        older = sum(
            number_of(version) > number_of(read.get(key, changes.seq))
            for key, version in self.row_versions.items()
        )
        log_events.emit(
            events.RowsRolledBack(
                era=era_of(changes.seq),
                version=number_of(changes.seq),
                former_version=number_of(self.last_seq),
                rows=len(changes.rows),
                older=older,
            )
        )

    def set_store_reachable(self, reachable: bool, reason: str) -> None:
        """Set whether the store is reachable, and log a change."""
        if reachable == self.store_reachable:
            return
        self.store_reachable = reachable
        if reachable:
            log_events.emit(events.StoreRegained(operation="changes", version=number_of(self.last_seq)))
        else:
            log_events.emit(
                events.StoreLost(operation="changes", reason=reason, version=number_of(self.last_seq))
            )

    def apply_row(self, row: Row) -> None:
        """Apply a row if it is newer than the known one."""
        if row.version <= self.row_versions.get(row.key, 0):
            return
        self.row_versions[row.key] = row.version
        if row.value is not None or row.unreadable:
            self.known_rows.put(row.key, row.version)
        else:
            self.known_rows.remove(row.key)
        if row.key.startswith(NODE_PREFIX):
            self.apply_node_row(row.key[len(NODE_PREFIX) :], row)
            return
        listener = self.row_listeners.get(row.key.partition("/")[0])
        if listener is not None:
            listener(row)

    def apply_node_row(self, name: str, row: Row) -> None:
        """Apply the row of a node; an unreadable one names no target, like a deleted one."""
        value: NodeRow | None = None
        exists = row.value is not None or row.unreadable
        if row.value is not None:
            try:
                value = decode_node_row(name, row.value)
            except InvalidArgument as error:
                unreadable_entries.record(row.key, error)
        if name != self.settings.node and not self.update_history(name, row.version, value):
            self.delete_stale_row_later(row)
            return
        former = self.nodes.pop(name, None)
        if value is not None:
            leaves = former is not None and former.life == value.life and former.leaving
            # The row of a restored store may be older than the notice of departure, which is not taken back.
            self.nodes[name] = (
                msgspec.structs.replace(value, accepting=False, leaving=True) if leaves else value
            )
        if former is not None and (value is None or value.life != former.life):
            self.leaving_since.pop(former.life, None)
        if name == self.settings.node:
            self.published_row = value
            self.local_row_version = row.version if exists else 0
            self.target.stored_incarnation = value.life if value is not None else ""
            if value is not None:
                self.apply_departure(value)

    def apply_departure(self, row: NodeRow) -> None:
        """Pass on what this node's row says of the target, which need not report it again to this process."""
        if row.draining_since:
            self.target.restore_draining(row.life, row.draining_since)
        if row.leaving:
            self.target.mark_leaving(row.life)
            self.target.answer_departures()

    def is_departure_stored(self, incarnation: str) -> bool:
        """Return whether this node's row says that an incarnation of the target leaves."""
        row = self.published_row
        return row is not None and row.leaving and row.life == incarnation

    def update_history(self, name: str, version: int, row: NodeRow | None) -> bool:
        """Remember a row or the removal of another node; returns False if the row is a stale one."""
        if row is None:
            history = self.histories.pop(name, None)
            if history is None:
                return True
            history.removed_in = era_of(version)
            self.histories[name] = history
            removed = [name for name, entry in self.histories.items() if entry.removed_in is not None]
            for former in removed[:-MAX_REMOVED_NODES]:
                del self.histories[former]
            return True
        history = self.histories.setdefault(name, NodeHistory())
        if history.is_stale(version, row):
            return False
        history.removed_in = None
        if (number_of(version), row) not in history.rows:
            history.rows.append((number_of(version), row))
        return True

    def delete_stale_row_later(self, row: Row) -> None:
        """Delete the row of a removed node after a random delay, unless it has changed by then."""
        jitter = STALE_ROW_JITTER_SECONDS_PER_NODE * (len(self.nodes) + 1)
        delay = STALE_ROW_DELAY_SECONDS + self.rng.uniform(0.0, jitter)

        def on_deleted(result: Result[int, HibiscusdrumError]) -> None:
            outcome = "deleted" if isinstance(result, Success) else result.failure().code
            log_events.emit(
                events.StaleRowDeleted(row=row.key, version=number_of(row.version), outcome=outcome)
            )
            if isinstance(result, Success):
                self.apply_row(Row(row.key, result.unwrap()))
            else:
                self.delete_stale_row_later(row)

        def delete() -> None:
            if self.row_versions.get(row.key) == row.version:
                transaction = Transaction(new_operation_id(), {row.key: row.version}, {}, (row.key,))
                self.table.commit(transaction, on_deleted)

        self.app.scheduler.call_later(delay, delete)

    def notify_rows_changed(self) -> None:
        """Rebuild the index of nodes by service and notify the listeners."""
        self.by_service = {}
        for row in sorted(self.nodes.values(), key=lambda row: row.node):
            self.by_service.setdefault(row.service, []).append(row)
        self.candidate_cache.clear()
        for listener in self.on_change:
            listener()

    def local_row(self) -> NodeRow:
        """Return the row that describes this node's current state."""
        settings, target = self.settings, self.target
        life = target.incarnation or target.departed
        return NodeRow(
            node=settings.node,
            region=settings.region,
            failure_domain=settings.failure_domain,
            service=settings.service,
            peer_address=settings.peer_address,
            life=life,
            accepting=target.ready,
            leaving=life in target.leaving_incarnations,
            draining_since=target.drained_since if life and life == target.drained_incarnation else 0,
        )

    def publish(self) -> None:
        """Write this node's row when it differs from the stored one, or delete it while the node leaves."""
        if self.publishing or not self.loaded:
            return
        if self.leaving:
            # The row is back if the store was restored.
            self.delete_local_row(lambda: None)
            return
        row = self.local_row()
        if row == self.published_row:
            return
        if self.published_row is None and not row.life:
            return
        unheard = self.target.last_heartbeat is None and not row.leaving
        if unheard and self.app.clock.monotonic() < self.first_heartbeat_deadline:
            # After a restart of only this process, the published row is still correct.
            return
        self.publishing = True
        puts = {self.local_row_key: msgspec.to_builtins(row)}
        transaction = Transaction(new_operation_id(), {self.local_row_key: self.local_row_version}, puts)
        self.table.commit(transaction, lambda result: self.on_published(row, result))

    def on_published(self, row: NodeRow, result: Result[int, HibiscusdrumError]) -> None:
        """Record the outcome of a write; after a failure, read the stored row and try again."""
        if not isinstance(result, Success):
            self.retry_publish()
            return
        self.publishing = False
        self.apply_row(Row(self.local_row_key, result.unwrap(), msgspec.to_builtins(row)))
        self.notify_rows_changed()
        version = number_of(result.unwrap())
        log_events.emit(events.NodePublished(life=row.life, accepting=row.accepting, version=version))
        self.publish()

    def retry_publish(self) -> None:
        """Read the stored row after a delay, then publish again."""
        delay = PUBLISH_RETRY_SECONDS * (0.5 + self.rng.random())
        self.app.scheduler.call_later(delay, self.reread_local_row)

    def reread_local_row(self) -> None:
        """Read this node's row, which a write without an answer may have changed, then publish again."""

        def on_rows(result: Result[dict[str, Row], HibiscusdrumError]) -> None:
            if not isinstance(result, Success):
                self.app.scheduler.call_later(PUBLISH_RETRY_SECONDS, self.reread_local_row)
                return
            self.publishing = False
            row = result.unwrap().get(self.local_row_key)
            if row is not None:
                self.apply_row(row)
            elif self.published_row is not None:
                self.local_row_version, self.published_row = 0, None
            self.publish()

        self.table.read((self.local_row_key,), on_rows)

    def remove_local_row(self, done: Callable[[], None]) -> None:
        """Remove this node's row before its VM ends; ``done`` is called when the store has answered."""
        self.leaving = True
        self.delete_local_row(done)

    def delete_local_row(self, done: Callable[[], None]) -> None:
        """Delete this node's row, if there is one; after a failure, read it and try again."""
        if self.published_row is None:
            done()
            return
        transaction = Transaction(
            new_operation_id(), {self.local_row_key: self.local_row_version}, {}, (self.local_row_key,)
        )
        self.publishing = True

        def on_deleted(result: Result[int, HibiscusdrumError]) -> None:
            if isinstance(result, Success):
                self.publishing = False
                self.apply_row(Row(self.local_row_key, result.unwrap()))
            else:
                self.retry_publish()
            done()

        self.table.commit(transaction, on_deleted)

    def candidates(self, service: str, regions: tuple[str, ...]) -> list[Candidate]:
        """Return the nodes whose targets accept requests of a service, in some regions (all when empty)."""
        cached = self.candidate_cache.get((service, regions))
        if cached is None:
            cached = [
                Candidate(row.node, row.region, row.failure_domain)
                for row in self.by_service.get(service, ())
                if row.accepting
                and row.life not in self.leaving_since
                and row.failure_domain not in self.evacuated_domains
                and (not regions or row.region in regions)
            ]
            self.candidate_cache[service, regions] = cached
        return cached

    def mark_leaving(self, node: str, request_id: str) -> None:
        """Exclude a node's target from new requests, because its answer to a request says that it leaves."""
        row = self.nodes.get(node)
        if row is None or not row.life or row.life in self.leaving_since:
            return
        self.leaving_since[row.life] = self.app.clock.monotonic()
        self.candidate_cache.clear()
        log_events.emit(events.TargetLeaving(target=row.life.partition("@")[0], life=row.life, id=request_id))

    def leaving_seconds(self, node: str) -> float:
        """Return for how many seconds this node has known that a node's target leaves; 0 if it does not."""
        row = self.nodes.get(node)
        now = self.app.clock.monotonic()
        return now - self.leaving_since.get(row.life, now) if row is not None else 0.0

    def region_of(self, node: str) -> str:
        """Return the region of a node; empty when the node is unknown."""
        row = self.nodes.get(node)
        return row.region if row is not None else ""

    def set_evacuated_domains(self, failure_domains: frozenset[str]) -> None:
        """Set the failure domains whose targets get neither requests nor keys."""
        if failure_domains == self.evacuated_domains:
            return
        self.evacuated_domains = failure_domains
        # The operator counts from when the store had the evacuation, which may have taken long to get here.
        since = self.app.clock.monotonic() - self.confirmed_age()
        self.evacuated_since = {
            failure_domain: self.evacuated_since.get(failure_domain, since)
            for failure_domain in failure_domains
        }
        self.candidate_cache.clear()
        log_events.emit(events.EvacuationChanged(failure_domains=tuple(sorted(failure_domains))))
        for listener in self.on_change:
            listener()

    def evacuated_seconds(self, failure_domain: str) -> float:
        """Return for how many seconds at most a failure domain has been evacuated; 0 if it is not."""
        now = self.app.clock.monotonic()
        return now - self.evacuated_since.get(failure_domain, now)

    def eligible_owners(self, service: str) -> list[Owner]:
        """Return the targets of a service that may own keys."""
        return [
            Owner(row.node, row.life)
            for row in self.by_service.get(service, ())
            if row.accepting and row.life and row.failure_domain not in self.evacuated_domains
        ]
