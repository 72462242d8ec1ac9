"""HTTP/1.1 client in the circuits loop, with a keep-alive pool for each address.

A request is written with one send call, and an answer costs one ``_read`` event of the poller. A request
whose bytes may have reached the peer is never sent again: only the caller knows whether that is safe.
"""

from __future__ import annotations

import errno
import socket
from typing import Any

from circuits import handler
from loguru import logger
from returns.result import Failure, Result, Success

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal.kernel import Service, Timer
from hibiscusdrum.internal.transport.http_connection import (
    DEFAULT_MAX_CONNECTIONS,
    LENGTH_UNKNOWN,
    MAX_BUFFERED_BYTES,
    REQUEST_ID_HEADER,
    Connection,
    ConnectionPool,
    FailureKind,
    HttpCallback,
    HttpExchange,
    HttpFailure,
    HttpResponse,
    encode_request,
    parse_address,
)

RECEIVE_BUFFER_BYTES = 65_536
NO_DEADLINE = float("inf")
IN_PROGRESS_ERRNOS = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINPROGRESS)


class HttpClient(Service):
    """Sends requests and matches the answers to them.

    Parameters
    ----------
    request_id_header : str
        Header, in lower case, by which an answer names its request.
    skips_unmatched_responses : bool
        Whether an answer to another request is dropped and the next one awaited, instead of being a failure.
    accepts_close_delimited : bool
        Whether an answer without a length is complete when the peer ends the connection without a reset.
    """

    service_name = "http_client"

    def __init__(
        self,
        request_id_header: str = REQUEST_ID_HEADER,
        skips_unmatched_responses: bool = False,
        accepts_close_delimited: bool = False,
    ) -> None:
        super().__init__()
        self.request_id_header = request_id_header
        self.skips_unmatched_responses = skips_unmatched_responses
        self.accepts_close_delimited = accepts_close_delimited
        self.pools: dict[str, ConnectionPool] = {}
        self.connections: dict[socket.socket, Connection] = {}
        self.pending: set[HttpExchange] = set()
        self.expiry_timer: Timer | None = None
        self.expiry_due = NO_DEADLINE

    def request(
        self,
        address: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout: float,
        callback: HttpCallback,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
        host: str | None = None,
    ) -> HttpExchange:
        """Send a request.

        Parameters
        ----------
        address : str
            ``ip:port`` of the peer.
        timeout : float
            Seconds for the whole exchange, the wait for a connection included.
        callback : callable
            Gets the result once, never before this method returns.
        max_connections : int
            Limit for this address; requests beyond it wait.
        host : str, optional
            Host header; the address when not given.

        Raises
        ------
        InvalidArgument
            If an argument cannot be sent as it is.
        """
        if not timeout > 0:
            raise InvalidArgument(name="timeout", value=timeout, expected="seconds above 0")
        if max_connections < 1:
            raise InvalidArgument(name="max_connections", value=max_connections, expected="at least 1")
        pool = self.pools.get(address) or self.add_pool(address)
        pool.max_connections = max_connections
        payload = encode_request(address, method, path, headers, body, host)
        deadline = self.app.clock.monotonic() + timeout
        request_id = headers.get(self.request_id_header)
        exchange = HttpExchange(self, pool, payload, request_id, method == "HEAD", deadline, callback)
        self.pending.add(exchange)
        if deadline < self.expiry_due:
            self.schedule_expiry(deadline)
        self.dispatch(exchange)
        return exchange

    def add_pool(self, address: str) -> ConnectionPool:
        """Create the pool of an address."""
        pool = self.pools[address] = ConnectionPool(address, parse_address(address))
        return pool

    def dispatch(self, exchange: HttpExchange) -> None:
        """Send on an idle or new connection, or let the exchange wait for one."""
        pool = exchange.pool
        now = self.app.clock.monotonic()
        while pool.idle:
            connection = pool.idle.pop()
            connection.idle_duration = now - connection.idle_since
            connection.sent_at = now
            if self.is_stale(connection) or pool.exceeds_idle_limit(connection.idle_duration, now):
                self.close(connection)
                continue
            self.send(connection, exchange)
            return
        if pool.open_count < pool.max_connections:
            self.connect(pool, exchange)
        else:
            pool.waiting.append(exchange)

    def is_stale(self, connection: Connection) -> bool:
        """Tell whether the peer closed, or wrote to, an idle connection without the poller's notice yet."""
        if self.app.clock.monotonic() >= connection.expires_at:
            return True
        try:
            connection.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def connect(self, pool: ConnectionPool, exchange: HttpExchange) -> None:
        """Open a connection for an exchange."""
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            self.app.scheduler.call_later(0.0, lambda: self.abort(exchange, FailureKind.REFUSED))
            return
        connection = Connection(pool, sock)
        connection.exchange = exchange
        exchange.connection = connection
        pool.open_count += 1
        self.connections[sock] = connection
        if sock.connect_ex(pool.peer_address) in (0, *IN_PROGRESS_ERRNOS):
            self.app.poller.addWriter(self, sock)
        else:
            self.app.scheduler.call_later(0.0, lambda: self.connection_lost(connection))

    def send(self, connection: Connection, exchange: HttpExchange) -> None:
        """Write the request, with one call when the socket's buffer takes all of it."""
        connection.exchange = exchange
        connection.fed_bytes = connection.body_bytes = 0
        exchange.connection = connection
        payload = exchange.payload
        try:
            sent = connection.sock.send(payload)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.app.scheduler.call_later(0.0, lambda: self.connection_lost(connection))
            return
        if sent:
            exchange.bytes_sent = True
        if sent != len(payload):
            connection.unsent = memoryview(payload)[sent:]
            self.app.poller.addWriter(self, connection.sock)

    @handler("_write")
    def on_writable(self, sock: socket.socket) -> None:
        """Finish a connect, or send more of a request."""
        connection = self.connections.get(sock)
        if connection is None:
            return
        if connection.connecting:
            self.finish_connect(connection)
        elif connection.unsent is not None:
            self.send_more(connection)

    def finish_connect(self, connection: Connection) -> None:
        """Send the first request on a new connection."""
        if connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.connection_lost(connection)
            return
        connection.connecting = False
        self.app.poller.removeWriter(connection.sock)
        self.app.poller.addReader(self, connection.sock)
        if connection.exchange.deadline <= self.app.clock.monotonic():
            self.close_and_fail(connection, FailureKind.TIMEOUT)
        else:
            self.send(connection, connection.exchange)

    def send_more(self, connection: Connection) -> None:
        """Send the rest of a request."""
        try:
            sent = connection.sock.send(connection.unsent)
        except BlockingIOError:
            return
        except OSError:
            self.connection_lost(connection)
            return
        connection.exchange.bytes_sent = True
        connection.unsent = connection.unsent[sent:]
        if not connection.unsent:
            connection.unsent = None
            self.app.poller.removeWriter(connection.sock)

    @handler("_read")
    def on_readable(self, sock: socket.socket) -> None:
        """Parse what arrived."""
        connection = self.connections.get(sock)
        if connection is None:
            return
        try:
            data = sock.recv(RECEIVE_BUFFER_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.connection_lost(connection)
            return
        if not data and self.accepts_close_delimited and connection.is_close_delimited:
            self.finish_exchange(connection)
            return
        if not data or connection.exchange is None:
            # Data on an idle connection answers nothing that was asked.
            self.connection_lost(connection)
            return
        previous = connection.received
        connection.feed(data)
        if connection.complete:
            self.finish_exchange(connection)
        elif connection.malformed:
            self.close_and_fail(connection, FailureKind.MALFORMED)
        elif connection.received > previous:
            self.enforce_buffer_limit()

    def enforce_buffer_limit(self) -> None:
        """Give up the longest answer when the bodies that are held take too much memory together."""
        if sum(connection.received for connection in self.connections.values()) > MAX_BUFFERED_BYTES:
            largest = max(self.connections.values(), key=lambda connection: connection.received)
            self.close_and_fail(largest, FailureKind.MALFORMED)

    @handler("_disconnect", "_error")
    def on_disconnected(self, sock: socket.socket, *_error: Any) -> None:
        """Handle a connection that the poller reports as gone."""
        connection = self.connections.get(sock)
        if connection is not None:
            self.connection_lost(connection)

    def finish_exchange(self, connection: Connection) -> None:
        """Deliver a complete answer and reuse the connection when that is safe."""
        exchange = connection.exchange
        response = connection.build_response()
        if connection.malformed or connection.unsent is not None or not connection.keep_alive:
            self.close(connection)
        else:
            connection.exchange = None
            connection.reused = True
            connection.idle_duration = 0.0
            connection.idle_since = self.app.clock.monotonic()
            connection.expires_at = connection.idle_since + connection.keep_alive_seconds()
            connection.reset_response()
            self.release_connection(connection)
        self.deliver(exchange, Success(response))

    def release_connection(self, connection: Connection) -> None:
        """Give a free connection to the next waiting exchange, or keep it."""
        exchange = self.next_waiting(connection.pool)
        if exchange is None:
            connection.pool.idle.append(connection)
        else:
            self.send(connection, exchange)

    def next_waiting(self, pool: ConnectionPool) -> HttpExchange | None:
        """Return the next exchange that still wants a connection.

        After a pause of the process, answers are read before the sweep runs; expired ones must not be sent.
        """
        while pool.waiting:
            exchange = pool.waiting.popleft()
            if exchange.done:
                continue
            if exchange.deadline > self.app.clock.monotonic():
                return exchange
            self.fail_exchange(exchange, FailureKind.TIMEOUT)
        return None

    def connection_lost(self, connection: Connection) -> None:
        """Close a connection that ended; its exchange fails, or moves when no byte of it was sent."""
        if connection.sock not in self.connections:
            return
        exchange = connection.exchange
        if exchange is None:
            self.close(connection)
        elif connection.connecting:
            self.close_and_fail(connection, FailureKind.REFUSED)
        elif connection.reused and not exchange.bytes_sent:
            connection.exchange = exchange.connection = None
            self.close(connection)
            self.dispatch(exchange)
        elif connection.response_started:
            self.close_and_fail(connection, FailureKind.INCOMPLETE)
        else:
            connection.pool.record_reset(connection, self.app.clock.monotonic())
            self.close_and_fail(connection, FailureKind.CLOSED)

    def close_and_fail(self, connection: Connection, kind: FailureKind) -> None:
        """Close a connection and fail its exchange."""
        exchange, received, declared = connection.exchange, connection.received, connection.declared
        self.close(connection)
        if exchange is not None:
            self.fail_exchange(exchange, kind, received, declared)

    def close(self, connection: Connection) -> None:
        """Close a connection and let a waiting exchange open another."""
        pool, sock = connection.pool, connection.sock
        if self.connections.pop(sock, None) is None:
            return
        self.app.poller.discard(sock)
        sock.close()
        pool.open_count -= 1
        if connection in pool.idle:
            pool.idle.remove(connection)
        self.connect_waiting(pool)

    def connect_waiting(self, pool: ConnectionPool) -> None:
        """Open a connection for the next waiting exchange while the limit allows it."""
        while pool.waiting and pool.open_count < pool.max_connections:
            exchange = self.next_waiting(pool)
            if exchange is not None:
                self.connect(pool, exchange)

    def abort(self, exchange: HttpExchange, kind: FailureKind) -> None:
        """End an exchange without an answer; its connection cannot be reused."""
        if exchange.done:
            return
        connection = exchange.connection
        if connection is not None and connection.exchange is exchange:
            self.close_and_fail(connection, kind)
        else:
            self.fail_exchange(exchange, kind)

    def fail_exchange(
        self, exchange: HttpExchange, kind: FailureKind, received: int = 0, declared: int = LENGTH_UNKNOWN
    ) -> None:
        """Report a failure."""
        self.deliver(exchange, Failure(HttpFailure(exchange.bytes_sent, kind, received, declared)))

    def deliver(self, exchange: HttpExchange, result: Result[HttpResponse, HttpFailure]) -> None:
        """Call the callback."""
        exchange.done = True
        exchange.connection = None
        self.pending.discard(exchange)
        try:
            exchange.callback(result)
        except Exception:
            # Other exchanges may be ending in the same loop, for example in a sweep of deadlines.
            logger.exception("callback of an HTTP exchange failed")

    def schedule_expiry(self, due: float) -> None:
        """Check deadlines at ``due``.

        One timer for all exchanges: one each would leave 6,000 cancelled timers a second in the heap.
        """
        if self.expiry_timer is not None:
            self.expiry_timer.cancel()
        self.expiry_due = due
        self.expiry_timer = self.app.scheduler.call_later(
            due - self.app.clock.monotonic(), self.expire_exchanges
        )

    def expire_exchanges(self) -> None:
        """End the exchanges whose deadline passed."""
        now = self.app.clock.monotonic()
        self.expiry_due = NO_DEADLINE
        self.expiry_timer = None
        for exchange in [exchange for exchange in self.pending if exchange.deadline <= now]:
            self.abort(exchange, FailureKind.TIMEOUT)
        due = min((exchange.deadline for exchange in self.pending), default=NO_DEADLINE)
        if due < self.expiry_due:
            self.schedule_expiry(due)

    def on_stop(self) -> None:
        """Cancel what is under way and close all connections."""
        for exchange in list(self.pending):
            exchange.cancel()
        for connection in list(self.connections.values()):
            self.close(connection)
        if self.expiry_timer is not None:
            self.expiry_timer.cancel()
