"""Stand-in of an application instance: heartbeats, keys that it holds, and requests that it runs."""

from __future__ import annotations

import asyncio
import hashlib
import json
import os
import socket
import struct
import time
from collections.abc import Callable
from typing import Any

from standins.http import Message, encode_answer, encode_request, read_message

KEY_SPACE = 65_536
PREFIX = "x-hibiscusdrum-"
ACKNOWLEDGE_SECONDS = 1.0
MAX_ANSWER_BYTES = 4096
RELEASE_BEAT_SECONDS = 0.1


def signature_of(instance: str, attempt: str, body: bytes) -> str:
    """Return the signature that an instance puts on its answer to an attempt."""
    return hashlib.sha256(f"{instance} {attempt} ".encode() + body).hexdigest()[:24]


class Instance:
    """One incarnation of an instance.

    Attributes
    ----------
    fences : list of int
        Fencing token under which each key is held; 0 if it is not held.
    seen : list of int
        Greatest fencing token seen for each key.
    working : dict of int to int
        Number of requests that run, by key.
    answer : callable
        Writes the answer to a request that has run; may be replaced to garble answers.
    drops : bool
        Whether a request is dropped when its connection closes, as most instances do.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        host: str,
        port: int,
        control_port: int,
        record: Callable[..., None],
        slots: int = 9,
        queue: int = 4,
        max_connections: int = 74,
        work_s: float = 0.05,
        beat_s: float = 1.5,
        partitioned: bool = False,
        drops: bool = True,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.host = host
        self.port = port
        self.control_port = control_port
        self.record = record
        self.slots = slots
        self.queue = queue
        self.max_connections = max_connections
        self.work_s = work_s
        self.beat_s = beat_s
        self.partitioned = partitioned
        self.drops = drops
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.up = True
        self.fences = [0] * KEY_SPACE
        self.seen = [0] * KEY_SPACE
        self.hold_until = 0.0
        self.beat_answered_at = 0.0
        self.leaving: set[tuple[int, int, int]] = set()
        self.released: list[list[Any]] = []
        self.handing_over: list[list[Any]] = []
        self.working: dict[int, int] = {}
        self.running = 0
        self.waiting = 0
        self.resets = 0
        self.slot_free = asyncio.Semaphore(slots)
        self.connections: set[asyncio.StreamWriter] = set()
        self.answer: Callable[..., Any] = self.answer_plainly
        self.on_gained: Callable[[Instance, set[int]], None] = lambda _instance, _keys: None
        self.tasks: list[asyncio.Task] = []
        self.listener: socket.socket | None = None

    @property
    def address(self) -> str:
        """Address of the instance."""
        return f"{self.host}:{self.port}"

    def start(self) -> None:
        """Listen for requests, and send heartbeats."""
        self.listener = socket.create_server((self.host, self.port), backlog=256)
        self.listener.setblocking(False)
        asyncio.get_running_loop().add_reader(self.listener, self.accept)
        self.tasks.append(asyncio.create_task(self.send_heartbeats()))

    def crash(self) -> None:
        """End without a word; connections are reset."""
        self.up = False
        asyncio.get_running_loop().remove_reader(self.listener)
        self.listener.close()
        for task in self.tasks:
            task.cancel()
        for writer in list(self.connections):
            writer.transport.abort()

    # Requests

    def accept(self) -> None:
        """Accept connections; those beyond the limit, or made while the queue is full, are reset."""
        while True:
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                return
            full = self.running + self.waiting >= self.slots + self.queue
            if full or len(self.connections) >= self.max_connections:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.close()
                self.resets += 1
                self.record(
                    "connection_reset", instance=self.name, running=self.running, waiting=self.waiting
                )
                continue
            sock.setblocking(False)
            self.tasks.append(asyncio.create_task(self.serve(sock)))

    async def serve(self, sock: socket.socket) -> None:
        """Serve one connection, one request at a time."""
        reader, writer = await asyncio.open_connection(sock=sock, limit=1 << 21)
        self.connections.add(writer)
        try:
            while (message := await read_message(reader)) is not None and message.complete:
                work = asyncio.create_task(self.handle(message, writer))
                if self.drops:
                    await self.until_done_or_closed(work, reader)
                else:
                    await asyncio.shield(work)
                if work.cancelled() or not await work:
                    return
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def until_done_or_closed(self, work: asyncio.Task, reader: asyncio.StreamReader) -> None:
        """Wait for a request; it is dropped when its connection closes."""
        while not work.done():
            await asyncio.wait((work,), timeout=0.02)
            if reader.at_eof() and not work.done():
                work.cancel()
                await asyncio.wait((work,))

    async def handle(self, message: Message, writer: asyncio.StreamWriter) -> bool:
        """Run a request, or reject it; returns whether the connection is kept."""
        attempt = message.headers.get(PREFIX + "attempt-id", "")
        rejection = self.rejection(message, attempt)
        if rejection:
            headers = {PREFIX + "attempt-id": attempt, PREFIX + "not-executed": "1"}
            writer.write(encode_answer(rejection, headers))
            self.record("rejected", instance=self.name, attempt=attempt, status=rejection)
            return True
        received_at = time.monotonic()
        deadline = received_at + int(message.headers.get(PREFIX + "deadline-ms", "10000")) / 1000
        self.waiting += 1
        try:
            await self.slot_free.acquire()
        finally:
            self.waiting -= 1
        key = int(message.headers.get(PREFIX + "shard-key", "-1"))
        self.running += 1
        self.working[key] = self.working.get(key, 0) + 1
        fence = self.fences[key] if key >= 0 else 0
        self.record(
            "run",
            instance=self.name,
            attempt=attempt,
            method=message.method,
            path=message.target,
            key=key,
            fence=fence,
            body_bytes=len(message.body),
            caller=message.headers.get(PREFIX + "caller"),
        )
        try:
            await asyncio.sleep(min(self.work_s, max(0.0, deadline - time.monotonic())))
        finally:
            self.running -= 1
            self.working[key] -= 1
            self.slot_free.release()
        if not self.up:
            return False
        body = f"{self.name} {attempt} {message.target}".encode()
        self.record("ran", instance=self.name, attempt=attempt)
        return await self.answer(message, attempt, body, writer)

    def rejection(self, message: Message, attempt: str) -> int:
        """Return the status with which a request is rejected; 0 if it is run."""
        if not attempt:
            return 400
        expected = message.headers.get(PREFIX + "expect-instance")
        if expected is not None and expected != self.name:
            return 421
        key = int(message.headers.get(PREFIX + "shard-key", "-1"))
        if self.partitioned and (key < 0 or not self.holds(key)):
            return 421
        if self.running + self.waiting >= self.slots + self.queue:
            return 503
        return 0

    async def answer_plainly(
        self, message: Message, attempt: str, body: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request that has run; returns whether the connection is kept."""
        writer.write(encode_answer(200, self.answer_headers(attempt, body), body))
        return True

    def answer_headers(self, attempt: str, body: bytes) -> dict[str, str]:
        """Return the headers of an answer."""
        return {
            PREFIX + "attempt-id": attempt,
            PREFIX + "response-sig": signature_of(self.name, attempt, body),
            PREFIX + "load-report": f"{self.running},{self.waiting},{self.slots}",
        }

    # Keys

    def holds(self, key: int) -> bool:
        """Return whether the instance holds a key now."""
        return self.up and time.monotonic() < self.hold_until and self.fences[key] > 0

    def held_rows(self) -> list[list[int]]:
        """Return the rows [from, to, fence] that are held, or on which requests still run."""
        rows: list[list[int]] = []
        if time.monotonic() < self.hold_until:
            rows += rows_of(self.fences)
        rows += [list(row) for row in self.leaving]
        return rows

    async def send_heartbeats(self) -> None:
        """Send a heartbeat at intervals, and sooner while rows are to be reported as released."""
        due = time.monotonic()
        while self.up:
            await self.send_heartbeat()
            while due <= time.monotonic():
                due += self.beat_s
            wait = due - time.monotonic()
            if self.released or self.leaving:
                wait = min(wait, RELEASE_BEAT_SECONDS)
            await asyncio.sleep(wait)

    def next_heartbeat(self) -> dict[str, Any]:
        """Return the body of the next heartbeat."""
        self.seq += 1
        return {
            "addr": self.address,
            "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
            "status": {"state": self.state, "seq": self.seq, "warmupS_time": 0},
            "born": self.born,
            "holdCount": self.held_rows(),
            "released": list(self.released),
        }

    async def leave(self) -> bool:
        """Send the notice that the instance leaves; return whether it was acknowledged."""
        self.tasks[0].cancel()
        answer = await self.call("DELETE", {"born": self.born})
        return answer is not None and 200 <= answer.status < 300

    async def send_heartbeat(self) -> None:
        """Send one heartbeat, and take what its answer grants."""
        self.finish_leaving()
        sent_at = time.monotonic()
        body = self.next_heartbeat()
        released = body["released"]
        answer = await self.call("PUT", body)
        if answer is None or time.monotonic() - sent_at > ACKNOWLEDGE_SECONDS:
            return
        if not 200 <= answer.status < 300 or len(answer.body) > MAX_ANSWER_BYTES:
            return
        self.beat_answered_at = time.monotonic()
        self.released = [row for row in self.released if row not in released]
        value = json.loads(answer.body or b"{}")
        if "holdCount" in value:
            self.take(value["holdCount"], sent_at + value["holdS"])

    async def call(self, method: str, body: dict[str, Any]) -> Message | None:
        """Call the node of this machine; None if it does not answer in time."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.host, self.control_port), ACKNOWLEDGE_SECONDS
            )
        except (TimeoutError, OSError):
            return None
        try:
            headers = {"host": "control", "content-type": "application/json"}
            writer.write(
                encode_request(method, f"/instances/{self.name}", headers, json.dumps(body).encode())
            )
            return await asyncio.wait_for(read_message(reader), ACKNOWLEDGE_SECONDS)
        except (TimeoutError, OSError):
            return None
        finally:
            writer.close()

    def take(self, granted: list[list[Any]], until: float) -> None:
        """Hold what is granted, and release the rest."""
        now = time.monotonic()
        former = self.fences if now < self.hold_until else [0] * KEY_SPACE
        fences = [0] * KEY_SPACE
        for first, last, fence, _handover in granted:
            if max(self.seen[first : last + 1]) > fence:
                continue
            fences[first : last + 1] = [fence] * (last + 1 - first)
            self.seen[first : last + 1] = [fence] * (last + 1 - first)
        dropped = [former[key] if former[key] and not fences[key] else 0 for key in range(KEY_SPACE)]
        for first, last, fence in rows_of(dropped):
            self.leaving.add((first, last, fence))
        if fences != former:
            self.record("hold", instance=self.name, rows=len(rows_of(fences)), keys=sum(map(bool, fences)),
                        until=round(until - now, 3))  # fmt: skip
        gained = [key for key in range(KEY_SPACE) if fences[key] and not former[key]]
        self.fences, self.hold_until = fences, until
        self.finish_leaving()
        if gained:
            self.on_gained(self, set(gained))

    def finish_leaving(self) -> None:
        """Report rows as released once no request runs on them."""
        for row in list(self.leaving):
            busy = any(count for key, count in self.working.items() if count and row[0] <= key <= row[1])
            if not busy:
                self.leaving.discard(row)
                self.released.append([row[0], row[1], os.urandom(8).hex()])


def rows_of(fences: list[int]) -> list[list[int]]:
    """Return the rows [from, to, fence] of adjacent keys with the same fencing token."""
    rows: list[list[int]] = []
    start = 0
    for key in range(1, len(fences) + 1):
        if key == len(fences) or fences[key] != fences[start]:
            if fences[start]:
                rows.append([start, key - 1, fences[start]])
            start = key
    return rows
