"""Threads of callers that reuse their connections, never retry, and record each answer."""

from __future__ import annotations

import http.client
import itertools
import random
import socket
import threading
import time
from collections import deque

import httptools
import msgspec
from tools.standins.holding_target import LARGE_BODY

HEADER_PREFIX = "x-hibiscusdrum-"
DEADLINE_MS = 2000
MEAN_PAUSE_SECONDS = 0.03
MAX_SMALL_BODY_BYTES = 4_000
# Large enough that a router only offers the body to the receiver, and sends it when the receiver asks for it.
MAX_LARGE_BODY_BYTES = 120_000
LARGE_BODY_SHARE = 0.2
# Faults of the target that a request's path asks for; see ``tools.standins.holding_target``.
TARGET_FAULTS = ("lost", "garbled", "short", "late", "full", "cut-head", "copy", "full-copy")
FAULT_SHARE = 0.08
MAX_PIPELINED_REQUESTS = 4
# Share of the pipelined reads that have a key.
PIPELINED_KEY_SHARE = 0.3
RECEIVE_BYTES = 65_536
# Lower statuses are those of interim responses.
FINAL_STATUS = 200
ATTEMPT_NUMBERS = itertools.count()


class RequestRecord(msgspec.Struct):
    """A request and its answer.

    Attributes
    ----------
    pipelined : bool
        Whether the request was sent on a connection before an earlier one had its answer.
    sent_at : float
        Monotonic time in seconds at which the request was sent completely; 0 if it was not.
    status : int
        Status of the answer; 0 means that the connection closed before an answer arrived.
    reading_seconds : float
        Time for which the caller read the answer, if it read slowly.
    """

    attempt: str
    vm: str
    path: str
    non_idempotent: bool
    body_bytes: int
    started_at: float
    pipelined: bool = False
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    signature: str = ""
    body: bytes = b""
    reading_seconds: float = 0.0


def request_headers(host: str, attempt: str, key: int | None) -> dict[str, str]:
    """Return the headers of a request; a request to a service that is not partitioned has no key."""
    headers = {
        "host": host,
        HEADER_PREFIX + "attempt-id": attempt,
        HEADER_PREFIX + "deadline-ms": str(DEADLINE_MS),
    }
    if key is not None:
        headers[HEADER_PREFIX + "shard-key"] = str(key)
    return headers


class Caller(threading.Thread):
    """Sends requests to the router of one VM until it is stopped; subclasses implement ``send``."""

    mean_pause_seconds = MEAN_PAUSE_SECONDS

    def __init__(self, vm, seed: float) -> None:
        super().__init__(daemon=True)
        self.vm = vm
        self.rng = random.Random(seed)
        self.requests: list[RequestRecord] = []
        self.stopping = False

    def run(self) -> None:
        """Send requests with random pauses between them until stopped."""
        while not self.stopping:
            self.send()
            time.sleep(self.mean_pause_seconds * self.rng.random() * 2)

    def send(self) -> None:
        """Send requests and record their answers."""
        raise NotImplementedError

    def stop_and_join(self) -> None:
        """Stop sending, and wait until the current requests have ended."""
        self.stopping = True
        self.join(DEADLINE_MS / 1000 + 3.0)


class SequentialCaller(Caller):
    """Sends requests of random kinds, one at a time."""

    def __init__(self, vm, seed: float) -> None:
        super().__init__(vm, seed)
        self.connection: http.client.HTTPConnection | None = None

    def send(self) -> None:
        """Send one random request, reusing the open connection if there is one, and record its answer."""
        kind = self.rng.randrange(4)
        host, path = ("keys.example", "/k/x") if kind < 2 else ("grants.example", "/g/x")
        if kind == 3:
            path = "/r/x"
        fault_draw = self.rng.random()
        if fault_draw < FAULT_SHARE:
            path = path[:3] + self.rng.choice(TARGET_FAULTS)
        non_idempotent = path.startswith("/g/")
        max_body_bytes = (
            MAX_LARGE_BODY_BYTES if self.rng.random() < LARGE_BODY_SHARE else MAX_SMALL_BODY_BYTES
        )
        body = b"b" * self.rng.randrange(max_body_bytes) if non_idempotent else None
        attempt = f"s{next(ATTEMPT_NUMBERS)}"
        record = RequestRecord(
            attempt, self.vm.name, path, non_idempotent, len(body or b""), time.monotonic()
        )
        headers = request_headers(host, attempt, self.rng.randrange(65_536) if kind < 2 else None)
        try:
            if self.connection is None:
                self.connection = http.client.HTTPConnection(
                    self.vm.address(1), timeout=DEADLINE_MS / 1000 + 1.0
                )
            self.connection.request("POST" if non_idempotent else "GET", path, body, headers)
            record.sent_at = time.monotonic()
            answer = self.connection.getresponse()
            record.status, record.signature = (
                answer.status,
                answer.getheader(HEADER_PREFIX + "response-sig", ""),
            )
            record.body = answer.read()
        except (OSError, http.client.HTTPException):
            self.connection = None
        record.ended_at = time.monotonic()
        self.requests.append(record)


class PipeliningCaller(Caller):
    """Sends several reads on its connection before it waits for the first answer."""

    mean_pause_seconds = 0.1

    def __init__(self, vm, seed: float) -> None:
        super().__init__(vm, seed)
        self.socket: socket.socket | None = None

    def send(self) -> None:
        """Send some reads at once, reusing the open connection if there is one, and record their answers."""
        records, heads = [], []
        for index in range(self.rng.randrange(2, MAX_PIPELINED_REQUESTS + 1)):
            keyed = self.rng.random() < PIPELINED_KEY_SHARE
            host, path = ("keys.example", "/k/x") if keyed else ("grants.example", "/r/x")
            attempt = f"s{next(ATTEMPT_NUMBERS)}"
            headers = request_headers(host, attempt, self.rng.randrange(65_536) if keyed else None)
            lines = [f"GET {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
            heads.append("\r\n".join(lines) + "\r\n\r\n")
            records.append(
                RequestRecord(attempt, self.vm.name, path, False, 0, time.monotonic(), pipelined=index > 0)
            )
        answers = PipelinedAnswers(records)
        try:
            if self.socket is None:
                host, _, port = self.vm.address(1).rpartition(":")
                self.socket = socket.create_connection((host, int(port)), DEADLINE_MS / 1000 + 1.0)
            self.socket.sendall("".join(heads).encode())
            sent_at = time.monotonic()
            for record in records:
                record.sent_at = sent_at
            while not answers.complete and (data := self.socket.recv(RECEIVE_BYTES)):
                answers.parser.feed_data(data)
        except (OSError, httptools.HttpParserError):
            answers.keep_alive = False
        if self.socket is not None and not (answers.complete and answers.keep_alive):
            self.socket.close()
            self.socket = None
        now = time.monotonic()
        for record in records:
            record.ended_at = record.ended_at or now
        self.requests += records


class PipelinedAnswers:
    """Enters the answers on a connection into the records of its requests, in their order.

    httptools calls the methods named ``on_``.
    """

    def __init__(self, records: list[RequestRecord]) -> None:
        self.waiting = deque(records)
        self.interim_count = 0
        self.keep_alive = True
        self.signature = ""
        self.body_parts: list[bytes] = []
        self.parser = httptools.HttpResponseParser(self)

    @property
    def complete(self) -> bool:
        """Whether all requests have their answers, or no more will follow."""
        return not (self.waiting and self.keep_alive)

    def on_message_begin(self) -> None:
        """Begin a new answer."""
        self.signature, self.body_parts = "", []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep the target's signature."""
        if name.decode().lower() == HEADER_PREFIX + "response-sig":
            self.signature = value.decode()

    def on_body(self, data: bytes) -> None:
        """Append to the body."""
        self.body_parts.append(data)

    def on_message_complete(self) -> None:
        """Enter the answer into the record of the oldest request without one; skip interim responses."""
        if self.parser.get_status_code() < FINAL_STATUS:
            self.interim_count += 1
            return
        self.keep_alive = self.parser.should_keep_alive()
        if self.waiting:
            record = self.waiting.popleft()
            record.status, record.signature = self.parser.get_status_code(), self.signature
            body = b"".join(self.body_parts)
            # Records share one copy of it.
            record.body = LARGE_BODY if body == LARGE_BODY else body
            record.ended_at = time.monotonic()
