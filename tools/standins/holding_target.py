"""Target stand-in that sends heartbeats to its daemon and serves only the key ranges granted to it.

The last segment of a request's path selects a fault:

- ``slow``: the request takes 2 s.
- ``long``: the request takes 0.8 s.
- ``lost``: the request runs and the connection is closed without a response.
- ``garbled``: the response is not valid HTTP.
- ``short``: the connection is closed before the end of the response body.
- ``cut-head``: the connection is closed before the end of the response head.
- ``copy``: the response is sent once more, 50 ms later.
- ``late``: a response to another request is sent first.
- ``full``: the request is refused.
- ``full-copy``: the request is refused, and the refusal is sent once more, 50 ms later.
- ``endless``: the response has a body without a length and without end.
- ``endless-chunks``: the response has a body in chunks without end.
- ``tiny-chunks``: the same, in chunks of two bytes.
- ``large``: the response has a body of 4 MB.
- ``lost-then-full``: the first response to an attempt is lost; later requests with its id are refused.
- ``crash``: the process ends 10 ms after it began to run the request. A body that begins with ``crash`` does
  the same.

``POST /limit/RATE`` makes each response state a limit of RATE requests per second, ``POST /limit/none`` none,
and ``POST /leaving`` that the target leaves.

Each executed request, success, grant and statement is written to standard output as one JSON line.
"""

from __future__ import annotations

import argparse
import os
import sys
import time
from typing import Any

import msgspec
from returns.result import Success

from hibiscusdrum.internal.transport.entry_request import EntryRequest
from hibiscusdrum.internal.transport.http_client import HttpClient
from hibiscusdrum.internal.transport.http_entry import HttpEntry
from tools.standins.web import run_services

HEARTBEAT_INTERVAL_SECONDS = 0.5
HEADER_PREFIX = "x-hibiscusdrum-"
SLOW_SECONDS = 2.0
LONG_SECONDS = 0.8
COPY_DELAY_SECONDS = 0.05
CRASH_DELAY_SECONDS = 0.01
CRASH_EXIT_CODE = 70
LARGE_BODY = b"large " * 700_000
PART_BYTES = 262_144
PART_INTERVAL_SECONDS = 0.002
ENDLESS_PARTS = {
    "endless": (b"", b"b" * PART_BYTES),
    "endless-chunks": (b"transfer-encoding: chunked\r\n", (b"1000\r\n" + b"b" * 4_096 + b"\r\n") * 64),
    "tiny-chunks": (b"transfer-encoding: chunked\r\n", b"2\r\nbb\r\n" * 30_000),
}
JSON_HEADERS = {"content-type": "application/json"}


class HoldingTarget(HttpEntry):
    """Executes requests for its key ranges while its grant is valid.

    Parameters
    ----------
    options : argparse.Namespace
        Command-line options; see `main`.
    """

    service_name = "holding_target"

    def __init__(self, options: argparse.Namespace) -> None:
        super().__init__()
        self.options = options
        self.instance_id = f"i-{options.name}"
        self.started_at_ms = int(time.time() * 1000)
        self.heartbeat_sequence = 0
        self.granted_ranges: list[list[Any]] = []
        self.grant_expires_at = 0.0
        self.released_ranges: list[list[Any]] = []
        self.in_flight = 0
        self.draining = False
        self.statements: dict[str, str] = {}
        self.lost_attempts: set[str] = set()

    def on_start(self) -> None:
        """Start listening and sending heartbeats."""
        super().on_start()
        self.http_client: HttpClient = self.app.find("http_client")
        self.listen(self.options.address, self.on_request)
        self.app.scheduler.every(HEARTBEAT_INTERVAL_SECONDS, self.send_heartbeat)
        self.send_heartbeat()

    def send_heartbeat(self) -> None:
        """Send a heartbeat with the state, the key ranges held and the ranges released."""
        self.heartbeat_sequence += 1
        now = time.monotonic()
        ranges = [row[:3] for row in self.granted_ranges] if now < self.grant_expires_at else []
        body = {
            "addr": self.options.address,
            "born": self.started_at_ms,
            "info": {
                "service": self.options.service,
                "version": "v1",
                "zone": "here",
                "slots": self.options.slots,
            },
            "status": {
                "state": "draining" if self.draining else "ready",
                "seq": self.heartbeat_sequence,
                "warmupS_time": 0,
            },
            "holdCount": ranges,
            "released": self.released_ranges,
        }
        path = f"/instances/{self.instance_id}"
        data = msgspec.json.encode(body)
        self.http_client.request(
            self.options.control,
            "PUT",
            path,
            JSON_HEADERS,
            data,
            1.0,
            lambda result: self.on_heartbeat_response(now, result),
        )

    def on_heartbeat_response(self, sent_at: float, result: Any) -> None:
        """Replace the granted key ranges with those in the response to a heartbeat.

        The grant is counted from the time at which the heartbeat was sent.
        """
        if not isinstance(result, Success) or result.unwrap().status != 200:
            return
        response = msgspec.json.decode(result.unwrap().body)
        if "holdCount" not in response:
            return
        granted = response["holdCount"]
        granted_bounds = {(row[0], row[1]) for row in granted}
        self.released_ranges = [
            [first, last, os.urandom(8).hex()]
            for first, last, *_ in self.granted_ranges
            if (first, last) not in granted_bounds
        ]
        if granted != self.granted_ranges:
            self.write_event(
                "hold", rows=[row[:3] for row in granted], until=round(sent_at + response["holdS"], 3)
            )
        self.granted_ranges = granted
        self.grant_expires_at = sent_at + response["holdS"] * 1.02
        self.write_event("until", until=round(self.grant_expires_at, 3))
        if self.released_ranges:
            self.app.scheduler.call_later(0.1, self.send_heartbeat)

    def write_event(self, event: str, **fields: Any) -> None:
        """Write an event to standard output as one JSON line."""
        line = {
            "at": round(time.monotonic(), 4),
            "target": self.instance_id,
            "born": self.started_at_ms,
            "event": event,
            **fields,
        }
        sys.stdout.write(msgspec.json.encode(line).decode() + "\n")
        sys.stdout.flush()

    def on_request(self, request: EntryRequest) -> None:
        """Execute a request with the fault that its path selects, or refuse it."""
        path = request.target.partition("?")[0]
        attempt_id = request.header(HEADER_PREFIX + "attempt-id") or ""
        if request.method == b"POST" and self.on_control(path):
            request.respond(200, [], b"")
            return
        headers = [(HEADER_PREFIX + "attempt-id", attempt_id), *self.statements.items()]
        if request.header(HEADER_PREFIX + "expect-instance") != self.instance_id or not self.holds_key(
            request
        ):
            request.respond(421, [*headers, (HEADER_PREFIX + "not-executed", "1")])
            return
        if path.endswith("/lost-then-full"):
            path = path[: -len("-then-full")] if attempt_id not in self.lost_attempts else "/full"
            self.lost_attempts.add(attempt_id)
        if path.endswith(("/full", "/full-copy")) or self.in_flight >= self.options.slots + 4:
            request.respond(503, [*headers, (HEADER_PREFIX + "not-executed", "1")])
            if path.endswith("-copy"):
                self.send_copy(request)
            return
        self.in_flight += 1
        fault = path.rpartition("/")[2]
        self.write_event(
            "run", id=attempt_id, path=request.target, method=request.method.decode(), body=len(request.body),
            caller=request.header(HEADER_PREFIX + "caller"),
            deadline=request.header(HEADER_PREFIX + "deadline-ms"),
            tenant=request.header(HEADER_PREFIX + "tenant"), key=request.header(HEADER_PREFIX + "key"),
        )  # fmt: skip
        if fault == "crash" or request.body.startswith(b"crash"):
            self.app.scheduler.call_later(CRASH_DELAY_SECONDS, self.crash)
            return
        service_seconds = {"slow": SLOW_SECONDS, "long": LONG_SECONDS}.get(fault, self.options.seconds)
        self.app.scheduler.call_later(service_seconds, lambda: self.send_response(request, headers, fault))

    def crash(self) -> None:
        """End the process without an answer to anything."""
        self.write_event("killed")
        os._exit(CRASH_EXIT_CODE)

    def on_control(self, path: str) -> bool:
        """Change what the target states about itself; return whether the path names such a change."""
        if path == "/drain":
            self.draining = True
        elif path == "/leaving":
            self.statements["server-leaving"] = "1"
            self.write_event("leaving")
        elif path.startswith("/limit/"):
            rate = path.removeprefix("/limit/")
            self.statements.pop("server-limit", None)
            if rate != "none":
                self.statements["server-limit"] = rate
            self.write_event("limit", rate=float(rate) if rate != "none" else None)
        else:
            return False
        return True

    def send_copy(self, request: EntryRequest) -> None:
        """Send the response to a request once more, later."""
        response = request.encode_response(closes=False)
        self.app.scheduler.call_later(COPY_DELAY_SECONDS, lambda: request.connection.write(response))

    def send_endless(
        self, request: EntryRequest, headers: list[tuple[str, str]], framing: bytes, part: bytes
    ) -> None:
        """Send a response without end, as fast as the router takes it."""
        connection = request.connection
        named = b"".join(f"{name}: {value}\r\n".encode() for name, value in headers)
        signature = b"x-hibiscusdrum-response-sig: s\r\n"
        connection.write(b"HTTP/1.1 200 OK\r\n" + named + signature + framing + b"\r\n")

        def send_part() -> None:
            if connection.closed:
                return
            if len(connection.output_buffer) < PART_BYTES:
                connection.write(part)
            self.app.scheduler.call_later(PART_INTERVAL_SECONDS, send_part)

        send_part()

    def holds_key(self, request: EntryRequest) -> bool:
        """Return whether a request's key is in a granted range; an unpartitioned service has no ranges."""
        key = request.header(HEADER_PREFIX + "shard-key")
        if key is None or not self.options.partitioned:
            return True
        if time.monotonic() >= self.grant_expires_at:
            return False
        return any(first <= int(key) <= last for first, last, *_ in self.granted_ranges)

    def send_response(self, request: EntryRequest, headers: list[tuple[str, str]], fault: str) -> None:
        """Respond to an executed request, with the fault that its path selects."""
        self.in_flight -= 1
        body = f"{self.options.name} {request.target} {len(request.body)}".encode()
        signed_headers = [*headers, (HEADER_PREFIX + "response-sig", f"sig-{self.options.name}")]
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
        elif fault in ENDLESS_PARTS:
            self.send_endless(request, headers, *ENDLESS_PARTS[fault])
        elif fault == "large":
            self.write_event("success", id=request.header(HEADER_PREFIX + "attempt-id"))
            request.respond(200, signed_headers, LARGE_BODY)
        elif fault == "cut-head":
            connection.write(b"HTTP/1.1 200 OK\r\nx-hibiscusdrum-response-sig: s\r\ncontent-le")
            self.close(connection)
        else:
            if fault == "late":
                connection.write(
                    b"HTTP/1.1 200 OK\r\nx-hibiscusdrum-attempt-id: other\r\n"
                    b"x-hibiscusdrum-response-sig: s\r\ncontent-length: 5\r\n\r\nwrong"
                )
            self.write_event("success", id=request.header(HEADER_PREFIX + "attempt-id"))
            request.respond(200, signed_headers, body)
            if fault == "copy":
                self.send_copy(request)


def main() -> int:
    """Run the target stand-in until a signal arrives."""
    parser = argparse.ArgumentParser()
    for name in ("name", "service", "address", "control"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--slots", type=int, default=9)
    parser.add_argument("--seconds", type=float, default=0.01)
    parser.add_argument("--partitioned", action="store_true")
    return run_services(HttpClient(), HoldingTarget(parser.parse_args()))


if __name__ == "__main__":
    raise SystemExit(main())
