"""HTTP/1.1 server on the sockets of the circuits loop, parsed by httptools.

``circuits.web`` answers one request of a pipeline and cannot tell a handler that the caller has left, and it
accepts a length beside chunked encoding. This server answers pipelines in order, reports a closed connection,
and bounds heads, bodies, idle times and slow senders.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from circuits import handler
from loguru import logger

from hibiscusdrum.errors import AddressInUse
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.router.routes import EntryLimits
from hibiscusdrum.internal.transport.entry_connection import (
    DISCARD_SECONDS,
    EntryConnection,
    EntryRequest,
)
from hibiscusdrum.internal.transport.http_connection import parse_address

RECEIVE_BYTES = 65_536
# Connections accepted in one turn of the loop, so that a burst of callers does not delay lease renewals.
ACCEPT_BATCH = 64
BACKLOG = 1024
SWEEP_SECONDS = 0.25


RequestHandler = Callable[[EntryRequest], None]


class HttpEntry(Service):
    """Listens on several addresses and hands complete requests to the handler of each.

    Attributes
    ----------
    limits : EntryLimits
        Apply to what arrives from now on.
    draining : bool
        Whether each answer asks the caller to use another connection.
    """

    service_name = "entry"

    def __init__(self) -> None:
        super().__init__()
        self.limits = EntryLimits()
        self.handlers: dict[str, RequestHandler] = {}
        self.listeners: dict[socket.socket, str] = {}
        self.connections: dict[socket.socket, EntryConnection] = {}
        self.accepted = 0

    def on_start(self) -> None:
        """Watch for idle and slow callers."""
        self.app.scheduler.every(SWEEP_SECONDS, self.sweep)

    def listen(self, address: str, handle: RequestHandler) -> None:
        """Accept requests on an address.

        Raises
        ------
        AddressInUse
            If another process listens there.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(parse_address(address))
            sock.listen(BACKLOG)
        except OSError as error:
            sock.close()
            raise AddressInUse(address=address) from error
        self.handlers[address] = handle
        self.listeners[sock] = address
        self.app.poller.addReader(self, sock)

    def dispatch(self, request: EntryRequest) -> None:
        """Call the handler of the request's address; a fault in it is answered and logged."""
        try:
            self.handlers[request.listener](request)
        except Exception:
            logger.exception("handler of an HTTP request failed")
            request.respond(502, [])

    @handler("_read")
    def on_readable(self, sock: socket.socket) -> None:
        """Accept connections, or read from one."""
        if sock in self.listeners:
            self.accept(sock, self.listeners[sock])
            return
        connection = self.connections.get(sock)
        if connection is None:
            return
        try:
            data = sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.connection_lost(connection, "caller closed")
            return
        connection.feed(data)

    def accept(self, listener: socket.socket, address: str) -> None:
        """Accept what waits, up to a batch."""
        for _ in range(ACCEPT_BATCH):
            try:
                sock, _peer = listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                logger.warning("accept failed: {}", error)
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.accepted += 1
            self.connections[sock] = EntryConnection(self, sock, address, self.app.clock.monotonic())
            self.app.poller.addReader(self, sock)

    def pause(self, connection: EntryConnection) -> None:
        """Read nothing more from a connection."""
        if not connection.closed:
            self.app.poller.removeReader(connection.sock)

    def resume(self, connection: EntryConnection) -> None:
        """Read from a connection again."""
        if not connection.closed:
            self.app.poller.addReader(self, connection.sock)

    def want_write(self, connection: EntryConnection) -> None:
        """Ask the poller for the next chance to write."""
        if not connection.writing:
            connection.writing = True
            self.app.poller.addWriter(self, connection.sock)

    @handler("_write")
    def on_writable(self, sock: socket.socket) -> None:
        """Send more of the answers."""
        connection = self.connections.get(sock)
        if connection is None:
            return
        if connection.out:
            try:
                sent = sock.send(connection.out)
            except BlockingIOError:
                return
            except OSError:
                self.connection_lost(connection, "write failed")
                return
            del connection.out[:sent]
            connection.active_at = self.app.clock.monotonic()
        if not connection.out:
            connection.writing = False
            self.app.poller.removeWriter(sock)
            if connection.closing:
                self.end_output(connection)

    def end_output(self, connection: EntryConnection) -> None:
        """Send the end of the stream, and wait shortly for the caller's own."""
        try:
            connection.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close(connection)
            return
        connection.discard_until = self.app.clock.monotonic() + DISCARD_SECONDS

    @handler("_disconnect", "_error")
    def on_disconnected(self, sock: socket.socket, *_error: Any) -> None:
        """Handle a connection that the poller reports as gone."""
        connection = self.connections.get(sock)
        if connection is not None:
            self.connection_lost(connection, "connection error")

    def connection_lost(self, connection: EntryConnection, _reason: str) -> None:
        """Forget a closed connection; its unanswered requests are cancelled."""
        if connection.closed:
            return
        self.close(connection)
        connection.abandon_pending()

    def close(self, connection: EntryConnection) -> None:
        """Close the socket."""
        connection.closed = True
        if self.connections.pop(connection.sock, None) is not None:
            self.app.poller.discard(connection.sock)
            connection.sock.close()

    def sweep(self) -> None:
        """Close connections that are idle for too long, and answer heads that arrive too slowly."""
        now = self.app.clock.monotonic()
        limits = self.limits
        for connection in list(self.connections.values()):
            if connection.discard_until:
                if now >= connection.discard_until:
                    self.close(connection)
            elif connection.head_started is not None and now - connection.head_started > limits.head_timeout:
                connection.refuse(408)
            elif not connection.pending and now - connection.active_at > limits.idle_timeout:
                self.close(connection)

    @property
    def unanswered_count(self) -> int:
        """Requests that were read and have no answer yet, and answers still being written."""
        return sum(len(entry.pending) + bool(entry.out) for entry in self.connections.values())

    def stop_listening(self, address: str | None = None) -> None:
        """Refuse new connections on one address, or on all; open ones go on."""
        for sock in [sock for sock, bound in self.listeners.items() if address in (None, bound)]:
            self.app.poller.discard(sock)
            sock.close()
            del self.listeners[sock]

    def on_stop(self) -> None:
        """Close all sockets."""
        self.stop_listening()
        for connection in list(self.connections.values()):
            self.close(connection)
