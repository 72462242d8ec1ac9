"""Caller process that sends requests at a fixed rate and records the outcome of each.

Run as ``python -m tests.history.workload FILE``; the file holds a ``Load`` in JSON. Each outcome is appended
to the record file as one JSON line. After SIGTERM no more requests are sent, but the outcomes of pending ones
are still recorded. A non-idempotent request of unknown outcome is retried once with the same identifier,
as real callers do.
"""

from __future__ import annotations

import os
import random
import signal
import sys
import time
from pathlib import Path

import msgspec
from returns.result import Result, Success

from hibiscusdrum import Caller, Request
from hibiscusdrum.internal.ownership.ids import new_request_id
from tests.history.model import Load, Operation
from tests.history.records import body_digest

POLL_SECONDS = 0.002
# Retries of a non-idempotent request whose outcome is unknown.
MAX_RETRIES = 1


class LoadGenerator:
    """Sends the requests of one load and records their outcomes."""

    __slots__ = ("caller", "file", "load", "pending", "random", "send_until")

    def __init__(self, load: Load) -> None:
        self.load = load
        self.random = random.Random(load.seed)
        self.caller = Caller(seeds=load.seeds, region=load.region, seed=load.seed)
        self.pending = 0
        self.send_until = 0.0
        self.file = os.open(load.record, os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    def run(self) -> None:
        """Send requests until the load ends, then wait for the pending outcomes."""
        started = time.monotonic()
        self.send_until = started + self.load.seconds
        signal.signal(signal.SIGTERM, self.stop)
        sent = 0
        while (now := time.monotonic()) < self.send_until or self.pending:
            due = int((min(now, self.send_until) - started) * self.load.rate)
            while sent < due:
                self.send_next(sent)
                sent += 1
            self.caller.poll(POLL_SECONDS)

    def stop(self, *_signal: object) -> None:
        """Stop sending new requests."""
        self.send_until = time.monotonic()

    def send_next(self, number: int) -> None:
        """Create and send the request with this sequence number."""
        load = self.load
        request_id = new_request_id(time.time())
        idempotent = self.random.random() >= load.non_idempotent
        marker = f"marker-{request_id.hex()}"
        request = Request(
            tenant=load.tenant,
            service=load.service,
            key=b"%s-key-%d" % (load.caller.encode(), number % load.keys),
            method="GET" if idempotent else "POST",
            path="/items",
            body=b"" if idempotent else marker.encode(),
            idempotent=idempotent,
            timeout=load.timeout,
            request_id=request_id,
        )
        self.pending += 1
        self.submit(request, marker, time.monotonic())

    def submit(self, request: Request, marker: str, invoked: float) -> None:
        """Submit an attempt of a request and handle its result."""
        self.caller.submit(request, lambda result: self.complete(request, marker, invoked, result))

    def complete(self, request: Request, marker: str, invoked: float, result: Result) -> None:
        """Record the outcome, or retry a non-idempotent request whose outcome is unknown."""
        unknown = not isinstance(result, Success) and not result.failure().not_run
        if unknown and not request.idempotent and request.attempt <= MAX_RETRIES:
            retry = msgspec.structs.replace(request, attempt=request.attempt + 1)
            self.submit(retry, marker, invoked)
            return
        self.pending -= 1
        record = self.record(request, marker, invoked, result)
        os.write(self.file, msgspec.json.encode(record) + b"\n")

    def record(self, request: Request, marker: str, invoked: float, result: Result) -> Operation:
        """Return the record of a request after its last attempt."""
        values = {}
        if isinstance(result, Success):
            answer = result.unwrap()
            values = {
                "outcome": "ok",
                "target": answer.target,
                "epoch": answer.epoch,
                "answer": body_digest(answer.body),
                "length": len(answer.body),
            }
        else:
            error = result.failure()
            # ``not_run`` covers only the last attempt; an earlier one may have been executed.
            certainly_not_run = error.not_run and request.attempt == 1
            values = {"outcome": "not_run" if certainly_not_run else "unknown", "error": error.code}
        return Operation(
            request_id=request.request_id.hex(),
            caller=self.load.caller,
            tenant=request.tenant,
            service=request.service,
            key=request.key,
            idempotent=request.idempotent,
            invoked=invoked,
            completed=time.monotonic(),
            markers=(marker, request.key.decode(), request.key.hex()),
            **values,
        )


if __name__ == "__main__":
    LoadGenerator(msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Load)).run()
