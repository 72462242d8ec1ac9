"""A crowd of clients that misbehave, on one thread with non-blocking sockets."""

from __future__ import annotations

import errno
import itertools
import selectors
import socket
import struct
import time
from collections.abc import Callable, Iterator

BODY_BYTES = 1_000_000
SMALL_PIECE = b"s" * 700
BIG_CHUNK = b"10000\r\n" + b"c" * 65_536 + b"\r\n"
TINY_CHUNKS = b"1\r\nt\r\n" * 10_000
PIECE = b"p" * 100_000
# Fields of a head count with four bytes of punctuation each, 15,840 of the 16,384 bytes that are allowed.
FIELDS = b"".join(
    b"%c%c:%c%c\r\n" % (97 + i // 26 % 26, 97 + i % 26, 65 + i % 26, 97 + i % 7) for i in range(1980)
)
# Seconds between two steps of clients that send or read slowly.
SLOW_STEP_SECONDS = 0.05
SLOW_READ_BYTES = 1_000
SELECT_SECONDS = 0.02
# Pieces that one client sends in a turn, lest the first clients of a crowd keep the others from sending.
PIECES_PER_TURN = 4
ATTEMPTS = itertools.count(1)


def head(place: str, method: str = "POST", fields: bytes = b"") -> bytes:
    """Return a head without its last line."""
    path, host = place.split("@")
    attempt = next(ATTEMPTS)
    text = f"{method} {path} HTTP/1.1\r\nhost: {host}\r\nx-hibiscusdrum-attempt-id: m{attempt}\r\n"
    return text.encode() + fields


def body_of(size: int, block: bytes) -> Iterator[bytes]:
    """Yield ``size`` bytes in blocks."""
    for _ in range(size // len(block)):
        yield block
    yield block[: size % len(block)]


def one_piece(place: str) -> Iterator[bytes]:
    """Yield a body without its last byte."""
    yield head(place) + b"content-length: %d\r\n\r\n" % BODY_BYTES
    yield from body_of(BODY_BYTES - 1, PIECE)


def small_pieces(place: str) -> Iterator[bytes]:
    """Yield a body in pieces of less than a packet, without its last byte."""
    yield head(place) + b"content-length: %d\r\n\r\n" % BODY_BYTES
    yield from body_of(BODY_BYTES - 1, SMALL_PIECE)


def big_chunks(place: str) -> Iterator[bytes]:
    """Yield a body in chunks of 64 KiB without the last chunk."""
    yield head(place) + b"transfer-encoding: chunked\r\n\r\n"
    yield from itertools.repeat(BIG_CHUNK, BODY_BYTES // 65_536)


def tiny_chunks(place: str) -> Iterator[bytes]:
    """Yield a body in chunks of one byte without the last chunk."""
    yield head(place) + b"transfer-encoding: chunked\r\n\r\n"
    yield from itertools.repeat(TINY_CHUNKS, BODY_BYTES // 10_000)


def endless_body(place: str) -> Iterator[bytes]:
    """Yield a body in chunks without end."""
    yield head(place) + b"transfer-encoding: chunked\r\n\r\n"
    yield from itertools.repeat(BIG_CHUNK)


def declared_body(place: str) -> Iterator[bytes]:
    """Yield a body whose declared length is far over the limit."""
    yield head(place) + b"content-length: 10000000000\r\n\r\n"
    yield from itertools.repeat(PIECE)


def many_fields(place: str) -> Iterator[bytes]:
    """Yield a complete head of short fields."""
    yield head(place, "GET", FIELDS) + b"\r\n"


def many_fields_held(place: str) -> Iterator[bytes]:
    """Yield a head of short fields without its last line."""
    yield head(place, "GET", FIELDS)


def requests_ahead(place: str) -> Iterator[bytes]:
    """Yield requests without end."""
    block = b"".join(head(place, "GET") + b"\r\n" for _ in range(100))
    yield from itertools.repeat(block)


def byte_by_byte(place: str) -> Iterator[bytes]:
    """Yield the bytes of a request one by one."""
    for byte in head(place) + b"content-length: 10000\r\n\r\n" + b"b" * 10_000:
        yield bytes((byte,))


def half_a_request(place: str) -> Iterator[bytes]:
    """Yield a head without its end."""
    yield head(place, "GET")


def large_answers(place: str) -> Iterator[bytes]:
    """Yield requests whose answers are large where the place has any."""
    large = place.replace("/r/x", "/r/large")
    yield b"".join(head(large, "GET") + b"\r\n" for _ in range(8))


def node_frames(place: str) -> Iterator[bytes]:
    """Yield the handshake of a node, and messages whose last frames are held back."""
    yield b"\xff" + b"\0" * 8 + b"\x7f\x03\0" + b"NULL".ljust(20, b"\0") + b"\0" * 32
    ready = b"\x05READY\x0bSocket-Type" + struct.pack(">I", 6) + b"DEALER"
    yield b"\x04" + bytes((len(ready),)) + ready
    yield b"\x03" + struct.pack(">Q", BODY_BYTES)
    yield from body_of(BODY_BYTES, PIECE)
    yield b"\x02" + struct.pack(">Q", BODY_BYTES)
    yield from body_of(BODY_BYTES - 1, PIECE)


# Per kind: what a client sends, whether it sends it slowly, and the bytes that it reads at a time; 0: none.
KINDS: dict[str, tuple[Callable[[str], Iterator[bytes]], bool, int]] = {
    "bodies in one piece": (one_piece, False, 65_536),
    "bodies in small pieces": (small_pieces, False, 65_536),
    "bodies in big chunks": (big_chunks, False, 65_536),
    "bodies in chunks of one byte": (tiny_chunks, False, 65_536),
    "bodies without end": (endless_body, False, 65_536),
    "bodies that are declared too large": (declared_body, False, 65_536),
    "heads of many fields": (many_fields, False, 0),
    "heads of many fields, held back": (many_fields_held, False, 65_536),
    "requests ahead": (requests_ahead, False, 0),
    "one byte at a time": (byte_by_byte, True, 65_536),
    "half a request": (half_a_request, False, 65_536),
    "reads of large answers, read slowly": (large_answers, False, SLOW_READ_BYTES),
    "reads of large answers, never read": (large_answers, False, 0),
}
FRAMES_KIND = "frames between nodes, held back"


class Client:
    """A client of the crowd, which connects again when its connection is closed."""

    __slots__ = (
        "address",
        "buffer",
        "kind",
        "pieces",
        "place",
        "read_bytes",
        "slow",
        "sock",
        "step_at",
        "stream",
    )

    def __init__(self, kind: str, address: str, place: str) -> None:
        self.kind, self.place = kind, place
        host, _, port = address.rpartition(":")
        self.address = (host, int(port))
        self.stream, self.slow, self.read_bytes = KINDS.get(kind) or (node_frames, False, 65_536)
        self.sock: socket.socket | None = None
        self.step_at = 0.0

    def connect(self, selector: selectors.BaseSelector) -> None:
        """Open a connection, and begin to send."""
        self.sock = socket.socket()
        self.sock.setblocking(False)
        # The connections of a crowd leave no ports behind that the next one would lack.
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        if self.read_bytes < 65_536:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self.sock.connect_ex(self.address)
        self.pieces, self.buffer = self.stream(self.place), b""
        selector.register(self.sock, selectors.EVENT_READ | selectors.EVENT_WRITE, self)

    def close(self, selector: selectors.BaseSelector) -> None:
        """Close the connection."""
        if self.sock is not None:
            selector.unregister(self.sock)
            self.sock.close()
            self.sock = None

    def set_events(self, selector: selectors.BaseSelector, events: int) -> None:
        """Wait for these events; for errors alone if there are none."""
        selector.modify(self.sock, events, self)

    def step(self, selector: selectors.BaseSelector, events: int, now: float) -> bool:
        """Send and read what is possible; return whether the connection is still open."""
        paced = self.slow or 0 < self.read_bytes < 65_536
        if paced and now < self.step_at:
            return True
        self.step_at = now + SLOW_STEP_SECONDS
        try:
            if events & selectors.EVENT_READ and self.read_bytes and not self.sock.recv(self.read_bytes):
                return False
            if events & selectors.EVENT_WRITE:
                self.send_pieces(selector)
        except BlockingIOError:
            pass
        except OSError as error:
            return error.errno in (errno.EAGAIN, errno.ENOTCONN, errno.EINPROGRESS)
        return True

    def send_pieces(self, selector: selectors.BaseSelector) -> None:
        """Send some pieces, one if slow."""
        for _ in range(1 if self.slow else PIECES_PER_TURN):
            if not self.buffer:
                piece = next(self.pieces, None)
                if piece is None:
                    self.set_events(selector, selectors.EVENT_READ)
                    return
                self.buffer = memoryview(piece)
            sent = self.sock.send(self.buffer)
            self.buffer = self.buffer[sent:]


def run_crowd(clients: list[Client], seconds: float, observe: Callable[[], None]) -> None:
    """Let the clients act for some time, and close their connections.

    Parameters
    ----------
    observe : callable
        Called at intervals meanwhile.
    """
    with selectors.DefaultSelector() as selector:
        for client in clients:
            client.connect(selector)
        ends_at = time.monotonic() + seconds
        observed_at = 0.0
        while (now := time.monotonic()) < ends_at:
            if now >= observed_at:
                observe()
                observed_at = now + SLOW_STEP_SECONDS
            for key, events in selector.select(SELECT_SECONDS):
                client = key.data
                if not client.step(selector, events, now):
                    client.close(selector)
                    client.connect(selector)
            time.sleep(0.001)
        observe()
        for client in clients:
            client.close(selector)
