"""Stand-in of an application instance, as PROTOCOL.md describes it; standard library only.

It sends heartbeats to the control address of its machine, and runs each request for a fixed time. What it
does is written to standard output, one JSON object a line.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import sys
import time

PREFIX = "x-hibiscusdrum-"
READ_BYTES = 262_144
HEARTBEAT_TIMEOUT_SECONDS = 1.0


class Instance:
    """An instance with some slots; more requests than slots and queue are refused as not executed."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.identity = f"i-{options.name}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.slots = asyncio.Semaphore(options.slots)
        self.present = 0

    def write(self, event: str, **fields: object) -> None:
        """Write an event to standard output."""
        line = {"at": round(time.monotonic(), 4), "instance": self.identity, "event": event, **fields}
        sys.stdout.write(json.dumps(line) + "\n")
        sys.stdout.flush()

    async def beat_forever(self) -> None:
        """Send a heartbeat at each interval."""
        while True:
            with contextlib.suppress(OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                await asyncio.wait_for(self.beat(), HEARTBEAT_TIMEOUT_SECONDS)
            await asyncio.sleep(self.options.heartbeat)

    async def beat(self) -> None:
        """Send one heartbeat and read its answer."""
        self.sequence += 1
        body = json.dumps(
            {
                "addr": self.options.address,
                "born": self.born,
                "info": {
                    "service": self.options.service,
                    "version": "v1",
                    "zone": self.options.zone,
                    "slots": self.options.slots,
                },
                "status": {"state": "ready", "seq": self.sequence, "warmupS_time": 0},
            }
        ).encode()
        host, port = self.options.control.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            head = (
                f"PUT /instances/{self.identity} HTTP/1.1\r\nHost: {self.options.control}\r\n"
                f"Content-Type: application/json\r\nConnection: close\r\nContent-Length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            await writer.drain()
            await reader.read(4096)
        finally:
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection, one at a time."""
        try:
            while await self.serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Read and answer one request; return whether the connection stays open."""
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, path, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                headers[name.strip().lower()] = value.strip()
        # The body is counted and dropped, so that this stand-in needs no memory for it.
        left = length = int(headers.get("content-length", "0"))
        while left:
            part = await reader.read(min(left, READ_BYTES))
            if not part:
                raise ValueError("the body ends early")
            left -= len(part)
        attempt = headers.get(PREFIX + "attempt-id", "")
        status, extra, body = 200, {}, b""
        if path == "/healthz":
            extra[PREFIX + "instance-id"] = self.identity
        elif headers.get(PREFIX + "expect-instance", self.identity) != self.identity:
            status, extra = 421, {PREFIX + "not-executed": "1"}
        elif self.present >= self.options.slots + self.options.queue:
            status, extra = 503, {PREFIX + "not-executed": "1"}
        else:
            self.present += 1
            try:
                async with self.slots:
                    self.write("run", id=attempt, method=method, path=path, bytes=length)
                    await asyncio.sleep(self.seconds_of(path))
                    if self.options.long_seconds:
                        self.write("end", id=attempt)
            finally:
                self.present -= 1
            body = f"{self.identity} {path} {length}".encode().ljust(self.options.answer_bytes, b".")
            extra = {PREFIX + "response-sig": f"{self.identity}.{attempt}.200"}
        fields = {PREFIX + "attempt-id": attempt, **extra, "content-length": str(len(body))}
        text = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"HTTP/1.1 {status} X\r\n{text}\r\n".encode("latin-1") + body)
        await writer.drain()
        return True

    def seconds_of(self, path: str) -> float:
        """Return for how long a request runs."""
        is_long = self.options.long_seconds and "/long" in path
        return self.options.long_seconds if is_long else self.options.seconds

    async def run(self) -> None:
        """Listen and send heartbeats until the process is ended."""
        host, port = self.options.address.split(":")
        server = await asyncio.start_server(self.serve, host, int(port), limit=READ_BYTES)
        self.write("listening", pid=os.getpid())
        async with server:
            await self.beat_forever()


def main() -> None:
    """Run an instance with the options of the command line."""
    parser = argparse.ArgumentParser()
    for name in ("name", "service", "zone", "address", "control"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--slots", type=int, default=9)
    parser.add_argument("--queue", type=int, default=36)
    parser.add_argument("--seconds", type=float, default=0.14)
    # Time for which requests run whose path contains "/long"; 0 if there are none.
    parser.add_argument("--long-seconds", type=float, default=0.0)
    parser.add_argument("--answer-bytes", type=int, default=0)
    parser.add_argument("--heartbeat", type=float, default=0.87)
    asyncio.run(Instance(parser.parse_args()).run())


if __name__ == "__main__":
    main()
