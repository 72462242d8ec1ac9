"""Rows of the store that keep the quarantine when all routers restart, or when a message is lost.

A row is written by the node beside the target that crashed last, once for each hold, and again when a target
has answered the request. Should that node end before it has written, one of a few others writes the row.
Rows are never the only source: a node keeps what it knows if a row is lost, for example because the store was
restored from a copy.
"""

from __future__ import annotations

import random
from collections import OrderedDict

import msgspec
from returns.result import Result, Success

from hibiscusdrum.errors import HibiscusdrumError, InvalidArgument
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.daemon.operations import new_operation_id
from hibiscusdrum.internal.decoding import Name, Whole, refusing_malformed
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.load.retry_budget import full_jitter
from hibiscusdrum.internal.platform.table import Row, Transaction
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.members import Members
from hibiscusdrum.internal.router.quarantine import (
    HOLD_SECONDS,
    MAX_HELD,
    SOURCE_LOCAL,
    SOURCE_STORE,
    CrashRecord,
    Quarantine,
)
from hibiscusdrum.internal.router.request_identity import IDENTITY_BYTES
from hibiscusdrum.internal.router.settings import RouterSettings
from hibiscusdrum.internal.router.unreadable import unreadable_entries

ROW_KIND = "quarantine"
BASE_RETRY_SECONDS = 0.3
MAX_RETRY_SECONDS = 5.0
# Rows that wait to be written; further holds are known from messages only.
MAX_PENDING_ROWS = 64
# A hold that another node should have stored is checked by this many nodes in turn, this long one after the
# other. Each learns of the row of the one before it meanwhile.
BACKUP_WRITERS = 3
BACKUP_DELAY_SECONDS = 1.5
DELETION_INTERVAL_SECONDS = 30.0
# Time after the end of a hold at which its row is deleted.
DELETION_DELAY_SECONDS = 60.0


class QuarantineRow(msgspec.Struct, frozen=True):
    """Stored row of a held request; its key is the identity.

    Attributes
    ----------
    node : str
        Node beside the target that crashed last.
    holds : int
        Number of times that the request was held.
    released : bool
        Whether the hold has ended early.
    """

    node: Name
    holds: Whole = 1
    released: bool = False

    @property
    def hold_seconds(self) -> float:
        """Duration of the hold."""
        return HOLD_SECONDS[min(max(self.holds, 1), len(HOLD_SECONDS)) - 1]


class KnownRow(msgspec.Struct, frozen=True):
    """A row as it was last read, and the monotonic time in seconds at which that was."""

    version: int
    row: QuarantineRow
    read_at: float


def row_key(identity: bytes) -> str:
    """Return the store key of the row of a request."""
    return f"{ROW_KIND}/{identity.hex()}"


def decode_identity(key: str) -> bytes:
    """Return the identity in the key of a row.

    Raises
    ------
    InvalidArgument
        If the key is not that of a request.
    """
    with refusing_malformed("quarantine row key", key):
        identity = bytes.fromhex(key.removeprefix(f"{ROW_KIND}/"))
        if len(identity) != IDENTITY_BYTES or key != row_key(identity):
            raise ValueError(f"{IDENTITY_BYTES} bytes in hexadecimal")
        return identity


class QuarantineRows(Service):
    """Writes the holds that this node has begun, and follows those of all nodes.

    Attributes
    ----------
    rows : dict of bytes to KnownRow
        Rows in the store, by identity.
    pending : OrderedDict of bytes to QuarantineRow
        Rows to write; one transaction is in progress at a time.
    failed_writes : int
        Consecutive failures.
    """

    service_name = "quarantine_rows"

    def __init__(self, settings: RouterSettings) -> None:
        super().__init__()
        self.settings = settings
        self.rows: dict[bytes, KnownRow] = {}
        self.pending: OrderedDict[bytes, QuarantineRow] = OrderedDict()
        self.writing = False
        self.failed_writes = 0
        self.rng = random.Random(settings.node)

    def on_start(self) -> None:
        """Follow the rows and the holds."""
        self.table = self.app.find("table")
        self.members: Members = self.app.find("members")
        self.members.row_listeners[ROW_KIND] = self.apply_row
        self.quarantine: Quarantine = self.app.find("quarantine")
        self.quarantine.on_held.append(self.on_held)
        self.quarantine.on_answered_here.append(self.on_answered)
        self.deletion_timer = self.app.scheduler.create_work_timer(
            DELETION_INTERVAL_SECONDS, self.delete_outdated
        )

    @property
    def now(self) -> float:
        """Monotonic time in seconds."""
        return self.app.clock.monotonic()

    def apply_row(self, row: Row) -> None:
        """Follow a row that was written or deleted; a deletion ends no hold."""
        if row.unreadable:
            return
        try:
            identity = decode_identity(row.key)
            with refusing_malformed("quarantine row", row.value):
                value = msgspec.convert(row.value, QuarantineRow) if row.value is not None else None
        except InvalidArgument as error:
            unreadable_entries.record(row.key, error)
            return
        if value is None:
            self.rows.pop(identity, None)
            return
        self.rows[identity] = KnownRow(row.version, value, self.now)
        self.deletion_timer.wake()
        if value.released:
            self.quarantine.release(identity)
        else:
            self.quarantine.adopt(identity, value.node, SOURCE_STORE, value.holds - 1)

    def on_held(self, identity: bytes, record: CrashRecord) -> None:
        """Store a hold that was begun by a crash beside this node, or check later that it is stored."""
        if record.source == SOURCE_LOCAL:
            self.add_pending(identity, self.settings.node, record.holds)
        elif record.source != SOURCE_STORE and (turn := self.backup_turn(identity, record.node)):
            self.app.scheduler.call_later(
                turn * BACKUP_DELAY_SECONDS, lambda: self.store_if_missing(identity, record)
            )

    def backup_turn(self, identity: bytes, writer: str) -> int:
        """Return this node's place among those that store a hold in place of a writer; 0 if it has none."""
        names = sorted(name for name in self.members.nodes if name != writer)
        if self.settings.node not in names:
            return 0
        first = int.from_bytes(identity, "big") % len(names)
        turn = (names.index(self.settings.node) - first) % len(names) + 1
        return turn if turn <= BACKUP_WRITERS else 0

    def store_if_missing(self, identity: bytes, record: CrashRecord) -> None:
        """Store a hold of another node that it has not stored, unless the hold has ended."""
        known = self.rows.get(identity)
        is_stored = known is not None and not known.row.released and known.row.holds >= record.holds
        if self.quarantine.held.get(identity) is not record or is_stored:
            return
        if not self.members.store_reachable:
            self.app.scheduler.call_later(
                BACKUP_DELAY_SECONDS, lambda: self.store_if_missing(identity, record)
            )
            return
        log_events.emit(events.QuarantineBackedUp(identity=identity.hex(), node=record.node))
        self.add_pending(identity, record.node, record.holds)

    def add_pending(self, identity: bytes, node: str, holds: int) -> None:
        """Write the row of a hold, unless too many are stored or wait to be."""
        if len(self.pending) >= MAX_PENDING_ROWS or len(self.rows) >= MAX_HELD:
            log_events.emit(events.QuarantineFull(identity=identity.hex(), held=len(self.rows)))
            return
        self.pending[identity] = QuarantineRow(node, holds)
        self.write_next()

    def on_answered(self, identity: bytes) -> None:
        """Store that a held request was answered by this node's target."""
        self.pending.pop(identity, None)
        known = self.rows.get(identity)
        if known is not None and not known.row.released:
            self.pending[identity] = msgspec.structs.replace(known.row, released=True)
            self.write_next()

    def write_next(self) -> None:
        """Write the next pending row, unless a write is in progress."""
        if self.writing or not self.pending:
            return
        identity, row = next(iter(self.pending.items()))
        known = self.rows.get(identity)
        if known is not None and known.row == row:
            del self.pending[identity]
            self.write_next()
            return
        self.writing = True
        key, version = row_key(identity), known.version if known is not None else 0
        value = msgspec.to_builtins(row)

        def on_committed(result: Result[int, HibiscusdrumError]) -> None:
            if isinstance(result, Success):
                self.writing, self.failed_writes = False, 0
                if self.pending.get(identity) == row:
                    del self.pending[identity]
                self.members.apply_row(Row(key, result.unwrap(), value))
                self.write_next()
                return
            self.failed_writes += 1
            wait = full_jitter(self.failed_writes, self.rng, BASE_RETRY_SECONDS, MAX_RETRY_SECONDS)
            # The answer to a read shows whether the write has taken effect, or another one conflicted.
            self.app.scheduler.call_later(wait, lambda: self.table.read((key,), on_read))

        def on_read(result: Result[dict[str, Row], HibiscusdrumError]) -> None:
            self.writing = False
            current = result.unwrap().get(key) if isinstance(result, Success) else None
            if current is not None:
                self.members.apply_row(current)
            elif isinstance(result, Success):
                self.rows.pop(identity, None)
            self.write_next()

        self.table.commit(Transaction(new_operation_id(), {key: version}, {key: value}), on_committed)

    def delete_outdated(self) -> bool:
        """Delete rows whose hold ended some time ago; return whether there are any rows."""
        for identity, known in list(self.rows.items()):
            expired = self.now - known.read_at > known.row.hold_seconds + DELETION_DELAY_SECONDS
            if expired and self.deletes_rows_of(known.row.node):
                key = row_key(identity)
                transaction = Transaction(new_operation_id(), {key: known.version}, {}, (key,))
                self.table.commit(transaction, lambda result, key=key: self.on_deleted(key, result))
        return bool(self.rows)

    def on_deleted(self, key: str, result: Result[int, HibiscusdrumError]) -> None:
        """Apply a deletion; one that failed is tried again at the next check."""
        if isinstance(result, Success):
            self.members.apply_row(Row(key, result.unwrap()))

    def deletes_rows_of(self, writer: str) -> bool:
        """Return whether this node deletes the rows of a writer, which may have left."""
        nodes = self.members.nodes
        return (writer if writer in nodes else min(nodes, default="")) == self.settings.node
