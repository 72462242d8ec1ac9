"""Multipart messages on ZeroMQ sockets, without the cost of ``send_multipart`` and ``recv_multipart``.

Those convert flags and options to enumerations for each part: 10 us to receive and 10 us to send a message of
three parts, against 6 us and 4 us here.
"""

from __future__ import annotations

import zmq

LAST_FRAME = int(zmq.NOBLOCK)
MORE_FRAMES = int(zmq.NOBLOCK | zmq.SNDMORE)


def send_frames(socket: zmq.Socket, frames: list[bytes]) -> None:
    """Send a message without waiting.

    Raises
    ------
    zmq.Again
        If there is no connection or its queue is full; nothing was sent.
    """
    for frame in frames[:-1]:
        socket.send(frame, MORE_FRAMES)
    socket.send(frames[-1], LAST_FRAME)


def receive_frames(socket: zmq.Socket) -> list[bytes]:
    """Receive a message without waiting.

    Raises
    ------
    zmq.Again
        If none has arrived.
    """
    frame = socket.recv(LAST_FRAME, copy=False)
    frames = [frame.bytes]
    while frame.more:
        frame = socket.recv(LAST_FRAME, copy=False)
        frames.append(frame.bytes)
    return frames
