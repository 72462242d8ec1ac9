"""ZeroMQ transport on circuits' event loop: one listening ROUTER socket and one DEALER socket per peer.

A message on the wire consists of the frames ``[kind, payload]`` or ``[kind, payload, body]``. The kind
distinguishes request messages from signed control messages.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import zmq
from circuits import handler

from hibiscusdrum.errors import AddressInUse, HibiscusdrumError, InvalidFrame, Unauthorized
from hibiscusdrum.internal import codec, log_events
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.messages import Message
from hibiscusdrum.internal.transport.frames import receive_frames, send_frames
from hibiscusdrum.internal.transport.peer import (
    CONTROL_KIND,
    MAX_FRAME_BYTES,
    REQUEST_KIND,
    SEND_QUEUE_MESSAGES,
    Peer,
    random_identity,
)
from hibiscusdrum.internal.transport.peer_admission import PeerAdmission

# Messages read from a socket per loop iteration; the limit keeps a flood from delaying lease renewals.
READ_BATCH_MESSAGES = 128
# A control message waits this long for a connection and is then dropped; lease renewals repeat more often.
CONNECT_TIMEOUT_SECONDS = 0.3
# Time at shutdown to transmit replies that are still in the send queues, unless the owner knows a better one.
CLOSE_LINGER_SECONDS = 0.5
PENDING_RETRY_INTERVAL_SECONDS = 0.005

RequestHandler = Callable[[bytes, Message, bytes], None]
ControlHandler = Callable[[Message], None]
ReplyHandler = Callable[[Message, bytes], None]


def log_invalid_frame(error: HibiscusdrumError) -> None:
    """Log a message that could not be decoded or authenticated."""
    if isinstance(error, Unauthorized):
        log_events.emit(log_events.Unauthorized(party=error.party))
    else:
        log_events.emit(log_events.InvalidFrame(party="peer or caller", reason=error.code))


class PeerTransport(Service):
    """Sends and receives messages between daemons, and between callers and daemons.

    Parameters
    ----------
    address : str or None
        ``ip:port`` to listen on; None for a process that only opens connections.
    shared_key : bytes
        Key that signs control messages.
    requires_handshake : bool
        Whether the listening socket closes connections that do not begin with a handshake of version 3 of
        ZeroMQ's protocol.

    Attributes
    ----------
    close_linger : float
        Seconds for which the shutdown waits at most until replies in the send queues are transmitted.
    """

    service_name = "peers"

    def __init__(self, address: str | None, shared_key: bytes, requires_handshake: bool = False) -> None:
        super().__init__()
        self.requires_handshake = requires_handshake
        self.address = address
        self.shared_key = shared_key
        self.close_linger = CLOSE_LINGER_SECONDS
        self.context = zmq.Context()
        self.identity = random_identity()
        self.router: zmq.Socket | None = None
        self.router_descriptor = -1
        self.peers: dict[str, Peer] = {}
        self.readers: dict[int, tuple[zmq.Socket, Callable[[], int]]] = {}
        # Descriptors of sockets that may have messages: reported by the poller, or used since the last read.
        self.possibly_readable: set[int] = set()
        self.on_request: RequestHandler | None = None
        self.on_reply: ReplyHandler | None = None
        self.on_invalid_frame: Callable[[HibiscusdrumError], None] = log_invalid_frame
        self.on_control_sent: Callable[[str, int], None] | None = None
        self.control_handlers: dict[type, ControlHandler] = {}
        # Addresses of peers with pending messages.
        self.waiting_addresses: set[str] = set()
        self.control_bytes_sent = 0
        self.control_bytes_received = 0

    def on_start(self) -> None:
        """Open the listening socket, if an address is configured.

        Raises
        ------
        AddressInUse
            If the address cannot be bound.
        """
        if self.address is not None:
            self.bind(self.address)
        self.pending_timer = self.app.scheduler.create_work_timer(
            PENDING_RETRY_INTERVAL_SECONDS, self.flush_pending
        )

    def bind(self, address: str) -> None:
        """Open the ROUTER socket on an address."""
        router = self.context.socket(zmq.ROUTER)
        router.setsockopt(zmq.LINGER, 0)
        # A peer that replaces its connection gets the replies on the new one.
        router.setsockopt(zmq.ROUTER_HANDOVER, 1)
        router.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        router.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        if self.requires_handshake:
            admission = PeerAdmission(router)
            self.watch_socket(admission.questions, admission.read_questions)
            self.watch_socket(admission.monitor, admission.read_refusals)
        try:
            router.bind(f"tcp://{address}")
        except zmq.ZMQError as error:
            # An open socket would block the termination of the context, and with it process exit.
            router.close()
            self.close_watched()
            raise AddressInUse(address=address) from error
        self.router = router
        self.router_descriptor = self.watch_socket(router, self.read_router)

    def on_stop(self) -> None:
        """Close all sockets and the ZeroMQ context."""
        self.close_watched()
        self.context.term()

    def close_watched(self) -> None:
        """Close the sockets that are read."""
        for descriptor, (socket, _reader) in list(self.readers.items()):
            self.app.poller.discard(descriptor)
            socket.close(linger=round(self.close_linger * 1000))
        self.readers.clear()

    def watch_socket(self, socket: zmq.Socket, reader: Callable[[], int]) -> int:
        """Register a socket with the poller and return its file descriptor."""
        descriptor = socket.getsockopt(zmq.FD)
        self.readers[descriptor] = (socket, reader)
        self.possibly_readable.add(descriptor)
        self.app.poller.addReader(self, descriptor)
        return descriptor

    @handler("generate_events", priority=9)
    def read_sockets(self, event: Any) -> None:
        """Read received messages before the poller waits.

        ZeroMQ's descriptor is edge-triggered, and sends change its state too. A socket is therefore checked
        after each use until it has no more messages.
        """
        for descriptor in tuple(self.possibly_readable):
            registration = self.readers.get(descriptor)
            if registration is None or not registration[0].getsockopt(zmq.EVENTS) & zmq.POLLIN:
                self.possibly_readable.discard(descriptor)
            else:
                registration[1]()
                # Handlers may have fired events, which do not end the poller's wait in circuits.
                event.reduce_time_left(0)

    @handler("_read")
    def mark_readable(self, descriptor: int) -> None:
        """Mark a socket as possibly readable."""
        self.possibly_readable.add(descriptor)

    def read_router(self) -> int:
        """Read up to one batch from the listening socket and return the number of messages."""
        socket = self.router
        for count in range(READ_BATCH_MESSAGES):
            try:
                frames = receive_frames(socket)
            except zmq.Again:
                return count
            self.dispatch(frames)
        return READ_BATCH_MESSAGES

    @property
    def has_unread_messages(self) -> bool:
        """Whether the listening socket holds messages that have not been read."""
        if self.router is None:
            return False
        self.possibly_readable.add(self.router_descriptor)
        return bool(self.router.getsockopt(zmq.EVENTS) & zmq.POLLIN)

    def dispatch(self, frames: list[bytes]) -> None:
        """Decode a message from the ROUTER socket and call its handler.

        An invalid message is reported to ``on_invalid_frame`` and dropped.
        """
        if len(frames) < 3:
            return
        identity, kind, payload = frames[0], frames[1], frames[2]
        try:
            if kind == REQUEST_KIND:
                message = codec.decode_request(payload)
                self.on_request(identity, message, frames[3] if len(frames) > 3 else b"")
            elif kind == CONTROL_KIND:
                self.control_bytes_received += len(payload)
                message = codec.decode_control(self.shared_key, payload)
                control_handler = self.control_handlers.get(type(message))
                if control_handler is None:
                    raise InvalidFrame(reason="unexpected control message", frame=type(message).__name__)
                control_handler(message)
            else:
                raise InvalidFrame(reason="unknown kind", frame=kind[: codec.EXCERPT_BYTES].hex())
        except HibiscusdrumError as error:
            self.on_invalid_frame(error)

    def reply(self, identity: bytes, message: Message, body: bytes | None = None) -> int:
        """Reply to a request from the ROUTER socket; the reply is dropped if the sender has disconnected.

        Returns
        -------
        int
            Bytes queued for the connection; 0 if the reply was dropped.
        """
        frames = [identity, REQUEST_KIND, codec.encode(message)]
        if body is not None:
            frames.append(body)
        self.possibly_readable.add(self.router_descriptor)
        try:
            send_frames(self.router, frames)
        except zmq.ZMQError:
            # The sender has disconnected or does not read; it treats the outcome of its request as unknown.
            return 0
        return sum(map(len, frames))

    def peer(self, address: str, heartbeats: bool = False) -> Peer | None:
        """Return the connection to an address, opening one if there is none; None if that is not possible.

        Parameters
        ----------
        heartbeats : bool
            Whether a new connection uses heartbeats and is closed when its peer does not respond. Messages
            in transit are then lost; without heartbeats they arrive when the network recovers.
        """
        peer = self.peers.get(address)
        if peer is None:
            try:
                peer = Peer(self.context, address, self.identity, heartbeats)
            except zmq.ZMQError as error:
                log_events.emit(log_events.PeerSocketFailed(address=address, reason=str(error)))
                return None
            self.peers[address] = peer
            peer.descriptor = self.watch_socket(peer.socket, lambda: self.read_peer(peer))
        return peer

    def read_peer(self, peer: Peer) -> int:
        """Read up to one batch of replies from a peer and return the number of messages."""
        for count in range(READ_BATCH_MESSAGES):
            try:
                frames = receive_frames(peer.socket)
            except zmq.Again:
                return count
            self.dispatch_reply(frames)
        return READ_BATCH_MESSAGES

    def dispatch_reply(self, frames: list[bytes]) -> None:
        """Decode a reply and call the reply handler; an invalid one is reported and dropped."""
        try:
            if len(frames) < 2:
                return
            message = codec.decode_request(frames[1])
            if self.on_reply is not None:
                self.on_reply(message, frames[2] if len(frames) > 2 else b"")
        except HibiscusdrumError as error:
            self.on_invalid_frame(error)

    def send_control(self, address: str, message: Message) -> None:
        """Sign and send a control message.

        It is dropped if no connection is established within ``CONNECT_TIMEOUT_SECONDS``.
        """
        payload = codec.sign(self.shared_key, message)
        self.control_bytes_sent += len(payload)
        if self.on_control_sent is not None:
            self.on_control_sent(address, len(payload))
        self.send(address, [CONTROL_KIND, payload])

    def try_send_request(self, address: str, message: Message, body: bytes = b"") -> int:
        """Send a request message without waiting for a connection.

        Returns
        -------
        int
            Bytes queued for the connection; 0 if there is none or its queue is full: nothing was sent then.
        """
        frames = [REQUEST_KIND, codec.encode(message)]
        if body:
            frames.append(body)
        peer = self.peer(address)
        if peer is None:
            return 0
        self.possibly_readable.add(peer.descriptor)
        return sum(map(len, frames)) if peer.try_send(frames) else 0

    def is_connected(self, address: str) -> bool:
        """Return whether there is a connection to an address that accepts messages."""
        peer = self.peers.get(address)
        if peer is None:
            return False
        self.possibly_readable.add(peer.descriptor)
        return bool(peer.socket.getsockopt(zmq.EVENTS) & zmq.POLLOUT)

    def send(self, address: str, frames: list[bytes]) -> None:
        """Send a message now, or keep it pending for up to ``CONNECT_TIMEOUT_SECONDS``.

        It is dropped if no socket can be opened.
        """
        peer = self.peer(address)
        if peer is None:
            return
        self.possibly_readable.add(peer.descriptor)
        if not peer.pending and peer.try_send(frames):
            return
        due = self.app.clock.monotonic() + CONNECT_TIMEOUT_SECONDS
        peer.pending.append((due, frames))
        self.waiting_addresses.add(address)
        self.pending_timer.wake()

    def flush_pending(self) -> bool:
        """Send pending messages, drop expired ones, and return whether any are left."""
        now = self.app.clock.monotonic()
        for address in tuple(self.waiting_addresses):
            peer = self.peers[address]
            pending = peer.pending
            while pending and (peer.try_send(pending[0][1]) or pending[0][0] <= now):
                pending.popleft()
            if not pending:
                self.waiting_addresses.discard(address)
        return bool(self.waiting_addresses)

    def disconnect_peer(self, address: str) -> None:
        """Close the connection to a peer, and drop its pending messages."""
        peer = self.peers.pop(address, None)
        if peer is None:
            return
        self.waiting_addresses.discard(address)
        self.readers.pop(peer.descriptor, None)
        self.possibly_readable.discard(peer.descriptor)
        self.app.poller.discard(peer.descriptor)
        peer.socket.close()
