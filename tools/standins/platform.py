"""Stand-in for the platform: a transactional table service and an object store over HTTP.

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
MODES = ("up", "down", "slow", "lose_reply")

# Status and JSON value, or the bytes of an object.
Answer = tuple[int, Any]
Routes = dict[tuple[str, str], Callable[[Request], Answer]]


class ReadRequest(msgspec.Struct, frozen=True):
    """Body of a read."""

    keys: tuple[str, ...]


class Fault(msgspec.Struct):
    """How the next requests fail; ``count`` and ``seconds`` bound the fault, 0 means no bound."""

    mode: str
    delay_ms: float = 0.0
    count: int = 0
    seconds: float = 0.0


class TableStore:
    """Rows with versions; a deleted row stays with value None and its deletion's version."""

    __slots__ = ("operations", "rows", "seq")

    def __init__(self) -> None:
        # In order of version, since each write inserts its row anew.
        self.rows: dict[str, tuple[int, Any]] = {}
        self.operations: dict[str, dict[str, Any]] = {}
        self.seq = 0

    def read(self, keys: tuple[str, ...]) -> list[dict[str, Any]]:
        """Return the rows that exist."""
        found = ((key, self.rows.get(key)) for key in keys)
        return [row_of(key, row) for key, row in found if row is not None and row[1] is not None]

    def changes(self, since: int) -> dict[str, Any]:
        """Return the rows written after ``since``, deleted ones included."""
        rows = []
        for key in reversed(self.rows):
            row = self.rows[key]
            if row[0] <= since:
                break
            rows.append(row_of(key, row))
        return {"seq": self.seq, "rows": rows[::-1]}

    def transact(self, transaction: Transaction) -> dict[str, Any]:
        """Apply a transaction, or return the first result of its operation."""
        known = self.operations.get(transaction.operation_id)
        if known is None:
            known = self.operations[transaction.operation_id] = self.apply(transaction)
        return known

    def apply(self, transaction: Transaction) -> dict[str, Any]:
        """Check the versions and write."""
        checks = transaction.checks.items()
        conflicts = [key for key, version in checks if self.version(key) != version]
        if conflicts:
            return {"state": "conflict", "keys": conflicts}
        self.seq += 1
        for key, value in transaction.puts.items():
            self.write(key, number_epoch(value, self.seq))
        for key in transaction.deletes:
            if key in self.rows:
                self.write(key, None)
        return {"state": "committed", "seq": self.seq}

    def version(self, key: str) -> int:
        """Return the version of a row, 0 when it is absent or deleted."""
        version, value = self.rows.get(key, (0, None))
        return 0 if value is None else version

    def write(self, key: str, value: Any) -> None:
        """Write a row as the newest."""
        self.rows.pop(key, None)
        self.rows[key] = (self.seq, value)


def row_of(key: str, row: tuple[int, Any]) -> dict[str, Any]:
    """Return the JSON form of a row."""
    return {"key": key, "version": row[0], "value": row[1]}


def number_epoch(value: Any, seq: int) -> Any:
    """Replace the placeholder in an ``epoch`` field."""
    if isinstance(value, dict) and value.get("epoch") == SEQUENCE_PLACEHOLDER:
        return {**value, "epoch": seq}
    return value


class PlatformStandIn(JsonServer):
    """Serves the table and the objects, and fails on demand.

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
        self.routes: Routes = {
            ("POST", "/v1/read"): self.read,
            ("GET", "/v1/changes"): self.changes,
            ("POST", "/v1/transact"): self.transact,
        }
        self.prefixes: Routes = {
            ("GET", OPERATIONS_PATH): self.operation,
            ("PUT", OBJECTS_PATH): self.put_object,
            ("GET", OBJECTS_PATH): self.get_object,
        }

    def handle_request(self, request: Request, reply: Response) -> None:
        """Serve the test controls at once and everything else under the fault in force."""
        if request.path == "/faults":
            self.send_json(reply, OK, self.set_fault(read_json(request, Fault)))
        elif request.path == "/counters":
            self.send_json(reply, OK, self.counters)
        else:
            self.serve_with_fault(request, reply, self.take_fault())

    def set_fault(self, fault: Fault) -> Fault:
        """Set the fault."""
        if fault.mode not in MODES:
            raise InvalidArgument(name="mode", value=fault.mode, expected=f"one of {MODES}")
        for name in ("delay_ms", "count", "seconds"):
            if getattr(fault, name) < 0:
                raise InvalidArgument(name=name, value=getattr(fault, name), expected="0 or more")
        self.fault = fault
        self.fault_until = self.app.clock.monotonic() + fault.seconds
        return fault

    def take_fault(self) -> Fault:
        """Return the fault for one request and count it."""
        fault = self.fault
        if fault.seconds and self.app.clock.monotonic() >= self.fault_until:
            fault = self.fault = Fault(mode="up")
        if fault.count:
            fault.count -= 1
            if not fault.count:
                self.fault = Fault(mode="up")
        return fault

    def serve_with_fault(self, request: Request, reply: Response, fault: Fault) -> None:
        """Serve a request, late or without an answer when the fault says so."""
        if fault.mode == "down":
            self.close_without_response(reply)
        elif fault.mode == "slow":
            delay = fault.delay_ms / MS_PER_SECOND
            self.app.scheduler.call_later(delay, lambda: self.respond(request, reply))
        elif fault.mode == "lose_reply":
            self.route(request)
            self.close_without_response(reply)
        else:
            self.respond(request, reply)

    def respond(self, request: Request, reply: Response) -> None:
        """Serve a request and answer it."""
        status, value = self.route(request)
        if isinstance(value, bytes):
            self.send_bytes(reply, status, value, "application/octet-stream")
        else:
            self.send_json(reply, status, value)

    def route(self, request: Request) -> Answer:
        """Call the handler of a path; a failure becomes its answer."""
        try:
            return self.find_route(request)(request)
        except HibiscusdrumError as error:
            return error.http_status, {"code": error.code, **error.values}

    def find_route(self, request: Request) -> Callable[[Request], Answer]:
        """Return the handler of a path."""
        exact = self.routes.get((request.method, request.path))
        if exact is not None:
            return exact
        for (method, prefix), serve_route in self.prefixes.items():
            if request.method == method and request.path.startswith(prefix):
                return serve_route
        raise NotFound(kind="path", name=request.path)

    def read(self, request: Request) -> Answer:
        """Answer a read."""
        self.counters["reads"] += 1
        return OK, {"rows": self.table.read(read_json(request, ReadRequest).keys)}

    def changes(self, request: Request) -> Answer:
        """Answer a read of changes."""
        self.counters["reads"] += 1
        text = parse_qs(request.qs).get("since", [""])[0]
        if not text.isdecimal():
            raise InvalidArgument(name="since", value=text, expected="a number of 0 or more")
        return OK, self.table.changes(int(text))

    def transact(self, request: Request) -> Answer:
        """Answer a transaction."""
        self.counters["writes"] += 1
        transaction = read_json(request, Transaction)
        if not transaction.operation_id:
            raise InvalidArgument(name="operation_id", value="", expected="a non-empty string")
        before = self.table.seq
        result = self.table.transact(transaction)
        self.counters["transactions"] += self.table.seq - before
        if result["state"] == "committed":
            return OK, {"seq": result["seq"]}
        return CONFLICT, {"keys": result["keys"]}

    def operation(self, request: Request) -> Answer:
        """Answer a read-back."""
        self.counters["reads"] += 1
        operation_id = unquote(request.path.removeprefix(OPERATIONS_PATH))
        return OK, self.table.operations.get(operation_id, {"state": "absent"})

    def put_object(self, request: Request) -> Answer:
        """Store an object."""
        self.counters["writes"] += 1
        body = self.objects[object_name(request)] = request.body.read()
        return OK, {"size": len(body)}

    def get_object(self, request: Request) -> Answer:
        """Return an object."""
        self.counters["reads"] += 1
        name = object_name(request)
        if name not in self.objects:
            raise NotFound(kind="object", name=name)
        return OK, self.objects[name]


def object_name(request: Request) -> str:
    """Return the name of the object that a request is about."""
    return unquote(request.path.removeprefix(OBJECTS_PATH))


def main(*, address: str = "127.0.0.1:7000") -> int:
    """Run the platform's stand-in.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on.
    """
    return run_services(PlatformStandIn(address))


if __name__ == "__main__":
    sys.exit(defopt.run(main))
