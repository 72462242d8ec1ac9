"""Stand-in of the platform's store by its published calls, with outages, late writes and partial refusals.

``POST /faults`` sets the faults: ``down`` (addresses of callers, or ``*``), ``silent``, ``late`` and ``lost``
(shares of writes), ``slow`` (seconds for each answer).
"""

from __future__ import annotations

import argparse
import base64
import random
import time
from typing import Any
from urllib.parse import parse_qs

import msgspec

from hibiscusdrum.internal.transport.entry_connection import EntryRequest
from hibiscusdrum.internal.transport.http_entry import HttpEntry
from tools.standins.web import run_services

HEADERS = [("content-type", "application/json")]
LARGEST_PAGE = 500


class Faults(msgspec.Struct):
    """Faults in force; shares are between 0 and 1, ``slow`` is in seconds."""

    down: bool = False
    silent: bool = False
    late: float = 0.0
    lost: float = 0.0
    slow: float = 0.0


class RowsStore(HttpEntry):
    """Rows in tables, conditional transactions, and waits for changes."""

    service_name = "rows_store"

    def __init__(self, address: str) -> None:
        super().__init__()
        self.address = address
        self.rows: dict[tuple[str, str], tuple[int, str | None]] = {}
        self.version = 0
        self.faults = Faults()
        self.rng = random.Random(1)
        self.waiting: list[tuple[float, str, int, EntryRequest]] = []

    def on_start(self) -> None:
        """Listen."""
        super().on_start()
        self.listen(self.address, self.on_call)
        self.app.scheduler.every(0.02, self.answer_waiting)

    def on_call(self, request: EntryRequest) -> None:
        """Answer one call, or fail as the faults say."""
        path, _, query = request.target.partition("?")
        if path == "/faults":
            self.faults = msgspec.json.decode(request.body, type=Faults)
            request.respond(200, HEADERS, b"{}")
        elif path.startswith("/operator/"):
            self.put(
                "op", path.removeprefix("/operator/"), request.body if request.method == b"PUT" else None
            )
            request.respond(200, HEADERS, b"{}")
        elif self.faults.silent:
            return
        elif self.faults.down:
            request.respond(503, HEADERS, b"{}")
        elif self.faults.slow:
            self.app.scheduler.call_later(self.faults.slow, lambda: self.serve(request, path, query))
        else:
            self.serve(request, path, query)

    def serve(self, request: EntryRequest, path: str, query: str) -> None:
        """Serve one call."""
        values = {name: entries[0] for name, entries in parse_qs(query).items()}
        if path == "/rows-tx":
            self.transact(request, msgspec.json.decode(request.body))
        elif path == "/rows-get":
            self.page(request, values)
        elif path == "/rows-feed":
            due = time.monotonic() + int(values.get("blockMs", "0")) / 1000
            self.waiting.append((due, values["table"], int(values["after"]), request))
            self.answer_waiting()
        else:
            request.respond(404, HEADERS, b"{}")

    def transact(self, request: EntryRequest, body: dict[str, Any]) -> None:
        """Apply a transaction now, later, or without an answer."""
        if self.rng.random() < self.faults.late:
            self.app.scheduler.call_later(self.rng.uniform(1.0, 6.0), lambda: self.apply(body))
            return
        version = self.apply(body)
        if self.rng.random() < self.faults.lost:
            return
        if version is None:
            request.respond(412, HEADERS, self.encode({"records": [], "ver": self.version}))
        else:
            request.respond(200, HEADERS, self.encode({"ver": version}))

    def apply(self, body: dict[str, Any]) -> int | None:
        """Apply a transaction if all its rows have the versions that it expects."""
        for row in body.get("expect", ()):
            version, value = self.rows.get((row["table"], row["key"]), (0, None))
            if (version if value is not None else 0) != row["ver"]:
                return None
        self.version += 1
        for row in body.get("write", ()):
            self.rows[row["table"], row["key"]] = (self.version, row["value"])
        for row in body.get("delete", ()):
            self.rows[row["table"], row["key"]] = (self.version, None)
        return self.version

    def put(self, table: str, key: str, body: bytes | None) -> None:
        """Write a row as the operator does; None deletes it."""
        self.version += 1
        value = base64.b64encode(body).decode() if body is not None else None
        self.rows[table, key] = (self.version, value)

    def page(self, request: EntryRequest, values: dict[str, str]) -> None:
        """Answer a read of a range of keys."""
        first, last = values.get("from", ""), values.get("to")
        limit = min(LARGEST_PAGE, int(values.get("maxItems", LARGEST_PAGE)))
        found = sorted(
            (key, version, value)
            for (table, key), (version, value) in self.rows.items()
            if table == values["table"] and value is not None and key >= first and (not last or key < last)
        )
        records = [{"key": key, "ver": version, "value": value} for key, version, value in found[:limit]]
        answer = {"records": records, "hasMore": len(found) > limit, "ver": self.version}
        request.respond(200, HEADERS, self.encode(answer))

    def answer_waiting(self) -> None:
        """Answer the waits for which there are changes, or whose time is over."""
        now = time.monotonic()
        waiting, self.waiting = self.waiting, []
        for due, table, after, request in waiting:
            changed = sorted(
                (version, key, value)
                for (name, key), (version, value) in self.rows.items()
                if name == table and version > after
            )
            if request.answered or self.faults.silent:
                continue
            if not changed and now < due and not self.faults.down:
                self.waiting.append((due, table, after, request))
                continue
            records = [
                {"key": key, "ver": version} | ({"deleted": True} if value is None else {"value": value})
                for version, key, value in changed
            ]
            request.respond(200, HEADERS, self.encode({"records": records, "ver": self.version}))

    def encode(self, answer: dict[str, Any]) -> bytes:
        """Return an answer with the store's clock."""
        return msgspec.json.encode({**answer, "serverTimeS": time.monotonic()})


def main() -> int:
    """Run the store."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    return run_services(RowsStore(parser.parse_args().address))


if __name__ == "__main__":
    raise SystemExit(main())
