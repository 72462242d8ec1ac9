"""Client of the platform's store that implements the router's ``Table`` interface.

``changes`` reads the table of the rows that nodes watch. Rows of rings, leases and claims are kept in other
tables: the store reports each version of a row to each node that polls its table, a ring has up to 20 KB, and
leases are rewritten every few seconds. Rings stay in the table in which earlier releases keep all watched
rows, so that releases that run side by side never have two rings.
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
from hibiscusdrum.internal.decoding import Number, Whole, decode_json, refusing_malformed
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.platform.table import (
    Changes,
    ChangesCallback,
    CommitCallback,
    EraListener,
    ReadCallback,
    Row,
    Transaction,
    era_of,
    make_version,
    number_of,
)
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.poll_hold import SHORT_HOLD_SECONDS, AnswerStreak
from hibiscusdrum.internal.router.unreadable import unreadable_entries
from hibiscusdrum.internal.transport.http_client import HttpClient
from hibiscusdrum.internal.transport.http_connection import (
    FailureKind,
    HttpExchange,
    HttpFailure,
    HttpResponse,
)

MEMBERS_TABLE = "hibiscusdrum-members"
UNWATCHED_TABLES = {
    "ring": "hibiscusdrum",
    "lease": "hibiscusdrum-lease",
    "claim": "hibiscusdrum-claim",
}
OPERATOR_TABLE = "op"
# The timeouts of calls limit the time without progress: until the connection is open, until the first bytes
# of the answer, and between its bytes. An answer that is dropped while it arrives over a congested link would
# be asked for again, and the link would stay full without any whole answer.
# An answer usually takes 4 ms, and 0.2 s when the store is slow.
CALL_TIMEOUT_SECONDS = 1.5
# Whole duration of a read of a page or of a poll, so that an answer that trickles does not hold it for ever.
MAX_CALL_SECONDS = 15.0
# Whole duration of a commit. A lease is renewed when up to 6.5 s of it are left, and is read again after a
# commit without an answer.
MAX_COMMIT_SECONDS = 4.0
# On a slow path, calls wait for this multiple of the time that a connect took.
PATH_TIMEOUT_FACTOR = 1.5
# Calls for leases wait no longer without progress, so that a lease outlasts a renewal and a read that fail.
MAX_LEASE_TIMEOUT_SECONDS = 2.0
LEASE_TABLES = (UNWATCHED_TABLES["lease"], UNWATCHED_TABLES["claim"])
# The store blocks a poll for up to LONG_POLL_SECONDS, less on a slow path; the client waits for
# LONG_POLL_SECONDS and LONG_POLL_MARGIN_SECONDS. See ``poll_hold`` for polls that are held longer.
# A connection that broke without a reset is detected after their sum, which must stay below the 4 s within
# which the platform expects a node to be up to date.
LONG_POLL_SECONDS = SHORT_HOLD_SECONDS
LONG_POLL_MARGIN_SECONDS = 0.5
# The store blocks a poll for this long also on a slow path, since one that is answered is sent again at once.
MIN_LONG_POLL_SECONDS = 1.0
# After a failure, changes are polled without blocking and with a short timeout, so that the end of an outage
# is detected early. The timeout doubles with each failure, since answers take longer on a congested link.
FIRST_PROBE_TIMEOUT_SECONDS = 1.0
MAX_PROBE_TIMEOUT_SECONDS = 2.0
# Failures beyond this number are not counted, which bounds the exponent of the timeout.
MAX_FAILURE_COUNT = 8
MAX_PAGE_ROWS = 500
# A page is requested at most this often in a row; after the last time, the whole read fails.
MAX_PAGE_ATTEMPTS = 3
PAGE_RETRY_SECONDS = 0.2
# A table is read completely at most this often, should the store refuse every poll for its changes.
MIN_REREAD_INTERVAL_SECONDS = 0.5
MAX_CONNECTIONS = 16
OK = 200
GONE = 410
PRECONDITION_FAILED = 412
# Header of every answer of the store; it rises by one each time the store is restored from a copy.
ERA_HEADER = "store-era"
MAX_ERA_DIGITS = 9
JSON_HEADERS = {"content-type": "application/json"}


class WireRow(msgspec.Struct, frozen=True):
    """A row as the store sends it.

    ``ver`` is the number of the transaction that wrote it, or the version after ``WireRows.in_era``.
    """

    key: str
    ver: int = 0
    value: str = ""
    deleted: bool = False
    part: str = ""


class WireRows(msgspec.Struct, frozen=True):
    """Answer to a read or a poll for changes; ``ver`` is the newest version in the whole store."""

    records: tuple[WireRow, ...] = ()
    ver: int = 0
    hasMore: bool = False  # noqa: N815 - name on the wire
    serverTimeS: Number = 0.0  # noqa: N815 - name on the wire

    def in_era(self, era: int) -> WireRows:
        """Return the rows of the empty part, with versions of an era in place of the store's numbers.

        A poll for changes reports rows of all parts of a table; those of others may have the same keys.

        Raises
        ------
        InvalidArgument
            If a number is out of range.
        """
        records = tuple(
            msgspec.structs.replace(row, ver=make_version(era, row.ver))
            for row in self.records
            if not row.part
        )
        return msgspec.structs.replace(self, records=records, ver=make_version(era, self.ver))


class WireCommitted(msgspec.Struct, frozen=True):
    """Answer to a committed transaction; ``ver`` is the version of the rows it wrote."""

    ver: int
    serverTimeS: Number = 0.0  # noqa: N815 - name on the wire


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
    stamp : float
        Time in seconds on the store's clock at which ``version`` was its newest one; 0 if unknown.
    """

    rows: tuple[WireRow, ...]
    version: int
    complete: bool
    stamp: float = 0.0


class StoreAnswer:
    """An answer of the store.

    Attributes
    ----------
    status : int
    body : bytes
    era : int
        Era of the store that gave the answer; 0 if it names none.
    """

    __slots__ = ("body", "era", "status")

    def __init__(self, status: int, body: bytes, era: int) -> None:
        self.status = status
        self.body = body
        self.era = era


class PendingPoll:
    """A poll for the changes of a table that waits for its answer.

    Attributes
    ----------
    exchange : HttpExchange or None
        None while it is being sent.
    withdrawn : bool
        Whether its outcome counts no longer.
    """

    __slots__ = ("exchange", "withdrawn")

    def __init__(self) -> None:
        self.exchange: HttpExchange | None = None
        self.withdrawn = False


StoreAnswerResult = Result[StoreAnswer, HibiscusdrumError]
WireRowsCallback = Callable[[Result[WireRows, HibiscusdrumError]], None]
RowChangesCallback = Callable[[Result[RowChanges, HibiscusdrumError]], None]


def decode_era(value: str) -> int:
    """Decode the era that an answer of the store names.

    Raises
    ------
    InvalidArgument
        If it is not a decimal number of at most ``MAX_ERA_DIGITS`` digits.
    """
    if not (value.isascii() and value.isdigit() and len(value) <= MAX_ERA_DIGITS):
        raise InvalidArgument(name=ERA_HEADER, value=value[:64], expected="a decimal number")
    return int(value)


def table_for_key(key: str) -> str:
    """Return the name of the store's table that holds the row with this key."""
    return UNWATCHED_TABLES.get(key.partition("/")[0], MEMBERS_TABLE)


def decode_row(row: WireRow) -> Row:
    """Convert a row with its version; a row whose value cannot be decoded is marked as unreadable."""
    if row.deleted:
        return Row(row.key, row.ver, None)
    try:
        with refusing_malformed(row.key, row.value):
            value = msgspec.json.decode(base64.b64decode(row.value))
            if value is None:
                raise ValueError("a value other than null")
    except InvalidArgument as error:
        unreadable_entries.record(row.key, error)
        return Row(row.key, row.ver, None, unreadable=True)
    return Row(row.key, row.ver, value)


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
    era : int
        Newest era of the store that an answer named; 0 while none did.
    newest_number : int
        Newest number of a version that an answer of this era contained.
    on_era_change : list of callable
        Called with the former and the new era, before the answer that names the new one is delivered.
    failures : dict of str to int
        Number of consecutive failed polls for changes, or reads in place of the first one, by table.
    reread_counts : dict of str to int
        Number of complete reads in place of changes, by table.
    reread_at : dict of str to float
        Monotonic time in seconds at which the last of them began, by table.
    initial_read_done : bool
        Whether a call of ``changes`` has succeeded; from then on version 0 is polled like any other.
    pending_polls : dict of str to PendingPoll
        Poll for changes that waits for its answer, by table.
    answers : AnswerStreak
        Calls that the store has answered.
    other_answers : AnswerStreak
        Those that were no polls for changes.
    on_store_time : list of callable
        Called with the monotonic time at which a request was sent and the store's time in its answer.
    on_current_row : callable or None
        Called with each checked row that a conflicting commit reports, before the conflict is.
    on_bytes_transferred : callable or None
        Called for each answer with the operation and the number of bytes sent and received.
    on_answer_dropped : callable or None
        Called with the operation and the number of bytes received when a call ends within its answer.
    """

    service_name = "table"

    def __init__(self, address: str) -> None:
        super().__init__()
        self.address = address
        self.store_time = 0.0
        self.era = 0
        self.newest_number = 0
        self.on_era_change: list[EraListener] = []
        self.failures: dict[str, int] = {}
        self.reread_counts: dict[str, int] = {}
        self.reread_at: dict[str, float] = {}
        self.initial_read_done = False
        self.pending_polls: dict[str, PendingPoll] = {}
        self.answers = AnswerStreak()
        self.other_answers = AnswerStreak()
        self.on_store_time: list[Callable[[float, float], None]] = []
        self.on_current_row: Callable[[Row], None] | None = None
        self.on_bytes_transferred: Callable[[str, int, int], None] | None = None
        self.on_answer_dropped: Callable[[str, int], None] | None = None

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

    def changes(self, since: int, callback: ChangesCallback, hold_seconds: float = LONG_POLL_SECONDS) -> None:
        """Wait for rows written after a version; until a call has succeeded, 0 reads the whole table."""

        def on_response(result: Result[RowChanges, HibiscusdrumError]) -> None:
            if isinstance(result, Success):
                answer = result.unwrap()
                self.initial_read_done = True
                rows = tuple(decode_row(row) for row in answer.rows)
                callback(Success(Changes(answer.version, rows, answer.complete, answer.stamp)))
            else:
                callback(Failure(result.failure()))

        known = since if since or self.initial_read_done else None
        self.poll_changes(MEMBERS_TABLE, known, on_response, hold_seconds)

    def commit(self, transaction: Transaction, callback: CommitCallback) -> None:
        """Write conditionally; after a failure with reason ``unknown``, the write may still take effect.

        A check against a version of an earlier era is a conflict, and the write is not sent: the store may
        have given the same number to other content.
        """
        outdated = tuple(
            key for key, version in transaction.checks.items() if version and era_of(version) != self.era
        )
        if outdated:
            self.app.scheduler.call_later(0.0, lambda: callback(Failure(StoreConflict(keys=outdated))))
            return
        body = {
            "expect": [
                {"table": table_for_key(key), "part": "", "key": key, "ver": number_of(version)}
                for key, version in transaction.checks.items()
            ],
            "write": [
                {"table": table_for_key(key), "part": "", "key": key, "value": encode_value(value)}
                for key, value in transaction.puts.items()
            ],
            "delete": [{"table": table_for_key(key), "part": "", "key": key} for key in transaction.deletes],
        }
        for_lease = any(table_for_key(key) in LEASE_TABLES for key in transaction.puts)
        keys = tuple(transaction.checks)
        sent_era = self.era

        def on_response(result: StoreAnswerResult) -> None:
            if not isinstance(result, Success):
                callback(Failure(result.failure()))
                return
            answer = result.unwrap()
            if answer.status == PRECONDITION_FAILED:
                if answer.era == sent_era:
                    self.report_current_rows(answer)
                callback(Failure(StoreConflict(keys=keys)))
                return
            if sent_era and answer.era != sent_era:
                # The restored store may have given the numbers in the checks to other content.
                callback(Failure(StoreUnavailable(operation="commit", reason="unknown")))
                return
            try:
                version = make_version(answer.era, decode_json(answer.body, WireCommitted, "commit").ver)
            except InvalidArgument as error:
                unreadable_entries.record("commit", error)
                callback(Failure(StoreUnavailable(operation="commit", reason="unknown")))
                return
            callback(Success(version))

        self.send_request(
            "commit",
            "POST",
            "/rows-tx",
            msgspec.json.encode(body),
            CALL_TIMEOUT_SECONDS,
            on_response,
            for_lease=for_lease,
        )

    def report_current_rows(self, answer: StoreAnswer) -> None:
        """Report the rows in the answer to a commit whose checks failed."""
        if self.on_current_row is None:
            return
        try:
            wire = decode_json(answer.body, WireRows, "conflict").in_era(answer.era)
        except InvalidArgument as error:
            unreadable_entries.record("conflict", error)
            return
        for row in wire.records:
            self.on_current_row(decode_row(row))

    # Calls of the store's HTTP API

    def read_range(
        self,
        table: str,
        first: str,
        last: str,
        callback: WireRowsCallback,
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> None:
        """Read the rows of a table in a key range, page by page; ``last`` is excluded.

        If the store is restored between two pages, the read starts again. A later page that fails is
        requested again, up to ``MAX_PAGE_ATTEMPTS`` times.
        """
        collected: list[WireRow] = []
        newest_version = 0
        stamp = 0.0
        failed_attempts = 0

        def request_page(start: str) -> None:
            query = {"table": table, "part": "", "maxItems": MAX_PAGE_ROWS}
            if start:
                query["from"] = start
            if last:
                query["to"] = last
            path = f"/rows-get?{urlencode(query)}"
            for_lease = table in LEASE_TABLES
            self.send_request("read", "GET", path, b"", timeout, on_response, for_lease=for_lease)

        def next_start() -> str:
            return collected[-1].key + "\0" if collected else first

        def on_response(result: StoreAnswerResult) -> None:
            nonlocal newest_version, stamp, failed_attempts
            answer = self.decode_rows("read", result)
            if not isinstance(answer, Success):
                failed_attempts += 1
                if collected and failed_attempts < MAX_PAGE_ATTEMPTS:
                    self.app.scheduler.call_later(PAGE_RETRY_SECONDS, lambda: request_page(next_start()))
                else:
                    callback(answer)
                return
            failed_attempts = 0
            rows = answer.unwrap()
            if newest_version and era_of(rows.ver) != era_of(newest_version):
                newest_version = 0
                collected.clear()
                request_page(first)
                return
            # The version of the first page is kept, so that the next poll for changes also returns the rows
            # that were written while later pages were read.
            if not newest_version:
                newest_version, stamp = rows.ver, rows.serverTimeS
            collected.extend(rows.records)
            if rows.hasMore and rows.records:
                request_page(next_start())
            else:
                callback(Success(WireRows(tuple(collected), newest_version, serverTimeS=stamp)))

        request_page(first)

    def poll_changes(
        self,
        table: str,
        since: int | None,
        callback: RowChangesCallback,
        hold_seconds: float = LONG_POLL_SECONDS,
    ) -> None:
        """Wait for changes after a version; read the whole table when it is None or too old.

        So it is after a version of an earlier era: the restored store gives out the same number again, for
        other changes.

        Parameters
        ----------
        hold_seconds : float
            Time for which the store may hold the poll; less on a slow path, and 0 after a failure.
        """

        def report(result: Result[WireRows, HibiscusdrumError], complete: bool) -> None:
            callback(
                result.map(
                    lambda answer: RowChanges(answer.records, answer.ver, complete, answer.serverTimeS)
                )
            )

        def reread(reason: str) -> None:
            self.reread_table(table, reason, lambda result: report(result, True))

        failures = self.failures.get(table, 0)

        def on_rows(result: Result[WireRows, HibiscusdrumError]) -> None:
            self.record_outcome(table, result)
            report(result, True)

        if since is None:
            timeout = min(MAX_PROBE_TIMEOUT_SECONDS, CALL_TIMEOUT_SECONDS * 2.0**failures)
            self.read_range(table, "", "", on_rows, timeout)
            return
        if era_of(since) != self.era:
            reread("restored")
            return
        longest_seconds = hold_seconds + LONG_POLL_MARGIN_SECONDS
        # The answer needs the time of the path after the store has ended the wait.
        block_seconds = min(hold_seconds, max(MIN_LONG_POLL_SECONDS, longest_seconds - self.path_timeout))
        if failures:
            block_seconds = 0.0
        probe_timeout = min(MAX_PROBE_TIMEOUT_SECONDS, FIRST_PROBE_TIMEOUT_SECONDS * 2.0 ** (failures - 1))
        timeout = probe_timeout if failures else longest_seconds
        query = urlencode({"table": table, "after": number_of(since), "blockMs": round(block_seconds * 1000)})

        poll = PendingPoll()

        def on_response(result: StoreAnswerResult) -> None:
            if poll.withdrawn:
                return
            if self.pending_polls.get(table) is poll:
                del self.pending_polls[table]
            self.record_outcome(table, result)
            if isinstance(result, Success):
                answer = result.unwrap()
                if answer.era != era_of(since):
                    reread("restored")
                    return
                if answer.status == GONE:
                    reread("history_dropped")
                    return
            report(self.decode_rows("changes", result), False)

        self.pending_polls[table] = poll
        poll.exchange = self.send_request(
            "changes",
            "GET",
            f"/rows-feed?{query}",
            b"",
            timeout,
            on_response,
            (GONE,),
            hold_seconds=block_seconds,
        )

    def withdraw_poll(self, table: str = MEMBERS_TABLE) -> bool:
        """End the pending poll for the changes of a table, whose callback is not called any more.

        Returns False if there is none, since the table is being read or the next poll has not been sent.
        """
        poll = self.pending_polls.pop(table, None)
        if poll is None:
            return False
        poll.withdrawn = True
        if poll.exchange is not None:
            poll.exchange.cancel()
        return True

    def record_outcome(self, table: str, result: Result[Any, HibiscusdrumError]) -> None:
        """Count a failed poll for the changes of a table, or forget the failures after an answer."""
        if isinstance(result, Success):
            self.failures.pop(table, None)
        else:
            self.failures[table] = min(self.failures.get(table, 0) + 1, MAX_FAILURE_COUNT)

    def reread_table(self, table: str, reason: str, callback: WireRowsCallback) -> None:
        """Read a whole table in place of its changes, at intervals, and log the reason."""

        def on_rows(result: Result[WireRows, HibiscusdrumError]) -> None:
            if isinstance(result, Success):
                answer = result.unwrap()
                self.reread_counts[table] = self.reread_counts.get(table, 0) + 1
                log_events.emit(
                    events.TableReread(
                        table=table,
                        reason=reason,
                        version=number_of(answer.ver),
                        rows=len(answer.records),
                        count=self.reread_counts[table],
                    )
                )
            callback(result)

        def begin() -> None:
            self.reread_at[table] = self.app.clock.monotonic()
            self.read_range(table, "", "", on_rows)

        since = self.app.clock.monotonic() - self.reread_at.get(table, float("-inf"))
        if since < MIN_REREAD_INTERVAL_SECONDS:
            self.app.scheduler.call_later(MIN_REREAD_INTERVAL_SECONDS - since, begin)
        else:
            begin()

    def decode_rows(self, operation: str, result: StoreAnswerResult) -> Result[WireRows, HibiscusdrumError]:
        """Decode the answer to a read or a poll for changes."""
        if not isinstance(result, Success):
            return Failure(result.failure())
        answer = result.unwrap()
        try:
            return Success(decode_json(answer.body, WireRows, operation).in_era(answer.era))
        except InvalidArgument as error:
            unreadable_entries.record(operation, error)
            return Failure(StoreUnavailable(operation=operation, reason="unreadable"))

    def send_request(
        self,
        operation: str,
        method: str,
        path: str,
        body: bytes,
        timeout: float,
        callback: Callable[[StoreAnswerResult], None],
        accepted: tuple[int, ...] = (PRECONDITION_FAILED,),
        for_lease: bool = False,
        hold_seconds: float = 0.0,
    ) -> HttpExchange:
        """Send a request; an answer of an earlier era than the newest one is a failure.

        So is any status other than 200 and those in ``accepted``.

        Parameters
        ----------
        timeout : float
            Seconds without progress after which the call fails; more on a slow path.
        for_lease : bool
            Whether a lease depends on the call, so that it must end early also on a slow path.
        hold_seconds : float
            Time for which the store may hold the request, in addition to the longest duration of a call.
        """
        sent_at = self.app.clock.monotonic()

        def on_response(result: Result[HttpResponse, HttpFailure]) -> None:
            if isinstance(result, Success):
                response = result.unwrap()
                received, connected = len(response.body), True
                if self.on_bytes_transferred is not None:
                    self.on_bytes_transferred(operation, len(path) + len(body), len(response.body))
                era = self.observe_era(response)
                if response.status != OK and response.status not in accepted:
                    # With any other status, the store has executed nothing.
                    reason = f"status_{response.status}"
                elif era < self.era:
                    # What was read or written before the restore may be lost.
                    reason = "unknown"
                else:
                    self.observe_body(sent_at, response.body)
                    self.answers.record(sent_at)
                    if operation != "changes":
                        self.other_answers.record(sent_at)
                    callback(Success(StoreAnswer(response.status, response.body, era)))
                    return
            else:
                failure = result.failure()
                if operation == "changes" and failure.kind is FailureKind.CANCELLED:
                    callback(Failure(StoreUnavailable(operation=operation, reason="cancelled")))
                    return
                reason = "unknown" if failure.bytes_sent else "refused"
                received, connected = failure.dropped_bytes, failure.connected
                if received and self.on_answer_dropped is not None:
                    self.on_answer_dropped(operation, received)
            took = self.app.clock.monotonic() - sent_at
            log_events.emit(
                events.StoreCallFailed(
                    operation=operation,
                    reason=reason,
                    took_ms=round(took * 1000),
                    received_bytes=received,
                    connected=connected,
                )
            )
            callback(Failure(StoreUnavailable(operation=operation, reason=reason)))

        headers = JSON_HEADERS if body else {}
        max_seconds = MAX_COMMIT_SECONDS if operation == "commit" or for_lease else MAX_CALL_SECONDS
        # A short poll is held within the longest duration of a call.
        max_seconds += max(0.0, hold_seconds - LONG_POLL_SECONDS)
        path_timeout = min(self.path_timeout, MAX_LEASE_TIMEOUT_SECONDS) if for_lease else self.path_timeout
        return self.http.request(
            self.address,
            method,
            path,
            headers,
            body,
            max(timeout, path_timeout),
            on_response,
            MAX_CONNECTIONS,
            max_seconds=max_seconds,
        )

    @property
    def path_timeout(self) -> float:
        """Seconds without progress that are usual on the path to the store, up to those of a long poll."""
        needed = PATH_TIMEOUT_FACTOR * self.http.connect_seconds(self.address)
        return min(needed, LONG_POLL_SECONDS + LONG_POLL_MARGIN_SECONDS)

    def observe_era(self, response: HttpResponse) -> int:
        """Return the era of an answer, the newest known one if it names none, and notify of a newer one."""
        value = response.headers.get(ERA_HEADER)
        if value is None:
            return self.era
        try:
            era = decode_era(value)
        except InvalidArgument as error:
            log_events.emit(events.RowUnreadable(what=ERA_HEADER, reason=str(error)))
            return self.era
        if era > self.era:
            former, version = self.era, self.newest_number
            # The clock of the restored store may be behind that of the former one.
            self.era, self.newest_number, self.store_time = era, 0, 0.0
            # What was read before the first era that this process sees is not known to be of another one.
            if former:
                log_events.emit(events.StoreEraChanged(former=former, era=era, version=version))
                for listener in self.on_era_change:
                    listener(former, era)
        return era

    def observe_body(self, sent_at: float, body: bytes) -> None:
        """Record the store's time and newest version from the body of an answer, if it contains them."""
        try:
            answer = decode_json(body, CommonAnswer, "answer")
        except InvalidArgument as error:
            unreadable_entries.record("answer", error)
            return
        self.newest_number = max(self.newest_number, answer.ver)
        if answer.serverTimeS:
            self.store_time = max(self.store_time, answer.serverTimeS)
            for listener in self.on_store_time:
                listener(sent_at, answer.serverTimeS)


class CommonAnswer(msgspec.Struct, frozen=True):
    """Fields that answers of the store have in common: the newest version and the time on its clock."""

    ver: Whole = 0
    serverTimeS: Number = 0.0  # noqa: N815 - name on the wire


def encode_value(value: Any) -> str:
    """Encode a row's value for the store: JSON in Base64."""
    return base64.b64encode(msgspec.json.encode(value)).decode()
