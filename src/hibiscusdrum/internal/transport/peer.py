"""Outgoing ZeroMQ connection to a daemon, for daemons and the client library."""

from __future__ import annotations

import os
from collections import deque

import zmq

from hibiscusdrum.internal.transport.frames import send_frames

# First frame of a message: tells request messages from signed control messages.
REQUEST_KIND = b"R"
CONTROL_KIND = b"C"
SEND_QUEUE_MESSAGES = 10_000
MAX_FRAME_BYTES = 16 * 1024 * 1024
RECONNECT_MS = 50
RECONNECT_MAX_MS = 500
# A connection that fails without a reset is detected within the sum of these two times. Each node has a
# connection to every other node of its region, so heartbeat traffic grows with the square of the fleet size.
HEARTBEAT_INTERVAL_MS = 2000
HEARTBEAT_TIMEOUT_MS = 1200


def enable_heartbeats(socket: zmq.Socket) -> None:
    """Make ZeroMQ probe connections and close those whose peer does not respond."""
    socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
    socket.setsockopt(zmq.TCP_MAXRT, HEARTBEAT_TIMEOUT_MS)
    socket.setsockopt(zmq.CONNECT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)


# Random bytes in the identity of a process's connections.
IDENTITY_BYTES = 8


def random_identity() -> bytes:
    """Return an identity for the connections of a process; ZeroMQ reserves those that begin with a zero."""
    return b"p" + os.urandom(IDENTITY_BYTES)


class Peer:
    """An outgoing connection to one daemon.

    Parameters
    ----------
    identity : bytes
        Identifies this process to the daemon.

    Attributes
    ----------
    descriptor : int
        File descriptor of the socket in the poller; -1 until it is registered.
    pending : deque of (float, list of bytes)
        Messages that wait for the connection, each after the monotonic time at which it is dropped.
    """

    __slots__ = ("address", "descriptor", "pending", "socket")

    def __init__(self, context: zmq.Context, address: str, identity: bytes, heartbeats: bool = False) -> None:
        self.address = address
        self.descriptor = -1
        self.pending: deque[tuple[float, list[bytes]]] = deque()
        self.socket = context.socket(zmq.DEALER)
        # ZMQ_IMMEDIATE queues messages only for established connections: a message whose send failed has not
        # left this process, and a restarted peer does not receive a backlog of old messages.
        self.socket.setsockopt(zmq.IMMEDIATE, 1)
        # With the same identity, replies to requests of a lost connection are sent on the next one.
        self.socket.setsockopt(zmq.IDENTITY, identity)
        self.socket.setsockopt(zmq.LINGER, 0)
        self.socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        self.socket.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        self.socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        self.socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        if heartbeats:
            enable_heartbeats(self.socket)
        self.socket.connect(f"tcp://{address}")

    def try_send(self, frames: list[bytes]) -> bool:
        """Send a message without blocking; return whether a connection accepted it."""
        try:
            send_frames(self.socket, frames)
        except zmq.Again:
            return False
        return True
