"""Sockets of the caller library; they are polled from the caller's thread, without a background thread."""

from __future__ import annotations

import random
import time

import zmq

from hibiscusdrum.errors import HibiscusdrumError
from hibiscusdrum.internal import codec
from hibiscusdrum.internal.caller.engine import CallEngine, OnDone
from hibiscusdrum.internal.caller.map_cache import MapCache
from hibiscusdrum.internal.caller.types import Request
from hibiscusdrum.internal.messages import MapReply, Message
from hibiscusdrum.internal.transport.frames import receive_frames
from hibiscusdrum.internal.transport.peer import REQUEST_KIND, Peer, random_identity

# Upper bound of one wait in the poll loop, so that map refreshes are not delayed.
MAX_POLL_SECONDS = 0.01


class SocketDriver:
    """Runs a ``CallEngine`` on sockets to the daemons.

    Parameters
    ----------
    seeds : tuple of str
        Addresses of daemons to ask for the ownership map.
    region : str
        Region of this process, or an empty string.
    seed : int, optional
        Seed of the random number generator.
    """

    def __init__(self, seeds: tuple[str, ...], region: str, seed: int | None) -> None:
        rng = random.Random(seed)
        self.context = zmq.Context()
        self.poller = zmq.Poller()
        self.identity = random_identity()
        self.peers: dict[str, Peer] = {}
        self.region = region
        self.map_cache = MapCache(seeds, rng)
        self.engine = CallEngine(self.map_cache, self.send, rng)

    def submit(self, request: Request, on_done: OnDone) -> None:
        """Start a call; ``on_done`` is called once with its outcome."""
        self.engine.submit(request, on_done)

    def peer(self, address: str) -> Peer:
        """Return the connection to an address, opening it if needed."""
        peer = self.peers.get(address)
        if peer is None:
            peer = self.peers[address] = Peer(self.context, address, self.identity)
            self.poller.register(peer.socket, zmq.POLLIN)
        return peer

    def send(self, address: str, message: Message, body: bytes = b"") -> bool:
        """Send a message; return False if there is no connection, so that nothing was sent."""
        frames = [REQUEST_KIND, codec.encode(message)]
        if body:
            frames.append(body)
        return self.peer(address).try_send(frames)

    def poll(self, timeout: float) -> None:
        """Process answers, timers and map refreshes until a call completes or ``timeout`` seconds pass."""
        end = time.monotonic() + timeout
        engine = self.engine
        before = engine.completed
        while True:
            now = time.monotonic()
            self.refresh_map(now)
            engine.run_timers(now)
            wait = min(MAX_POLL_SECONDS, max(0.0, end - now), engine.next_timer_in(now))
            if engine.completed != before:
                wait = 0.0
            # Rounds the wait to milliseconds; one rounded down to 0 would busy-loop until the next timer.
            for socket, _event in self.poller.poll(wait * 1000.0 + (0.5 if wait else 0.0)):
                self.read_messages(socket)
            if engine.completed != before or time.monotonic() >= end:
                return

    def read_messages(self, socket: zmq.Socket) -> None:
        """Read and process all pending messages of a socket."""
        while True:
            try:
                frames = receive_frames(socket)
            except zmq.Again:
                return
            try:
                message = codec.decode_request(frames[1])
            except (HibiscusdrumError, IndexError):
                # A malformed answer is dropped; its call ends at its deadline with an unknown outcome.
                continue
            if isinstance(message, MapReply):
                self.apply_map(message)
            else:
                self.engine.dispatch(message, frames[2] if len(frames) > 2 else b"")

    def apply_map(self, message: MapReply) -> None:
        """Apply changes of the map, and retry the calls that wait for them."""
        now = time.monotonic()
        before = self.map_cache.map.generation, self.map_cache.document_version
        self.map_cache.apply(message, now)
        if (self.map_cache.map.generation, self.map_cache.document_version) != before:
            self.engine.retry_waiting(now)

    def refresh_map(self, now: float) -> None:
        """Request the changes of the map from a daemon if a refresh is due."""
        if self.map_cache.refresh_due(now, bool(self.engine.calls)):
            address, message = self.map_cache.prepare_request(now)
            if not self.send(address, message):
                self.map_cache.on_send_failed(address, now)

    def close(self) -> None:
        """End all open calls and close the sockets."""
        self.engine.fail_all()
        for peer in self.peers.values():
            peer.socket.close()
        self.context.term()
