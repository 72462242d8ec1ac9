"""HTTP stand-in for the platform's row store, with fault injection.

It implements the published calls of the store: conditional transactions, range reads and a change feed with
long polling, which reports each version of a row. ``POST /faults`` replaces the injected faults; see `Faults`
for the fields. ``POST /restore`` loses recent transactions; see `Restoration`. Each response has the header
``Store-Era``.
"""

from __future__ import annotations

import argparse
import base64
import random
import time
import zlib
from collections import deque
from collections.abc import Iterable
from typing import Any, Literal
from urllib.parse import parse_qs, unquote

import msgspec

from hibiscusdrum.internal.transport.entry_connection import EntryConnection
from hibiscusdrum.internal.transport.entry_request import EntryRequest
from hibiscusdrum.internal.transport.http_entry import HttpEntry
from tools.standins.web import run_services

MAX_PAGE_ROWS = 500
# Age up to which the store can be restored.
MAX_RESTORE_AGE_SECONDS = 30.0
# Age of the versions of rows that feeds report.
HISTORY_SECONDS = 60.0
FEED_CHECK_SECONDS = 0.02
# Interval at which answers are sent over the congested link, and the most that one caller gets in a turn.
LINK_TURN_SECONDS = 0.01
LINK_PART_BYTES = 1_500
# What the link did not carry for longer than this, for example in a pause of the process, is not made up for.
LINK_BURST_SECONDS = 0.1
# Rest of an answer that takes room on the link although its caller has closed the connection.
LINK_WINDOW_BYTES = 65_536
OPERATOR_TABLE = "op"

# Table and key of a row.
RowId = tuple[str, str]
# Version and value of a row; the value of a deleted row is None, and the entry of one that never existed.
RowEntry = tuple[int, str | None] | None

# Limits of the platform's store for one transaction.
MAX_TRANSACTION_ENTRIES = 100
MAX_TRANSACTION_BYTES = 1_000_000


class Faults(msgspec.Struct):
    """Injected faults, as decoded from the body of ``POST /faults``.

    Attributes
    ----------
    down : bool
        Answer store calls with status 503 and end pending feeds without waiting.
    silent : bool
        Never answer store calls; pending feeds are dropped.
    late : float
        Fraction of transactions, 0 to 1, that are applied 1 to 6 s later and never answered.
    lost : float
        Fraction of the other transactions, 0 to 1, that are applied at once and never answered.
    slow : float
        Seconds by which each call is delayed.
    turned_away : float
        Fraction of connections, 0 to 1, whose store calls get status 503.
    turned_away_callers : tuple of str
        Source addresses whose store calls get status 503.
    link_bytes_per_second : float
        Rate of the link over which answers are sent, in small parts of all of them in turn; 0 for no limit.
    link_callers : tuple of str
        Source addresses that are answered over this link; all of them when empty.
    """

    down: bool = False
    silent: bool = False
    late: float = 0.0
    lost: float = 0.0
    slow: float = 0.0
    turned_away: float = 0.0
    turned_away_callers: tuple[str, ...] = ()
    link_bytes_per_second: float = 0.0
    link_callers: tuple[str, ...] = ()


class Restoration(msgspec.Struct, forbid_unknown_fields=True):
    """An outage that ends with the restore of a copy, as decoded from the body of ``POST /restore``.

    Attributes
    ----------
    age_s : float
        Age in seconds of the copy at the beginning of the outage, at most ``MAX_RESTORE_AGE_SECONDS``.
    away_s : float
        Duration of the outage in seconds.
    rewrite_after_s : float
        Seconds from the end of the outage until the operator's lost writes and deletions are written again.
    how : str
        Whether store calls get status 503 (``down``) or no response (``silent``) during the outage. Pending
        feeds are disconnected or never answered.
    forget_history : bool
        Whether the store has no history from before the copy, so that feeds after earlier versions get 410.
    """

    age_s: float
    away_s: float = 0.0
    rewrite_after_s: float = 0.0
    how: Literal["silent", "down"] = "silent"
    forget_history: bool = False


class Change(msgspec.Struct):
    """The state before a transaction or a restore, which undoes it.

    Attributes
    ----------
    at : float
        Monotonic time in seconds of the change.
    version : int
        Version counter before the change.
    rows : dict
        Changed rows as they were before.
    """

    at: float
    version: int
    rows: dict[RowId, RowEntry]


class RowVersion(msgspec.Struct):
    """A version of a row, as feeds report it; the value of a deleted row is None.

    Attributes
    ----------
    at : float
        Monotonic time in seconds at which it was written.
    """

    at: float
    version: int
    table: str
    key: str
    value: str | None


class LinkAnswer:
    """An answer that is being sent over the congested link; ``rest`` is what has not been sent."""

    __slots__ = ("connection", "request", "rest")

    def __init__(self, request: EntryRequest, data: bytes) -> None:
        self.request = request
        self.connection: EntryConnection = request.connection
        self.rest = memoryview(data)

    @property
    def cancelled(self) -> bool:
        """Whether the connection does not take the answer any more."""
        return self.connection.closed or self.request not in self.connection.pending

    @property
    def waiting(self) -> bool:
        """Whether an earlier request of the connection has no answer yet."""
        return not self.cancelled and self.connection.pending[0] is not self.request

    def send(self, limit: int) -> int:
        """Send a part of the answer, and complete the request with the last one; return the bytes taken."""
        if self.cancelled:
            self.rest = self.rest[:LINK_WINDOW_BYTES]
        part, self.rest = self.rest[:limit], self.rest[limit:]
        if not self.cancelled:
            self.connection.write(bytes(part))
        if not self.rest and not self.cancelled:
            self.connection.pending.popleft()
            self.request.release()
            self.connection.flush_responses()
        return len(part)


class RowsStore(HttpEntry):
    """Stores versioned rows by table and key in memory and serves them over HTTP.

    A deleted row stays with the value None and the version of its deletion, so that feeds report it.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on.

    Attributes
    ----------
    era : int
        Number of completed restores plus one.
    first_feed_version : int
        Smallest version after which feeds are answered.
    history : deque of RowVersion
        Versions of rows of the last ``HISTORY_SECONDS``, oldest first.
    link : deque of LinkAnswer
        Answers that are being sent over the congested link.
    link_credit : float
        Bytes that the link may carry now.
    changes : deque of Change
        Changes of the last ``MAX_RESTORE_AGE_SECONDS``, oldest first.
    restorations : list of Restoration
        Restores whose outage has not ended.
    operator_writes : dict
        Monotonic time and value of the operator's last write of each row.
    lost_operator_rows : set of RowId
        Rows that the operator has to write again.
    """

    service_name = "rows_store"

    def __init__(self, address: str) -> None:
        super().__init__()
        self.address = address
        self.rows: dict[RowId, tuple[int, str | None]] = {}
        self.version = 0
        self.era = 1
        self.first_feed_version = 0
        self.history: deque[RowVersion] = deque()
        self.link: deque[LinkAnswer] = deque()
        self.link_credit = 0.0
        self.link_used_at = 0.0
        self.changes: deque[Change] = deque()
        self.restorations: list[Restoration] = []
        self.operator_writes: dict[RowId, tuple[float, str | None]] = {}
        self.lost_operator_rows: set[RowId] = set()
        self.faults = Faults()
        self.rng = random.Random(1)
        self.pending_feeds: list[tuple[float, str, int, EntryRequest]] = []

    def on_start(self) -> None:
        """Start listening and checking the pending feeds."""
        super().on_start()
        self.listen(self.address, self.on_request)
        self.app.scheduler.every(FEED_CHECK_SECONDS, self.answer_pending_feeds)
        self.link_timer = self.app.scheduler.create_work_timer(LINK_TURN_SECONDS, self.use_link)

    def on_request(self, request: EntryRequest) -> None:
        """Handle the fault and operator paths, or pass a store call on under the injected faults."""
        path, _, query = request.target.partition("?")
        if path == "/faults":
            self.faults = msgspec.json.decode(request.body, type=Faults)
            self.respond(request, 200)
        elif path == "/restore":
            self.restore(msgspec.json.decode(request.body, type=Restoration))
            self.respond(request, 200)
        elif path.startswith("/other-writer/"):
            table, _, key = unquote(path.removeprefix("/other-writer/")).partition("/")
            self.write_rows({(table, key): base64.b64encode(request.body).decode()})
            self.respond(request, 200)
        elif path.startswith("/operator/"):
            self.write_operator_row(
                path.removeprefix("/operator/"), request.body if request.method == b"PUT" else None
            )
            self.respond(request, 200)
        elif self.faults.slow and self.available:
            self.app.scheduler.call_later(self.faults.slow, lambda: self.handle_call(request, path, query))
        else:
            self.handle_call(request, path, query)

    @property
    def silent(self) -> bool:
        """Whether store calls get no response."""
        return self.faults.silent or any(restoration.how == "silent" for restoration in self.restorations)

    @property
    def down(self) -> bool:
        """Whether store calls get status 503, unless they get no response."""
        return self.faults.down or bool(self.restorations)

    @property
    def available(self) -> bool:
        """Whether store calls are executed."""
        return not (self.silent or self.down)

    def handle_call(self, request: EntryRequest, path: str, query: str) -> None:
        """Handle one call of the store's interface."""
        if self.silent:
            return
        if self.down or self.is_turned_away(request):
            self.respond(request, 503)
            return
        parameters = {name: occurrences[0] for name, occurrences in parse_qs(query).items()}
        if path == "/rows-tx":
            self.transact(request, msgspec.json.decode(request.body))
        elif path == "/rows-get":
            self.read_range(request, parameters)
        elif path == "/rows-feed":
            after = int(parameters["after"])
            if not self.first_feed_version <= after <= self.version:
                self.respond(request, 410)
                return
            deadline = time.monotonic() + int(parameters.get("blockMs", "0")) / 1000
            self.pending_feeds.append((deadline, parameters["table"], after, request))
            self.answer_pending_feeds()
        else:
            self.respond(request, 404)

    def is_turned_away(self, request: EntryRequest) -> bool:
        """Return whether calls of this connection are refused."""
        host, port = source_of(request)
        share = zlib.crc32(f"{host}:{port}".encode()) / 2**32
        return share < self.faults.turned_away or host in self.faults.turned_away_callers

    def transact(self, request: EntryRequest, transaction: dict[str, Any]) -> None:
        """Apply a transaction unless it is too large, late or without an answer if a fault is drawn."""
        entries = sum(len(transaction.get(kind, ())) for kind in ("expect", "write", "delete"))
        if entries > MAX_TRANSACTION_ENTRIES or len(request.body) > MAX_TRANSACTION_BYTES:
            self.respond(request, 400)
            return
        if self.rng.random() < self.faults.late:
            self.app.scheduler.call_later(
                self.rng.uniform(1.0, 6.0), lambda: self.apply_transaction(transaction)
            )
            return
        version = self.apply_transaction(transaction)
        if self.rng.random() < self.faults.lost:
            return
        if version is None:
            self.respond(request, 412, {"records": self.checked_rows(transaction), "ver": self.version})
        else:
            self.respond(request, 200, {"ver": version})

    def checked_rows(self, transaction: dict[str, Any]) -> list[dict[str, Any]]:
        """Return the current rows among those that a transaction checks."""
        names = [(row["table"], row["key"]) for row in transaction.get("expect", ())]
        return [
            {"table": table, "part": "", "key": key, "value": value, "ver": version}
            for table, key in names
            for version, value in (self.rows.get((table, key), (0, None)),)
            if value is not None
        ]

    def apply_transaction(self, transaction: dict[str, Any]) -> int | None:
        """Apply a transaction and return its version, or None if a row lacks its expected version."""
        for row in transaction.get("expect", ()):
            version, value = self.rows.get((row["table"], row["key"]), (0, None))
            if (version if value is not None else 0) != row["ver"]:
                return None
        writes = {(row["table"], row["key"]): row["value"] for row in transaction.get("write", ())}
        writes |= {(row["table"], row["key"]): None for row in transaction.get("delete", ())}
        return self.write_rows(writes)

    def write_rows(self, writes: dict[RowId, str | None]) -> int:
        """Write rows, or delete those with the value None, under a new version; return the version."""
        self.record_change(writes)
        self.version += 1
        self.rows.update({row_id: (self.version, value) for row_id, value in writes.items()})
        now = time.monotonic()
        for (table, key), value in sorted(writes.items(), key=lambda write: write[0]):
            self.history.append(RowVersion(now, self.version, table, key, value))
        while self.history and self.history[0].at < now - HISTORY_SECONDS:
            self.first_feed_version = max(self.first_feed_version, self.history.popleft().version)
        return self.version

    def record_change(self, row_ids: Iterable[RowId]) -> None:
        """Record the state before a change of rows, and drop changes that are too old to be undone."""
        now = time.monotonic()
        self.changes.append(Change(now, self.version, {row_id: self.rows.get(row_id) for row_id in row_ids}))
        while self.changes[0].at < now - MAX_RESTORE_AGE_SECONDS:
            self.changes.popleft()

    def write_operator_row(self, key: str, body: bytes | None) -> None:
        """Write a row unconditionally, as an operator does; a body of None deletes it."""
        value = base64.b64encode(body).decode() if body is not None else None
        row_id = (OPERATOR_TABLE, key)
        self.operator_writes[row_id] = (time.monotonic(), value)
        self.lost_operator_rows.discard(row_id)
        self.write_rows({row_id: value})

    def restore(self, restoration: Restoration) -> None:
        """Begin an outage, and undo the changes that are newer than the copy that is served after it."""
        copied_at = time.monotonic() - restoration.age_s
        undone = [change for change in self.changes if change.at > copied_at]
        # The restore is itself a change, so that a later one can go back to before it.
        self.record_change({row_id for change in undone for row_id in change.rows})
        for change in reversed(undone):
            self.version = change.version
            for row_id, entry in change.rows.items():
                if entry is None:
                    self.rows.pop(row_id, None)
                else:
                    self.rows[row_id] = entry
        while self.history and self.history[-1].version > self.version:
            self.history.pop()
        if restoration.forget_history:
            self.first_feed_version = self.version
        self.first_feed_version = min(self.first_feed_version, self.version)
        for row_id, (written_at, value) in self.operator_writes.items():
            if written_at > copied_at or self.rows.get(row_id, (0, None))[1] != value:
                self.lost_operator_rows.add(row_id)
        if restoration.how == "down":
            for *_, request in self.pending_feeds:
                self.close(request.connection)
        self.pending_feeds = []
        self.restorations.append(restoration)
        self.app.scheduler.call_later(restoration.away_s, lambda: self.complete_restore(restoration))

    def complete_restore(self, restoration: Restoration) -> None:
        """End the outage of a restore."""
        self.restorations.remove(restoration)
        self.era += 1
        era = self.era
        self.app.scheduler.call_later(restoration.rewrite_after_s, lambda: self.rewrite_operator_rows(era))

    def rewrite_operator_rows(self, era: int) -> None:
        """Write the operator's lost rows again, unless a later restore will do so."""
        if era != self.era or self.restorations:
            return
        for row_id in sorted(self.lost_operator_rows, key=lambda row_id: self.operator_writes[row_id][0]):
            self.write_rows({row_id: self.operator_writes[row_id][1]})
        self.lost_operator_rows.clear()

    def read_range(self, request: EntryRequest, parameters: dict[str, str]) -> None:
        """Answer with the rows of one table in a half-open range of keys."""
        begin, end = parameters.get("from", ""), parameters.get("to")
        limit = min(MAX_PAGE_ROWS, int(parameters.get("maxItems", MAX_PAGE_ROWS)))
        matches = sorted(
            (key, version, value)
            for (table, key), (version, value) in self.rows.items()
            if table == parameters["table"] and value is not None and key >= begin and (not end or key < end)
        )
        records = [{"key": key, "ver": version, "value": value} for key, version, value in matches[:limit]]
        response = {"records": records, "hasMore": len(matches) > limit, "ver": self.version}
        self.respond(request, 200, response)

    def answer_pending_feeds(self) -> None:
        """Answer the feeds that have changes, have reached their deadline, or are cut short by an outage."""
        now = time.monotonic()
        feeds, self.pending_feeds = self.pending_feeds, []
        for deadline, table, after, request in feeds:
            changed = [
                (row.version, row.key, row.value)
                for row in self.history
                if row.table == table and row.version > after
            ]
            if request.answered or self.silent:
                continue
            if not changed and now < deadline and not self.faults.down:
                self.pending_feeds.append((deadline, table, after, request))
                continue
            records = [
                {"key": key, "ver": version} | ({"deleted": True} if value is None else {"value": value})
                for version, key, value in changed
            ]
            self.respond(request, 200, {"records": records, "ver": self.version})

    def respond(self, request: EntryRequest, status: int, response: dict[str, Any] | None = None) -> None:
        """Send a response as JSON; the store's clock is added to a response about rows."""
        headers = [("content-type", "application/json"), ("store-era", str(self.era))]
        if response is not None:
            response = {**response, "serverTimeS": time.monotonic()}
        body = msgspec.json.encode(response or {})
        if not self.is_behind_link(request):
            request.respond(status, headers, body)
            return
        request.answered = True
        head = f"HTTP/1.1 {status} Status\r\ncontent-length: {len(body)}\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in headers)
        self.link.append(LinkAnswer(request, head.encode() + b"\r\n" + body))
        self.link_timer.wake()

    def is_behind_link(self, request: EntryRequest) -> bool:
        """Return whether the answer to a request is sent over the congested link."""
        if not self.faults.link_bytes_per_second or not request.keep_alive or request.answered:
            return False
        callers = self.faults.link_callers
        return not callers or source_of(request)[0] in callers

    def use_link(self) -> bool:
        """Send parts of the answers in turn, as far as the link's rate allows; return whether any is left."""
        now = time.monotonic()
        rate = self.faults.link_bytes_per_second or float("inf")
        most = rate * LINK_BURST_SECONDS
        self.link_credit = min(most, self.link_credit + rate * (now - self.link_used_at))
        self.link_used_at = now
        skipped = 0
        while skipped < len(self.link) and self.link_credit > 0.0:
            answer = self.link.popleft()
            if answer.waiting:
                skipped += 1
            else:
                skipped = 0
                self.link_credit -= answer.send(LINK_PART_BYTES)
            if answer.rest:
                self.link.append(answer)
        return bool(self.link)


def source_of(request: EntryRequest) -> tuple[str, int]:
    """Return the source address and port of a request; empty and 0 once its connection is gone."""
    try:
        return request.connection.sock.getpeername()
    except OSError:
        return "", 0


def main() -> int:
    """Run the store stand-in until a signal arrives."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    return run_services(RowsStore(parser.parse_args().address))


if __name__ == "__main__":
    raise SystemExit(main())
