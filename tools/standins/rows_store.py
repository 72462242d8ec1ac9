"""HTTP stand-in for the platform's row store, with fault injection.

It implements the published calls of the store: conditional transactions, range reads and a change feed with
long polling. ``POST /faults`` replaces the injected faults; see `Faults` for the fields.
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

JSON_HEADERS = [("content-type", "application/json")]
MAX_PAGE_ROWS = 500


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
    """

    down: bool = False
    silent: bool = False
    late: float = 0.0
    lost: float = 0.0
    slow: float = 0.0


class RowsStore(HttpEntry):
    """Stores versioned rows by table and key in memory and serves them over HTTP.

    A deleted row stays with the value None and the version of its deletion, so that feeds report it.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on.
    """

    service_name = "rows_store"

    def __init__(self, address: str) -> None:
        super().__init__()
        self.address = address
        self.rows: dict[tuple[str, str], tuple[int, str | None]] = {}
        self.version = 0
        self.faults = Faults()
        self.rng = random.Random(1)
        self.pending_feeds: list[tuple[float, str, int, EntryRequest]] = []

    def on_start(self) -> None:
        """Start listening and checking the pending feeds."""
        super().on_start()
        self.listen(self.address, self.on_request)
        self.app.scheduler.every(0.02, self.answer_pending_feeds)

    def on_request(self, request: EntryRequest) -> None:
        """Handle the fault and operator paths, or pass a store call on under the injected faults."""
        path, _, query = request.target.partition("?")
        if path == "/faults":
            self.faults = msgspec.json.decode(request.body, type=Faults)
            request.respond(200, JSON_HEADERS, b"{}")
        elif path.startswith("/operator/"):
            self.write_row(
                "op", path.removeprefix("/operator/"), request.body if request.method == b"PUT" else None
            )
            request.respond(200, JSON_HEADERS, b"{}")
        elif self.faults.silent:
            return
        elif self.faults.down:
            request.respond(503, JSON_HEADERS, b"{}")
        elif self.faults.slow:
            self.app.scheduler.call_later(self.faults.slow, lambda: self.handle_call(request, path, query))
        else:
            self.handle_call(request, path, query)

    def handle_call(self, request: EntryRequest, path: str, query: str) -> None:
        """Handle one call of the store's interface."""
        parameters = {name: occurrences[0] for name, occurrences in parse_qs(query).items()}
        if path == "/rows-tx":
            self.transact(request, msgspec.json.decode(request.body))
        elif path == "/rows-get":
            self.read_range(request, parameters)
        elif path == "/rows-feed":
            deadline = time.monotonic() + int(parameters.get("blockMs", "0")) / 1000
            self.pending_feeds.append((deadline, parameters["table"], int(parameters["after"]), request))
            self.answer_pending_feeds()
        else:
            request.respond(404, JSON_HEADERS, b"{}")

    def transact(self, request: EntryRequest, transaction: dict[str, Any]) -> None:
        """Apply a transaction, late or without an answer if a fault is drawn for it."""
        if self.rng.random() < self.faults.late:
            self.app.scheduler.call_later(
                self.rng.uniform(1.0, 6.0), lambda: self.apply_transaction(transaction)
            )
            return
        version = self.apply_transaction(transaction)
        if self.rng.random() < self.faults.lost:
            return
        if version is None:
            request.respond(412, JSON_HEADERS, self.encode_response({"records": [], "ver": self.version}))
        else:
            request.respond(200, JSON_HEADERS, self.encode_response({"ver": version}))

    def apply_transaction(self, transaction: dict[str, Any]) -> int | None:
        """Apply a transaction and return its version, or None if a row lacks its expected version."""
        for row in transaction.get("expect", ()):
            version, value = self.rows.get((row["table"], row["key"]), (0, None))
            if (version if value is not None else 0) != row["ver"]:
                return None
        self.version += 1
        for row in transaction.get("write", ()):
            self.rows[row["table"], row["key"]] = (self.version, row["value"])
        for row in transaction.get("delete", ()):
            self.rows[row["table"], row["key"]] = (self.version, None)
        return self.version

    def write_row(self, table: str, key: str, body: bytes | None) -> None:
        """Write a row unconditionally, as an operator does; a body of None deletes it."""
        self.version += 1
        value = base64.b64encode(body).decode() if body is not None else None
        self.rows[table, key] = (self.version, value)

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
        request.respond(200, JSON_HEADERS, self.encode_response(response))

    def answer_pending_feeds(self) -> None:
        """Answer the feeds that have changes, have reached their deadline, or are cut short by an outage."""
        now = time.monotonic()
        feeds, self.pending_feeds = self.pending_feeds, []
        for deadline, table, after, request in feeds:
            changed = sorted(
                (version, key, value)
                for (name, key), (version, value) in self.rows.items()
                if name == table and version > after
            )
            if request.answered or self.faults.silent:
                continue
            if not changed and now < deadline and not self.faults.down:
                self.pending_feeds.append((deadline, table, after, request))
                continue
            records = [
                {"key": key, "ver": version} | ({"deleted": True} if value is None else {"value": value})
                for version, key, value in changed
            ]
            request.respond(
                200, JSON_HEADERS, self.encode_response({"records": records, "ver": self.version})
            )

    def encode_response(self, response: dict[str, Any]) -> bytes:
        """Encode a response as JSON and add the store's clock."""
        return msgspec.json.encode({**response, "serverTimeS": time.monotonic()})


def main() -> int:
    """Run the store stand-in until a signal arrives."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    return run_services(RowsStore(parser.parse_args().address))


if __name__ == "__main__":
    raise SystemExit(main())
