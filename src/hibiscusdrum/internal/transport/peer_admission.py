"""Admission of connections to the port for peers, by ZeroMQ's authentication protocol (ZAP, RFC 27).

It handles clients that are no nodes, such as HTTP clients. Without it ZeroMQ takes any bytes for frames of
its first protocol version, and keeps all frames of a message until its last one. With a domain set, ZeroMQ
closes connections that do not begin with a handshake of version 3, which all releases of nodes do.

Nodes have no secret in common, so that every connection with this handshake is admitted.
"""

from __future__ import annotations

import struct

import zmq

from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.router import events

ENDPOINT = "inproc://zeromq.zap.01"
VERSION = b"1.0"
DOMAIN = b"peers"
# Frames of a question: envelope, delimiter, version, number, domain, address, identity, mechanism.
QUESTION_FRAMES = 8
EVENT_FORMAT = struct.Struct("=Hi")


class PeerAdmission:
    """Answers ZeroMQ's questions about new connections to a socket, and logs those that it refused.

    Attributes
    ----------
    questions : zmq.Socket
        Receives the questions.
    monitor : zmq.Socket
        Receives the refusals.
    refused_count : int
        Connections refused since the start.
    """

    __slots__ = ("monitor", "questions", "refused_count")

    def __init__(self, listening: zmq.Socket) -> None:
        """Have a listening socket ask about its connections; it must not be bound yet."""
        context = listening.context
        self.refused_count = 0
        self.questions = context.socket(zmq.ROUTER)
        self.questions.bind(ENDPOINT)
        listening.setsockopt(zmq.ZAP_DOMAIN, DOMAIN)
        address = f"inproc://refusals-{id(listening)}"
        listening.monitor(address, zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL)
        self.monitor = context.socket(zmq.PAIR)
        # With a limit, events that are not read would stop ZeroMQ's thread.
        self.monitor.setsockopt(zmq.RCVHWM, 0)
        self.monitor.connect(address)

    def read_questions(self) -> int:
        """Admit the connections that have completed the handshake, and return their number."""
        count = 0
        while True:
            try:
                frames = self.questions.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return count
            count += 1
            if len(frames) >= QUESTION_FRAMES:
                answer = [frames[0], b"", VERSION, frames[3], b"200", b"OK", b"", b""]
                self.questions.send_multipart(answer, zmq.NOBLOCK)

    def read_refusals(self) -> int:
        """Log the connections that were refused, and return their number."""
        count = 0
        while True:
            try:
                event, _address = self.monitor.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return count
            count += 1
            self.refused_count += 1
            _kind, error = EVENT_FORMAT.unpack(event)
            log_events.emit(events.PeerRefused(error=error, count=self.refused_count))
