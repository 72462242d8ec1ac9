"""A planned stop of a router on a narrow link cuts answers to its callers, behind those to another machine.

With ``TROUBLE=0`` the same requests are sent and the router is not stopped.
"""

from __future__ import annotations

import os
import signal
import socket
import sys
import tempfile
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1]))

from review.rig2.system import PREFIX, CannotRun, Machine, System, call  # noqa: E402

# The link of the machines of prensa, the largest download and its deadline on agcs-malla-grown.
LINK_MBPS = 10.0
ANSWER_BYTES = 540_000
DEADLINE_MS = 7_944
GRACE_SECONDS = 6.0
REMOTE = 12
# Clients of the stopped machine with the requests that each of them sends ahead.
LOCAL = (("a", 3), ("b", 2))
INSTANCE_SECONDS = 0.13
# The remote requests are sent this long before the local ones, and the stop begins this long after them.
LEAD_SECONDS = 0.3
STOP_AFTER_SECONDS = 0.5
# Segments of an Ethernet, in place of the 64 KiB of the loopback interface.
SEGMENT_BYTES = 1_460
# "Links have a delay, a bandwidth [...] and small windows" (DEPLOY.md).
WINDOW_BYTES = 32_768

ROUTES = {
    "columns": [
        "name", "host", "prefix", "kind", "timeoutS", "goalS", "priority", "service", "attempts",
        "allowedRegions", "backends",
    ],
    "records": [["pdf", "pdf.example", "/p/", "download", 8.0, 1.3, 2, "prensa", 2, [], None]],
}  # fmt: skip
SERVICES = {
    "columns": ["name", "healthPath", "maxConns", "warmupS", "warmupPerS", "partitioned"],
    "records": [
        ["prensa", "/healthz", 420, 3.0, 17.0, None],
        ["tablero", "/healthz", 420, 3.0, 17.0, None],
    ],
}
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15}


class Client:
    """A client that sends some requests ahead on one connection, and what it has received."""

    def __init__(self, machine: Machine, attempts: list[str]) -> None:
        self.machine = machine
        self.attempts = attempts
        self.sent_at = 0.0
        self.data = b""
        # Of each attempt: the time of its end, the bytes received and expected, and how it ended.
        self.outcomes: dict[str, tuple[float, int, int, str]] = {}

    def run(self) -> None:
        """Send the requests and read until all answers are complete or the connection ends."""
        host, port = self.machine.outbound.split(":")
        with socket.socket() as connection:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
            connection.settimeout(12.0)
            connection.connect((host, int(port)))
            heads = "".join(
                f"GET /p/{attempt} HTTP/1.1\r\nHost: pdf.example\r\n{PREFIX}attempt-id: {attempt}\r\n"
                f"{PREFIX}deadline-ms: {DEADLINE_MS}\r\n\r\n"
                for attempt in self.attempts
            )
            self.sent_at = time.monotonic()
            connection.sendall(heads.encode())
            for attempt in self.attempts:
                received, expected, outcome = self.read(connection)
                self.outcomes[attempt] = time.monotonic(), received, expected, outcome

    def receive(self, connection: socket.socket) -> bool:
        """Receive more bytes; return False at the end of the connection."""
        try:
            part = connection.recv(65_536)
        except OSError:
            part = b""
        self.data += part
        return bool(part)

    def read(self, connection: socket.socket) -> tuple[int, int, str]:
        """Read one answer; return the bytes of its body received and expected, and how it ended."""
        while b"\r\n\r\n" not in self.data:
            if not self.receive(connection):
                return 0, -1, "closed without an answer"
        head, _, self.data = self.data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines[1:])
        expected = int(fields["content-length"])
        while len(self.data) < expected:
            if not self.receive(connection):
                return len(self.data), expected, "closed within the answer"
        self.data = self.data[expected:]
        return expected, expected, f"complete, status {lines[0].split(' ')[1]}"

    def describe(self, stopped_at: float) -> list[str]:
        """Return a line for the record for each request."""
        return [
            f"{attempt} at {self.machine.name}: sent {self.sent_at - stopped_at:+.2f} s, ended "
            f"{ended_at - stopped_at:+.2f} s after the stop, {received} of {expected} bytes, {outcome}"
            for attempt, (ended_at, received, expected, outcome) in self.outcomes.items()
        ]


def play(system: System, record) -> int:
    """Run the case; return the exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    press, board = system.machines
    system.start_store()
    system.configure(3, ROUTES, SERVICES, LIMITS)
    system.start_router(press, {"limits.linkMbps": str(LINK_MBPS), "limits.memoryMb": "200"})
    system.start_router(board, {"limits.linkMbps": "100.0", "limits.memoryMb": "200"})
    system.start_instance(press, "--seconds", str(INSTANCE_SECONDS), "--answer-bytes", str(ANSWER_BYTES))
    system.start_instance(board)
    ready = {"host": "pdf.example", PREFIX + "deadline-ms": "4000", PREFIX + "attempt-id": "probe"}

    def serves(machine: Machine) -> bool:
        return call(machine.outbound, "GET", "/p/probe", b"", ready, 6.0)[0] == 200

    system.wait(lambda: serves(press) and serves(board), "downloads are served")
    time.sleep(4.0)
    remote = [Client(board, [f"remote-{number}"]) for number in range(REMOTE)]
    local = [Client(press, [f"local-{name}-{number}" for number in range(count)]) for name, count in LOCAL]
    threads = [threading.Thread(target=client.run) for client in (*remote, *local)]
    for thread in threads[:REMOTE]:
        thread.start()
    time.sleep(LEAD_SECONDS)
    for thread in threads[REMOTE:]:
        thread.start()
    time.sleep(STOP_AFTER_SECONDS)
    stopped_at = time.monotonic()
    if trouble:
        press.router.send_signal(signal.SIGTERM)
    for thread in threads:
        thread.join(15.0)
    if trouble:
        code = press.router.wait(GRACE_SECONDS)
        record(f"the router of {press.name} has ended with exit code {code}")
    for client in (*remote, *local):
        for line in client.describe(stopped_at):
            record(line)
    runs = {line["id"]: line["at"] for line in system.runs(press) if line["event"] == "run"}
    cut = 0
    for client in local:
        for attempt in client.attempts:
            if runs.get(attempt, stopped_at) >= stopped_at - INSTANCE_SECONDS:
                raise CannotRun(f"{attempt} was not answered by its instance before the stop")
            ended_at, _, _, outcome = client.outcomes[attempt]
            in_time = ended_at - client.sent_at < DEADLINE_MS / 1000.0
            cut += in_time and not outcome.startswith("complete")
    record(f"broken: {cut} answers were cut by the stop" if cut else "held")
    return int(bool(cut))


def main() -> int:
    """Run the case with a record beside this file."""
    with (HERE / "record.txt").open("w") as file, tempfile.TemporaryDirectory() as folder:

        def record(line: str) -> None:
            file.write(line + "\n")
            file.flush()
            print(line)

        machines = [
            Machine("sidecar-centro-uno-1", "centro", "centro-uno", "prensa"),
            Machine("sidecar-centro-uno-2", "centro", "centro-uno", "tablero"),
        ]
        system = System(Path(folder), machines)
        try:
            return play(system, record)
        except (CannotRun, OSError) as error:
            record(f"could not run: {error}")
            return 2
        finally:
            system.stop()


if __name__ == "__main__":
    raise SystemExit(main())
