"""HTTP/1.1 client on circuits' event loop, with a pool of keep-alive connections per address.

A request is normally written with one ``send`` call, and a response normally takes one ``_read`` event of the
poller. A request whose bytes may have reached the peer is never retried here: only the caller knows whether a
retry is safe.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from typing import Any

from circuits import handler
from loguru import logger
from returns.result import Failure, Result, Success

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal.kernel import Service, Timer
from hibiscusdrum.internal.transport.body_memory import BodyMemory
from hibiscusdrum.internal.transport.http_connection import (
    DEFAULT_MAX_CONNECTIONS,
    LENGTH_UNKNOWN,
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


def ignore_result(_result: Result[HttpResponse, HttpFailure]) -> None:
    """Stand in for the callback of an exchange that is done."""


class HttpClient(Service):
    """HTTP client that limits the connections to each address and the duration of each exchange.

    Parameters
    ----------
    request_id_header : str
        Lower-case name of the header in which a response repeats the id of its request.
    skips_unmatched_responses : bool
        Whether a response to another request is skipped; otherwise it fails the exchange.
    accepts_close_delimited : bool
        Whether a response without a declared length is complete when the peer closes the connection without
        a reset; otherwise it is incomplete.
    requires_request_id : bool
        Whether peers name the request in every response. A response on a reused connection that names none
        then fails the exchange, since it may be a copy of an earlier one.
    is_refusal : callable, optional
        Returns whether a response says that its request did not run. A connection is closed after such a
        response: a faulty peer may send a copy of it later, and on a reused connection the copy would be
        taken for the response to a request that runs, at least if that has the same id.
    head_encoding : str
        Encoding of the heads of requests. With ``latin-1``, the bytes of a header that was received are sent
        as they were.
    memory : BodyMemory, optional
        Limits on the bodies that are held; those of a process whose memory is not known by default.
    """

    service_name = "http_client"

    def __init__(
        self,
        request_id_header: str = REQUEST_ID_HEADER,
        skips_unmatched_responses: bool = False,
        accepts_close_delimited: bool = False,
        requires_request_id: bool = False,
        is_refusal: Callable[[HttpResponse], bool] = lambda _response: False,
        head_encoding: str = "ascii",
        memory: BodyMemory | None = None,
    ) -> None:
        super().__init__()
        self.memory = memory or BodyMemory()
        self.memory.holders.append(self.held_bytes)
        self.head_encoding = head_encoding
        self.request_id_header = request_id_header
        self.skips_unmatched_responses = skips_unmatched_responses
        self.accepts_close_delimited = accepts_close_delimited
        self.requires_request_id = requires_request_id
        self.is_refusal = is_refusal
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
        max_seconds: float | None = None,
    ) -> HttpExchange:
        """Send a request.

        Parameters
        ----------
        address : str
            ``ip:port`` of the peer.
        timeout : float
            Seconds for the whole exchange, including the wait for a connection; with ``max_seconds``, the
            longest time without progress. Progress is an opened or free connection, or bytes of the response.
        callback : callable
            Called once with the result, never before this method returns.
        max_connections : int
            Connection limit for this address; further requests wait.
        host : str, optional
            Value of the Host header; ``address`` by default.
        max_seconds : float, optional
            Seconds for the whole exchange, if its ``timeout`` limits the time without progress.

        Raises
        ------
        InvalidArgument
            If an argument is out of range or cannot be encoded safely.
        """
        if not timeout > 0:
            raise InvalidArgument(name="timeout", value=timeout, expected="seconds above 0")
        if max_seconds is not None and not max_seconds > 0:
            raise InvalidArgument(name="max_seconds", value=max_seconds, expected="seconds above 0")
        if max_connections < 1:
            raise InvalidArgument(name="max_connections", value=max_connections, expected="at least 1")
        pool = self.pools.get(address) or self.add_pool(address)
        pool.max_connections = max_connections
        payload = encode_request(address, method, path, headers, body, host, self.head_encoding)
        now = self.app.clock.monotonic()
        deadline = now + timeout
        request_id = headers.get(self.request_id_header)
        exchange = HttpExchange(self, pool, payload, request_id, method == "HEAD", deadline, callback)
        if max_seconds is not None:
            exchange.silence_seconds, exchange.last_deadline = timeout, now + max_seconds
        self.pending.add(exchange)
        if deadline < self.expiry_due:
            self.schedule_expiry(deadline)
        self.dispatch(exchange)
        return exchange

    def add_pool(self, address: str) -> ConnectionPool:
        """Create the connection pool of an address."""
        pool = self.pools[address] = ConnectionPool(address, parse_address(address))
        return pool

    def dispatch(self, exchange: HttpExchange) -> None:
        """Send on an idle or new connection, or queue the exchange at the connection limit."""
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
        """Return whether an idle connection has expired, been closed or received unrequested data.

        The socket is checked directly, since the poller may not have reported its state yet.
        """
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
            self.app.scheduler.call_later(0.0, lambda: self.abort(exchange, FailureKind.UNREACHABLE))
            return
        connection = Connection(pool, sock, self.memory.body_limit, self.app.clock.monotonic())
        connection.exchange = exchange
        exchange.connection = connection
        pool.open_count += 1
        self.connections[sock] = connection
        error = sock.connect_ex(pool.peer_address)
        if error in (0, *IN_PROGRESS_ERRNOS):
            self.app.poller.addWriter(self, sock)
        else:
            self.app.scheduler.call_later(0.0, lambda: self.connect_failed(connection, error))

    def send(self, connection: Connection, exchange: HttpExchange) -> None:
        """Write the request; what the socket does not accept is sent when it is writable."""
        connection.exchange = exchange
        connection.fed_bytes = connection.body_bytes = 0
        exchange.connection = connection
        exchange.record_progress(self.app.clock.monotonic())
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
        """Complete a connect, or continue to send a request."""
        connection = self.connections.get(sock)
        if connection is None:
            return
        if connection.connecting:
            self.finish_connect(connection)
        elif connection.unsent is not None:
            self.send_more(connection)

    def finish_connect(self, connection: Connection) -> None:
        """Complete a connect and send the request that opened the connection, unless it has expired."""
        error = connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self.connect_failed(connection, error)
            return
        connection.connecting = False
        self.app.poller.removeWriter(connection.sock)
        self.app.poller.addReader(self, connection.sock)
        now = self.app.clock.monotonic()
        connection.pool.record_connect(now - connection.opened_at, now)
        connection.exchange.record_progress(now)
        if connection.exchange.deadline <= now:
            self.close_and_fail(connection, FailureKind.TIMEOUT)
        else:
            self.send(connection, connection.exchange)

    def connect_failed(self, connection: Connection, error: int) -> None:
        """Fail the exchange of a connection that could not be opened; ``error`` is an ``errno`` value."""
        if connection.sock not in self.connections:
            return
        kind = FailureKind.REFUSED if error == errno.ECONNREFUSED else FailureKind.UNREACHABLE
        self.close_and_fail(connection, kind)

    def send_more(self, connection: Connection) -> None:
        """Continue to send a request."""
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
        """Receive and parse response bytes."""
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
            # Data on an idle connection belongs to no request.
            self.connection_lost(connection)
            return
        previous = connection.received
        connection.exchange.record_progress(self.app.clock.monotonic())
        connection.feed(data)
        if connection.complete:
            self.finish_exchange(connection)
        elif connection.malformed:
            self.close_and_fail(connection, FailureKind.MALFORMED)
        elif connection.received > previous:
            self.enforce_buffer_limit()

    def held_bytes(self) -> int:
        """Return the bytes of incomplete response bodies."""
        return sum(connection.received for connection in self.connections.values())

    def enforce_buffer_limit(self) -> None:
        """Fail the exchange with the largest incomplete body when all bodies together exceed the limit."""
        if self.memory.exceeded_after_relief():
            largest = max(self.connections.values(), key=lambda connection: connection.received)
            self.memory.report_exceeded("incomplete response", largest.received)
            self.close_and_fail(largest, FailureKind.MALFORMED)

    @handler("_disconnect", "_error")
    def on_disconnected(self, sock: socket.socket, *_error: Any) -> None:
        """Handle a disconnect or error reported by the poller."""
        connection = self.connections.get(sock)
        if connection is not None:
            self.connection_lost(connection)

    def finish_exchange(self, connection: Connection) -> None:
        """Deliver a complete response, and keep the connection if it is reusable."""
        exchange = connection.exchange
        response = connection.build_response()
        reusable = connection.keep_alive and not connection.malformed and connection.unsent is None
        if not reusable or self.is_refusal(response):
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
        """Use a free connection for the next waiting exchange, or return it to the pool."""
        exchange = self.next_waiting(connection.pool)
        if exchange is None:
            connection.pool.idle.append(connection)
        else:
            self.send(connection, exchange)

    def next_waiting(self, pool: ConnectionPool) -> HttpExchange | None:
        """Return the next waiting exchange that is neither done nor expired.

        The deadline is checked here too: after a pause of the process, responses may be read, and their
        connections freed, before the expiry timer runs. An expired request must not be sent.
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
        """Close a lost connection.

        Its exchange moves to another connection if this one was reused and no byte of the request was sent;
        otherwise it fails.
        """
        if connection.sock not in self.connections:
            return
        exchange = connection.exchange
        if exchange is None:
            self.close(connection)
        elif connection.connecting:
            error = connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            self.connect_failed(connection, error)
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
        exchange = connection.exchange
        progress = (
            connection.received,
            connection.declared,
            connection.fed_bytes,
            not connection.connecting,
        )
        self.close(connection)
        if exchange is not None:
            self.fail_exchange(exchange, kind, *progress)

    def close(self, connection: Connection) -> None:
        """Close a connection; a waiting exchange may open another."""
        pool, sock = connection.pool, connection.sock
        if self.connections.pop(sock, None) is None:
            return
        self.app.poller.discard(sock)
        sock.close()
        connection.release()
        pool.open_count -= 1
        if connection in pool.idle:
            pool.idle.remove(connection)
        self.connect_waiting(pool)

    def connect_waiting(self, pool: ConnectionPool) -> None:
        """Open connections for waiting exchanges, up to the connection limit."""
        while pool.waiting and pool.open_count < pool.max_connections:
            exchange = self.next_waiting(pool)
            if exchange is not None:
                self.connect(pool, exchange)

    def connect_seconds(self, address: str) -> float:
        """Return the duration of the last connect to an address if it was recent; 0 otherwise."""
        pool = self.pools.get(address)
        return pool.recent_connect_seconds(self.app.clock.monotonic()) if pool is not None else 0.0

    def has_sent_exchange(self, address: str) -> bool:
        """Return whether an exchange with the peer waits for its response on an open connection."""
        return any(
            connection.pool.address == address
            and connection.exchange is not None
            and not connection.connecting
            for connection in self.connections.values()
        )

    def abort(self, exchange: HttpExchange, kind: FailureKind) -> None:
        """Fail an exchange before its response is complete, and close its connection, if any."""
        if exchange.done:
            return
        connection = exchange.connection
        if connection is not None and connection.exchange is exchange:
            self.close_and_fail(connection, kind)
        else:
            self.fail_exchange(exchange, kind)

    def fail_exchange(
        self,
        exchange: HttpExchange,
        kind: FailureKind,
        received: int = 0,
        declared: int = LENGTH_UNKNOWN,
        dropped_bytes: int = 0,
        connected: bool = False,
    ) -> None:
        """Deliver a failure to an exchange; see ``HttpFailure`` for the arguments."""
        failure = HttpFailure(exchange.bytes_sent, kind, received, declared, dropped_bytes, connected)
        self.deliver(exchange, Failure(failure))

    def deliver(self, exchange: HttpExchange, result: Result[HttpResponse, HttpFailure]) -> None:
        """End an exchange and call its callback."""
        exchange.done = True
        exchange.connection = None
        self.pending.discard(exchange)
        # Whoever keeps the exchange for a while must not keep the body of its request.
        exchange.payload = b""
        callback, exchange.callback = exchange.callback, ignore_result
        try:
            callback(result)
        except Exception:
            # A failing callback must not affect other exchanges that end in the same loop, for example in
            # expire_exchanges.
            logger.exception("HTTP exchange callback failed")

    def schedule_expiry(self, due: float) -> None:
        """Schedule the check of deadlines at ``due``.

        All exchanges share one timer: one timer each would add 6,000 cancelled timers per second to the
        scheduler's heap.
        """
        if self.expiry_timer is not None:
            self.expiry_timer.cancel()
        self.expiry_due = due
        self.expiry_timer = self.app.scheduler.call_later(
            due - self.app.clock.monotonic(), self.expire_exchanges
        )

    def expire_exchanges(self) -> None:
        """Fail expired exchanges, and schedule the check of the next deadline."""
        now = self.app.clock.monotonic()
        self.expiry_due = NO_DEADLINE
        self.expiry_timer = None
        for exchange in [exchange for exchange in self.pending if exchange.deadline <= now]:
            if exchange.silence_seconds:
                self.find_progress(exchange)
            if exchange.deadline <= now:
                self.abort(exchange, FailureKind.TIMEOUT)
        due = min((exchange.deadline for exchange in self.pending), default=NO_DEADLINE)
        if due < self.expiry_due:
            self.schedule_expiry(due)

    def find_progress(self, exchange: HttpExchange) -> None:
        """Complete the connect, or receive what has arrived, of an exchange that has expired.

        After a pause of the process, the poller has not reported yet what happened meanwhile.
        """
        connection = exchange.connection
        if exchange.done or connection is None or connection.exchange is not exchange:
            return
        if not connection.connecting:
            self.on_readable(connection.sock)
            return
        try:
            connection.sock.getpeername()
        except OSError:
            # The connection is not open.
            return
        self.finish_connect(connection)

    def on_stop(self) -> None:
        """Cancel pending exchanges and close all connections."""
        for exchange in list(self.pending):
            exchange.cancel()
        for connection in list(self.connections.values()):
            self.close(connection)
        if self.expiry_timer is not None:
            self.expiry_timer.cancel()
