"""Stand-in of a target that reports to its daemon, holds keys as it is told, and records what it runs.

Faults are chosen by the path of a request: ``/.../slow`` takes 2 s, ``/.../lost`` runs without an answer,
``/.../garbled`` answers bytes that are no answer, ``/.../short`` ends its body early, ``/.../late`` sends an
answer to another request first, ``/.../full`` refuses, ``/.../lost-then-full`` loses the first answer to an
attempt and refuses it after that. The record is a line for each run and each change of
what it holds.
"""

from __future__ import annotations

import argparse
import os
import sys
import time
from typing import Any

import msgspec
from returns.result import Success

from hibiscusdrum.internal.transport.entry_connection import EntryRequest
from hibiscusdrum.internal.transport.http_client import HttpClient
from hibiscusdrum.internal.transport.http_entry import HttpEntry
from tools.standins.web import run_services

REPORT_SECONDS = 0.5
PREFIX = "x-hibiscusdrum-"
JSON = {"content-type": "application/json"}


class HoldingTarget(HttpEntry):
    """Serves requests and reports itself."""

    service_name = "holding_target"

    def __init__(self, options: argparse.Namespace) -> None:
        super().__init__()
        self.options = options
        self.id = f"i-{options.name}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.held: list[list[Any]] = []
        self.held_until = 0.0
        self.released: list[list[Any]] = []
        self.in_progress = 0
        self.draining = False
        self.lost: set[str] = set()

    def on_start(self) -> None:
        """Listen and report."""
        super().on_start()
        self.http: HttpClient = self.app.find("http_client")
        self.listen(self.options.address, self.on_request)
        self.app.scheduler.every(REPORT_SECONDS, self.report)
        self.report()

    def report(self) -> None:
        """Send a heartbeat."""
        self.sequence += 1
        now = time.monotonic()
        held = [row[:3] for row in self.held] if now < self.held_until else []
        body = {
            "addr": self.options.address,
            "born": self.born,
            "info": {
                "service": self.options.service,
                "version": "v1",
                "zone": "",
                "slots": self.options.slots,
            },
            "status": {
                "state": "draining" if self.draining else "ready",
                "seq": self.sequence,
                "warmupS_time": 0,
            },
            "holdCount": held,
            "released": self.released,
        }
        path = f"/instances/{self.id}"
        data = msgspec.json.encode(body)
        self.http.request(
            self.options.control, "PUT", path, JSON, data, 1.0, lambda result: self.on_grant(now, result)
        )

    def on_grant(self, sent_at: float, result: Any) -> None:
        """Hold what the answer to a heartbeat says."""
        if not isinstance(result, Success) or result.unwrap().status != 200:
            return
        answer = msgspec.json.decode(result.unwrap().body)
        if "holdCount" not in answer:
            return
        kept = answer["holdCount"]
        bounds = {(row[0], row[1]) for row in kept}
        self.released = [
            [first, last, os.urandom(8).hex()] for first, last, *_ in self.held if (first, last) not in bounds
        ]
        if kept != self.held:
            self.record("hold", rows=[row[:3] for row in kept], until=round(sent_at + answer["holdS"], 3))
        self.held = kept
        self.held_until = sent_at + answer["holdS"] * 1.02
        self.record("until", until=round(self.held_until, 3))
        if self.released:
            self.app.scheduler.call_later(0.1, self.report)

    def record(self, event: str, **fields: Any) -> None:
        """Write a line of the record."""
        line = {
            "at": round(time.monotonic(), 4),
            "target": self.id,
            "born": self.born,
            "event": event,
            **fields,
        }
        sys.stdout.write(msgspec.json.encode(line).decode() + "\n")
        sys.stdout.flush()

    def on_request(self, request: EntryRequest) -> None:
        """Run a request, refuse it, or fail as its path says."""
        path = request.target.partition("?")[0]
        attempt = request.header(PREFIX + "attempt-id") or ""
        headers = [(PREFIX + "attempt-id", attempt)]
        if path == "/drain":
            self.draining = True
            request.respond(200, [], b"")
            return
        if request.header(PREFIX + "expect-instance") != self.id or not self.holds(request):
            request.respond(421, [*headers, (PREFIX + "not-executed", "1")])
            return
        if path.endswith("/lost-then-full"):
            path = path[: -len("-then-full")] if attempt not in self.lost else "/full"
            self.lost.add(attempt)
        if path.endswith("/full") or self.in_progress >= self.options.slots + 4:
            request.respond(503, [*headers, (PREFIX + "not-executed", "1")])
            return
        self.in_progress += 1
        fault = path.rpartition("/")[2]
        self.record(
            "run", id=attempt, path=request.target, method=request.method.decode(), body=len(request.body),
            caller=request.header(PREFIX + "caller"), deadline=request.header(PREFIX + "deadline-ms"),
        )  # fmt: skip
        seconds = 2.0 if fault == "slow" else self.options.seconds
        self.app.scheduler.call_later(seconds, lambda: self.answer(request, headers, fault))

    def holds(self, request: EntryRequest) -> bool:
        """Return whether a request's key is held; a target of a shared service holds all."""
        key = request.header(PREFIX + "shard-key")
        if key is None or not self.options.partitioned:
            return True
        if time.monotonic() >= self.held_until:
            return False
        return any(first <= int(key) <= last for first, last, *_ in self.held)

    def answer(self, request: EntryRequest, headers: list[tuple[str, str]], fault: str) -> None:
        """Answer a request that ran."""
        self.in_progress -= 1
        body = f"{self.options.name} {request.target} {len(request.body)}".encode()
        signed = [*headers, (PREFIX + "response-sig", f"sig-{self.options.name}")]
        connection = request.connection
        if fault == "lost":
            self.close(connection)
        elif fault == "garbled":
            connection.write(b"%%% no answer %%%\r\n\r\n")
            self.close(connection)
        elif fault == "short":
            connection.write(
                b"HTTP/1.1 200 OK\r\nx-hibiscusdrum-response-sig: s\r\ncontent-length: 99\r\n\r\nab"
            )
            self.close(connection)
        else:
            if fault == "late":
                connection.write(
                    b"HTTP/1.1 200 OK\r\nx-hibiscusdrum-attempt-id: other\r\n"
                    b"x-hibiscusdrum-response-sig: s\r\ncontent-length: 5\r\n\r\nwrong"
                )
            request.respond(200, signed, body)


def main() -> int:
    """Run a target."""
    parser = argparse.ArgumentParser()
    for name in ("name", "service", "address", "control"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--slots", type=int, default=9)
    parser.add_argument("--seconds", type=float, default=0.01)
    parser.add_argument("--partitioned", action="store_true")
    return run_services(HttpClient(), HoldingTarget(parser.parse_args()))


if __name__ == "__main__":
    raise SystemExit(main())
