"""Connections of the HTTP server for callers: parsing, response order and size limits."""

from __future__ import annotations

import socket
from collections import deque
from typing import TYPE_CHECKING

import httptools

from hibiscusdrum.internal.transport.entry_request import EntryRequest
from hibiscusdrum.internal.transport.http_connection import framing_exceeds_limit

if TYPE_CHECKING:
    from hibiscusdrum.internal.router.routes import EntryLimits
    from hibiscusdrum.internal.transport.http_entry import HttpEntry

# Requests of one connection that are parsed before the responses to earlier ones; later bytes wait unparsed.
PIPELINE_DEPTH = 16
# Input is parsed in parts of this size, lest one read put thousands of requests into the pipeline.
PARSE_PART_BYTES = 1024
# After the last response, input is read and dropped for this long: closing a socket with unread input sends a
# reset, which can make the caller lose the response.
DISCARD_SECONDS = 1.0
# Callers that send more than this after the last response are disconnected: they ignore the response.
MAX_DISCARDED_BYTES = 1024 * 1024
# Input read while the pipeline is full, so that a disconnect of the caller is detected. Beyond this limit
# reading pauses and the rest stays in the socket buffer.
MAX_UNPARSED_BYTES = 262_144
# Smaller bodies are accepted without a look at the memory, which takes time in proportion to the connections.
MIN_CHECKED_BODY_BYTES = 16_384
# A caller that has closed only its sending direction ignores it; one that has closed its socket resets the
# connection.
INTERIM_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Interval between the first two of these responses, which doubles up to the longest one. If the caller has
# closed its socket, the write after the first one fails.
FIRST_PROBE_INTERVAL_SECONDS = 0.05
LONGEST_PROBE_INTERVAL_SECONDS = 0.2
# Methods without side effects, whose pipelined requests run concurrently.
CONCURRENT_METHODS = (b"GET", b"HEAD")
# Why a request ends without a response: its caller has closed the connection, or this process has.
CALLER_GONE = "caller_gone"
CLOSED_UNANSWERED = "closed_unanswered"


class EntryConnection:
    """A caller's connection; httptools calls the methods named ``on_``.

    Attributes
    ----------
    fed_bytes : int
        Bytes passed to the parser since the last complete request.
    reading_paused : bool
        Whether reading has stopped because ``unparsed`` has reached its limit.
    error_status : int
        HTTP status with which invalid input is rejected; 0 while the input is valid.
    discard_until : float
        Monotonic time in seconds at which the connection is closed after its last response; 0 before that.
    input_ended : bool
        Whether the caller has closed its sending direction; it may still read.
    input_rejected : bool
        Whether further input is dropped because earlier input was invalid.
    probe_due_at, probe_interval : float
        Monotonic time in seconds from which a half-closed caller may be probed again, and the seconds from
        that probe to the next one.
    """

    __slots__ = (
        "awaiting_writable",
        "body",
        "body_bytes",
        "closed",
        "closing",
        "current_request",
        "discard_until",
        "discarded_bytes",
        "dispatching",
        "error_status",
        "fed_bytes",
        "head_bytes",
        "head_started_at",
        "input_ended",
        "input_rejected",
        "last_active_at",
        "listen_address",
        "output_buffer",
        "parser",
        "pending",
        "probe_due_at",
        "probe_interval",
        "reading_paused",
        "server",
        "sock",
        "unparsed",
        "unparsed_bytes",
    )

    def __init__(self, server: HttpEntry, sock: socket.socket, listen_address: str, now: float) -> None:
        self.server = server
        self.sock = sock
        self.listen_address = listen_address
        self.parser = httptools.HttpRequestParser(self)
        self.current_request: EntryRequest | None = None
        self.pending: deque[EntryRequest] = deque()
        self.output_buffer = bytearray()
        self.awaiting_writable = False
        self.closing = False
        self.closed = False
        self.dispatching = False
        self.error_status = 0
        self.input_ended = False
        self.input_rejected = False
        self.head_bytes = 0
        self.head_started_at: float | None = None
        self.body = bytearray()
        self.body_bytes = 0
        self.last_active_at = now
        self.discard_until = 0.0
        self.probe_due_at = 0.0
        self.probe_interval = FIRST_PROBE_INTERVAL_SECONDS
        self.discarded_bytes = 0
        self.fed_bytes = 0
        self.reading_paused = False
        self.unparsed: list[bytes] = []
        self.unparsed_bytes = 0

    @property
    def limits(self) -> EntryLimits:
        """Limits of the listening address."""
        return self.server.address_limits.get(self.listen_address, self.server.limits)

    def on_message_begin(self) -> None:
        """Start a new request."""
        self.current_request = EntryRequest(self, self.listen_address)
        self.head_bytes = 0
        self.body = bytearray()
        self.body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Append to the request target, which may arrive in parts."""
        self.add_head_bytes(len(url))
        self.current_request.target += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self.add_head_bytes(len(name) + len(value) + 4)
        self.current_request.headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def add_head_bytes(self, size: int) -> None:
        """Count bytes of the request head and enforce its size limit."""
        self.head_bytes += size
        if self.head_bytes > self.limits.max_head_bytes:
            self.error_status = self.error_status or 431

    def on_headers_complete(self) -> None:
        """Check the declared body length, and answer ``Expect: 100-continue``."""
        self.head_started_at = None
        request = self.current_request
        request.method = self.parser.get_method()
        length = request.header("content-length")
        if length is not None and length.isdecimal() and int(length) > self.limits.max_body_bytes:
            self.error_status = self.error_status or 413
        if request.header("expect") == "100-continue" and not self.error_status and not self.pending:
            self.write(INTERIM_RESPONSE)

    def on_body(self, data: bytes) -> None:
        """Store a part of the body, unless the body is too large."""
        self.body_bytes += len(data)
        if self.body_bytes > self.limits.max_body_bytes:
            self.error_status = self.error_status or 413
        elif self.body_bytes > MIN_CHECKED_BODY_BYTES and self.exceeds_memory:
            self.server.memory.report_exceeded("incomplete request", self.body_bytes)
            self.error_status = self.error_status or 503
        if self.error_status:
            self.body = bytearray()
        else:
            self.body += data

    def on_message_complete(self) -> None:
        """Add the complete request to the pipeline."""
        request = self.current_request
        self.current_request = None
        self.fed_bytes = 0
        if self.error_status:
            return
        request.http_version = self.parser.get_http_version()
        request.keep_alive = self.parser.should_keep_alive()
        request.body = bytes(self.body)
        self.body = bytearray()
        request.arrived_at = self.server.app.clock.monotonic()
        self.pending.append(request)

    def feed(self, data: bytes) -> None:
        """Parse received bytes, or keep them until there is room in the pipeline."""
        self.last_active_at = self.server.app.clock.monotonic()
        if not self.accepts_input:
            self.discarded_bytes += len(data)
            if self.discarded_bytes > MAX_DISCARDED_BYTES:
                self.server.connection_lost(self, "input_excess")
            return
        if self.unparsed or len(self.pending) >= PIPELINE_DEPTH:
            self.unparsed.append(data)
            self.unparsed_bytes += len(data)
            if self.unparsed_bytes > MAX_UNPARSED_BYTES:
                self.reading_paused = True
                self.server.pause_reading(self)
            return
        self.parse(data)

    def parse_waiting(self) -> None:
        """Parse the input that waited for room in the pipeline."""
        if not (self.unparsed and self.accepts_input) or len(self.pending) >= PIPELINE_DEPTH:
            return
        data, self.unparsed, self.unparsed_bytes = b"".join(self.unparsed), [], 0
        if self.reading_paused:
            self.reading_paused = False
            self.server.resume_reading(self)
        self.last_active_at = self.server.app.clock.monotonic()
        self.parse(data)
        if self.input_ended:
            self.finish_input()

    def on_input_ended(self) -> None:
        """Answer what was received, and then close: the caller sends nothing more, but may still read."""
        self.input_ended = True
        self.server.pause_reading(self)
        self.finish_input()

    def finish_input(self) -> None:
        """Reject a request that stays incomplete, and close the connection once nothing is left to answer."""
        if self.unparsed and self.accepts_input:
            return
        if self.receiving:
            self.reject(400)
        elif not self.pending and not self.closing:
            self.close_after_output()
        elif self.discard_until:
            self.server.close(self)

    def probe_caller(self) -> None:
        """Write an interim response if one is due and the protocol allows it."""
        now = self.server.app.clock.monotonic()
        interim_allowed = bool(self.pending) and self.pending[0].http_version == "1.1"
        if interim_allowed and not self.output_buffer and now >= self.probe_due_at:
            self.probe_due_at = now + self.probe_interval
            self.probe_interval = min(2.0 * self.probe_interval, LONGEST_PROBE_INTERVAL_SECONDS)
            self.write(INTERIM_RESPONSE)

    def parse(self, data: bytes) -> None:
        """Parse bytes, and dispatch complete requests; the rest waits for room in the pipeline."""
        receives_body = self.body_bytes > 0 or len(data) <= PARSE_PART_BYTES
        part_bytes = len(data) if receives_body else PARSE_PART_BYTES
        for first in range(0, len(data), part_bytes):
            if not self.accepts_input:
                return
            if len(self.pending) >= PIPELINE_DEPTH:
                self.unparsed.insert(0, data[first:])
                self.unparsed_bytes += len(data) - first
                return
            self.parse_part(data[first : first + part_bytes])

    def parse_part(self, data: bytes) -> None:
        """Parse a part of the input, and dispatch the requests that are complete."""
        if self.current_request is None and self.head_started_at is None:
            self.head_started_at = self.last_active_at
        self.fed_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.error_status = self.error_status or 400
        body = self.body_bytes if self.current_request is not None else 0
        if framing_exceeds_limit(self.limits.max_head_bytes, self.fed_bytes, body):
            self.error_status = self.error_status or (400 if self.head_complete else 431)
        if self.current_request is None and not self.error_status:
            self.head_started_at = None
        self.dispatch()
        if self.error_status:
            self.reject(self.error_status)

    @property
    def exceeds_memory(self) -> bool:
        """Whether the body being received, or all bodies together, are more than this process can hold."""
        memory = self.server.memory
        return self.body_bytes > memory.body_limit or memory.exceeded

    @property
    def held_bytes(self) -> int:
        """Bytes of requests without a response, and of responses that the caller has not read."""
        bodies = sum(len(request.body) + len(request.response_content) for request in self.pending)
        return len(self.body) + bodies + len(self.output_buffer)

    @property
    def accepts_input(self) -> bool:
        """Whether further requests on this connection would be answered."""
        return not (self.closed or self.closing or self.input_rejected)

    @property
    def receiving(self) -> bool:
        """Whether a part of a request has been received."""
        return self.accepts_input and (self.current_request is not None or self.head_started_at is not None)

    @property
    def has_unread_input(self) -> bool:
        """Whether the socket holds input that would be parsed."""
        try:
            return self.accepts_input and bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    @property
    def has_further_input(self) -> bool:
        """Whether more input than the requests answered so far has been received."""
        return bool(self.pending or self.unparsed or self.receiving or self.has_unread_input)

    @property
    def idle_seconds(self) -> float:
        """Seconds since the connection last carried input or a response."""
        return self.server.app.clock.monotonic() - self.last_active_at

    @property
    def head_complete(self) -> bool:
        """Whether the head of the current request has been parsed."""
        return self.current_request is not None and bool(self.current_request.method)

    def reject(self, status: int) -> None:
        """Respond with an error to invalid input after the earlier requests, and drop all further input."""
        request = self.current_request or EntryRequest(self, self.listen_address)
        request.keep_alive = False
        self.current_request = None
        self.head_started_at = None
        self.input_rejected = True
        self.pending.append(request)
        request.dispatched = True
        request.respond(status, [], close=True)

    def dispatch(self) -> None:
        """Hand requests to the server.

        Requests with a method in ``CONCURRENT_METHODS`` run concurrently; any other request waits until all
        earlier ones have been answered.
        """
        if self.dispatching:
            # A response within ``server.dispatch``; the loop below goes on with what it has made room for.
            return
        self.dispatching = True
        try:
            while not self.closed:
                request = self.next_to_dispatch()
                if request is None:
                    return
                request.dispatched = True
                self.server.dispatch(request)
        finally:
            self.dispatching = False

    def next_to_dispatch(self) -> EntryRequest | None:
        """Return the first request that has not been dispatched and may be now, or None."""
        for index, request in enumerate(self.pending):
            if request.dispatched:
                continue
            if index and (request.method not in CONCURRENT_METHODS or self.is_blocked_by_earlier(index)):
                return None
            return request
        return None

    def is_blocked_by_earlier(self, index: int) -> bool:
        """Return whether an earlier request that does not run concurrently is still unanswered."""
        return any(
            request.method not in CONCURRENT_METHODS and not request.answered
            for request in list(self.pending)[:index]
        )

    def flush_responses(self) -> None:
        """Write the completed responses at the front of the pipeline, and continue with waiting input."""
        pending = self.pending
        while pending and pending[0].response_head:
            request = pending.popleft()
            # Further requests may have reached a target already, so they are answered before the close.
            last = request.response_closes or self.input_ended
            closes = not request.keep_alive or (last and not self.has_further_input)
            response = request.encode_response(closes)
            request.release()
            self.write(response)
            if closes:
                self.close_after_output()
                return
        self.last_active_at = self.server.app.clock.monotonic()
        if self.unparsed and len(pending) < PIPELINE_DEPTH:
            # Later input joins what waits, so that both are parsed in the order in which they were received.
            self.server.app.scheduler.call_later(0.0, self.parse_waiting)
        elif pending:
            self.dispatch()

    def write(self, data: bytes) -> None:
        """Write to the socket, and buffer what it does not accept until it is writable."""
        if self.closed:
            return
        if self.output_buffer:
            self.output_buffer += data
            return
        self.last_active_at = self.server.app.clock.monotonic()
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.server.connection_lost(self, "write_failed")
            return
        if sent < len(data):
            self.output_buffer += memoryview(data)[sent:]
            self.server.watch_writable(self)
            self.server.enforce_output_limit()

    def close_after_output(self) -> None:
        """Close the connection once the output buffer is empty, and cancel the pipelined requests left."""
        self.closing = True
        self.cancel_pending(CLOSED_UNANSWERED)
        if not self.output_buffer:
            self.server.shutdown_write(self)

    def cancel_pending(self, reason: str) -> None:
        """Cancel unanswered requests: drop their responses and call ``on_closed`` with the reason."""
        pending, self.pending = self.pending, deque()
        for request in pending:
            request.answered = True
            on_closed, request.on_closed = request.on_closed, None
            if on_closed is not None:
                on_closed(reason)
