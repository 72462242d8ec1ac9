"""Requests and connections of the HTTP entry: parsing, order of answers, limits."""

from __future__ import annotations

import errno
import socket
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

import httptools

from hibiscusdrum.internal.transport.http_connection import framing_exceeds

if TYPE_CHECKING:
    from hibiscusdrum.internal.transport.http_entry import HttpEntry

# Requests of one connection that are parsed ahead of their answers; later ones wait in the socket.
PIPELINE_DEPTH = 16
# A refused body is read and dropped for this long, since a reset could overtake the answer.
DISCARD_SECONDS = 1.0
# No longer than this, in bytes: a sender that goes on after its answer is not one that has yet to read it.
DISCARD_BYTES = 1024 * 1024
# Requests behind those of a full pipeline are read up to this many bytes, so that the end of the connection
# is noticed; more is left in the socket.
MAX_UNPARSED_BYTES = 262_144
PARALLEL_METHODS = (b"GET", b"HEAD")
REASONS = {
    100: b"Continue",
    200: b"OK",
    204: b"No Content",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
BODILESS = (204, 304)


class EntryRequest:
    """One request of a caller.

    Attributes
    ----------
    method : bytes
    target : str
        Path and query as sent.
    headers : list of (str, str)
        Names in lower case, in the order of arrival.
    body : bytes
    arrived_at : float
        Monotonic time in seconds at which the request was complete.
    on_closed : callable or None
        Called when the caller closes the connection before the answer.
    """

    __slots__ = (
        "answered",
        "arrived_at",
        "body",
        "connection",
        "dispatched",
        "headers",
        "keep_alive",
        "listener",
        "method",
        "on_closed",
        "output",
        "target",
    )

    def __init__(self, connection: EntryConnection, listener: str) -> None:
        self.connection = connection
        self.listener = listener
        self.method = b""
        self.target = ""
        self.headers: list[tuple[str, str]] = []
        self.body = b""
        self.arrived_at = 0.0
        self.keep_alive = True
        self.dispatched = False
        self.answered = False
        self.output: bytes | None = None
        self.on_closed: Callable[[], None] | None = None

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or None; ``name`` is in lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def respond(
        self, status: int, headers: list[tuple[str, str]], body: bytes = b"", close: bool = False
    ) -> None:
        """Answer; the bytes leave when earlier requests of the connection have been answered.

        Parameters
        ----------
        headers : list of (str, str)
            Without those that frame the message.
        close : bool
            Whether the connection ends with this answer.
        """
        if self.answered:
            return
        self.answered = True
        self.on_closed = None
        keep = self.keep_alive and not close
        self.keep_alive = keep
        reason = REASONS.get(status, b"Status")
        lines = [b"HTTP/1.1 %d %b" % (status, reason)]
        lines += [f"{name}: {value}".encode("latin-1") for name, value in headers]
        if status not in BODILESS:
            lines.append(b"content-length: %d" % len(body))
        if not keep:
            lines.append(b"connection: close")
        content = b"" if self.method == b"HEAD" or status in BODILESS else body
        self.output = b"\r\n".join(lines) + b"\r\n\r\n" + content
        self.connection.flush_answers()


class EntryConnection:
    """A caller's connection; the methods named ``on_`` are called by httptools.

    Attributes
    ----------
    fed_bytes : int
        Bytes that arrived since the last complete request.
    paused : bool
        Whether nothing is read, because more has arrived than is parsed ahead.
    """

    __slots__ = (
        "active_at",
        "body",
        "body_bytes",
        "closed",
        "closing",
        "current",
        "discard_until",
        "discarded_bytes",
        "failed",
        "fed_bytes",
        "head_bytes",
        "head_started",
        "listener",
        "out",
        "parser",
        "paused",
        "pending",
        "server",
        "sock",
        "unparsed",
        "unparsed_bytes",
        "writing",
    )

    def __init__(self, server: HttpEntry, sock: socket.socket, listener: str, now: float) -> None:
        self.server = server
        self.sock = sock
        self.listener = listener
        self.parser = httptools.HttpRequestParser(self)
        self.current: EntryRequest | None = None
        self.pending: deque[EntryRequest] = deque()
        self.out = bytearray()
        self.writing = False
        self.closing = False
        self.closed = False
        self.failed = 0
        self.head_bytes = 0
        self.head_started: float | None = None
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.active_at = now
        self.discard_until = 0.0
        self.discarded_bytes = 0
        self.fed_bytes = 0
        self.paused = False
        self.unparsed: list[bytes] = []
        self.unparsed_bytes = 0

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.current = EntryRequest(self, self.listener)
        self.head_bytes = 0
        self.body = []
        self.body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Collect the request's target, which may arrive in parts."""
        self.count_head(len(url))
        self.current.target += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self.count_head(len(name) + len(value) + 4)
        self.current.headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def count_head(self, size: int) -> None:
        """Bound the head."""
        self.head_bytes += size
        if self.head_bytes > self.server.limits.max_head_bytes:
            self.failed = self.failed or 431

    def on_headers_complete(self) -> None:
        """Check the declared length before the body is read."""
        self.head_started = None
        request = self.current
        request.method = self.parser.get_method()
        length = request.header("content-length")
        if length is not None and length.isdecimal() and int(length) > self.server.limits.max_body_bytes:
            self.failed = self.failed or 413
        if request.header("expect") == "100-continue" and not self.failed and not self.pending:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        self.body_bytes += len(data)
        if self.body_bytes > self.server.limits.max_body_bytes:
            self.failed = self.failed or 413
            self.body = []
        elif not self.failed:
            self.body.append(data)

    def on_message_complete(self) -> None:
        """Queue a complete request."""
        request = self.current
        self.current = None
        self.fed_bytes = 0
        if self.failed:
            return
        request.keep_alive = self.parser.should_keep_alive()
        request.body = b"".join(self.body)
        self.body = []
        request.arrived_at = self.server.app.clock.monotonic()
        self.pending.append(request)

    # Input

    def feed(self, data: bytes) -> None:
        """Parse what arrived and dispatch what is complete."""
        self.active_at = self.server.app.clock.monotonic()
        if self.discard_until or self.closing:
            self.discarded_bytes += len(data)
            if self.discarded_bytes > DISCARD_BYTES:
                self.server.connection_lost(self, "sent on after its last answer")
            return
        if len(self.pending) >= PIPELINE_DEPTH:
            self.unparsed.append(data)
            self.unparsed_bytes += len(data)
            if self.unparsed_bytes > MAX_UNPARSED_BYTES:
                self.paused = True
                self.server.pause(self)
            return
        if self.current is None and self.head_started is None:
            self.head_started = self.active_at
        self.fed_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.failed = self.failed or 400
        body = self.body_bytes if self.current is not None else 0
        if framing_exceeds(self.server.limits.max_head_bytes, self.fed_bytes, body):
            self.failed = self.failed or (400 if self.in_body else 431)
        if self.current is None and not self.failed:
            self.head_started = None
        self.dispatch()
        if self.failed:
            self.refuse(self.failed)

    @property
    def in_body(self) -> bool:
        """Whether the head of the present request is complete."""
        return self.current is not None and bool(self.current.method)

    def refuse(self, status: int) -> None:
        """Answer a request that cannot be read; what follows it is dropped."""
        request = self.current or EntryRequest(self, self.listener)
        self.current = None
        self.discard_until = self.active_at + DISCARD_SECONDS
        self.pending.append(request)
        request.dispatched = True
        request.respond(status, [], close=True)

    def dispatch(self) -> None:
        """Pass requests on: reads of a pipeline side by side, others after all earlier answers."""
        for index, request in enumerate(list(self.pending)):
            if request.dispatched:
                continue
            if index and (request.method not in PARALLEL_METHODS or self.others_before(index)):
                return
            request.dispatched = True
            self.server.dispatch(request)
            if self.closed:
                return

    def others_before(self, index: int) -> bool:
        """Return whether a request that must not be overtaken is still without an answer."""
        return any(
            request.method not in PARALLEL_METHODS and not request.answered
            for request in list(self.pending)[:index]
        )

    # Output

    def flush_answers(self) -> None:
        """Write the answers that are due in order."""
        pending = self.pending
        while pending and pending[0].output is not None:
            request = pending.popleft()
            self.write(request.output)
            if not request.keep_alive:
                self.finish_output()
                return
        self.active_at = self.server.app.clock.monotonic()
        if self.unparsed and len(pending) < PIPELINE_DEPTH:
            data, self.unparsed, self.unparsed_bytes = b"".join(self.unparsed), [], 0
            if self.paused:
                self.paused = False
                self.server.resume(self)
            self.server.app.scheduler.call_later(0.0, lambda: self.feed(data))
        elif pending:
            self.dispatch()

    def write(self, data: bytes) -> None:
        """Send now what the socket takes, and the rest when it is writable."""
        if self.closed:
            return
        if self.out:
            self.out += data
            return
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            self.server.connection_lost(
                self, f"write failed: {errno.errorcode.get(error.errno, error.errno)}"
            )
            return
        if sent < len(data):
            self.out += data[sent:]
            self.server.want_write(self)

    def finish_output(self) -> None:
        """Close after the bytes under way; requests behind the last answer count as not read."""
        self.closing = True
        self.abandon_pending()
        if not self.out:
            self.server.end_output(self)

    def abandon_pending(self) -> None:
        """Tell the handlers of unanswered requests that nobody waits for them."""
        pending, self.pending = self.pending, deque()
        for request in pending:
            request.answered = True
            on_closed, request.on_closed = request.on_closed, None
            if on_closed is not None:
                on_closed()
