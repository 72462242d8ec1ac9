"""Checks whether a process listens at an address, by a connection that is closed at once."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable

from circuits import handler

from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.transport.http_connection import parse_address

IN_PROGRESS_ERRNOS = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINPROGRESS)

ProbeCallback = Callable[[bool], None]


class ConnectProbe(Service):
    """Opens connections that carry no request.

    Attributes
    ----------
    callbacks : dict of socket to callable
        Probes in progress.
    """

    service_name = "connect_probe"

    def __init__(self) -> None:
        super().__init__()
        self.callbacks: dict[socket.socket, ProbeCallback] = {}

    def probe(self, address: str, timeout: float, callback: ProbeCallback) -> None:
        """Connect to an address.

        Parameters
        ----------
        timeout : float
            Seconds after which the attempt is given up.
        callback : callable
            Called once with whether the connection was refused, which a connection that failed in another
            way was not; never before this method returns.
        """
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        except OSError:
            self.app.scheduler.call_later(0.0, lambda: callback(False))
            return
        self.callbacks[sock] = callback
        error = sock.connect_ex(parse_address(address))
        if error in IN_PROGRESS_ERRNOS:
            self.app.poller.addWriter(self, sock)
            self.app.scheduler.call_later(timeout, lambda: self.finish(sock, errno.ETIMEDOUT))
        else:
            self.app.scheduler.call_later(0.0, lambda: self.finish(sock, error))

    @handler("_write", "_error", "_disconnect")
    def on_ready(self, sock: socket.socket, *_error: object) -> None:
        """Complete an attempt."""
        if sock in self.callbacks:
            self.finish(sock, sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))

    def finish(self, sock: socket.socket, error: int) -> None:
        """Close the socket of an attempt and report its outcome, unless that has been done."""
        callback = self.callbacks.pop(sock, None)
        if callback is None:
            return
        self.app.poller.discard(sock)
        sock.close()
        callback(error == errno.ECONNREFUSED)

    def on_stop(self) -> None:
        """Close the sockets of the attempts in progress."""
        for sock in list(self.callbacks):
            del self.callbacks[sock]
            self.app.poller.discard(sock)
            sock.close()
