"""Client of the platform's table service over HTTP.

Every commit has an operation id. If its answer is lost, the client reads the state of the operation back, so
that the caller learns whether its write took effect.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

import msgspec
from returns.result import Failure, Result, Success

from hibiscusdrum.errors import HibiscusdrumError, InvalidArgument, StoreConflict, StoreUnavailable
from hibiscusdrum.internal.decoding import DECODE_ERRORS
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.platform.table import (
    Changes,
    ChangesCallback,
    CommitCallback,
    EraListener,
    ReadCallback,
    Row,
    Transaction,
)
from hibiscusdrum.internal.transport.http_client import HttpClient
from hibiscusdrum.internal.transport.http_connection import FailureKind, HttpFailure, HttpResponse

# Operation ids are the last segment of a path when an operation is read back.
OPERATION_ID_PATTERN = re.compile("[A-Za-z0-9._-]+")
JSON_HEADERS = {"content-type": "application/json"}
# Limits the load on the store, which serves about 2,000 reads per second for all nodes together.
READ_BACK_INTERVAL_SECONDS = 0.1
OK = 200
BAD_REQUEST = 400
CONFLICT = 409

HttpResult = Result[HttpResponse, HttpFailure]


class ReadResponse(msgspec.Struct, frozen=True):
    """Answer to a read."""

    rows: tuple[Row, ...]


class CommitResponse(msgspec.Struct, frozen=True):
    """Answer to a committed transaction."""

    seq: int


class ConflictResponse(msgspec.Struct, frozen=True):
    """Answer to a transaction whose version checks failed; ``keys`` names the rows."""

    keys: tuple[str, ...]


class OperationState(msgspec.Struct, frozen=True):
    """State of an operation: ``committed``, ``conflict`` or ``absent``."""

    state: str
    seq: int = 0
    keys: tuple[str, ...] = ()


class ErrorResponse(msgspec.Struct, frozen=True):
    """Answer to a request that the table service rejects as malformed."""

    code: str
    name: str
    value: Any = None


read_decoder = msgspec.json.Decoder(ReadResponse)
changes_decoder = msgspec.json.Decoder(Changes)
commit_decoder = msgspec.json.Decoder(CommitResponse)
conflict_decoder = msgspec.json.Decoder(ConflictResponse)
operation_decoder = msgspec.json.Decoder(OperationState)
error_decoder = msgspec.json.Decoder(ErrorResponse)


def decode_or_none(decoder: msgspec.json.Decoder, body: bytes) -> Any:
    """Return the decoded body, or None if it does not match the decoder's type."""
    try:
        return decoder.decode(body)
    except DECODE_ERRORS:
        return None


def unavailable_reason(result: HttpResult) -> str:
    """Return why a request to the store has no usable answer, as text for an error."""
    if isinstance(result, Failure):
        return result.failure().kind.value
    status = result.unwrap().status
    return "malformed body" if status == OK else f"status {status}"


class TableClient(Service):
    """Asynchronous client of the table service, which has only one era; implements ``Table``.

    Parameters
    ----------
    address : str
        ``ip:port`` of the platform.
    timeout_seconds : float
        Timeout of one request.
    resolve_seconds : float
        How long the client tries to read back the outcome of a commit whose answer was lost.
    """

    service_name = "table"

    def __init__(
        self, address: str, timeout_seconds: float = 1.0, resolve_timeout_seconds: float = 5.0
    ) -> None:
        super().__init__()
        self.address = address
        self.timeout_seconds = timeout_seconds
        self.resolve_timeout_seconds = resolve_timeout_seconds
        self.http: HttpClient | None = None
        self.era = 0
        self.on_era_change: list[EraListener] = []

    def on_start(self) -> None:
        """Find the HTTP client."""
        self.http = self.app.find(HttpClient.service_name)

    def read(self, keys: tuple[str, ...], callback: ReadCallback) -> None:
        """Read rows by key; absent rows are left out of the result."""

        def on_response(result: HttpResult) -> None:
            answer = decode_ok_response(read_decoder, result)
            if answer is None:
                callback(Failure(StoreUnavailable(operation="read", reason=unavailable_reason(result))))
            else:
                callback(Success({row.key: row for row in answer.rows}))

        self.post("/v1/read", {"keys": keys}, on_response)

    def changes(self, since: int, callback: ChangesCallback) -> None:
        """Read every row written after ``since`` (0 reads the whole table)."""

        def on_response(result: HttpResult) -> None:
            answer = decode_ok_response(changes_decoder, result)
            if answer is None:
                callback(Failure(StoreUnavailable(operation="changes", reason=unavailable_reason(result))))
            else:
                callback(Success(answer))

        self.get(f"/v1/changes?since={since}", on_response)

    def commit(self, transaction: Transaction, callback: CommitCallback) -> None:
        """Write conditionally; see ``Table.commit``.

        Raises
        ------
        InvalidArgument
            If the operation id has characters that are not allowed in a path segment.
        """
        operation_id = transaction.operation_id
        if not OPERATION_ID_PATTERN.fullmatch(operation_id):
            raise InvalidArgument(
                name="operation_id", value=operation_id, expected=OPERATION_ID_PATTERN.pattern
            )
        PendingCommit(self, transaction, callback).send()

    def post(self, path: str, value: Any, on_response: Callable[[HttpResult], None]) -> None:
        """Send a ``POST`` request with a JSON body."""
        body = msgspec.json.encode(value)
        self.http.request(self.address, "POST", path, JSON_HEADERS, body, self.timeout_seconds, on_response)

    def get(self, path: str, on_response: Callable[[HttpResult], None]) -> None:
        """Send a ``GET`` request."""
        self.http.request(self.address, "GET", path, {}, b"", self.timeout_seconds, on_response)


def decode_ok_response(decoder: msgspec.json.Decoder, result: HttpResult) -> Any:
    """Return the decoded body of an answer with status 200; None for any other result."""
    if isinstance(result, Failure) or result.unwrap().status != OK:
        return None
    return decode_or_none(decoder, result.unwrap().body)


class PendingCommit:
    """A transaction whose outcome is not known yet.

    Attributes
    ----------
    resolve_until : float or None
        Monotonic time at which the client stops reading the outcome back; None until an answer was lost.
    """

    __slots__ = ("callback", "resolve_deadline", "table", "transaction")

    def __init__(self, table: TableClient, transaction: Transaction, callback: CommitCallback) -> None:
        self.table = table
        self.transaction = transaction
        self.callback = callback
        self.resolve_deadline: float | None = None

    def send(self) -> None:
        """Send the transaction; safe to repeat, since the store deduplicates by the operation id."""
        self.table.post("/v1/transact", self.transaction, self.on_transact_response)

    def on_transact_response(self, result: HttpResult) -> None:
        """Report a definite outcome; otherwise read the operation back."""
        if isinstance(result, Failure):
            self.on_failure(result.failure())
            return
        response = result.unwrap()
        outcome = transaction_outcome(response)
        if outcome is None:
            self.resolve()
        else:
            self.callback(outcome)

    def on_failure(self, failure: HttpFailure) -> None:
        """Report a commit that was not sent; read back one that may have been applied."""
        if failure.bytes_sent or self.resolve_deadline is not None:
            self.resolve()
            return
        reason = "refused" if failure.kind is FailureKind.REFUSED else "not_sent"
        self.callback(Failure(StoreUnavailable(operation="commit", reason=reason)))

    def resolve(self) -> None:
        """Read the operation back, the first time at once and then at intervals, until the deadline."""
        now = self.table.app.clock.monotonic()
        if self.resolve_deadline is None:
            self.resolve_deadline = now + self.table.resolve_timeout_seconds
            self.read_back()
        elif now >= self.resolve_deadline:
            self.callback(Failure(StoreUnavailable(operation="commit", reason="unknown")))
        else:
            self.table.app.scheduler.call_later(READ_BACK_INTERVAL_SECONDS, self.read_back)

    def read_back(self) -> None:
        """Request the state of the operation."""
        operation_id = quote(self.transaction.operation_id, safe="")
        self.table.get(f"/v1/operations/{operation_id}", self.on_operation_state)

    def on_operation_state(self, result: HttpResult) -> None:
        """Report a known outcome; resend a transaction that the store does not know."""
        operation = decode_ok_response(operation_decoder, result)
        if operation is None:
            self.resolve()
        elif operation.state == "committed":
            self.callback(Success(operation.seq))
        elif operation.state == "conflict":
            self.callback(Failure(StoreConflict(keys=operation.keys)))
        elif self.table.app.clock.monotonic() >= self.resolve_deadline:
            self.callback(Failure(StoreUnavailable(operation="commit", reason="unknown")))
        else:
            # The first request may still be in transit; the store applies only one of the two.
            self.send()


def transaction_outcome(response: HttpResponse) -> Result[int, HibiscusdrumError] | None:
    """Return the outcome that an answer states, or None if it leaves the outcome open."""
    if response.status == OK:
        answer = decode_or_none(commit_decoder, response.body)
        return None if answer is None else Success(answer.seq)
    if response.status == CONFLICT:
        answer = decode_or_none(conflict_decoder, response.body)
        return None if answer is None else Failure(StoreConflict(keys=answer.keys))
    if response.status == BAD_REQUEST:
        answer = decode_or_none(error_decoder, response.body)
        if answer is not None:
            error = InvalidArgument(name=answer.name, value=answer.value, expected="a valid transaction")
            return Failure(error)
    return None
