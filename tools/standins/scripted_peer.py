"""TCP server for tests that responds with scripted bytes, delays and connection closes."""

from __future__ import annotations

import socket
import struct
from typing import Any

from circuits import handler

from hibiscusdrum.internal.kernel import Service

RECEIVE_BUFFER_BYTES = 1 << 20
WAIT_ACTION_SECONDS = 0.001


class ScriptedPeer(Service):
    """Responds to the n-th request, counted over all connections, with the n-th step of a script.

    A request ends at the first blank line; a request body counts toward the next request.

    Parameters
    ----------
    script : list of list
        Steps; the last one is repeated. A step is a list of actions: bytes to send, a function that returns
        them for a request, ``"close"``, ``"reset"``, ``"wait"`` (pause for a millisecond), or
        ``"hold"`` (keep the connection open).
    address : str
        ``ip:port`` to listen on.
    """

    HEADER_END = b"\r\n\r\n"

    def __init__(self, script: list[list[Any]], address: str) -> None:
        self.service_name = "scripted-peer"
        super().__init__()
        self.address = address
        self.script = script
        self.requests: list[bytes] = []
        self.accepted_sockets: list[socket.socket] = []
        self.receive_buffers: dict[socket.socket, bytes] = {}

    def on_start(self) -> None:
        """Start listening."""
        host, _, port = self.address.rpartition(":")
        self.listener = socket.create_server((host, int(port)))
        self.listener.setblocking(False)
        self.app.poller.addReader(self, self.listener)

    @handler("_read")
    def on_read(self, sock: socket.socket) -> None:
        """Accept a connection, or receive data from one."""
        if sock is self.listener:
            self.accept_connection()
        elif sock in self.receive_buffers:
            self.receive(sock)

    def accept_connection(self) -> None:
        """Accept one connection."""
        connection, _ = self.listener.accept()
        connection.setblocking(False)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.accepted_sockets.append(connection)
        self.receive_buffers[connection] = b""
        self.app.poller.addReader(self, connection)

    def receive(self, sock: socket.socket) -> None:
        """Receive data, and run a step of the script for each complete request."""
        try:
            data = sock.recv(RECEIVE_BUFFER_BYTES)
        except OSError:
            data = b""
        if not data:
            self.close(sock)
            return
        self.receive_buffers[sock] += data
        while self.HEADER_END in self.receive_buffers.get(sock, b""):
            request, _, remainder = self.receive_buffers[sock].partition(self.HEADER_END)
            self.receive_buffers[sock] = remainder
            self.requests.append(request)
            self.run_actions(sock, list(self.script[min(len(self.requests), len(self.script)) - 1]), request)

    def run_actions(self, sock: socket.socket, actions: list[Any], request: bytes) -> None:
        """Run the actions of a step until they end or the connection is closed."""
        while actions and sock in self.receive_buffers:
            action = actions.pop(0)
            if action == "close":
                self.close(sock)
            elif action == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                self.close(sock)
            elif action == "wait":
                self.app.scheduler.call_later(
                    WAIT_ACTION_SECONDS, lambda: self.run_actions(sock, actions, request)
                )
                return
            elif callable(action):
                sock.send(action(request))
            elif action != "hold":
                sock.send(action)

    def close(self, sock: socket.socket) -> None:
        """Close one connection."""
        del self.receive_buffers[sock]
        self.app.poller.discard(sock)
        sock.close()

    def close_all(self) -> None:
        """Close all connections."""
        for sock in list(self.receive_buffers):
            self.close(sock)

    def stop_listening(self) -> None:
        """Close the listening socket, so that further connections are refused."""
        self.app.poller.discard(self.listener)
        self.listener.close()

    def on_stop(self) -> None:
        """Close all connections and the listening socket."""
        self.close_all()
        self.stop_listening()
