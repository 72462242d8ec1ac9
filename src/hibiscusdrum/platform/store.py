"""Client of the platform's store that implements the router's ``Table`` interface.

Rows whose key begins with ``lease/`` are kept in a separate table, which ``changes`` does not read: they are
rewritten every few seconds, and no node watches them for changes.
"""

from __future__ import annotations

import base64
from collections.abc import Callable
from typing import Any
from urllib.parse import urlencode

import msgspec
from returns.result import Failure, Result, Success

from hibiscusdrum.errors import HibiscusdrumError, InvalidArgument, StoreConflict, StoreUnavailable
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.decoding import decode_json, refusing_malformed
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.platform.table import (
    Changes,
    ChangesCallback,
    CommitCallback,
    ReadCallback,
    Row,
    Transaction,
)
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.transport.http_client import HttpClient
from hibiscusdrum.internal.transport.http_connection import HttpFailure, HttpResponse

ROUTER_TABLE = "hibiscusdrum"
LEASE_TABLE = "hibiscusdrum-lease"
LEASE_PREFIX = "lease/"
OPERATOR_TABLE = "op"
# An answer usually takes 4 ms, and 0.2 s when the store is slow.
CALL_TIMEOUT_SECONDS = 1.5
# The store blocks a long poll for up to LONG_POLL_SECONDS; the client waits LONG_POLL_MARGIN_SECONDS longer.
# A connection that broke without a reset is detected after their sum, which must stay below the 4 s within
# which the platform expects a node to be up to date.
LONG_POLL_SECONDS = 3.0
LONG_POLL_MARGIN_SECONDS = 0.5
# After a failure, changes are polled without blocking and with a short timeout, so that the end of an outage
# is detected early. The timeout doubles with each failure, since answers take longer on a congested link.
FIRST_PROBE_TIMEOUT_SECONDS = 1.0
MAX_PROBE_TIMEOUT_SECONDS = 2.0
# Failures beyond this number are not counted, which bounds the exponent of the timeout.
MAX_FAILURE_COUNT = 8
MAX_PAGE_ROWS = 500
MAX_CONNECTIONS = 16
OK = 200
GONE = 410
PRECONDITION_FAILED = 412
JSON_HEADERS = {"content-type": "application/json"}


class WireRow(msgspec.Struct, frozen=True):
    """A row as the store sends it; ``ver`` is the number of the transaction that wrote it."""

    key: str
    ver: int = 0
    value: str = ""
    deleted: bool = False


class WireRows(msgspec.Struct, frozen=True):
    """Answer to a read or a poll for changes; ``ver`` is the newest version in the whole store."""

    records: tuple[WireRow, ...] = ()
    ver: int = 0
    hasMore: bool = False  # noqa: N815 - name on the wire
    serverTimeS: float = 0.0  # noqa: N815 - name on the wire


class WireCommitted(msgspec.Struct, frozen=True):
    """Answer to a committed transaction; ``ver`` is the version of the rows it wrote."""

    ver: int
    serverTimeS: float = 0.0  # noqa: N815 - name on the wire


class RowChanges(msgspec.Struct, frozen=True):
    """Rows of a table that changed after a version, or all of its rows.

    Attributes
    ----------
    rows : tuple of WireRow
        Rows as the store sent them, deleted ones included.
    version : int
        Newest version that the rows reflect.
    complete : bool
        Whether these are all rows of the table, because no version was given or the store no longer has the
        changes since then.
    """

    rows: tuple[WireRow, ...]
    version: int
    complete: bool


WireRowsCallback = Callable[[Result[WireRows, HibiscusdrumError]], None]
RowChangesCallback = Callable[[Result[RowChanges, HibiscusdrumError]], None]


def table_for_key(key: str) -> str:
    """Return the name of the store's table that holds the row with this key."""
    return LEASE_TABLE if key.startswith(LEASE_PREFIX) else ROUTER_TABLE


def decode_row(row: WireRow) -> Row:
    """Convert a row of the store; its value is None when the row was deleted or cannot be decoded."""
    if row.deleted:
        return Row(row.key, row.ver, None)
    try:
        with refusing_malformed(row.key, row.value):
            return Row(row.key, row.ver, msgspec.json.decode(base64.b64decode(row.value)))
    except InvalidArgument as error:
        log_events.emit(events.RowUnreadable(what=row.key, reason=str(error)))
        return Row(row.key, row.ver, None)


class StoreClient(Service):
    """Asynchronous client of the platform's store.

    Parameters
    ----------
    address : str
        ``ip:port`` of the store.

    Attributes
    ----------
    store_time : float
        Newest time on the store's clock that an answer contained, in seconds.
    failures : dict of str to int
        Number of consecutive failed polls for changes, by table.
    initial_read_done : bool
        Whether a call of ``changes`` has succeeded; from then on version 0 is polled like any other.
    on_store_time : callable or None
        Called with the monotonic time at which a request was sent and the store's time in its answer.
    on_bytes_transferred : callable or None
        Called for each answer with the operation and the number of bytes sent and received.
    """

    service_name = "table"

    def __init__(self, address: str) -> None:
        super().__init__()
        self.address = address
        self.store_time = 0.0
        self.failures: dict[str, int] = {}
        self.initial_read_done = False
        self.on_store_time: Callable[[float, float], None] | None = None
        self.on_bytes_transferred: Callable[[str, int, int], None] | None = None

    def on_start(self) -> None:
        """Find the HTTP client."""
        self.http: HttpClient = self.app.find("http_client")

    # ``Table`` interface

    def read(self, keys: tuple[str, ...], callback: ReadCallback) -> None:
        """Read rows by key; all keys must belong to the same table of the store."""
        wanted = set(keys)

        def on_response(result: Result[WireRows, HibiscusdrumError]) -> None:
            if isinstance(result, Success):
                rows = [decode_row(row) for row in result.unwrap().records if row.key in wanted]
                callback(Success({row.key: row for row in rows}))
            else:
                callback(Failure(result.failure()))

        self.read_range(table_for_key(keys[0]), min(keys), max(keys) + "\0", on_response)

    def changes(self, since: int, callback: ChangesCallback) -> None:
        """Wait for rows written after a version; until a call has succeeded, 0 reads the whole table."""

        def on_response(result: Result[RowChanges, HibiscusdrumError]) -> None:
            if isinstance(result, Success):
                answer = result.unwrap()
                self.initial_read_done = True
                rows = tuple(decode_row(row) for row in answer.rows)
                callback(Success(Changes(answer.version, rows, answer.complete)))
            else:
                callback(Failure(result.failure()))

        self.poll_changes(ROUTER_TABLE, since if since or self.initial_read_done else None, on_response)

    def commit(self, transaction: Transaction, callback: CommitCallback) -> None:
        """Write conditionally; after a failure with reason ``unknown``, the write may still take effect."""
        body = {
            "expect": [
                {"table": table_for_key(key), "part": "", "key": key, "ver": version}
                for key, version in transaction.checks.items()
            ],
            "write": [
                {"table": table_for_key(key), "part": "", "key": key, "value": encode_value(value)}
                for key, value in transaction.puts.items()
            ],
            "delete": [{"table": table_for_key(key), "part": "", "key": key} for key in transaction.deletes],
        }
        keys = tuple(transaction.checks)

        def on_response(result: Result[HttpResponse, HibiscusdrumError]) -> None:
            if not isinstance(result, Success):
                callback(Failure(result.failure()))
                return
            response = result.unwrap()
            if response.status == PRECONDITION_FAILED:
                callback(Failure(StoreConflict(keys=keys)))
                return
            try:
                committed = decode_json(response.body, WireCommitted, "commit")
            except InvalidArgument as error:
                log_events.emit(events.RowUnreadable(what="commit", reason=str(error)))
                callback(Failure(StoreUnavailable(operation="commit", reason="unknown")))
                return
            callback(Success(committed.ver))

        self.send_request(
            "commit", "POST", "/rows-tx", msgspec.json.encode(body), CALL_TIMEOUT_SECONDS, on_response
        )

    # Calls of the store's HTTP API

    def read_range(self, table: str, first: str, last: str, callback: WireRowsCallback) -> None:
        """Read the rows of a table in a key range, page by page; ``last`` is excluded."""
        collected: list[WireRow] = []
        newest_version = 0

        def request_page(start: str) -> None:
            query = {"table": table, "part": "", "maxItems": MAX_PAGE_ROWS}
            if start:
                query["from"] = start
            if last:
                query["to"] = last
            self.send_request(
                "read", "GET", f"/rows-get?{urlencode(query)}", b"", CALL_TIMEOUT_SECONDS, on_response
            )

        def on_response(result: Result[HttpResponse, HibiscusdrumError]) -> None:
            nonlocal newest_version
            answer = self.decode_rows("read", result)
            if not isinstance(answer, Success):
                callback(answer)
                return
            rows = answer.unwrap()
            # The version of the first page is kept, so that the next poll for changes also returns the rows
            # that were written while later pages were read.
            newest_version = newest_version or rows.ver
            collected.extend(rows.records)
            if rows.hasMore and rows.records:
                request_page(rows.records[-1].key + "\0")
            else:
                callback(Success(WireRows(tuple(collected), newest_version)))

        request_page(first)

    def poll_changes(self, table: str, since: int | None, callback: RowChangesCallback) -> None:
        """Wait for changes after a version; read the whole table when it is None or too old."""

        def report(result: Result[WireRows, HibiscusdrumError], complete: bool) -> None:
            callback(result.map(lambda answer: RowChanges(answer.records, answer.ver, complete)))

        if since is None:
            self.read_range(table, "", "", lambda result: report(result, True))
            return
        failures = self.failures.get(table, 0)
        block_seconds = 0.0 if failures else LONG_POLL_SECONDS
        probe_timeout = min(MAX_PROBE_TIMEOUT_SECONDS, FIRST_PROBE_TIMEOUT_SECONDS * 2.0 ** (failures - 1))
        timeout = probe_timeout if failures else LONG_POLL_SECONDS + LONG_POLL_MARGIN_SECONDS
        query = urlencode({"table": table, "after": since, "blockMs": int(block_seconds * 1000)})

        def on_response(result: Result[HttpResponse, HibiscusdrumError]) -> None:
            if isinstance(result, Success):
                self.failures.pop(table, None)
                if result.unwrap().status == GONE:
                    self.read_range(table, "", "", lambda result: report(result, True))
                    return
            else:
                self.failures[table] = min(failures + 1, MAX_FAILURE_COUNT)
            report(self.decode_rows("changes", result), False)

        self.send_request("changes", "GET", f"/rows-feed?{query}", b"", timeout, on_response, (GONE,))

    def decode_rows(
        self, operation: str, result: Result[HttpResponse, HibiscusdrumError]
    ) -> Result[WireRows, HibiscusdrumError]:
        """Decode the answer to a read or a poll for changes."""
        if not isinstance(result, Success):
            return Failure(result.failure())
        try:
            return Success(decode_json(result.unwrap().body, WireRows, operation))
        except InvalidArgument as error:
            log_events.emit(events.RowUnreadable(what=operation, reason=str(error)))
            return Failure(StoreUnavailable(operation=operation, reason="unreadable"))

    def send_request(
        self,
        operation: str,
        method: str,
        path: str,
        body: bytes,
        timeout: float,
        callback: Callable[[Result[HttpResponse, HibiscusdrumError]], None],
        accepted: tuple[int, ...] = (PRECONDITION_FAILED,),
    ) -> None:
        """Send a request; a status other than 200 and those in ``accepted`` is a failure."""
        sent_at = self.app.clock.monotonic()

        def on_response(result: Result[HttpResponse, HttpFailure]) -> None:
            if isinstance(result, Success):
                response = result.unwrap()
                if self.on_bytes_transferred is not None:
                    self.on_bytes_transferred(operation, len(path) + len(body), len(response.body))
                if response.status == OK or response.status in accepted:
                    self.record_store_time(sent_at, response.body)
                    callback(Success(response))
                    return
                # With any other status, the store has executed nothing.
                reason = f"status_{response.status}"
            else:
                failure = result.failure()
                reason = "unknown" if failure.bytes_sent else "refused"
            took = self.app.clock.monotonic() - sent_at
            log_events.emit(
                events.StoreCallFailed(operation=operation, reason=reason, took_ms=round(took * 1000))
            )
            callback(Failure(StoreUnavailable(operation=operation, reason=reason)))

        headers = JSON_HEADERS if body else {}
        self.http.request(self.address, method, path, headers, body, timeout, on_response, MAX_CONNECTIONS)

    def record_store_time(self, sent_at: float, body: bytes) -> None:
        """Record the store's time from the body of an answer, if it contains one."""
        try:
            store_time = decode_json(body, TimestampedAnswer, "serverTimeS").serverTimeS
        except InvalidArgument as error:
            log_events.emit(events.RowUnreadable(what="serverTimeS", reason=str(error)))
            return
        if store_time:
            self.store_time = max(self.store_time, store_time)
            if self.on_store_time is not None:
                self.on_store_time(sent_at, store_time)


class TimestampedAnswer(msgspec.Struct, frozen=True):
    """The field that each answer has in common: the time on the store's clock in seconds."""

    serverTimeS: float = 0.0  # noqa: N815 - name on the wire


def encode_value(value: Any) -> str:
    """Encode a row's value for the store: JSON in Base64."""
    return base64.b64encode(msgspec.json.encode(value)).decode()
