"""Client of the platform's table service over HTTP.

Every commit carries an operation id. A commit whose reply is lost is resolved by reading the operation
back, so that a caller never has to guess whether its write took effect.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

import msgspec
from returns.result import Failure, Result, Success

from hibiscusdrum.errors import HibiscusdrumError, InvalidArgument, StoreConflict, StoreUnavailable
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.platform.table import (
    Changes,
    ChangesCallback,
    CommitCallback,
    ReadCallback,
    Row,
    Transaction,
)
from hibiscusdrum.internal.transport.http_client import HttpClient
from hibiscusdrum.internal.transport.http_connection import FailureKind, HttpFailure, HttpResponse

# Operations are read back by a path that ends in their id.
OPERATION_ID_PATTERN = re.compile("[A-Za-z0-9._-]+")
JSON_HEADERS = {"content-type": "application/json"}
# Wait between two read-backs; the store answers about 2,000 reads a second for all nodes together.
READ_BACK_INTERVAL_SECONDS = 0.1
OK = 200
BAD_REQUEST = 400
CONFLICT = 409

HttpResult = Result[HttpResponse, HttpFailure]


class ReadResponse(msgspec.Struct, frozen=True):
    """Answer to a read."""

    rows: tuple[Row, ...]


class CommitResponse(msgspec.Struct, frozen=True):
    """Answer to a transaction that was written."""

    seq: int


class ConflictResponse(msgspec.Struct, frozen=True):
    """Answer to a transaction whose checks failed."""

    keys: tuple[str, ...]


class OperationState(msgspec.Struct, frozen=True):
    """State of an operation: ``committed``, ``conflict`` or ``absent``."""

    state: str
    seq: int = 0
    keys: tuple[str, ...] = ()


class ErrorResponse(msgspec.Struct, frozen=True):
    """Answer to a request that the service found malformed."""

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
    """Return the decoded body, or None when it has another form."""
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def unavailable_reason(result: HttpResult) -> str:
    """Return why a request to the store has no usable answer."""
    if isinstance(result, Failure):
        return result.failure().kind.value
    status = result.unwrap().status
    return "malformed body" if status == OK else f"status {status}"


class TableClient(Service):
    """Access to the table service.

    Parameters
    ----------
    address : str
        ``ip:port`` of the platform.
    timeout_seconds : float
        Limit for one request.
    resolve_seconds : float
        How long the outcome of a commit is read back after its reply was lost.
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
            If the operation id could not stand in a path.
        """
        operation_id = transaction.operation_id
        if not OPERATION_ID_PATTERN.fullmatch(operation_id):
            raise InvalidArgument(
                name="operation_id", value=operation_id, expected=OPERATION_ID_PATTERN.pattern
            )
        PendingCommit(self, transaction, callback).send()

    def post(self, path: str, value: Any, on_response: Callable[[HttpResult], None]) -> None:
        """Send a JSON value."""
        body = msgspec.json.encode(value)
        self.http.request(self.address, "POST", path, JSON_HEADERS, body, self.timeout_seconds, on_response)

    def get(self, path: str, on_response: Callable[[HttpResult], None]) -> None:
        """Ask for a JSON value."""
        self.http.request(self.address, "GET", path, {}, b"", self.timeout_seconds, on_response)


def decode_ok_response(decoder: msgspec.json.Decoder, result: HttpResult) -> Any:
    """Return the decoded body of an answer with status 200, or None."""
    if isinstance(result, Failure) or result.unwrap().status != OK:
        return None
    return decode_or_none(decoder, result.unwrap().body)


class PendingCommit:
    """A transaction under way.

    Attributes
    ----------
    resolve_until : float or None
        Monotonic time at which an unknown outcome is given up; None while nothing was lost.
    """

    __slots__ = ("callback", "resolve_deadline", "table", "transaction")

    def __init__(self, table: TableClient, transaction: Transaction, callback: CommitCallback) -> None:
        self.table = table
        self.transaction = transaction
        self.callback = callback
        self.resolve_deadline: float | None = None

    def send(self) -> None:
        """Send the transaction; again is safe, since the store knows the operation id."""
        self.table.post("/v1/transact", self.transaction, self.on_transact_response)

    def on_transact_response(self, result: HttpResult) -> None:
        """Report a definite answer; otherwise read the operation back."""
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
        """Report a commit that was never sent; read back one that may have been applied."""
        if failure.bytes_sent or self.resolve_deadline is not None:
            self.resolve()
            return
        reason = "refused" if failure.kind is FailureKind.REFUSED else "not_sent"
        self.callback(Failure(StoreUnavailable(operation="commit", reason=reason)))

    def resolve(self) -> None:
        """Read the operation back after a pause, until the limit."""
        now = self.table.app.clock.monotonic()
        if self.resolve_deadline is None:
            self.resolve_deadline = now + self.table.resolve_timeout_seconds
            self.read_back()
        elif now >= self.resolve_deadline:
            self.callback(Failure(StoreUnavailable(operation="commit", reason="unknown")))
        else:
            self.table.app.scheduler.call_later(READ_BACK_INTERVAL_SECONDS, self.read_back)

    def read_back(self) -> None:
        """Ask the store for the state of the operation."""
        operation_id = quote(self.transaction.operation_id, safe="")
        self.table.get(f"/v1/operations/{operation_id}", self.on_operation_state)

    def on_operation_state(self, result: HttpResult) -> None:
        """Report a known outcome; send an absent transaction again."""
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
            # The first request may still be under way; the store applies only one of the two.
            self.send()


def transaction_outcome(response: HttpResponse) -> Result[int, HibiscusdrumError] | None:
    """Return the definite outcome that an answer reports, or None."""
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
