"""Connections and messages of the HTTP client: encoding of requests, parsing of answers."""

from __future__ import annotations

import enum
import socket
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

import httptools
from returns.result import Result

from hibiscusdrum.errors import InvalidArgument

if TYPE_CHECKING:
    from hibiscusdrum.internal.transport.http_client import HttpClient

# Largest answer that is buffered; a peer that sends more would exhaust the 64 MB of a daemon.
MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_HEAD_BYTES = 65_536
# Bodies of answers that are held for all connections together; a VM of the smallest kind has 200 MB.
MAX_BUFFERED_BYTES = 32 * 1024 * 1024
# Framing that a byte of a body may take: a chunk of one byte is five bytes longer than the byte.
CHUNK_OVERHEAD_BYTES = 5
DEFAULT_MAX_CONNECTIONS = 64
# Headers that the client sets; a second one would let the peer read another request than was sent.
RESERVED_HEADERS = frozenset(("host", "content-length", "transfer-encoding"))
# An idle connection is not used again later than this share of the time that the peer keeps it open.
KEEP_ALIVE_SHARE = 0.8
# A peer that repeats this header lets the client tell an answer from a late one to an earlier request.
REQUEST_ID_HEADER = "x-hibiscusdrum-request-id"
LENGTH_UNKNOWN = -1
INFORMATIONAL_STATUSES = range(100, 200)


def framing_exceeds_limit(limit: int, received: int, body: int) -> bool:
    """Return whether heads and framing are longer than allowed.

    A parser reports a header or the framing of a chunk when it is complete, so one without end shows only in
    what it was fed.

    Parameters
    ----------
    limit : int
        Bytes allowed for a head.
    received, body : int
        Bytes fed to the parser, and those of them that it reported as part of a body.
    """
    return received - body > limit + CHUNK_OVERHEAD_BYTES * body


class FailureKind(enum.Enum):
    """Reason why an exchange has no answer."""

    REFUSED = "refused"
    TIMEOUT = "timeout"
    CLOSED = "closed"
    INCOMPLETE = "incomplete"
    MALFORMED = "malformed"
    CANCELLED = "cancelled"


class HttpResponse:
    """A complete answer.

    Attributes
    ----------
    status : int
    headers : dict of str to str
        Names in lower case; values of repeated names are joined with a comma.
    body : bytes
    """

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class HttpFailure:
    """Why an exchange has no answer.

    Attributes
    ----------
    bytes_sent : bool
        False only if no byte of the request was handed to the kernel's socket.
    kind : FailureKind
    received, declared : int
        Body bytes received, and the length that the answer declared, or -1.
    """

    __slots__ = ("bytes_sent", "declared", "kind", "received")

    def __init__(
        self, bytes_sent: bool, kind: FailureKind, received: int = 0, declared: int = LENGTH_UNKNOWN
    ) -> None:
        self.bytes_sent = bytes_sent
        self.kind = kind
        self.received = received
        self.declared = declared

    def __repr__(self) -> str:
        return (
            f"HttpFailure(bytes_sent={self.bytes_sent}, kind={self.kind.value}, "
            f"received={self.received}, declared={self.declared})"
        )


HttpCallback = Callable[[Result[HttpResponse, HttpFailure]], None]


class HttpExchange:
    """One request and its answer; the callback is called exactly once."""

    __slots__ = (
        "bytes_sent",
        "callback",
        "client",
        "connection",
        "deadline",
        "done",
        "is_head_request",
        "payload",
        "pool",
        "request_id",
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
        self.callback = callback
        self.connection: Connection | None = None
        self.bytes_sent = False
        self.done = False

    def cancel(self) -> None:
        """Give up; the callback gets ``FailureKind.CANCELLED`` before this returns. No effect when done."""
        self.client.abort(self, FailureKind.CANCELLED)


# After a peer has dropped a connection that rested, those that rested for this share of the time or longer
# are not used again, for as long as the second figure says. A rest of the third is always allowed.
IDLE_LIMIT_SHARE = 0.5
IDLE_LIMIT_TTL_SECONDS = 15.0
MIN_IDLE_LIMIT_SECONDS = 0.05
# A connection that the peer had dropped is reset at once; a later reset has another cause.
STALE_RESET_WITHIN_SECONDS = 0.03


class ConnectionPool:
    """Connections to one address, and the requests that wait for one.

    Attributes
    ----------
    idle : list of Connection
        Most recently used last, so that the surplus ages and is closed by the peer.
    open_count : int
        Connections that exist, idle ones included.
    idle_limit : float
        Seconds of rest after which a connection is not used again, because the peer has dropped such ones
        without notice.
    idle_limit_until : float
        Monotonic time in seconds until which that limit holds.
    """

    __slots__ = (
        "address",
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

    def exceeds_idle_limit(self, seconds: float, now: float) -> bool:
        """Return whether a connection that has rested for some seconds may have been dropped by the peer."""
        return now < self.idle_limit_until and seconds > self.idle_limit

    def record_reset(self, connection: Connection, now: float) -> None:
        """Learn from a connection that ended without an answer."""
        dropped = connection.reused and now - connection.sent_at < STALE_RESET_WITHIN_SECONDS
        if dropped and connection.idle_duration > MIN_IDLE_LIMIT_SECONDS:
            self.record_idle_drop(connection.idle_duration, now)

    def record_idle_drop(self, seconds: float, now: float) -> None:
        """Note that the peer had dropped a connection that rested for some seconds."""
        previous = self.idle_limit if now < self.idle_limit_until else float("inf")
        self.idle_limit = min(previous, max(MIN_IDLE_LIMIT_SECONDS, seconds * IDLE_LIMIT_SHARE))
        self.idle_limit_until = now + IDLE_LIMIT_TTL_SECONDS


class Connection:
    """One socket and the parser of its answers; the methods named ``on_`` are called by httptools.

    Attributes
    ----------
    fed_bytes, body_bytes : int
        Bytes that arrived for the present exchange, and those of them in bodies, of other answers too.
    """

    __slots__ = (
        "body",
        "body_bytes",
        "body_parts",
        "complete",
        "connecting",
        "declared",
        "exchange",
        "expires_at",
        "fed_bytes",
        "head_bytes",
        "headers",
        "idle_duration",
        "idle_since",
        "keep_alive",
        "malformed",
        "parser",
        "pool",
        "received",
        "response_started",
        "reused",
        "sent_at",
        "skipping_unmatched",
        "sock",
        "unsent",
    )

    def __init__(self, pool: ConnectionPool, sock: socket.socket) -> None:
        self.pool = pool
        self.sock = sock
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
        """Forget the last answer."""
        self.headers: dict[str, str] = {}
        self.body = b""
        self.body_parts: list[bytes] | None = None
        self.received = 0
        self.declared = LENGTH_UNKNOWN
        self.head_bytes = 0
        self.response_started = False
        self.complete = False
        self.keep_alive = False
        self.skipping_unmatched = False

    def feed(self, data: bytes) -> None:
        """Parse what arrived; ``malformed`` tells afterwards that it is no acceptable answer."""
        self.fed_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.malformed = True
        if self.body_bytes > MAX_BODY_BYTES or framing_exceeds_limit(
            MAX_HEAD_BYTES, self.fed_bytes, self.body_bytes
        ):
            self.malformed = True

    def on_message_begin(self) -> None:
        """Note the start of an answer; one after the answer that was asked for ends the parsing."""
        if self.complete:
            raise httptools.HttpParserError("second answer to one request")
        self.response_started = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self.head_bytes += len(name) + len(value)
        if self.head_bytes > MAX_HEAD_BYTES:
            self.malformed = True
            return
        key = name.decode("latin-1").lower()
        text = value.decode("latin-1")
        if key in self.headers:
            text = f"{self.headers[key]}, {text}"
        self.headers[key] = text

    def on_headers_complete(self) -> None:
        """Note the declared length; the parser has already refused one that is not a number."""
        client = self.exchange.client
        if self.headers.get(client.request_id_header, self.exchange.request_id) != self.exchange.request_id:
            if not client.skips_unmatched_responses:
                raise httptools.HttpParserError("answer to another request")
            self.skipping_unmatched = True
            return
        length = self.headers.get("content-length")
        if length is not None:
            self.declared = int(length.partition(",")[0])
            if self.declared > MAX_BODY_BYTES:
                self.malformed = True
        if self.exchange.is_head_request and self.parser.get_status_code() not in INFORMATIONAL_STATUSES:
            # The parser does not know that this answer has no body, and would wait for it.
            self.complete = True

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body; that of an answer to another request is dropped."""
        self.body_bytes += len(data)
        if self.skipping_unmatched:
            return
        if not self.received:
            self.body = data
        elif self.body_parts is None:
            self.body_parts = [self.body, data]
        else:
            self.body_parts.append(data)
        self.received += len(data)

    def on_message_complete(self) -> None:
        """Note the end of an answer; informational answers precede the real one."""
        if self.skipping_unmatched or self.parser.get_status_code() in INFORMATIONAL_STATUSES:
            self.reset_response()
            return
        self.complete = True
        # The parser forgets the headers after this call, and would then always say no.
        self.keep_alive = self.parser.should_keep_alive()

    @property
    def is_close_delimited(self) -> bool:
        """Whether an answer has begun whose body has no declared end."""
        chunked = "transfer-encoding" in self.headers
        return (
            self.response_started and bool(self.headers) and self.declared == LENGTH_UNKNOWN and not chunked
        )

    def keep_alive_seconds(self) -> float:
        """Return how long the peer keeps the connection open, or infinity when it does not say."""
        for part in self.headers.get("keep-alive", "").split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.isdecimal():
                return float(value) * KEEP_ALIVE_SHARE
        return float("inf")

    def build_response(self) -> HttpResponse:
        """Return the answer received."""
        body = self.body if self.body_parts is None else b"".join(self.body_parts)
        return HttpResponse(self.parser.get_status_code(), self.headers, body)


def parse_address(address: str) -> tuple[str, int]:
    """Split ``ip:port``.

    Raises
    ------
    InvalidArgument
        If the address has another form.
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
    address: str, method: str, path: str, headers: dict[str, str], body: bytes, host: str | None = None
) -> bytes:
    """Return the bytes of a request; ``host`` is the address when not given.

    Raises
    ------
    InvalidArgument
        If a part of the head would be read as more than that part.
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
    if lines[0].count(" ") != 2:
        raise InvalidArgument(name="path", value=path, expected="no spaces")
    try:
        return head.encode("ascii") + body
    except UnicodeEncodeError:
        raise InvalidArgument(name="headers", value=sorted(headers), expected="ASCII text") from None
