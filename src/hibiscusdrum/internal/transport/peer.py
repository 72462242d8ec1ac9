"""A ZeroMQ connection to one daemon; used by daemons and by the caller's library."""

from __future__ import annotations

from collections import deque

import zmq

from hibiscusdrum.internal.transport.frames import send_frames

REQUEST_KIND = b"R"
CONTROL_KIND = b"C"
SEND_QUEUE_MESSAGES = 10_000
MAX_FRAME_BYTES = 16 * 1024 * 1024
RECONNECT_MS = 50
RECONNECT_MAX_MS = 500
# A connection that has gone silent without a reset is noticed within the two times together. Each node has
# one to every other node of its region, so that their number grows with the square of the fleet.
HEARTBEAT_INTERVAL_MS = 2000
HEARTBEAT_TIMEOUT_MS = 1200


def enable_heartbeats(socket: zmq.Socket) -> None:
    """Let ZeroMQ end connections whose peer no longer answers."""
    socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
    socket.setsockopt(zmq.TCP_MAXRT, HEARTBEAT_TIMEOUT_MS)
    socket.setsockopt(zmq.CONNECT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)


class Peer:
    """An outgoing connection to one daemon."""

    __slots__ = ("address", "descriptor", "pending", "socket")

    def __init__(self, context: zmq.Context, address: str, heartbeats: bool = False) -> None:
        self.address = address
        self.descriptor = -1
        self.pending: deque[tuple[float, list[bytes]]] = deque()
        self.socket = context.socket(zmq.DEALER)
        # IMMEDIATE: a message is never queued for a peer without a connection, so a failed send has not left
        # this process, and a restarted peer is not flooded with old messages.
        self.socket.setsockopt(zmq.IMMEDIATE, 1)
        self.socket.setsockopt(zmq.LINGER, 0)
        self.socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        self.socket.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        self.socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        self.socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        if heartbeats:
            enable_heartbeats(self.socket)
        self.socket.connect(f"tcp://{address}")

    def try_send(self, frames: list[bytes]) -> bool:
        """Hand a message to a live connection; False when there is none."""
        try:
            send_frames(self.socket, frames)
        except zmq.Again:
            return False
        return True
