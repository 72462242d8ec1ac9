"""Connections of the HTTP server for callers: parsing, response order and size limits."""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import sys
import termios
from collections import deque
from typing import TYPE_CHECKING

import httptools

from hibiscusdrum.internal.load.input_schedule import ParseDebt
from hibiscusdrum.internal.transport.entry_request import EntryRequest
from hibiscusdrum.internal.transport.http_connection import framing_exceeds_limit

if TYPE_CHECKING:
    from hibiscusdrum.internal.router.routes import EntryLimits
    from hibiscusdrum.internal.transport.http_entry import HttpEntry

# Requests of one connection that are parsed before the responses to earlier ones; later bytes wait unparsed.
PIPELINE_DEPTH = 16
# Input is parsed in parts of this size, lest one read put thousands of requests into the pipeline; within a
# body in parts of the larger one.
PARSE_PART_BYTES = 1024
BODY_PART_BYTES = 65_536
# Parts that are parsed in one turn of the loop, so that a long pipeline does not delay other connections.
PARTS_PER_TURN = 64
# A connection's input is parsed for at most this long before other connections get their turn.
SLICE_SECONDS = 0.001
# Size of a part within a body whose framing takes more bytes than its content: such bytes take about a
# hundred times the processor time of others.
FRAMED_PART_BYTES = 4096
# Memory of a head's field beside its characters: two strings, a tuple, and its place in a list.
FIELD_BYTES = 200
# Memory of a request beside its head and body, in the connection and in the services that handle it.
REQUEST_BYTES = 4096
# Requests whose memory is above this are refused when memory is exceeded; smaller ones cost little.
SMALL_REQUEST_BYTES = 16_384
# Requests of one connection that are parsed ahead while memory is short.
SHORT_PIPELINE_DEPTH = 1
# After the last response, input is read and dropped for this long, and for as long as a part of the response
# is still in the kernel, up to the idle limit without progress: input that is unread at the close, or arrives
# later, resets the connection, which can make the caller lose the response.
DISCARD_SECONDS = 1.0
# Size in bytes of the integer in which the kernel returns how much of a socket's output is unacknowledged.
INT_BYTES = struct.calcsize("i")
# Callers that send more than this after the last response are disconnected: they ignore the response.
MAX_DISCARDED_BYTES = 1024 * 1024
# Input read while the pipeline is full, so that a disconnect of the caller is detected. Beyond this limit
# reading pauses and the rest stays in the socket buffer.
MAX_UNPARSED_BYTES = 262_144
# The same while memory is short. A departure is then noticed only once what is ahead of it has been read.
SHORT_UNPARSED_BYTES = 32_768
# A caller that has closed only its sending direction ignores it; one that has closed its socket resets the
# connection.
INTERIM_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
INTERIM_HTTP_VERSION = "1.1"
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
    answered_count : int
        Requests that were answered without an error in the input.
    continue_expected : bool
        Whether the caller may hold back the body of the current request until an interim response.
    debt : ParseDebt
        Processor time that the input took beyond its share.
    fed_bytes : int
        Bytes passed to the parser since the last complete request.
    held_bytes : int
        Memory of unparsed input, of requests without a response, and of responses that were not read.
    head_cost : int
        Memory of the head that is being received.
    reading_paused : bool
        Whether reading has stopped because ``unparsed``, or the input that is dropped, has reached its limit.
    parsing : bool
        Whether waiting input is being parsed, or will be in the next turn of the loop.
    error_status, error_reason : int, str
        HTTP status with which invalid input is rejected, and why; 0 and empty while the input is valid.
    discard_until : float
        Monotonic time in seconds at which the connection is closed after its last response; 0 before that.
    awaits_link, paced : bool
        Whether the output is queued for the link, and whether it is or will be once the caller reads again.
    link_deadline : float
        Monotonic time in seconds at which the output that is paced is due.
    input_ended : bool
        Whether the caller has closed its sending direction; it may still read.
    input_rejected : bool
        Whether further input is dropped because earlier input was invalid.
    undelivered_bytes : int
        Bytes of responses that the caller's kernel had not acknowledged at the last check after the last one.
    max_body_bytes, max_head_bytes : int
        Limits on the current request, as they were when it began.
    probe_due_at, probe_interval : float
        Monotonic time in seconds from which a half-closed caller may be probed again, and the seconds from
        that probe to the next one.
    """

    __slots__ = (
        "answered_count",
        "awaiting_writable",
        "awaits_link",
        "body",
        "body_bytes",
        "closed",
        "closing",
        "continue_expected",
        "current_request",
        "debt",
        "discard_until",
        "discarded_bytes",
        "dispatching",
        "error_reason",
        "error_status",
        "fed_bytes",
        "head_bytes",
        "head_cost",
        "head_started_at",
        "held_bytes",
        "input_ended",
        "input_rejected",
        "last_active_at",
        "link_deadline",
        "listen_address",
        "max_body_bytes",
        "max_head_bytes",
        "output_buffer",
        "paced",
        "parser",
        "parsing",
        "pending",
        "probe_due_at",
        "probe_interval",
        "reading_paused",
        "server",
        "sock",
        "undelivered_bytes",
        "unparsed",
    )

    def __init__(self, server: HttpEntry, sock: socket.socket, listen_address: str, now: float) -> None:
        self.server = server
        self.sock = sock
        self.listen_address = listen_address
        self.parser = httptools.HttpRequestParser(self)
        self.current_request: EntryRequest | None = None
        self.pending: deque[EntryRequest] = deque()
        self.output_buffer = bytearray()
        self.paced = False
        self.awaits_link = False
        self.link_deadline = 0.0
        self.awaiting_writable = False
        self.answered_count = 0
        self.closing = False
        self.closed = False
        self.continue_expected = False
        self.dispatching = False
        self.error_status = 0
        self.error_reason = ""
        self.input_ended = False
        self.input_rejected = False
        self.head_bytes = 0
        self.head_cost = 0
        self.head_started_at: float | None = None
        self.held_bytes = 0
        self.max_head_bytes = self.limits.max_head_bytes
        self.max_body_bytes = self.limits.max_body_bytes
        self.debt = ParseDebt(now)
        self.body = bytearray()
        self.body_bytes = 0
        self.last_active_at = now
        self.discard_until = 0.0
        self.probe_due_at = 0.0
        self.probe_interval = FIRST_PROBE_INTERVAL_SECONDS
        self.discarded_bytes = 0
        self.undelivered_bytes = 0
        self.fed_bytes = 0
        self.reading_paused = False
        self.unparsed = bytearray()
        self.parsing = False

    @property
    def limits(self) -> EntryLimits:
        """Limits of the listening address."""
        return self.server.address_limits.get(self.listen_address, self.server.limits)

    def on_message_begin(self) -> None:
        """Start a new request."""
        self.current_request = EntryRequest(self, self.listen_address)
        self.head_bytes = 0
        self.head_cost = REQUEST_BYTES
        self.max_head_bytes = self.limits.max_head_bytes
        self.max_body_bytes = self.limits.max_body_bytes
        self.body = bytearray()
        self.body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Append to the request target, which may arrive in parts."""
        self.add_head_bytes(len(url))
        self.current_request.target += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        size = len(name) + len(value)
        self.head_cost += FIELD_BYTES + size
        self.add_head_bytes(size + 4)
        self.current_request.headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def add_head_bytes(self, size: int) -> None:
        """Count bytes of the request head and enforce its size limit."""
        self.head_bytes += size
        if self.head_bytes > self.max_head_bytes:
            self.set_error(431, "head_too_large")

    def on_headers_complete(self) -> None:
        """Check the declared body length and ``Expect: 100-continue``."""
        self.head_started_at = None
        request = self.current_request
        request.method = self.parser.get_method()
        length = request.header("content-length")
        if length is not None and length.isdecimal() and int(length) > self.limits.max_body_bytes:
            self.set_error(413, "body_too_large")
        if self.parser.should_upgrade() and (
            request.header("transfer-encoding") is not None or length not in (None, "0")
        ):
            # The parser would take the body for the next request.
            self.set_error(400, "framing")
        interim_allowed = self.parser.get_http_version() == INTERIM_HTTP_VERSION and not self.error_status
        self.continue_expected = request.header("expect") == "100-continue" and interim_allowed
        self.send_continue()

    def send_continue(self) -> None:
        """Ask for the body that a caller holds back, once all earlier requests are answered."""
        if self.continue_expected and self.accepts_input and not self.pending:
            self.continue_expected = False
            self.write(INTERIM_RESPONSE)

    def on_body(self, data: bytes) -> None:
        """Store a part of the body, unless the body is too large."""
        self.continue_expected = False
        self.body_bytes += len(data)
        if self.body_bytes > self.max_body_bytes:
            self.set_error(413, "body_too_large")
        elif self.body_bytes > self.server.memory.body_limit:
            self.server.memory.report_exceeded("incomplete request", self.body_bytes)
            self.set_error(503, "memory")
        if self.error_status:
            self.body = bytearray()
        else:
            self.body += data

    def on_message_complete(self) -> None:
        """Add the complete request to the pipeline."""
        request = self.current_request
        self.current_request = None
        self.continue_expected = False
        self.fed_bytes = 0
        if self.error_status:
            return
        request.http_version = self.parser.get_http_version()
        request.keep_alive = self.parser.should_keep_alive()
        request.body = bytes(self.body)
        request.held_bytes = self.head_cost + len(request.body)
        self.head_cost = 0
        self.body = bytearray()
        request.arrived_at = self.server.app.clock.monotonic()
        self.pending.append(request)

    def feed(self, data: bytes) -> None:
        """Take received bytes, and parse them unless earlier ones wait for room in the pipeline."""
        self.last_active_at = self.server.app.clock.monotonic()
        if not self.accepts_input:
            self.discard(len(data))
            return
        self.unparsed += data
        if not self.parsing and self.server.may_parse_now(self):
            self.parse_waiting()
            return
        self.schedule_parsing()
        if len(self.unparsed) > self.max_unparsed_bytes:
            self.pause_input()
        self.update_held()

    def discard(self, size: int) -> None:
        """Drop input that is not answered; bound it without taking back the responses to earlier requests."""
        self.discarded_bytes += size
        if self.discarded_bytes <= MAX_DISCARDED_BYTES:
            return
        if self.pending or self.output_buffer:
            self.pause_input()
        else:
            self.server.connection_lost(self, "input_excess")

    def pause_input(self) -> None:
        """Stop reading, and watch for the departure of the caller by other means."""
        if not self.reading_paused:
            self.reading_paused = True
            self.server.pause_reading(self)
            self.server.watch_departure(self)

    def resume_input(self) -> None:
        """Read again after a pause, unless all input has been read."""
        if self.reading_paused:
            self.reading_paused = False
            if not self.input_ended:
                self.server.resume_reading(self)

    def schedule_parsing(self) -> None:
        """Parse the waiting input in a later turn of the loop, unless that is due already."""
        if not self.parsing:
            self.parsing = True
            self.server.schedule_parsing(self)

    def parse_waiting(self) -> None:
        """Parse waiting input while there is room in the pipeline, for at most ``SLICE_SECONDS``."""
        self.parsing = True
        monotonic = self.server.app.clock.monotonic
        now = started = monotonic()
        for _ in range(PARTS_PER_TURN):
            if not self.can_parse or now - started > SLICE_SECONDS:
                break
            size = self.part_bytes
            part = bytes(self.unparsed[:size])
            del self.unparsed[:size]
            self.parse_part(part)
            now = monotonic()
        self.parsing = False
        self.server.charge(self, now - started, now)
        if not self.accepts_input:
            self.unparsed.clear()
            self.update_held()
            return
        if self.can_parse:
            self.schedule_parsing()
        if len(self.unparsed) > self.max_unparsed_bytes:
            self.pause_input()
        else:
            self.resume_input()
        self.update_held()
        if self.input_ended:
            self.finish_input()

    @property
    def part_bytes(self) -> int:
        """Size of the next part of the input to parse."""
        if self.current_request is None or not self.body_bytes:
            return PARSE_PART_BYTES
        return FRAMED_PART_BYTES if self.fed_bytes > 2 * self.body_bytes else BODY_PART_BYTES

    @property
    def can_parse(self) -> bool:
        """Whether input waits and there is room in the pipeline."""
        return bool(self.unparsed) and self.accepts_input and len(self.pending) < self.pipeline_depth

    @property
    def max_unparsed_bytes(self) -> int:
        """Input that may wait before reading pauses."""
        return SHORT_UNPARSED_BYTES if self.server.memory_short else MAX_UNPARSED_BYTES

    @property
    def pipeline_depth(self) -> int:
        """Requests that may wait for their responses while further input is parsed."""
        return SHORT_PIPELINE_DEPTH if self.server.memory_short else PIPELINE_DEPTH

    def on_input_ended(self) -> None:
        """Answer what was received, and then close: the caller sends nothing more, but may still read."""
        self.input_ended = True
        self.server.pause_reading(self)
        self.server.watch_departure(self)
        self.finish_input()

    def finish_input(self) -> None:
        """Reject a request that stays incomplete, and close the connection once nothing is left to answer."""
        if self.unparsed and self.accepts_input:
            return
        if self.receiving:
            self.reject(400, "incomplete")
        elif not self.pending and not self.closing:
            self.close_after_output()
        elif self.discard_until:
            self.server.close(self)

    @property
    def needs_watching(self) -> bool:
        """Whether the departure of the caller would not be noticed by reading or writing."""
        waits = bool(self.pending or self.unparsed)
        return not self.closed and (self.reading_paused or (self.input_ended and waits))

    def check_departure(self) -> None:
        """Look whether the caller has reset the connection, and probe one that has ended its input."""
        poller = select.poll()
        poller.register(self.sock, select.POLLRDHUP)
        events = poller.poll(0)
        state = events[0][1] if events else 0
        if state & (select.POLLERR | select.POLLHUP):
            self.server.connection_lost(self, "reset")
        elif self.input_ended or state & select.POLLRDHUP:
            self.probe_caller()

    def probe_caller(self) -> None:
        """Write an interim response if one is due and the protocol allows it."""
        now = self.server.app.clock.monotonic()
        interim_allowed = bool(self.pending) and self.pending[0].http_version == INTERIM_HTTP_VERSION
        if interim_allowed and not self.output_buffer and now >= self.probe_due_at:
            self.probe_due_at = now + self.probe_interval
            self.probe_interval = min(2.0 * self.probe_interval, LONGEST_PROBE_INTERVAL_SECONDS)
            self.write(INTERIM_RESPONSE)

    def parse_part(self, data: bytes) -> None:
        """Parse a part of the input, and dispatch the requests that are complete."""
        if self.current_request is None and self.head_started_at is None:
            self.head_started_at = self.last_active_at
        self.fed_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            # The request is answered without the upgrade, as is allowed; further requests follow it.
            self.unparsed[:0] = data[upgrade.args[0] :]
        except httptools.HttpParserError:
            self.set_error(400, "malformed")
        body = self.body_bytes if self.current_request is not None else 0
        if framing_exceeds_limit(self.limits.max_head_bytes, self.fed_bytes, body):
            self.set_error(*((400, "framing") if self.head_complete else (431, "head_too_large")))
        if self.current_request is None and not self.error_status:
            self.head_started_at = None
        if self.current_request is not None or self.server.memory_short:
            # A complete request is counted at the end of the slice, when most have been answered.
            self.update_held()
        if self.server.memory_short and not self.error_status:
            self.server.relieve_memory()
            if self.input_rejected:
                return
            self.refuse_large_undispatched()
        self.dispatch()
        if self.error_status:
            self.reject(self.error_status, self.error_reason)

    def update_held(self) -> None:
        """Count anew what the connection holds, and add the difference to the server's account."""
        held = len(self.unparsed) + len(self.body) + self.head_cost + len(self.output_buffer)
        for request in self.pending:
            held += request.held_bytes
        if self.closed:
            held = 0
        if held != self.held_bytes:
            server = self.server
            server.held_total += held - self.held_bytes
            server.memory_short = server.held_total > server.short_above
            self.held_bytes = held

    def refuse_large_undispatched(self) -> None:
        """Refuse complete requests that are not small, and have not been passed on, if memory is exceeded."""
        pending = self.pending
        last = pending[-1] if pending else None
        if last is None or last.dispatched or last.held_bytes <= SMALL_REQUEST_BYTES:
            return
        if self.server.memory.exceeded:
            pending.pop()
            self.server.memory.report_exceeded("complete request", last.held_bytes)
            self.reject(503, "memory")

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
    def has_waiting_input(self) -> bool:
        """Whether input waits to be parsed, in this process or in the socket."""
        return bool(self.unparsed) or self.has_unread_input

    def count_undelivered(self) -> int:
        """Return the bytes written to the socket that the caller's kernel has not acknowledged.

        They are lost if the connection is reset, as it is by input that arrives after the socket was closed.
        """
        try:
            count = fcntl.ioctl(self.sock, termios.TIOCOUTQ, bytes(INT_BYTES))
        except OSError:
            return 0
        return int.from_bytes(count, sys.byteorder)

    def observe_delivery(self) -> None:
        """Record that the connection was active if the caller has received more of its responses."""
        before, self.undelivered_bytes = self.undelivered_bytes, self.count_undelivered()
        if self.undelivered_bytes < before:
            self.last_active_at = self.server.app.clock.monotonic()

    @property
    def has_further_input(self) -> bool:
        """Whether more input than the requests answered so far has been received."""
        return bool(self.pending or self.receiving or self.has_waiting_input)

    @property
    def idle(self) -> bool:
        """Whether the caller is owed no answer and has sent nothing that is not answered."""
        in_use = self.closed or self.closing or self.output_buffer or self.has_further_input
        return not in_use

    @property
    def expendable(self) -> bool:
        """Whether nothing that was passed on waits for its response, and no input waits to be handled."""
        return not (self.closed or self.pending or self.has_waiting_input or self.awaits_link)

    @property
    def idle_seconds(self) -> float:
        """Seconds since the connection last carried input or a response."""
        return self.server.app.clock.monotonic() - self.last_active_at

    @property
    def head_complete(self) -> bool:
        """Whether the head of the current request has been parsed."""
        return self.current_request is not None and bool(self.current_request.method)

    def set_error(self, status: int, reason: str) -> None:
        """Reject the input once the current part of it is parsed; the first error counts."""
        if not self.error_status:
            self.error_status, self.error_reason = status, reason

    def reject(self, status: int, reason: str) -> None:
        """Respond with an error to invalid input after the earlier requests, and drop all further input."""
        request = self.current_request or EntryRequest(self, self.listen_address)
        self.server.report_rejected(request, status, reason, self.fed_bytes)
        request.keep_alive = False
        self.current_request = None
        self.head_started_at = None
        self.input_rejected = True
        self.body = bytearray()
        self.head_cost = 0
        request.headers = []
        self.pending.append(request)
        request.dispatched = True
        self.unparsed.clear()
        request.respond(status, [], close=True)
        self.update_held()

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
            self.answered_count += not self.input_rejected
            if request.link_deadline is None:
                self.write(response)
            else:
                self.write_over_link(response, request.link_deadline)
            if closes:
                self.close_after_output()
                self.update_held()
                return
        if not self.parsing:
            self.update_held()
        self.last_active_at = self.server.app.clock.monotonic()
        self.send_continue()
        if self.unparsed and len(pending) < self.pipeline_depth:
            # Later input joins what waits, so that both are parsed in the order in which they were received.
            self.schedule_parsing()
        if pending:
            # If the pipeline may be less deep by the next turn, nothing is parsed and dispatched then.
            self.dispatch()

    def write_over_link(self, data: bytes, deadline: float) -> None:
        """Write a response that crosses the link of this VM, a large one at the pace of the link."""
        pacer = self.server.pacer
        if pacer is None or self.closed:
            self.write(data)
        elif self.output_buffer or not pacer.takes_output(len(data)):
            if not self.paced:
                pacer.charge(len(data))
            self.write(data)
        else:
            self.output_buffer += data
            self.update_held()
            self.link_deadline = deadline
            self.await_link()
            self.server.enforce_output_limit()

    def await_link(self) -> None:
        """Queue the buffered output for the link."""
        self.paced = self.awaits_link = True
        self.server.pacer.queue_output(self, len(self.output_buffer), self.link_deadline)

    def write_paced(self, left: int) -> int:
        """Write buffered output but for its last ``left`` bytes, and return how many bytes were written.

        If the caller does not read, the rest leaves the queue for the link until it does.
        """
        if self.closed:
            return 0
        try:
            with memoryview(self.output_buffer) as view:
                sent = self.sock.send(view[: len(view) - left])
        except BlockingIOError:
            sent = 0
        except OSError:
            self.server.connection_lost(self, "write_failed")
            return 0
        offered = len(self.output_buffer) - left
        del self.output_buffer[:sent]
        self.update_held()
        if sent:
            self.last_active_at = self.server.app.clock.monotonic()
        if sent < offered:
            self.awaits_link = False
            self.server.pacer.forget_output(self)
            self.server.watch_writable(self)
            return sent
        self.paced = self.awaits_link = left > 0
        if not left and self.closing:
            self.server.shutdown_write(self)
        return sent

    def write(self, data: bytes) -> None:
        """Write to the socket, and buffer what it does not accept until it is writable."""
        if self.closed:
            return
        if self.output_buffer:
            self.output_buffer += data
            self.update_held()
            if self.server.pacer is not None:
                self.server.pacer.extend_output(self, len(data))
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
            self.update_held()
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
