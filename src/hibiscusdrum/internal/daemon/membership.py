"""Local replica of the table: polls for changes, commits transactions and sends committed rows to peers."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Any

from returns.result import Result, Success

from hibiscusdrum.errors import HibiscusdrumError, StoreConflict
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.kernel import Service, Timer
from hibiscusdrum.internal.messages import Message, RowsChanged
from hibiscusdrum.internal.ownership.ownership_map import OwnershipMap
from hibiscusdrum.internal.ownership.rows import CONFIG_KEY, OWNER_PREFIX, lease_key
from hibiscusdrum.internal.platform.table import (
    SEQUENCE_PLACEHOLDER,
    Changes,
    ChangesCallback,
    CommitCallback,
    ReadCallback,
    Row,
    Transaction,
)

# Share of the poll interval that is randomized, so that the reads of 490 daemons started together spread over
# the interval within a few rounds.
POLL_JITTER_SHARE = 0.2
# Failed reads are retried with exponential backoff and jitter. Otherwise 490 daemons would send 980 reads a
# second during an outage and all read at once after it.
POLL_RETRY_SECONDS = 0.5
MAX_POLL_RETRY_SECONDS = 2.0
# A connection to a node that has left is kept this long for responses in flight. It must be closed: each of
# 70 replaced VMs a day would else use up one of the 1,023 sockets of a ZeroMQ context and reconnect twice a
# second.
CONNECTION_LINGER_SECONDS = 10.0

RowsListener = Callable[[list[Row]], None]


class Membership(Service):
    """Keeps the ownership map up to date; all writes of rows in this process go through this service.

    Parameters
    ----------
    node : str
        Name of this node.
    poll_interval_seconds : float
        Interval at which the changes of the table are read.
    """

    service_name = "membership"

    def __init__(self, node: str, poll_interval_seconds: float) -> None:
        super().__init__()
        self.node = node
        self.poll_interval_seconds = poll_interval_seconds
        self.map = OwnershipMap()
        self.rows: dict[str, Row] = {}
        self.listeners: list[RowsListener] = []
        self.store_reachable = False
        self.unreachable_since: float | None = None
        self.poll_in_progress = False
        self.repeat_poll = False
        self.poll_timer: Timer | None = None
        self.table_loaded = False
        self.failed_polls = 0
        self.rng = random.Random(node)

    def on_start(self) -> None:
        """Start polling; the first read returns the whole table."""
        self.table = self.app.find("table")
        self.peers = self.app.find("peers")
        self.peers.control_handlers[RowsChanged] = self.on_rows_changed
        self.poll()

    def poll(self) -> None:
        """Read the table's changes now.

        If a read is in progress, another one follows it, since the one in progress may miss the latest
        writes.
        """
        if self.poll_in_progress:
            self.repeat_poll = True
            return
        self.poll_in_progress = True
        self.repeat_poll = False
        # An extra read replaces the next scheduled one; otherwise each extra read would start another poll
        # loop.
        if self.poll_timer is not None:
            self.poll_timer.cancel()
        self.table.changes(self.map.seq, self.on_changes)

    def on_changes(self, result: Result[Changes, HibiscusdrumError]) -> None:
        """Apply the result of a read and schedule the next one."""
        self.poll_in_progress = False
        if isinstance(result, Success):
            changes = result.unwrap()
            self.update_store_state(True, "")
            self.table_loaded = True
            self.failed_polls = 0
            self.apply(changes.rows, changes.seq)
            delay = self.poll_interval_seconds * (1.0 + POLL_JITTER_SHARE * (self.rng.random() - 0.5))
        else:
            self.update_store_state(False, result.failure().code)
            self.failed_polls += 1
            max_delay = min(MAX_POLL_RETRY_SECONDS, POLL_RETRY_SECONDS * 2.0 ** min(self.failed_polls, 8))
            delay = max_delay * (0.5 + 0.5 * self.rng.random())
        self.poll_timer = self.app.scheduler.call_later(delay, self.poll)
        if self.repeat_poll and self.store_reachable:
            self.poll()

    def update_store_state(self, reachable: bool, reason: str) -> None:
        """Record whether the store is reachable, and log the start and the end of an outage."""
        now = self.app.clock.monotonic()
        if reachable and self.unreachable_since is not None:
            outage_ms = (now - self.unreachable_since) * 1000.0
            log_events.emit(log_events.StoreAvailable(outage_ms=outage_ms))
            self.unreachable_since = None
        if not reachable and self.unreachable_since is None:
            log_events.emit(log_events.StoreUnavailable(operation="changes", reason=reason))
            self.unreachable_since = now
        self.store_reachable = reachable

    def on_rows_changed(self, message: RowsChanged) -> None:
        """Apply rows that a peer has committed.

        The known sequence number stays, since rows that were written earlier may still be missing here.
        """
        self.apply((Row(key, version, value) for key, version, value in message.rows), self.map.seq)

    def apply(self, rows: Iterable[Row], seq: int) -> None:
        """Apply the rows that are newer than the known ones and notify the listeners."""
        changed = [row for row in rows if row.version > self.row_version(row.key)]
        self.schedule_connection_closes(changed)
        self.rows.update((row.key, row) for row in changed)
        self.map.apply([(row.key, row.version, row.value) for row in changed], seq)
        if changed:
            for listener in self.listeners:
                listener(changed)

    def schedule_connection_closes(self, changed: list[Row]) -> None:
        """Schedule the closing of connections to addresses that the changed owner rows no longer contain."""
        former_addresses = {
            self.map.owners[node].peer_address
            for row in changed
            if row.key.startswith(OWNER_PREFIX) and (node := row.key[len(OWNER_PREFIX) :]) in self.map.owners
        }
        unused_addresses = former_addresses - {
            row.value["peer_address"]
            for row in changed
            if row.key.startswith(OWNER_PREFIX)
            and isinstance(row.value, dict)
            and "peer_address" in row.value
        }
        for address in unused_addresses:
            self.app.scheduler.call_later(
                CONNECTION_LINGER_SECONDS, lambda unused=address: self.close_connection(unused)
            )

    def close_connection(self, address: str) -> None:
        """Close the connection to an address unless a known node uses the address again."""
        if address not in self.peer_addresses():
            self.peers.disconnect_peer(address)

    def row_version(self, key: str) -> int:
        """Return the version of the known row or its deletion; 0 if the row was never seen."""
        row = self.rows.get(key)
        return row.version if row is not None else 0

    def changes_since(self, seq: int) -> tuple[tuple[str, int, Any], ...]:
        """Return the known rows written after a sequence number, for a ``MapReply``."""
        return tuple((row.key, row.version, row.value) for row in self.rows.values() if row.version > seq)

    def config_version(self) -> int:
        """Return the version of the configuration row; 0 if it was never seen."""
        return self.row_version(CONFIG_KEY)

    def lease_versions(self) -> dict[str, int]:
        """Return the version of each node's lease row."""
        return {node: self.map.version(lease_key(node)) for node in self.map.leases}

    def commit(self, transaction: Transaction, callback: CommitCallback) -> None:
        """Commit a transaction; on success its rows are applied and sent before ``callback`` is called."""

        def done(result: Result[int, HibiscusdrumError]) -> None:
            if isinstance(result, Success):
                self.publish(transaction, result.unwrap())
            elif isinstance(result.failure(), StoreConflict):
                self.poll()
            callback(result)

        self.table.commit(transaction, done)

    def publish(self, transaction: Transaction, seq: int) -> None:
        """Apply committed rows and send them to all peers, which need not wait for their next poll."""
        rows = [
            Row(key, seq, fill_sequence_placeholder(value, seq)) for key, value in transaction.puts.items()
        ]
        rows += [Row(key, seq, None) for key in transaction.deletes]
        previous_peers = self.peer_addresses()
        self.apply(rows, self.map.seq)
        message = RowsChanged(self.node, seq, tuple((row.key, row.version, row.value) for row in rows))
        for address in previous_peers | self.peer_addresses():
            self.peers.send_control(address, message)

    def peer_addresses(self) -> set[str]:
        """Return the addresses of all other known nodes."""
        return {row.peer_address for row in self.map.owners.values() if row.node != self.node}

    def address_of(self, node: str) -> str | None:
        """Return a node's ZeroMQ address, or None when the node is unknown."""
        row = self.map.owners.get(node)
        return row.peer_address if row is not None else None

    def broadcast(self, message: Message) -> None:
        """Send a control message to all other known nodes."""
        for address in self.peer_addresses():
            self.peers.send_control(address, message)

    # Methods of the table client, for ``OperatorApi``

    def read(self, keys: tuple[str, ...], callback: ReadCallback) -> None:
        """Read rows from the table."""
        self.table.read(keys, callback)

    def changes(self, since: int, callback: ChangesCallback) -> None:
        """Read the rows written after a sequence number from the table."""
        self.table.changes(since, callback)

    # ``MapView`` protocol, for ``CallEngine``

    @property
    def document(self) -> Any:
        """Configuration document in force."""
        return self.app.find("configuration").document

    def invalidate(self, _now: float) -> None:
        """Read the table's changes, since a refusal has shown that the map is stale."""
        self.poll()


def fill_sequence_placeholder(value: Any, seq: int) -> Any:
    """Return a written value as the table stores it, with the sequence number in place of the placeholder."""
    if isinstance(value, dict) and value.get("epoch") == SEQUENCE_PLACEHOLDER:
        return {**value, "epoch": seq}
    return value
