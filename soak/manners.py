"""Threads of callers with unusual but proper manners: half-closed, slow, on new connections, many at once."""

from __future__ import annotations

import random
import selectors
import socket
import time
from collections.abc import Iterable

import httptools
import msgspec

from soak.callers import (
    ATTEMPT_NUMBERS,
    DEADLINE_MS,
    RECEIVE_BYTES,
    Caller,
    PipelinedAnswers,
    RequestRecord,
    request_headers,
)

MIN_UPLOAD_BYTES, MAX_UPLOAD_BYTES = 100_000, 199_000
MAX_BODY_BYTES = 4_000
UPLOAD_PART_BYTES = 16_384
# Longest pause between two parts of a slow upload, and the pause after a part of a slowly read answer.
MAX_UPLOAD_PAUSE_SECONDS = 0.06
READ_PAUSE_SECONDS = 0.005
CONTINUE_LIMIT_SECONDS = 1.0
ANSWER_LIMIT_SECONDS = DEADLINE_MS / 1000 + 1.0
# Share of the requests that take ``holding_target.LONG_SECONDS`` at the target.
LONG_SHARE = 0.2
KEY_SHARE = 0.35
BODY_SHARE = 0.4
# Share of the requests with which a caller that sends on asks for the close itself, and their number on one
# connection.
CLOSE_SHARE = 0.4
MAX_SENT_ON = 5
BURST_CONNECTIONS = 100
MIN_IDLE_SECONDS, MAX_IDLE_SECONDS = 0.2, 1.5


class Manner(msgspec.Struct, frozen=True):
    """How a caller uses its connection.

    Attributes
    ----------
    half_closes : bool
        Whether the caller closes its sending direction after the request.
    uploads : bool
        Whether the request has a body of 100 to 199 kB.
    uploads_slowly : bool
        Whether that body is sent in chunks, with pauses.
    expects_continue : bool
        Whether the body is sent only after an interim response.
    reads_slowly : bool
        Whether an answer of 4 MB is asked for and read with pauses.
    sends_on : bool
        Whether the caller sends on after an answer that has announced the close of the connection.
    """

    http_version: str = "1.1"
    half_closes: bool = False
    uploads: bool = False
    uploads_slowly: bool = False
    expects_continue: bool = False
    reads_slowly: bool = False
    sends_on: bool = False


MANNERS = (
    Manner(),
    Manner(half_closes=True),
    Manner(half_closes=True, uploads=True),
    Manner(http_version="1.0"),
    Manner(http_version="1.0", half_closes=True),
    Manner(uploads=True),
    Manner(uploads=True, uploads_slowly=True),
    Manner(uploads=True, uploads_slowly=True, half_closes=True),
    Manner(uploads=True, expects_continue=True),
    Manner(reads_slowly=True),
    Manner(reads_slowly=True, half_closes=True),
    Manner(sends_on=True),
)


def connect(vm, timeout_seconds: float = ANSWER_LIMIT_SECONDS) -> socket.socket:
    """Open a connection to the callers' address of a VM's router."""
    host, _, port = vm.address(1).rpartition(":")
    return socket.create_connection((host, int(port)), timeout_seconds)


def encode_head(method: str, path: str, version: str, headers: dict[str, str]) -> bytes:
    """Return the head of a request."""
    lines = [f"{method} {path} HTTP/{version}", *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class MannerCaller(Caller):
    """Sends each request in a random manner, on a new connection unless the manner is to send on."""

    # Of large systems only some VMs have such a caller, since all callers and proxies share one processor.
    max_count = 5
    mean_pause_seconds = 0.1

    def send(self) -> None:
        """Send one request, or several on a connection that is to be closed, and record the answers."""
        manner = self.rng.choice(MANNERS)
        count = self.rng.randrange(2, MAX_SENT_ON + 1) if manner.sends_on else 1
        try:
            connection = connect(self.vm)
        except OSError:
            return
        with connection:
            for _ in range(count):
                if not self.exchange(connection, manner).status:
                    return

    def exchange(self, connection: socket.socket, manner: Manner) -> RequestRecord:
        """Send a request in a manner, and record its answer."""
        record, parts = self.draw_request(manner)
        self.requests.append(record)
        answers = PipelinedAnswers([record])
        try:
            self.send_parts(connection, manner, parts, answers)
            record.sent_at = time.monotonic()
            if manner.half_closes:
                connection.shutdown(socket.SHUT_WR)
        except (OSError, httptools.HttpParserError):
            # The router may have answered before the end of the request.
            pass
        reading_from = 0.0
        try:
            while answers.waiting and (data := connection.recv(RECEIVE_BYTES)):
                answers.parser.feed_data(data)
                if manner.reads_slowly:
                    reading_from = reading_from or time.monotonic()
                    time.sleep(READ_PAUSE_SECONDS)
        except (OSError, httptools.HttpParserError):
            pass
        record.ended_at = record.ended_at or time.monotonic()
        if reading_from and record.status:
            record.reading_seconds = record.ended_at - reading_from
        return record

    def draw_request(self, manner: Manner) -> tuple[RequestRecord, list[bytes]]:
        """Return a random request that suits a manner: its record, and its head and the parts of its body."""
        rng = self.rng
        keyed, with_body = rng.random() < KEY_SHARE, rng.random() < BODY_SHARE
        key = rng.randrange(65_536) if keyed else None
        last = "long" if rng.random() < LONG_SHARE else "x"
        host, path = ("keys.example", "/k/") if keyed else ("grants.example", "/g/" if with_body else "/r/")
        if manner.uploads or manner.reads_slowly:
            host, path, key = "grants.example", "/g/" if manner.uploads else "/r/", None
        path += "large" if manner.reads_slowly else last
        non_idempotent = path.startswith("/g/")
        size = (
            rng.randrange(MIN_UPLOAD_BYTES, MAX_UPLOAD_BYTES)
            if manner.uploads
            else rng.randrange(MAX_BODY_BYTES)
        )
        body = b"b" * size if non_idempotent else b""
        attempt = f"s{next(ATTEMPT_NUMBERS)}"
        record = RequestRecord(attempt, self.vm.name, path, non_idempotent, len(body), time.monotonic())
        headers = request_headers(host, attempt, key)
        parts = [body] if body else []
        if manner.uploads_slowly:
            headers["transfer-encoding"] = "chunked"
            slices = [body[at : at + UPLOAD_PART_BYTES] for at in range(0, len(body), UPLOAD_PART_BYTES)]
            parts = [b"%x\r\n%b\r\n" % (len(data), data) for data in slices] + [b"0\r\n\r\n"]
        elif non_idempotent:
            headers["content-length"] = str(len(body))
        if manner.expects_continue:
            headers["expect"] = "100-continue"
        if manner.sends_on and rng.random() < CLOSE_SHARE:
            headers["connection"] = "close"
        method = "POST" if non_idempotent else "GET"
        return record, [encode_head(method, path, manner.http_version, headers), *parts]

    def send_parts(
        self, connection: socket.socket, manner: Manner, parts: list[bytes], answers: PipelinedAnswers
    ) -> None:
        """Send the head and the body of a request.

        The deadline of a request begins with its last byte, so its record's start is set to that of the last
        part.
        """
        record = answers.waiting[0]
        head, *body = parts
        if not manner.expects_continue and not manner.uploads_slowly:
            connection.sendall(b"".join(parts))
            return
        connection.sendall(head)
        if manner.expects_continue:
            self.await_continue(connection, answers)
        for part in body:
            if not answers.waiting:
                return
            if manner.uploads_slowly:
                time.sleep(self.rng.random() * MAX_UPLOAD_PAUSE_SECONDS)
            record.started_at = time.monotonic()
            connection.sendall(part)

    def await_continue(self, connection: socket.socket, answers: PipelinedAnswers) -> None:
        """Wait for an interim response or an answer, but no longer than callers have to."""
        connection.settimeout(CONTINUE_LIMIT_SECONDS)
        try:
            while answers.waiting and not answers.interim_count:
                data = connection.recv(RECEIVE_BYTES)
                if not data:
                    return
                answers.parser.feed_data(data)
        except TimeoutError:
            pass
        finally:
            connection.settimeout(ANSWER_LIMIT_SECONDS)


class BurstCaller(Caller):
    """Opens many connections, keeps them idle for a while, and sends one read on each at the same time."""

    mean_pause_seconds = 3.0

    def send(self) -> None:
        """Open the connections, send the reads, and record their answers."""
        connections: list[socket.socket] = []
        try:
            for _ in range(BURST_CONNECTIONS):
                connections.append(connect(self.vm))
        except OSError:
            # What has been opened is used.
            pass
        time.sleep(self.rng.uniform(MIN_IDLE_SECONDS, MAX_IDLE_SECONDS))
        with selectors.DefaultSelector() as selector:
            for connection in connections:
                answers = PipelinedAnswers([self.send_read(connection)])
                selector.register(connection, selectors.EVENT_READ, answers)
            self.receive(selector)
            now = time.monotonic()
            for key in list(selector.get_map().values()):
                for record in key.data.waiting:
                    record.ended_at = now
        for connection in connections:
            connection.close()

    def send_read(self, connection: socket.socket) -> RequestRecord:
        """Send a read on a connection, and return its record."""
        keyed = self.rng.random() < KEY_SHARE
        host, path = ("keys.example", "/k/x") if keyed else ("grants.example", "/r/x")
        attempt = f"s{next(ATTEMPT_NUMBERS)}"
        headers = request_headers(host, attempt, self.rng.randrange(65_536) if keyed else None)
        record = RequestRecord(attempt, self.vm.name, path, False, 0, time.monotonic())
        self.requests.append(record)
        try:
            connection.sendall(encode_head("GET", path, "1.1", headers))
            record.sent_at = time.monotonic()
        except OSError:
            pass
        return record

    def receive(self, selector: selectors.BaseSelector) -> None:
        """Receive the answers until all connections have theirs or have ended, or the time is over."""
        end = time.monotonic() + ANSWER_LIMIT_SECONDS
        while selector.get_map() and (left := end - time.monotonic()) > 0:
            for key, _ in selector.select(left):
                answers: PipelinedAnswers = key.data
                try:
                    data = key.fileobj.recv(RECEIVE_BYTES)
                    answers.parser.feed_data(data)
                except (OSError, httptools.HttpParserError):
                    data = b""
                if data and answers.waiting:
                    continue
                selector.unregister(key.fileobj)
                for record in answers.waiting:
                    record.ended_at = time.monotonic()


def manner_callers(all_vms: Iterable, seed: int) -> list[Caller]:
    """Return callers of random manners at random VMs, and one that opens many connections."""
    # Other seeds would play other faults if these were drawn from the generator of the faults.
    vms, rng = list(all_vms), random.Random(f"manner {seed}")
    chosen = rng.sample(vms, min(len(vms), MannerCaller.max_count))
    callers: list[Caller] = [MannerCaller(vm, rng.random()) for vm in chosen]
    return [*callers, BurstCaller(rng.choice(vms), rng.random())]
