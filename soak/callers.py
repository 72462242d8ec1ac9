"""Client threads that reuse their connections, never retry, and record each answer."""

from __future__ import annotations

import http.client
import itertools
import random
import threading
import time

import msgspec

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
ATTEMPT_NUMBERS = itertools.count()


class RequestRecord(msgspec.Struct):
    """A request and its answer; status 0 means that the connection closed before an answer arrived."""

    attempt: str
    vm: str
    path: str
    non_idempotent: bool
    body_bytes: int
    started_at: float
    ended_at: float = 0.0
    status: int = 0
    signature: str = ""
    body: bytes = b""


class CallerThread(threading.Thread):
    """Sends requests of random kinds to the router of one VM, one at a time, until it is stopped."""

    def __init__(self, vm, seed: int) -> None:
        super().__init__(daemon=True)
        self.vm = vm
        self.rng = random.Random(seed)
        self.requests: list[RequestRecord] = []
        self.stopping = False
        self.connection: http.client.HTTPConnection | None = None

    def run(self) -> None:
        """Send requests with random pauses between them until stopped."""
        while not self.stopping:
            self.send_request()
            time.sleep(MEAN_PAUSE_SECONDS * self.rng.random() * 2)

    def send_request(self) -> None:
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
        headers = {
            "host": host,
            HEADER_PREFIX + "attempt-id": attempt,
            HEADER_PREFIX + "deadline-ms": str(DEADLINE_MS),
        }
        if kind < 2:
            headers[HEADER_PREFIX + "shard-key"] = str(self.rng.randrange(65_536))
        try:
            if self.connection is None:
                self.connection = http.client.HTTPConnection(
                    self.vm.address(1), timeout=DEADLINE_MS / 1000 + 1.0
                )
            self.connection.request("POST" if non_idempotent else "GET", path, body, headers)
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

    def stop_and_join(self) -> None:
        """Stop sending, and wait until the current request has ended."""
        self.stopping = True
        self.join(DEADLINE_MS / 1000 + 3.0)
