"""Connections and messages of the HTTP client: request encoding and response parsing."""

from __future__ import annotations

import enum
import re
import socket
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

import httptools
from returns.result import Result

from hibiscusdrum.errors import InvalidArgument

if TYPE_CHECKING:
    from hibiscusdrum.internal.transport.http_client import HttpClient

MAX_HEAD_BYTES = 65_536
# Framing allowed per body byte: a chunk that carries 1 byte takes 5 more for its size and line breaks.
CHUNK_OVERHEAD_BYTES = 5
DEFAULT_MAX_CONNECTIONS = 64
# Headers that the client sets itself; a duplicate could make the peer parse a different request (smuggling).
RESERVED_HEADERS = frozenset(("host", "content-length", "transfer-encoding"))
# Fraction of the peer's announced keep-alive timeout during which an idle connection may be reused.
KEEP_ALIVE_SHARE = 0.8
# A peer that echoes this header lets the client detect a late response to an earlier request.
REQUEST_ID_HEADER = "x-hibiscusdrum-request-id"
# Value of ``declared`` for a response without Content-Length.
LENGTH_UNKNOWN = -1
INFORMATIONAL_STATUSES = range(100, 200)
# The parser accepts any three digits.
FIRST_UNKNOWN_STATUS = 600
STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")


def framing_exceeds_limit(limit: int, received: int, body: int) -> bool:
    """Return whether the bytes outside message bodies exceed their limit.

    The parser reports a header or a chunk's framing only once it is complete. An endless one is therefore
    detected by the number of bytes passed to the parser.

    Parameters
    ----------
    limit : int
        Bytes allowed for a message head.
    received, body : int
        Bytes passed to the parser, and how many of them it reported as body.
    """
    return received - body > limit + CHUNK_OVERHEAD_BYTES * body


class FailureKind(enum.Enum):
    """Reason why an exchange failed.

    Attributes
    ----------
    REFUSED
        Nothing listens at the address, so the process that did has ended or closed its socket.
    UNREACHABLE
        No connection could be opened for any other reason, for example because the peer reset it, or this
        process has no free file descriptor.
    UNANSWERED
        The sender has given the response up before the deadline, because later requests were answered.
    """

    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    CLOSED = "closed"
    INCOMPLETE = "incomplete"
    MALFORMED = "malformed"
    CANCELLED = "cancelled"
    UNANSWERED = "unanswered"


class HttpResponse:
    """A complete HTTP response.

    Attributes
    ----------
    status : int
    headers : dict of str to str
        Lower-case names; the values of a repeated header are joined with a comma.
    body : bytes
    """

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class HttpFailure:
    """Describes why an exchange failed, and whether the request may have been sent.

    Attributes
    ----------
    bytes_sent : bool
        False only if no byte of the request was written to the socket.
    kind : FailureKind
    received, declared : int
        Body bytes received, and the Content-Length of the response, or -1 without one.
    dropped_bytes : int
        All bytes received for the request, heads and framing included.
    connected : bool
        Whether the exchange had an open connection.
    """

    __slots__ = ("bytes_sent", "connected", "declared", "dropped_bytes", "kind", "received")

    def __init__(
        self,
        bytes_sent: bool,
        kind: FailureKind,
        received: int = 0,
        declared: int = LENGTH_UNKNOWN,
        dropped_bytes: int = 0,
        connected: bool = False,
    ) -> None:
        self.bytes_sent = bytes_sent
        self.kind = kind
        self.received = received
        self.declared = declared
        self.dropped_bytes = dropped_bytes
        self.connected = connected

    def __repr__(self) -> str:
        return (
            f"HttpFailure(bytes_sent={self.bytes_sent}, kind={self.kind.value}, "
            f"received={self.received}, declared={self.declared})"
        )


HttpCallback = Callable[[Result[HttpResponse, HttpFailure]], None]


class HttpExchange:
    """One request and its response; the callback is called exactly once.

    Attributes
    ----------
    deadline : float
        Monotonic time in seconds at which the exchange expires; ``record_progress`` may move it.
    silence_seconds : float
        Longest time without progress; 0 if only the whole duration is limited.
    last_deadline : float
        Monotonic time in seconds at which the exchange expires in spite of progress.
    """

    __slots__ = (
        "bytes_sent",
        "callback",
        "client",
        "connection",
        "deadline",
        "done",
        "is_head_request",
        "last_deadline",
        "payload",
        "pool",
        "request_id",
        "silence_seconds",
    )

    def __init__(
        self,
        client: HttpClient,
        pool: ConnectionPool,
        payload: bytes,
        request_id: str | None,
        is_head_request: bool,
        deadline: float,
        callback: HttpCallback,
    ) -> None:
        self.client = client
        self.pool = pool
        self.payload = payload
        self.request_id = request_id
        self.is_head_request = is_head_request
        self.deadline = deadline
        self.silence_seconds = 0.0
        self.last_deadline = deadline
        self.callback = callback
        self.connection: Connection | None = None
        self.bytes_sent = False
        self.done = False

    def record_progress(self, now: float) -> None:
        """Let the time without progress begin anew, if that is what is limited."""
        if self.silence_seconds:
            self.deadline = min(now + self.silence_seconds, self.last_deadline)

    @property
    def is_unanswered(self) -> bool:
        """Whether the whole request was sent and no byte of a response has arrived."""
        connection = self.connection
        return (
            connection is not None
            and self.bytes_sent
            and connection.unsent is None
            and not connection.fed_bytes
        )

    def cancel(self, kind: FailureKind = FailureKind.CANCELLED) -> None:
        """Cancel the exchange; no effect once it is done.

        The callback is called with a failure of this kind before this method returns.
        """
        self.client.abort(self, kind)


# Time for which the duration of a connect counts as that of the path.
CONNECT_SECONDS_TTL = 15.0
# A peer may drop idle connections without notice. Once that has happened, connections that have been idle for
# longer than this fraction of the dropped connection's idle time are not reused.
IDLE_LIMIT_SHARE = 0.5
# An idle limit expires after this time.
IDLE_LIMIT_TTL_SECONDS = 15.0
# Connections idle for no longer than this are always reusable.
MIN_IDLE_LIMIT_SECONDS = 0.05
# A request on a dropped connection is reset at once; a reset after this time has another cause.
STALE_RESET_WITHIN_SECONDS = 0.03


class ConnectionPool:
    """Keep-alive connections to one address, and the exchanges waiting for one.

    Attributes
    ----------
    idle : list of Connection
        Reused from the end (most recently used first), so that surplus connections stay idle until the peer
        closes them.
    open_count : int
        Number of connections, including idle and connecting ones.
    idle_limit : float
        Idle time in seconds beyond which a connection is not reused, because the peer has dropped such
        connections without notice.
    idle_limit_until : float
        Monotonic time in seconds until which ``idle_limit`` applies.
    connect_seconds : float
        Duration of the last connect in seconds.
    connected_at : float
        Monotonic time in seconds at which that connect was completed.
    """

    __slots__ = (
        "address",
        "connect_seconds",
        "connected_at",
        "idle",
        "idle_limit",
        "idle_limit_until",
        "max_connections",
        "open_count",
        "peer_address",
        "waiting",
    )

    def __init__(self, address: str, peer_address: tuple[str, int]) -> None:
        self.address = address
        self.peer_address = peer_address
        self.idle: list[Connection] = []
        self.open_count = 0
        self.max_connections = DEFAULT_MAX_CONNECTIONS
        self.waiting: deque[HttpExchange] = deque()
        self.idle_limit = float("inf")
        self.idle_limit_until = float("-inf")
        self.connect_seconds = 0.0
        self.connected_at = float("-inf")

    def record_connect(self, seconds: float, now: float) -> None:
        """Record the duration of the last connect."""
        self.connect_seconds, self.connected_at = seconds, now

    def recent_connect_seconds(self, now: float) -> float:
        """Return the duration of the last connect if it was recent; 0 otherwise."""
        return self.connect_seconds if now - self.connected_at < CONNECT_SECONDS_TTL else 0.0

    def exceeds_idle_limit(self, seconds: float, now: float) -> bool:
        """Return whether the peer may have dropped a connection that was idle for ``seconds``."""
        return now < self.idle_limit_until and seconds > self.idle_limit

    def record_reset(self, connection: Connection, now: float) -> None:
        """Lower the idle limit if a connection ended because the peer had dropped it while idle."""
        dropped = connection.reused and now - connection.sent_at < STALE_RESET_WITHIN_SECONDS
        if dropped and connection.idle_duration > MIN_IDLE_LIMIT_SECONDS:
            self.record_idle_drop(connection.idle_duration, now)

    def record_idle_drop(self, seconds: float, now: float) -> None:
        """Lower the idle limit after the peer dropped a connection that was idle for ``seconds``."""
        previous = self.idle_limit if now < self.idle_limit_until else float("inf")
        self.idle_limit = min(previous, max(MIN_IDLE_LIMIT_SECONDS, seconds * IDLE_LIMIT_SHARE))
        self.idle_limit_until = now + IDLE_LIMIT_TTL_SECONDS


class Connection:
    """A client connection and its response parser; httptools calls the methods named ``on_``.

    Attributes
    ----------
    opened_at : float
        Monotonic time in seconds at which the connect began.
    fed_bytes, body_bytes : int
        Bytes received during the current exchange, and how many of them were body, including the bodies of
        skipped responses.
    received : int
        Body bytes of the current response.
    body_limit : int
        Largest number of body bytes in one exchange.
    head_complete : bool
        Whether the head of the current response has ended; until then its framing is unknown.
    malformed : bool
        Whether the input is not an acceptable response, so that the connection must be closed.
    skipping_unmatched : bool
        Whether the response being parsed belongs to another request and is dropped.
    """

    __slots__ = (
        "body",
        "body_bytes",
        "body_limit",
        "complete",
        "connecting",
        "declared",
        "exchange",
        "expires_at",
        "fed_bytes",
        "head_bytes",
        "head_complete",
        "headers",
        "idle_duration",
        "idle_since",
        "keep_alive",
        "malformed",
        "opened_at",
        "parser",
        "pool",
        "reason",
        "received",
        "response_started",
        "reused",
        "sent_at",
        "skipping_unmatched",
        "sock",
        "unsent",
    )

    def __init__(self, pool: ConnectionPool, sock: socket.socket, body_limit: int, opened_at: float) -> None:
        self.pool = pool
        self.opened_at = opened_at
        self.sock = sock
        self.body_limit = body_limit
        self.parser = httptools.HttpResponseParser(self)
        self.exchange: HttpExchange | None = None
        self.connecting = True
        self.unsent: memoryview | None = None
        self.reused = False
        self.idle_since = 0.0
        self.idle_duration = 0.0
        self.sent_at = 0.0
        self.malformed = False
        self.expires_at = float("inf")
        self.fed_bytes = 0
        self.body_bytes = 0
        self.reset_response()

    def reset_response(self) -> None:
        """Clear the state of the last response."""
        self.headers: dict[str, str] = {}
        self.body: bytes | bytearray = b""
        self.received = 0
        self.declared = LENGTH_UNKNOWN
        self.reason = b""
        self.head_bytes = 0
        self.response_started = False
        self.head_complete = False
        self.complete = False
        self.keep_alive = False
        self.skipping_unmatched = False

    def release(self) -> None:
        """Drop the parser, which refers to this connection, and what was received.

        Both would stay in memory until the next garbage collection.
        """
        self.parser = None
        self.body = b""

    def feed(self, data: bytes) -> None:
        """Parse received bytes, and set ``malformed`` if they are not an acceptable response."""
        self.fed_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.malformed = True
        if self.body_bytes > self.body_limit or framing_exceeds_limit(
            MAX_HEAD_BYTES, self.fed_bytes, self.body_bytes
        ):
            self.malformed = True

    def on_message_begin(self) -> None:
        """Start a response; a second one for the same request is a parser error."""
        if self.complete:
            raise httptools.HttpParserError("more than one response to a request")
        self.response_started = True

    def on_status(self, reason: bytes) -> None:
        """Check the reason phrase, which may arrive in parts."""
        self.reason += reason
        self.check_spliced(self.reason)

    def check_spliced(self, text: bytes) -> None:
        """Refuse a head that was cut off and is continued by that of another response."""
        if STATUS_LINE.search(text):
            raise httptools.HttpParserError("a response begins within the head of another one")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header, and enforce the size limit of the head."""
        self.head_bytes += len(name) + len(value)
        if self.head_bytes > MAX_HEAD_BYTES:
            self.malformed = True
            return
        self.check_spliced(value)
        key = name.decode("latin-1").lower()
        text = value.decode("latin-1")
        if key in self.headers:
            text = f"{self.headers[key]}, {text}"
        self.headers[key] = text

    def on_headers_complete(self) -> None:
        """Check the status and the declared length, and match the response to the request by its id.

        The parser has already rejected a status of other than three digits, and a length that is no number.
        """
        status = self.parser.get_status_code()
        if not INFORMATIONAL_STATUSES.start <= status < FIRST_UNKNOWN_STATUS:
            raise httptools.HttpParserError("no status from 100 to 599")
        self.head_complete = True
        client, request_id = self.exchange.client, self.exchange.request_id
        named_id = self.headers.get(client.request_id_header)
        informational = status in INFORMATIONAL_STATUSES
        if named_id is None and request_id is not None and not informational and self.reused:
            # Possibly a copy of an earlier response on this connection.
            if client.requires_request_id:
                raise httptools.HttpParserError("response does not name its request")
        elif named_id is not None and named_id != request_id:
            if not client.skips_unmatched_responses:
                raise httptools.HttpParserError("response to another request")
            self.skipping_unmatched = True
            return
        length = self.headers.get("content-length")
        if length is not None:
            self.declared = int(length.partition(",")[0])
            if self.declared > self.body_limit:
                self.malformed = True
        if self.exchange.is_head_request and not informational:
            # The parser does not know that the response to a HEAD request has no body; it would wait for one.
            self.complete = True

    def on_body(self, data: bytes) -> None:
        """Store a part of the body, unless the response belongs to another request."""
        self.body_bytes += len(data)
        if self.skipping_unmatched:
            return
        if not self.received:
            self.body = data
        else:
            # A list of parts would take far more memory than their bytes if these are few in each.
            if isinstance(self.body, bytes):
                self.body = bytearray(self.body)
            self.body += data
        self.received += len(data)

    def on_message_complete(self) -> None:
        """Complete the response, unless it is informational (1xx) or belongs to another request."""
        if self.skipping_unmatched or self.parser.get_status_code() in INFORMATIONAL_STATUSES:
            self.reset_response()
            return
        self.complete = True
        # Read now: after this callback the parser has dropped the headers and would always return False.
        self.keep_alive = self.parser.should_keep_alive()

    @property
    def is_close_delimited(self) -> bool:
        """Whether the response body ends where the connection closes (RFC 9112, section 6.3).

        That of a response to another request says nothing about this one.
        """
        chunked = "transfer-encoding" in self.headers
        undeclared = self.head_complete and self.declared == LENGTH_UNKNOWN and not chunked
        return undeclared and not self.skipping_unmatched

    def keep_alive_seconds(self) -> float:
        """Return how long the idle connection may be reused; infinity without a ``Keep-Alive: timeout``."""
        for part in self.headers.get("keep-alive", "").split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.isdecimal():
                return float(value) * KEEP_ALIVE_SHARE
        return float("inf")

    def build_response(self) -> HttpResponse:
        """Return the response received."""
        return HttpResponse(self.parser.get_status_code(), self.headers, bytes(self.body))


def parse_address(address: str) -> tuple[str, int]:
    """Split ``ip:port`` into address and port number.

    Raises
    ------
    InvalidArgument
        If the address is not an IPv4 address with a port from 1 to 65535.
    """
    host, separator, port = address.rpartition(":")
    try:
        socket.inet_aton(host)
        number = int(port)
    except (OSError, ValueError):
        separator = ""
    if not separator or not 0 < number < 65_536:
        raise InvalidArgument(name="address", value=address, expected="ip:port")
    return host, number


def encode_request(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    host: str | None = None,
    encoding: str = "ascii",
) -> bytes:
    """Return the bytes of a request.

    Parameters
    ----------
    host : str, optional
        Value of the Host header; ``address`` by default.
    encoding : str
        Encoding of the head: ``ascii`` or ``latin-1``.

    Raises
    ------
    InvalidArgument
        If a part of the head contains characters that would change the structure of the request or that the
        encoding lacks, or names a header that the client sets itself.
    """
    if not RESERVED_HEADERS.isdisjoint(headers):
        raise InvalidArgument(
            name="headers", value=sorted(headers), expected=f"none of {sorted(RESERVED_HEADERS)}"
        )
    lines = [f"{method} {path} HTTP/1.1", f"host: {host or address}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"content-length: {len(body)}\r\n\r\n")
    head = "\r\n".join(lines)
    count = len(lines) + 1
    if head.count("\n") != count or head.count("\r") != count:
        raise InvalidArgument(name="headers", value=sorted(headers), expected="no line breaks")
    if lines[0].count(" ") != 2 or not path.isascii():
        raise InvalidArgument(name="path", value=path, expected="ASCII text without spaces")
    try:
        return head.encode(encoding) + body
    except UnicodeEncodeError:
        raise InvalidArgument(name="headers", value=sorted(headers), expected=f"{encoding} text") from None
