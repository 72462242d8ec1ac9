"""A caller process: sends requests at a fixed rate and records what it was told of each.

Run as ``python -m tests.history.workload FILE``; the file holds a ``Load``. Each outcome is appended to the
record file as one JSON line. SIGTERM ends the sending; the outcomes of open requests are still recorded. A
non-idempotent request of unknown outcome is repeated once with its id, as callers that retry do.
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
from tests.history.records import digest

POLL_SECONDS = 0.002
# Repetitions of a request whose outcome is unknown.
RETRIES = 1


class Driver:
    """Sends the requests of one load and writes their outcomes."""

    __slots__ = ("caller", "file", "load", "open", "random", "until")

    def __init__(self, load: Load) -> None:
        self.load = load
        self.random = random.Random(load.seed)
        self.caller = Caller(seeds=load.seeds, region=load.region, seed=load.seed)
        self.open = 0
        self.until = 0.0
        self.file = os.open(load.record, os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    def run(self) -> None:
        """Send until the time is up, then wait for the last outcomes."""
        began = time.monotonic()
        self.until = began + self.load.seconds
        signal.signal(signal.SIGTERM, self.stop)
        sent = 0
        while (now := time.monotonic()) < self.until or self.open:
            due = int((min(now, self.until) - began) * self.load.rate)
            while sent < due:
                self.start(sent)
                sent += 1
            self.caller.poll(POLL_SECONDS)

    def stop(self, *_signal: object) -> None:
        """Send nothing more."""
        self.until = time.monotonic()

    def start(self, number: int) -> None:
        """Send one request."""
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
        self.open += 1
        self.send(request, marker, time.monotonic())

    def send(self, request: Request, marker: str, invoked: float) -> None:
        """Send a request; its outcome is written, or it is repeated."""
        self.caller.submit(request, lambda result: self.complete(request, marker, invoked, result))

    def complete(self, request: Request, marker: str, invoked: float, result: Result) -> None:
        """Write the outcome, or repeat a request whose outcome is unknown."""
        unknown = not isinstance(result, Success) and not result.failure().not_run
        if unknown and not request.idempotent and request.attempt <= RETRIES:
            again = msgspec.structs.replace(request, attempt=request.attempt + 1)
            self.send(again, marker, invoked)
            return
        self.open -= 1
        record = self.record(request, marker, invoked, result)
        os.write(self.file, msgspec.json.encode(record) + b"\n")

    def record(self, request: Request, marker: str, invoked: float, result: Result) -> Operation:
        """Return what is known of a request after its last attempt."""
        values = {}
        if isinstance(result, Success):
            answer = result.unwrap()
            values = {
                "outcome": "ok",
                "target": answer.target,
                "epoch": answer.epoch,
                "answer": digest(answer.body),
                "length": len(answer.body),
            }
        else:
            error = result.failure()
            # "Not run" speaks of the last attempt; an earlier one may have run.
            certain = error.not_run and request.attempt == 1
            values = {"outcome": "not_run" if certain else "unknown", "error": error.code}
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
    Driver(msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Load)).run()
