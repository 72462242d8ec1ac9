"""HTTP/1.1 server for callers, on circuits' event loop with the httptools parser.

``circuits.web`` answers only one request of a pipeline, cannot notify a handler that the caller disconnected,
and accepts a ``Content-Length`` together with chunked encoding. This server answers pipelined requests in
order, reports disconnects, and limits head size, body size, idle time and the time to send a head.
"""

from __future__ import annotations

import errno
import socket
from collections import Counter
from collections.abc import Callable
from typing import Any

from circuits import handler
from loguru import logger

from hibiscusdrum.errors import AddressInUse
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.routes import EntryLimits
from hibiscusdrum.internal.transport.body_memory import BodyMemory
from hibiscusdrum.internal.transport.entry_connection import (
    CALLER_GONE,
    DISCARD_SECONDS,
    EntryConnection,
)
from hibiscusdrum.internal.transport.entry_request import EntryRequest
from hibiscusdrum.internal.transport.http_connection import parse_address

RECEIVE_BUFFER_BYTES = 65_536
# Connections accepted per loop iteration; the limit keeps a burst of callers from delaying lease renewals.
ACCEPT_BATCH_SIZE = 64
LISTEN_BACKLOG = 1024
SWEEP_INTERVAL_SECONDS = 0.25
# Interval at which it is checked whether callers that have closed their sending direction are to be probed.
PROBE_CHECK_SECONDS = 0.05

RequestHandler = Callable[[EntryRequest], None]


class HttpEntry(Service):
    """HTTP server that passes requests to the handler registered for the listening address.

    Parameters
    ----------
    memory : BodyMemory, optional
        Limits on the bodies that are held; those of a process whose memory is not known by default.

    Attributes
    ----------
    limits : EntryLimits
        Size and time limits of addresses without their own; a new value applies to input received from then
        on.
    address_limits : dict
        Limits of the listening addresses that have their own.
    accepted_count, accept_failures : int
        Connections accepted since the start, and attempts to accept one that failed.
    half_closed : set of EntryConnection
        Connections whose callers have closed their sending direction and wait for answers.
    lost_counts : Counter of str
        Connections that ended with requests or answers on them, by reason.
    """

    service_name = "entry"

    def __init__(self, memory: BodyMemory | None = None) -> None:
        super().__init__()
        self.memory = memory or BodyMemory()
        self.memory.holders.append(self.held_bytes)
        self.limits = EntryLimits()
        self.address_limits: dict[str, EntryLimits] = {}
        self.request_handlers: dict[str, RequestHandler] = {}
        self.listeners: dict[socket.socket, str] = {}
        self.connections: dict[socket.socket, EntryConnection] = {}
        self.accepted_count = 0
        self.accept_failures = 0
        self.half_closed: set[EntryConnection] = set()
        self.lost_counts: Counter[str] = Counter()

    def on_start(self) -> None:
        """Start the periodic checks for idle, slow and half-closed callers."""
        self.probe_timer = self.app.scheduler.create_work_timer(PROBE_CHECK_SECONDS, self.probe_callers)
        self.app.scheduler.every(SWEEP_INTERVAL_SECONDS, self.enforce_timeouts)

    def held_bytes(self) -> int:
        """Return the bytes of bodies on all connections."""
        return sum(connection.held_bytes for connection in self.connections.values())

    def enforce_output_limit(self) -> None:
        """Disconnect the caller that has read nothing for longest if all bodies together exceed the limit."""
        if not self.memory.exceeded:
            return
        unread = [connection for connection in self.connections.values() if connection.output_buffer]
        slowest = min(unread, key=lambda connection: connection.last_active_at)
        self.memory.report_exceeded("unread response", len(slowest.output_buffer))
        self.connection_lost(slowest, "not_read")

    def listen(self, address: str, handle: RequestHandler, limits: EntryLimits | None = None) -> None:
        """Listen on an address and pass its requests to ``handle``.

        Parameters
        ----------
        address : str
        handle : callable
        limits : EntryLimits, optional
            Limits of this address in place of ``self.limits``.

        Raises
        ------
        AddressInUse
            If the address cannot be bound.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(parse_address(address))
            sock.listen(LISTEN_BACKLOG)
        except OSError as error:
            sock.close()
            raise AddressInUse(address=address) from error
        self.request_handlers[address] = handle
        if limits is not None:
            self.address_limits[address] = limits
        self.listeners[sock] = address
        self.app.poller.addReader(self, sock)

    def dispatch(self, request: EntryRequest) -> None:
        """Call the handler of the request's address; an exception is logged and answered with status 502."""
        try:
            self.request_handlers[request.listen_address](request)
        except Exception:
            logger.exception("HTTP request handler failed")
            request.respond(502, [])

    @handler("_read")
    def on_readable(self, sock: socket.socket) -> None:
        """Accept connections on a listening socket, or read from a caller's connection."""
        if sock in self.listeners:
            self.accept(sock, self.listeners[sock])
            return
        connection = self.connections.get(sock)
        if connection is None:
            return
        try:
            data = sock.recv(RECEIVE_BUFFER_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.connection_lost(connection, "reset")
            return
        if data:
            connection.feed(data)
            return
        connection.on_input_ended()
        if not connection.closed:
            self.half_closed.add(connection)
            self.probe_timer.wake()

    def probe_callers(self) -> bool:
        """Probe the half-closed callers that wait for an answer; return whether there are any."""
        for connection in list(self.half_closed):
            connection.probe_caller()
            if connection.closed or not (connection.pending or connection.unparsed):
                self.half_closed.discard(connection)
        return bool(self.half_closed)

    def accept(self, listener: socket.socket, address: str) -> bool:
        """Accept up to ``ACCEPT_BATCH_SIZE`` waiting connections; return whether more may be waiting."""
        for _ in range(ACCEPT_BATCH_SIZE):
            try:
                sock, _peer = listener.accept()
            except BlockingIOError:
                return False
            except OSError as error:
                self.accept_failures += 1
                name = errno.errorcode.get(error.errno, str(error.errno))
                log_events.emit(events.AcceptFailed(address, name, len(self.connections)))
                return False
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.accepted_count += 1
            self.connections[sock] = EntryConnection(self, sock, address, self.app.clock.monotonic())
            self.app.poller.addReader(self, sock)
        return True

    def pause_reading(self, connection: EntryConnection) -> None:
        """Stop reading from a connection."""
        if not connection.closed:
            self.app.poller.removeReader(connection.sock)

    def resume_reading(self, connection: EntryConnection) -> None:
        """Resume reading from a connection."""
        if not connection.closed:
            self.app.poller.addReader(self, connection.sock)

    def watch_writable(self, connection: EntryConnection) -> None:
        """Register the connection with the poller for writability."""
        if not connection.awaiting_writable:
            connection.awaiting_writable = True
            self.app.poller.addWriter(self, connection.sock)

    @handler("_write")
    def on_writable(self, sock: socket.socket) -> None:
        """Write buffered output; shut the connection down after its last response."""
        connection = self.connections.get(sock)
        if connection is None:
            return
        if connection.output_buffer:
            try:
                sent = sock.send(connection.output_buffer)
            except BlockingIOError:
                return
            except OSError:
                self.connection_lost(connection, "write_failed")
                return
            del connection.output_buffer[:sent]
            connection.last_active_at = self.app.clock.monotonic()
        if not connection.output_buffer:
            connection.awaiting_writable = False
            self.app.poller.removeWriter(sock)
            if connection.closing:
                self.shutdown_write(connection)

    def shutdown_write(self, connection: EntryConnection) -> None:
        """Close the sending direction, and drop further input for ``DISCARD_SECONDS``."""
        if connection.input_ended:
            self.close(connection)
            return
        try:
            connection.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close(connection)
            return
        connection.discard_until = self.app.clock.monotonic() + DISCARD_SECONDS

    @handler("_disconnect", "_error")
    def on_disconnected(self, sock: socket.socket, *_error: Any) -> None:
        """Handle a disconnect or error reported by the poller."""
        connection = self.connections.get(sock)
        if connection is not None:
            self.connection_lost(connection, "reset")

    def connection_lost(self, connection: EntryConnection, reason: str) -> None:
        """Close a lost connection and cancel its unanswered requests.

        Parameters
        ----------
        reason : str
            One of those that ``CallerConnectionLost`` describes.
        """
        if connection.closed:
            return
        if connection.pending or connection.output_buffer:
            self.lost_counts[reason] += 1
            log_events.emit(
                events.CallerConnectionLost(
                    address=connection.listen_address,
                    reason=reason,
                    requests=len(connection.pending),
                    unsent_bytes=len(connection.output_buffer),
                )
            )
        self.close(connection)
        connection.cancel_pending(CALLER_GONE)

    def close(self, connection: EntryConnection) -> None:
        """Close a connection without notifying the handlers of its requests."""
        connection.closed = True
        if self.connections.pop(connection.sock, None) is not None:
            self.app.poller.discard(connection.sock)
            connection.sock.close()

    def enforce_timeouts(self) -> None:
        """Close idle connections, and reject requests whose head takes too long with status 408."""
        now = self.app.clock.monotonic()
        for connection in list(self.connections.values()):
            limits = connection.limits
            if connection.discard_until:
                if now >= connection.discard_until:
                    self.close(connection)
            elif (
                connection.head_started_at is not None
                and now - connection.head_started_at > limits.head_timeout
            ):
                connection.reject(408)
            elif (
                not connection.pending
                and now - connection.last_active_at > limits.idle_timeout
                and not connection.has_unread_input
            ):
                self.close(connection)

    def connections_of(self, address: str) -> list[EntryConnection]:
        """Return the open connections to a listening address, which may have been closed since."""
        return [
            connection for connection in self.connections.values() if connection.listen_address == address
        ]

    @property
    def unanswered_count(self) -> int:
        """Number of requests without a response, plus connections with unsent output."""
        return sum(
            len(connection.pending) + bool(connection.output_buffer)
            for connection in self.connections.values()
        )

    @property
    def has_incoming(self) -> bool:
        """Whether a caller has sent bytes that have not been read, or only a part of a request."""
        return any(
            connection.receiving or connection.has_unread_input for connection in self.connections.values()
        )

    def stop_listening(self, address: str | None = None) -> None:
        """Stop accepting connections on one address, or on all; open connections stay usable.

        Connections that wait to be accepted are accepted first, since the kernel would reset them.
        """
        for sock in [sock for sock, bound in self.listeners.items() if address in (None, bound)]:
            while self.accept(sock, self.listeners[sock]):
                pass
            self.app.poller.discard(sock)
            sock.close()
            del self.listeners[sock]

    def on_stop(self) -> None:
        """Close listening sockets and connections."""
        self.stop_listening()
        for connection in list(self.connections.values()):
            self.close(connection)
