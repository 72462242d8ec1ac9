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
MAX_HELD_BYTES = 32 * 1024 * 1024
# Framing that a byte of a body may take: a chunk of one byte is five bytes longer than the byte.
CHUNK_OVERHEAD = 5
DEFAULT_MAX_CONNECTIONS = 64
# Headers that the client sets; a second one would let the peer read another request than was sent.
OWN_HEADERS = frozenset(("host", "content-length", "transfer-encoding"))
# An idle connection is not used again later than this share of the time that the peer keeps it open.
KEEP_ALIVE_SHARE = 0.8
# A peer that repeats this header lets the client tell an answer from a late one to an earlier request.
REQUEST_ID_HEADER = "x-hibiscusdrum-request-id"
NO_LENGTH = -1
INFORMATIONAL = range(100, 200)


def framing_exceeds(limit: int, received: int, body: int) -> bool:
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
    return received - body > limit + CHUNK_OVERHEAD * body


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
        self, bytes_sent: bool, kind: FailureKind, received: int = 0, declared: int = NO_LENGTH
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
        "head_only",
        "payload",
        "pool",
        "request_id",
    )

    def __init__(
        self,
        client: HttpClient,
        pool: Pool,
        payload: bytes,
        request_id: str | None,
        head_only: bool,
        deadline: float,
        callback: HttpCallback,
    ) -> None:
        self.client = client
        self.pool = pool
        self.payload = payload
        self.request_id = request_id
        self.head_only = head_only
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
REST_SHARE = 0.5
REST_LIMIT_SECONDS = 15.0
SHORTEST_REST_SECONDS = 0.05
# A connection that the peer had dropped is reset at once; a later reset has another cause.
DROPPED_WITHIN_SECONDS = 0.03


class Pool:
    """Connections to one address, and the requests that wait for one.

    Attributes
    ----------
    idle : list of Connection
        Most recently used last, so that the surplus ages and is closed by the peer.
    open_count : int
        Connections that exist, idle ones included.
    rest_limit : float
        Seconds of rest after which a connection is not used again, because the peer has dropped such ones
        without notice.
    limited_until : float
        Monotonic time in seconds until which that limit holds.
    """

    __slots__ = (
        "address",
        "idle",
        "limited_until",
        "max_connections",
        "open_count",
        "peer",
        "rest_limit",
        "waiting",
    )

    def __init__(self, address: str, peer: tuple[str, int]) -> None:
        self.address = address
        self.peer = peer
        self.idle: list[Connection] = []
        self.open_count = 0
        self.max_connections = DEFAULT_MAX_CONNECTIONS
        self.waiting: deque[HttpExchange] = deque()
        self.rest_limit = float("inf")
        self.limited_until = float("-inf")

    def rested_too_long(self, seconds: float, now: float) -> bool:
        """Return whether a connection that has rested for some seconds may have been dropped by the peer."""
        return now < self.limited_until and seconds > self.rest_limit

    def note_reset(self, connection: Connection, now: float) -> None:
        """Learn from a connection that ended without an answer."""
        dropped = connection.reused and now - connection.sent_at < DROPPED_WITHIN_SECONDS
        if dropped and connection.rest > SHORTEST_REST_SECONDS:
            self.note_dropped(connection.rest, now)

    def note_dropped(self, seconds: float, now: float) -> None:
        """Note that the peer had dropped a connection that rested for some seconds."""
        former = self.rest_limit if now < self.limited_until else float("inf")
        self.rest_limit = min(former, max(SHORTEST_REST_SECONDS, seconds * REST_SHARE))
        self.limited_until = now + REST_LIMIT_SECONDS


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
        "broken",
        "chunks",
        "complete",
        "connecting",
        "declared",
        "exchange",
        "expires_at",
        "fed_bytes",
        "head_bytes",
        "headers",
        "keep_alive",
        "parser",
        "pool",
        "received",
        "rest",
        "rested_at",
        "reused",
        "sent_at",
        "skipping",
        "sock",
        "started",
        "unsent",
    )

    def __init__(self, pool: Pool, sock: socket.socket) -> None:
        self.pool = pool
        self.sock = sock
        self.parser = httptools.HttpResponseParser(self)
        self.exchange: HttpExchange | None = None
        self.connecting = True
        self.unsent: memoryview | None = None
        self.reused = False
        self.rested_at = 0.0
        self.rest = 0.0
        self.sent_at = 0.0
        self.broken = False
        self.expires_at = float("inf")
        self.fed_bytes = 0
        self.body_bytes = 0
        self.reset()

    def reset(self) -> None:
        """Forget the last answer."""
        self.headers: dict[str, str] = {}
        self.body = b""
        self.chunks: list[bytes] | None = None
        self.received = 0
        self.declared = NO_LENGTH
        self.head_bytes = 0
        self.started = False
        self.complete = False
        self.keep_alive = False
        self.skipping = False

    def feed(self, data: bytes) -> None:
        """Parse what arrived; ``broken`` tells afterwards that it is no acceptable answer."""
        self.fed_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.broken = True
        if self.body_bytes > MAX_BODY_BYTES or framing_exceeds(
            MAX_HEAD_BYTES, self.fed_bytes, self.body_bytes
        ):
            self.broken = True

    def on_message_begin(self) -> None:
        """Note the start of an answer; one after the answer that was asked for ends the parsing."""
        if self.complete:
            raise httptools.HttpParserError("second answer to one request")
        self.started = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self.head_bytes += len(name) + len(value)
        if self.head_bytes > MAX_HEAD_BYTES:
            self.broken = True
            return
        key = name.decode("latin-1").lower()
        text = value.decode("latin-1")
        if key in self.headers:
            text = f"{self.headers[key]}, {text}"
        self.headers[key] = text

    def on_headers_complete(self) -> None:
        """Note the declared length; the parser has already refused one that is not a number."""
        client = self.exchange.client
        if self.headers.get(client.id_header, self.exchange.request_id) != self.exchange.request_id:
            if not client.skips_unmatched_answers:
                raise httptools.HttpParserError("answer to another request")
            self.skipping = True
            return
        length = self.headers.get("content-length")
        if length is not None:
            self.declared = int(length.partition(",")[0])
            if self.declared > MAX_BODY_BYTES:
                self.broken = True
        if self.exchange.head_only and self.parser.get_status_code() not in INFORMATIONAL:
            # The parser does not know that this answer has no body, and would wait for it.
            self.complete = True

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body; that of an answer to another request is dropped."""
        self.body_bytes += len(data)
        if self.skipping:
            return
        if not self.received:
            self.body = data
        elif self.chunks is None:
            self.chunks = [self.body, data]
        else:
            self.chunks.append(data)
        self.received += len(data)

    def on_message_complete(self) -> None:
        """Note the end of an answer; informational answers precede the real one."""
        if self.skipping or self.parser.get_status_code() in INFORMATIONAL:
            self.reset()
            return
        self.complete = True
        # The parser forgets the headers after this call, and would then always say no.
        self.keep_alive = self.parser.should_keep_alive()

    @property
    def ends_with_connection(self) -> bool:
        """Whether an answer has begun whose body has no declared end."""
        chunked = "transfer-encoding" in self.headers
        return self.started and bool(self.headers) and self.declared == NO_LENGTH and not chunked

    def idle_seconds(self) -> float:
        """Return how long the peer keeps the connection open, or infinity when it does not say."""
        for part in self.headers.get("keep-alive", "").split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.isdecimal():
                return float(value) * KEEP_ALIVE_SHARE
        return float("inf")

    def response(self) -> HttpResponse:
        """Return the answer received."""
        body = self.body if self.chunks is None else b"".join(self.chunks)
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
    if not OWN_HEADERS.isdisjoint(headers):
        raise InvalidArgument(
            name="headers", value=sorted(headers), expected=f"none of {sorted(OWN_HEADERS)}"
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
