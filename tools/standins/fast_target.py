"""Minimal target for load measurements: epoll sockets and httptools, without circuits.

Run as ``python -m tools.standins.fast_target --address 127.0.0.1:7101 --service wappensuche``. It honors the
request headers and the grant control of ``tools.standins.target``. It has no slots, fault injection or record
of effects, so that the stand-in does not limit a measurement.
"""

from __future__ import annotations

import json
import select
import signal
import socket
import sys
import time
from collections import Counter
from typing import Any

import defopt
import httptools

RECEIVE_BUFFER_BYTES = 65_536
ACCEPT_BACKLOG = 1024
ANNOUNCE_INTERVAL_SECONDS = 1.0
OK_HEAD_FORMAT = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
RAN_HEAD_FORMAT = OK_HEAD_FORMAT.replace(b"\r\n\r\n", b"\r\nx-hibiscusdrum-request-id: %b\r\n\r\n")
NOT_RUN_HEAD_FORMAT = (
    b"HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\n"
    b"content-type: application/json\r\ncontent-length: %d\r\n\r\n"
)


class Connection:
    """Connection of one caller; httptools calls the methods whose names begin with ``on_``."""

    __slots__ = (
        "body",
        "deadline_ns",
        "epoch",
        "key",
        "parser",
        "path",
        "request_id",
        "sock",
        "target",
        "unsent_data",
        "write_pending",
    )

    def __init__(self, target: FastTarget, sock: socket.socket) -> None:
        self.target = target
        self.sock = sock
        self.parser = httptools.HttpRequestParser(self)
        self.unsent_data = b""
        self.write_pending = False

    def on_message_begin(self) -> None:
        """Reset the fields of the request."""
        self.path = b""
        self.request_id = self.key = b""
        self.epoch = self.deadline_ns = 0
        self.body = b""

    def on_url(self, url: bytes) -> None:
        """Append to the path."""
        self.path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header of the target protocol."""
        name = name.lower()
        if name == b"x-hibiscusdrum-request-id":
            self.request_id = value
        elif name == b"x-hibiscusdrum-key":
            self.key = value
        elif name == b"x-hibiscusdrum-epoch":
            self.epoch = int(value)
        elif name == b"x-hibiscusdrum-deadline-ns":
            self.deadline_ns = int(value)

    def on_body(self, data: bytes) -> None:
        """Append to the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Handle the complete request and queue its response."""
        self.unsent_data += self.target.handle_request(self)


class FastTarget:
    """Accepts connections and responds to each request immediately.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on.
    service : str
        Service name in the responses.
    checks_epoch : bool
        Whether requests with an older epoch are refused.
    """

    def __init__(self, address: str, service: str, checks_epoch: bool) -> None:
        host, _, port = address.rpartition(":")
        self.service = service.encode()
        self.checks_epoch = checks_epoch
        self.highest_epoch = 0
        self.requests_by_key: Counter[bytes] = Counter()
        self.connections: dict[int, Connection] = {}
        self.epoll = select.epoll()
        self.listener = socket.create_server((host, int(port)), backlog=ACCEPT_BACKLOG)
        self.listener.setblocking(False)
        self.epoll.register(self.listener.fileno(), select.EPOLLIN)
        self.stopping = False

    def handle_request(self, request: Connection) -> bytes:
        """Handle a request and return the encoded response."""
        if request.path.startswith(b"/control/grant"):
            self.highest_epoch = max(self.highest_epoch, json.loads(request.body)["epoch"])
            return encode_response(OK_HEAD_FORMAT, b'{"epoch":%d}' % self.highest_epoch)
        if request.path in (b"/load", b"/health"):
            return encode_response(OK_HEAD_FORMAT, b'{"state":"ready","running":0,"waiting":0}')
        if request.deadline_ns and time.monotonic_ns() > request.deadline_ns:
            return encode_response(NOT_RUN_HEAD_FORMAT, b'{"reason":"expired"}')
        if self.checks_epoch and request.epoch < self.highest_epoch:
            return encode_response(NOT_RUN_HEAD_FORMAT, b'{"reason":"stale_epoch"}')
        self.highest_epoch = max(self.highest_epoch, request.epoch)
        self.requests_by_key[request.key] += 1
        values = (self.service, request.key, request.request_id, self.requests_by_key[request.key])
        body = b'{"service":"%b","key":"%b","request_id":"%b","count":%d}' % values
        if not request.request_id:
            return encode_response(OK_HEAD_FORMAT, body)
        return RAN_HEAD_FORMAT % (len(body), request.request_id) + body

    def run(self, announcer: Announcer) -> None:
        """Serve connections and send announcements until stopped."""
        while not self.stopping:
            poll_timeout = announcer.seconds_until_announcement()
            for fileno, events in self.epoll.poll(poll_timeout):
                if fileno == self.listener.fileno():
                    self.accept_connections()
                elif fileno in self.connections:
                    self.handle_socket_events(self.connections[fileno], events)
            announcer.announce_when_due()

    def accept_connections(self) -> None:
        """Accept all pending connections."""
        while True:
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections[sock.fileno()] = Connection(self, sock)
            self.epoll.register(sock.fileno(), select.EPOLLIN)

    def handle_socket_events(self, connection: Connection, events: int) -> None:
        """Handle the epoll events of a connection; an error or its end closes it."""
        try:
            if events & ~select.EPOLLOUT:
                data = connection.sock.recv(RECEIVE_BUFFER_BYTES)
                if not data:
                    self.close(connection)
                    return
                connection.parser.feed_data(data)
            self.flush(connection)
        except (OSError, httptools.HttpParserError):
            self.close(connection)

    def flush(self, connection: Connection) -> None:
        """Send as much as the socket accepts, and poll for writability while data is left."""
        if not connection.unsent_data:
            return
        try:
            sent = connection.sock.send(connection.unsent_data)
        except BlockingIOError:
            sent = 0
        connection.unsent_data = connection.unsent_data[sent:]
        if connection.unsent_data or connection.write_pending:
            connection.write_pending = bool(connection.unsent_data)
            events = select.EPOLLIN | (select.EPOLLOUT if connection.write_pending else 0)
            self.epoll.modify(connection.sock.fileno(), events)

    def close(self, connection: Connection) -> None:
        """Close a connection."""
        del self.connections[connection.sock.fileno()]
        connection.sock.close()


class Announcer:
    """Announces the target to its daemon each second and does not read the responses.

    Parameters
    ----------
    daemon_address : str
        ``ip:port`` of the daemon; empty to announce nothing.
    announcement : dict
        Body of the announcement.
    """

    def __init__(self, daemon_address: str, announcement: dict[str, Any]) -> None:
        self.daemon_address = daemon_address
        body = json.dumps(announcement).encode()
        self.encoded_request = (
            b"POST /v1/target/announce HTTP/1.1\r\nhost: %b\r\nconnection: close\r\n"
            b"content-type: application/json\r\ncontent-length: %d\r\n\r\n%b"
        ) % (daemon_address.encode(), len(body), body)
        self.next_announcement_at = time.monotonic()
        self.sock: socket.socket | None = None

    def seconds_until_announcement(self) -> float:
        """Return the seconds until the next announcement, at most one interval."""
        return max(0.0, self.next_announcement_at - time.monotonic())

    def announce_when_due(self) -> None:
        """Send an announcement if one is due; after a failure the next one is sent as usual."""
        if time.monotonic() < self.next_announcement_at:
            return
        self.next_announcement_at = time.monotonic() + ANNOUNCE_INTERVAL_SECONDS
        if not self.daemon_address:
            return
        if self.sock is not None:
            self.sock.close()
        host, _, port = self.daemon_address.rpartition(":")
        try:
            self.sock = socket.create_connection((host, int(port)), timeout=0.2)
            self.sock.sendall(self.encoded_request)
        except OSError:
            self.sock = None


def encode_response(head: bytes, body: bytes) -> bytes:
    """Fill the body's length into a response head and append the body."""
    return head % len(body) + body


def main(
    *,
    address: str = "127.0.0.1:7101",
    daemon_address: str = "",
    service: str = "wappensuche",
    slots: int = 9,
    connections: int = 120,
    checks_epoch: str = "true",
) -> int:
    """Run a minimal target until SIGTERM or SIGINT.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on.
    daemon_address : str
        ``ip:port`` of the daemon that gets the announcements; empty for none.
    service : str
        Name of the service.
    slots : int
        Announced number of slots; not enforced here.
    connections : int
        Announced connection limit; not enforced here.
    checks_epoch : str
        ``true`` or ``false``: whether requests with an older epoch are refused.
    """
    checks_epochs = checks_epoch == "true"
    target = FastTarget(address, service, checks_epochs)
    announcement = {
        "service": service,
        "address": address,
        "slots": slots,
        "connections": connections,
        "checks_epoch": checks_epochs,
    }

    def request_stop(*_args: Any) -> None:
        target.stopping = True

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    target.run(Announcer(daemon_address, announcement))
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
