"""HTTP stand-in for the platform: a transactional table service and an object store.

Run as ``python -m tools.standins.platform --address 127.0.0.1:7000``.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, unquote

import defopt
import msgspec
from circuits.web.wrappers import Request, Response

from hibiscusdrum.errors import HibiscusdrumError, InvalidArgument, NotFound
from hibiscusdrum.internal.platform.table import SEQUENCE_PLACEHOLDER, Transaction
from tools.standins.web import OK, JsonServer, read_json, run_services

CONFLICT = 409
OPERATIONS_PATH = "/v1/operations/"
OBJECTS_PATH = "/v1/objects/"
MS_PER_SECOND = 1000
FAULT_MODES = ("up", "down", "slow", "lose_reply")

# HTTP status, and either a value to encode as JSON or the bytes of an object.
HandlerResult = tuple[int, Any]
HandlerTable = dict[tuple[str, str], Callable[[Request], HandlerResult]]


class ReadRequest(msgspec.Struct, frozen=True):
    """Body of a request that reads rows by key."""

    keys: tuple[str, ...]


class Fault(msgspec.Struct):
    """Fault to inject into the following requests, as decoded from the body of ``POST /faults``.

    Attributes
    ----------
    mode : str
        One of ``FAULT_MODES``: ``up`` serves normally, ``down`` closes the connection, ``slow`` serves late,
        ``lose_reply`` serves the request and closes the connection without a response.
    delay_ms : float
        Delay of each request in mode ``slow``.
    count : int
        Number of requests that the fault affects; 0 for no limit.
    seconds : float
        Duration of the fault; 0 for no limit.
    """

    mode: str
    delay_ms: float = 0.0
    count: int = 0
    seconds: float = 0.0


class TableStore:
    """Versioned rows in memory; a deleted row stays with the value None and the version of its deletion."""

    __slots__ = ("operations", "rows", "seq")

    def __init__(self) -> None:
        # Ordered by version, because each write removes its row and inserts it at the end.
        self.rows: dict[str, tuple[int, Any]] = {}
        self.operations: dict[str, dict[str, Any]] = {}
        self.seq = 0

    def read(self, keys: tuple[str, ...]) -> list[dict[str, Any]]:
        """Return the rows that exist."""
        candidates = ((key, self.rows.get(key)) for key in keys)
        return [encode_row(key, row) for key, row in candidates if row is not None and row[1] is not None]

    def changes(self, since: int) -> dict[str, Any]:
        """Return the rows written after ``since``, deleted ones included."""
        rows = []
        for key in reversed(self.rows):
            row = self.rows[key]
            if row[0] <= since:
                break
            rows.append(encode_row(key, row))
        return {"seq": self.seq, "rows": rows[::-1]}

    def transact(self, transaction: Transaction) -> dict[str, Any]:
        """Apply a transaction, or return the stored result if its operation id was seen before."""
        result = self.operations.get(transaction.operation_id)
        if result is None:
            result = self.operations[transaction.operation_id] = self.apply_transaction(transaction)
        return result

    def apply_transaction(self, transaction: Transaction) -> dict[str, Any]:
        """Apply a transaction if all rows that it checks have the expected versions."""
        checks = transaction.checks.items()
        conflicts = [key for key, version in checks if self.row_version(key) != version]
        if conflicts:
            return {"state": "conflict", "keys": conflicts}
        self.seq += 1
        for key, value in transaction.puts.items():
            self.write_row(key, fill_in_epoch(value, self.seq))
        for key in transaction.deletes:
            if key in self.rows:
                self.write_row(key, None)
        return {"state": "committed", "seq": self.seq}

    def row_version(self, key: str) -> int:
        """Return the version of a row, 0 when it is absent or deleted."""
        version, value = self.rows.get(key, (0, None))
        return 0 if value is None else version

    def write_row(self, key: str, value: Any) -> None:
        """Write a row with the current sequence number and move it to the end."""
        self.rows.pop(key, None)
        self.rows[key] = (self.seq, value)


def encode_row(key: str, row: tuple[int, Any]) -> dict[str, Any]:
    """Return a row in the form that responses have."""
    return {"key": key, "version": row[0], "value": row[1]}


def fill_in_epoch(value: Any, seq: int) -> Any:
    """Replace the placeholder in a value's ``epoch`` field by the transaction's sequence number."""
    if isinstance(value, dict) and value.get("epoch") == SEQUENCE_PLACEHOLDER:
        return {**value, "epoch": seq}
    return value


class PlatformStandIn(JsonServer):
    """Serves the table and the object store over HTTP, with fault injection.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on.
    """

    def __init__(self, address: str) -> None:
        super().__init__("platform", address)
        self.table = TableStore()
        self.objects: dict[str, bytes] = {}
        self.fault = Fault(mode="up")
        self.fault_until = 0.0
        self.counters = {"reads": 0, "writes": 0, "transactions": 0}
        self.exact_routes: HandlerTable = {
            ("POST", "/v1/read"): self.read,
            ("GET", "/v1/changes"): self.changes,
            ("POST", "/v1/transact"): self.transact,
        }
        self.prefix_routes: HandlerTable = {
            ("GET", OPERATIONS_PATH): self.get_operation,
            ("PUT", OBJECTS_PATH): self.put_object,
            ("GET", OBJECTS_PATH): self.get_object,
        }

    def handle_request(self, request: Request, reply: Response) -> None:
        """Handle the test controls directly and all other requests under the active fault."""
        if request.path == "/faults":
            self.send_json(reply, OK, self.set_fault(read_json(request, Fault)))
        elif request.path == "/counters":
            self.send_json(reply, OK, self.counters)
        else:
            self.respond_with_fault(request, reply, self.consume_fault())

    def set_fault(self, fault: Fault) -> Fault:
        """Validate a fault and make it the active one."""
        if fault.mode not in FAULT_MODES:
            raise InvalidArgument(name="mode", value=fault.mode, expected=f"one of {FAULT_MODES}")
        for name in ("delay_ms", "count", "seconds"):
            if getattr(fault, name) < 0:
                raise InvalidArgument(name=name, value=getattr(fault, name), expected="0 or more")
        self.fault = fault
        self.fault_until = self.app.clock.monotonic() + fault.seconds
        return fault

    def consume_fault(self) -> Fault:
        """Return the fault for one request; it is reset once its count or duration is used up."""
        fault = self.fault
        if fault.seconds and self.app.clock.monotonic() >= self.fault_until:
            fault = self.fault = Fault(mode="up")
        if fault.count:
            fault.count -= 1
            if not fault.count:
                self.fault = Fault(mode="up")
        return fault

    def respond_with_fault(self, request: Request, reply: Response, fault: Fault) -> None:
        """Handle a request as the fault's mode requires."""
        if fault.mode == "down":
            self.close_without_response(reply)
        elif fault.mode == "slow":
            delay = fault.delay_ms / MS_PER_SECOND
            self.app.scheduler.call_later(delay, lambda: self.handle_and_respond(request, reply))
        elif fault.mode == "lose_reply":
            self.route(request)
            self.close_without_response(reply)
        else:
            self.handle_and_respond(request, reply)

    def handle_and_respond(self, request: Request, reply: Response) -> None:
        """Handle a request and send the response."""
        status, value = self.route(request)
        if isinstance(value, bytes):
            self.send_bytes(reply, status, value, "application/octet-stream")
        else:
            self.send_json(reply, status, value)

    def route(self, request: Request) -> HandlerResult:
        """Call the handler of a request and convert its errors to error responses."""
        try:
            return self.find_handler(request)(request)
        except HibiscusdrumError as error:
            return error.http_status, {"code": error.code, **error.values}

    def find_handler(self, request: Request) -> Callable[[Request], HandlerResult]:
        """Return the handler for a request's method and path.

        Raises
        ------
        NotFound
            If there is none.
        """
        exact_handler = self.exact_routes.get((request.method, request.path))
        if exact_handler is not None:
            return exact_handler
        for (method, prefix), prefix_handler in self.prefix_routes.items():
            if request.method == method and request.path.startswith(prefix):
                return prefix_handler
        raise NotFound(kind="path", name=request.path)

    def read(self, request: Request) -> HandlerResult:
        """Return the existing rows among the requested keys."""
        self.counters["reads"] += 1
        return OK, {"rows": self.table.read(read_json(request, ReadRequest).keys)}

    def changes(self, request: Request) -> HandlerResult:
        """Return the rows changed since the sequence number in the query."""
        self.counters["reads"] += 1
        since = parse_qs(request.qs).get("since", [""])[0]
        if not since.isdecimal():
            raise InvalidArgument(name="since", value=since, expected="a number of 0 or more")
        return OK, self.table.changes(int(since))

    def transact(self, request: Request) -> HandlerResult:
        """Apply a transaction and return its sequence number, or the keys in conflict."""
        self.counters["writes"] += 1
        transaction = read_json(request, Transaction)
        if not transaction.operation_id:
            raise InvalidArgument(name="operation_id", value="", expected="a non-empty string")
        seq_before = self.table.seq
        result = self.table.transact(transaction)
        self.counters["transactions"] += self.table.seq - seq_before
        if result["state"] == "committed":
            return OK, {"seq": result["seq"]}
        return CONFLICT, {"keys": result["keys"]}

    def get_operation(self, request: Request) -> HandlerResult:
        """Return the result of an operation, so that a client can resolve a lost response."""
        self.counters["reads"] += 1
        operation_id = unquote(request.path.removeprefix(OPERATIONS_PATH))
        return OK, self.table.operations.get(operation_id, {"state": "absent"})

    def put_object(self, request: Request) -> HandlerResult:
        """Store an object."""
        self.counters["writes"] += 1
        body = self.objects[requested_object_name(request)] = request.body.read()
        return OK, {"size": len(body)}

    def get_object(self, request: Request) -> HandlerResult:
        """Return an object."""
        self.counters["reads"] += 1
        name = requested_object_name(request)
        if name not in self.objects:
            raise NotFound(kind="object", name=name)
        return OK, self.objects[name]


def requested_object_name(request: Request) -> str:
    """Return the object name in a request's path."""
    return unquote(request.path.removeprefix(OBJECTS_PATH))


def main(*, address: str = "127.0.0.1:7000") -> int:
    """Run the platform stand-in until a signal arrives.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on.
    """
    return run_services(PlatformStandIn(address))


if __name__ == "__main__":
    sys.exit(defopt.run(main))
