"""Stand-in of the platform's metadata store: rows, conditional transactions and the feed of changes.

Each machine reaches it at an address of its own, so that faults can be limited to one machine.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import time
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs

from standins.http import Message, encode_answer, read_message

MAX_PAGE_ROWS = 500
RowId = tuple[str, str, str]
# Gets the machine and a transaction. Returns how many seconds later it is done, without an answer; or None.
DelayRule = Callable[[str, dict[str, Any]], "float | None"]


class Store:
    """Rows by table, part and key; nothing that was acknowledged is lost.

    Attributes
    ----------
    delay_rule : callable
        Decides which transactions are done late and not answered.
    on_transaction : callable
        Called with the machine, the transaction, its outcome and whether it was late.
    """

    def __init__(self) -> None:
        self.rows: dict[RowId, tuple[int, str | None]] = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.delay_rule: DelayRule = lambda _machine, _transaction: None
        self.on_transaction: Callable[[str, dict[str, Any], int, bool], None] = lambda *_args: None
        self.servers: list[asyncio.Server] = []

    async def listen(self, machine: str, host: str, port: int) -> None:
        """Listen at the address that a machine uses."""
        server = await asyncio.start_server(lambda r, w: self.serve(machine, r, w), host, port, limit=1 << 21)
        self.servers.append(server)

    async def serve(self, machine: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        try:
            while (message := await read_message(reader)) is not None and message.complete:
                answer = await self.handle(machine, message)
                if answer is None:
                    # A connection on which an answer is lost delivers nothing further.
                    await asyncio.sleep(3600)
                status, value = answer
                writer.write(encode_answer(status, {"content-type": "application/json"}, encode(value)))
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    def handle(self, machine: str, message: Message) -> Awaitable[tuple[int, dict[str, Any]] | None]:
        """Handle one call."""
        path, _, query = message.target.partition("?")
        parameters = {name: values[0] for name, values in parse_qs(query).items()}
        if path == "/rows-tx":
            return self.transact(machine, json.loads(message.body))
        if path == "/rows-get":
            return self.read(parameters)
        if path == "/rows-feed":
            return self.feed(parameters)
        return self.fail()

    async def fail(self) -> tuple[int, dict[str, Any]]:
        """Answer an unknown call."""
        return 404, {}

    async def transact(self, machine: str, transaction: dict[str, Any]) -> tuple[int, dict[str, Any]] | None:
        """Apply a transaction, possibly late."""
        delay = self.delay_rule(machine, transaction)
        if delay is not None:
            asyncio.get_running_loop().call_later(delay, self.apply, machine, transaction, True)
            return None
        await asyncio.sleep(0.003)
        return self.apply(machine, transaction, False)

    def apply(self, machine: str, transaction: dict[str, Any], late: bool) -> tuple[int, dict[str, Any]]:
        """Apply a transaction if its rows have the expected versions."""
        expected = [(row_id(row), row["ver"]) for row in transaction.get("expect", ())]
        if any(self.version_of(name) != version for name, version in expected):
            records = [self.record(name) for name, _ in expected if self.version_of(name)]
            self.on_transaction(machine, transaction, 412, late)
            return 412, self.answer({"records": records})
        self.version += 1
        for row in transaction.get("write", ()):
            self.rows[row_id(row)] = (self.version, row["value"])
        for row in transaction.get("delete", ()):
            if row_id(row) in self.rows:
                self.rows[row_id(row)] = (self.version, None)
        self.notify()
        self.on_transaction(machine, transaction, 200, late)
        return 200, self.answer({})

    def write_operator_row(self, key: str, value: Any) -> None:
        """Write a row of the table ``op``, as the operator does; None deletes it."""
        self.version += 1
        text = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
        self.rows["op", "", key] = (self.version, text)
        self.notify()

    def notify(self) -> None:
        """Wake the feeds."""
        self.changed.set()
        self.changed = asyncio.Event()

    def version_of(self, name: RowId) -> int:
        """Return the version of a row; 0 if it does not exist."""
        version, value = self.rows.get(name, (0, None))
        return version if value is not None else 0

    def record(self, name: RowId) -> dict[str, Any]:
        """Return a row as answers contain it."""
        version, value = self.rows[name]
        record = {"table": name[0], "part": name[1], "key": name[2], "ver": version}
        return record | ({"deleted": True} if value is None else {"value": value})

    def answer(self, value: dict[str, Any]) -> dict[str, Any]:
        """Return the body of an answer about rows."""
        return {**value, "ver": self.version, "serverTimeS": time.monotonic()}

    async def read(self, parameters: dict[str, str]) -> tuple[int, dict[str, Any]]:
        """Read a range of a table's part."""
        await asyncio.sleep(0.002)
        first, last = parameters.get("from", ""), parameters.get("to", "")
        limit = min(MAX_PAGE_ROWS, int(parameters.get("maxItems", MAX_PAGE_ROWS)))
        names = sorted(
            name
            for name, (_, value) in self.rows.items()
            if name[:2] == (parameters["table"], parameters.get("part", ""))
            and value is not None
            and name[2] >= first
            and (not last or name[2] < last)
        )
        records = [self.record(name) for name in names[:limit]]
        return 200, self.answer({"records": records, "hasMore": len(names) > limit})

    async def feed(self, parameters: dict[str, str]) -> tuple[int, dict[str, Any]]:
        """Wait for changes of a table after a version."""
        end = time.monotonic() + min(30.0, int(parameters.get("blockMs", "0")) / 1000)
        after = int(parameters["after"])
        while True:
            names = [
                name
                for name, (version, _) in self.rows.items()
                if name[0] == parameters["table"] and version > after
            ]
            if names or time.monotonic() >= end:
                names.sort(key=lambda name: self.rows[name][0])
                return 200, self.answer({"records": [self.record(name) for name in names]})
            changed = self.changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), max(0.001, end - time.monotonic()))


def row_id(row: dict[str, Any]) -> RowId:
    """Return the name of a row in a transaction."""
    return row["table"], row.get("part", ""), row["key"]


def encode(value: dict[str, Any]) -> bytes:
    """Return JSON."""
    return json.dumps(value).encode()
