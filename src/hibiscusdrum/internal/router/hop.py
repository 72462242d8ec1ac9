"""Requests between daemons: sending, answers, and the liveness of peers that have requests of this node."""

from __future__ import annotations

import itertools
import os
import uuid
from collections.abc import Callable

import msgspec

from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.messages import (
    Answered,
    Body,
    Cancel,
    Declined,
    Forward,
    Message,
    Ping,
    Pong,
    SendBody,
)
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.members import Members
from hibiscusdrum.internal.router.selection import LoadReport, Selection
from hibiscusdrum.internal.router.settings import RouterSettings
from hibiscusdrum.internal.router.traffic import Traffic

PING_SECONDS = 0.25
# A peer with requests of this node that has been silent for this long is taken to be unreachable. A round
# trip between regions takes 60 ms, and a busy peer may be late by a few hundred.
SILENCE_SECONDS = 1.0
# Age beyond the fastest message of the same sender at which a message counts as held up on its way.
LATE_SECONDS = 0.5
# Age beyond the fastest message from the same region at which this VM's link counts as congested, and for how
# long after. Uncongested links within a region delay messages by a few milliseconds.
CONGESTED_SECONDS = 0.2
CONGESTED_FOR_SECONDS = 1.0
# The fastest message is remembered for one to two such periods, so that a change of the path is followed.
PERIOD_SECONDS = 30.0
SILENT = "silent"
# First bytes of a request's id, which name the process that sent it.
PROCESS_BYTES = 6
# A larger body is only offered, and sent when the receiver asks for it: a round trip costs less than the time
# that it takes on a narrow link.
LARGE_BODY_BYTES = 16_384

ReplyCallback = Callable[[Answered | Declined | SendBody, bytes], None]


class Outstanding:
    """A request sent to a peer, without an answer yet.

    Attributes
    ----------
    body : bytes
        Body that was offered and not yet sent to its end; the request cannot have run without it.
    """

    __slots__ = ("address", "body", "callback", "node", "sent_at")

    def __init__(self, node: str, address: str, callback: ReplyCallback, sent_at: float, body: bytes) -> None:
        self.node = node
        self.address = address
        self.callback = callback
        self.sent_at = sent_at
        self.body = body


class Transit:
    """Age of one sender's messages, relative to its fastest."""

    __slots__ = ("best", "former", "period")

    def __init__(self) -> None:
        self.best = float("inf")
        self.former = float("inf")
        self.period = 0.0

    def delay(self, sent_at: float, now: float) -> float:
        """Note a message; returns by how many seconds it is slower than the fastest one."""
        if now - self.period > PERIOD_SECONDS:
            self.former, self.best, self.period = self.best, float("inf"), now
        difference = now - sent_at
        self.best = min(self.best, difference)
        return difference - min(self.best, self.former)


class PeerState:
    """What is known of a peer's process."""

    __slots__ = ("address", "heard_at", "incarnation", "pinged_at", "reachable")

    def __init__(self, address: str, now: float) -> None:
        self.address = address
        self.incarnation = ""
        self.heard_at = now
        self.pinged_at = float("-inf")
        self.reachable = True


class Hop(Service):
    """Sends requests to other daemons, and receives theirs.

    Attributes
    ----------
    accept : callable or None
        Takes a forwarded request: message, body, seconds of delay on the way, and what to call then.
    cancel_received : callable or None
        Takes the id of a request whose caller no longer waits.
    body_received : callable or None
        Takes the id of a request, the position of a part of its body, and that part.
    """

    service_name = "hop"

    def __init__(self, settings: RouterSettings, selection: Selection) -> None:
        super().__init__()
        self.settings = settings
        self.selection = selection
        self.incarnation = uuid.uuid4().hex[:12]
        self.prefix = os.urandom(PROCESS_BYTES)
        self.counter = itertools.count(1)
        self.outstanding: dict[bytes, Outstanding] = {}
        self.states: dict[str, PeerState] = {}
        self.transit: dict[str, tuple[bytes, Transit]] = {}
        self.congested_until = float("-inf")
        self.started_at = 0.0
        self.accept: Callable[[Forward, bytes, float, ReplyCallback], None] | None = None
        self.cancel_received: Callable[[bytes], None] | None = None
        self.body_received: Callable[[bytes, int, bytes], None] | None = None
        self.own_load: Callable[[], tuple[int, int, int, float, bool]] = lambda: (0, 0, 1, 0.0, False)

    def on_start(self) -> None:
        """Listen to peers, and connect to them as they appear."""
        self.started_at = self.now
        self.peers = self.app.find("peers")
        self.members: Members = self.app.find("members")
        self.traffic: Traffic = self.app.find("traffic")
        self.peers.on_request = self.on_request
        self.peers.on_reply = self.on_reply
        self.members.on_change.append(self.connect)
        self.app.scheduler.every(PING_SECONDS, self.ping)

    @property
    def now(self) -> float:
        """Steady time in seconds."""
        return self.app.clock.monotonic()

    def connect(self) -> None:
        """Open connections to all nodes, and close those to nodes that are gone."""
        for row in self.members.nodes.values():
            if row.node != self.settings.node:
                state = self.states.get(row.node)
                if state is None or state.address != row.peer_address:
                    self.states[row.node] = PeerState(row.peer_address, self.now)
                    # Heartbeats between regions would take more of the link than requests.
                    self.peers.peer(row.peer_address, heartbeats=row.region == self.settings.region)
        self.forget_gone()

    def forget_gone(self) -> None:
        """Close connections to nodes whose rows are gone, unless requests are there.

        A row is also removed before its node has answered everything, and that of a node that only cannot
        reach the store; an end of the node shows by its silence.
        """
        busy = {entry.node for entry in self.outstanding.values()}
        for node in [node for node in self.states if node not in self.members.nodes and node not in busy]:
            self.peers.forget_peer(self.states.pop(node).address)

    def next_id(self) -> bytes:
        """Return a new id of a request."""
        return self.prefix + next(self.counter).to_bytes(5, "big")

    # Sending

    def send(self, node: str, forward: Forward, body: bytes, callback: ReplyCallback) -> bool:
        """Send a request; False when nothing was sent because there is no connection."""
        state = self.states.get(node)
        offered = b""
        if len(body) > LARGE_BODY_BYTES:
            offered, body = body, b""
            forward = msgspec.structs.replace(forward, offered_bytes=len(offered))
        size = self.peers.try_send_request(state.address, forward, body) if state is not None else 0
        if not size:
            return False
        self.traffic.note_sent(self.members.region(node), "forward", size)
        self.outstanding[forward.id] = Outstanding(node, state.address, callback, self.now, offered)
        return True

    def send_body(self, asked: SendBody) -> None:
        """Send the part of a body that a receiver asks for."""
        entry = self.outstanding.get(asked.id)
        if entry is None or not entry.body:
            return
        end = asked.first + asked.count
        part = entry.body[asked.first : end]
        size = self.peers.try_send_request(entry.address, Body(asked.id, asked.first), part)
        if size:
            self.traffic.note_sent(self.members.region(entry.node), "body", size)
            if end >= len(entry.body):
                entry.body = b""

    def holds_body(self, request_id: bytes) -> bool:
        """Return whether the end of a request's body was not sent, so that it cannot have run."""
        entry = self.outstanding.get(request_id)
        return entry is not None and bool(entry.body)

    def cancel(self, request_id: bytes) -> None:
        """Tell the peer that nobody waits for a request; its answer is dropped."""
        entry = self.outstanding.pop(request_id, None)
        if entry is not None:
            self.peers.try_send_request(entry.address, Cancel(request_id))

    def on_reply(self, message: Message, body: bytes) -> None:
        """Pass an answer to the sender of its request."""
        kind = type(message)
        if kind is Pong:
            self.on_pong(message)
            return
        if kind is SendBody:
            self.send_body(message)
            return
        if kind not in (Answered, Declined):
            return
        entry = self.outstanding.pop(message.id, None)
        if entry is None:
            return
        state = self.states.get(entry.node)
        if state is not None:
            state.heard_at = self.now
        self.selection.reported(entry.node, LoadReport(*message.load), self.now)
        entry.callback(message, body)

    def on_pong(self, pong: Pong) -> None:
        """Note that a peer lives; what was sent to an earlier process of it is lost."""
        state = self.states.get(pong.node)
        if state is None:
            return
        now = self.now
        state.heard_at = now
        if not state.reachable:
            state.reachable = True
            log_events.emit(events.PeerRegained(peer=pong.node, incarnation=pong.incarnation))
        self.selection.reported(pong.node, LoadReport(*pong.load), now)
        self.selection.path(self.members.region(pong.node)).note(now - pong.sent_at, now)
        if state.incarnation and state.incarnation != pong.incarnation:
            # What was sent since the new process listens has reached it, and it still works on it.
            self.fail_all(pong.node, "restarted", before=now - pong.age)
        state.incarnation = pong.incarnation

    def ping(self) -> None:
        """Ask the peers that have requests of this node; give up on those that have been silent."""
        self.forget_gone()
        now = self.now
        waiting: dict[str, float] = {}
        for entry in self.outstanding.values():
            waiting[entry.node] = min(waiting.get(entry.node, now), entry.sent_at)
        for node, since in waiting.items():
            state = self.states.get(node)
            if state is None:
                self.fail_all(node, "removed")
                continue
            sent = self.peers.try_send_request(state.address, Ping(self.settings.node, now, self.prefix))
            silent = now - max(state.heard_at, since)
            if not sent or silent > SILENCE_SECONDS:
                self.lost(node, state, SILENT if sent else "disconnected")

    def lost(self, node: str, state: PeerState, reason: str) -> None:
        """Take a peer to be unreachable: what it has is given up."""
        if state.reachable:
            state.reachable = False
            log_events.emit(
                events.PeerLost(
                    peer=node,
                    reason=reason,
                    silence_s=round(self.now - state.heard_at, 3),
                    outstanding=sum(entry.node == node for entry in self.outstanding.values()),
                )
            )
            if reason == SILENT:
                # What the old connection still holds must not arrive later.
                row = self.members.nodes.get(node)
                self.peers.forget_peer(state.address)
                self.peers.peer(state.address, row is not None and row.region == self.settings.region)
        self.selection.failed(node, self.now)
        self.fail_all(node, reason)

    def fail_all(self, node: str, reason: str, before: float = float("inf")) -> None:
        """Decline the requests at a peer; they may have run, unless their body was not sent."""
        ids = [
            request_id
            for request_id, entry in self.outstanding.items()
            if entry.node == node and entry.sent_at <= before
        ]
        for request_id in ids:
            entry = self.outstanding.pop(request_id)
            sent = not entry.body
            entry.callback(
                Declined(request_id, f"peer_{reason}", sent, sent, 0.0, (0, 0, 1, 0.0, False)), b""
            )

    # Receiving

    def on_request(self, identity: bytes, message: Message, body: bytes) -> None:
        """Take a message of another daemon."""
        kind = type(message)
        if kind is Forward:
            delay = self.delay(message.origin, message.id[:PROCESS_BYTES], message.sent_at)

            def reply(answer: Answered | Declined | SendBody, content: bytes) -> None:
                size = self.peers.reply(identity, answer, content)
                self.traffic.note_sent(
                    self.members.region(message.origin), type(answer).__name__.lower(), size
                )

            self.accept(message, body, delay, reply)
        elif kind is Body:
            self.body_received(message.id, message.first, body)
        elif kind is Ping:
            self.delay(message.origin, message.process, message.sent_at)
            age = self.now - self.started_at
            pong = Pong(self.settings.node, self.incarnation, message.sent_at, self.own_load(), age)
            self.peers.reply(identity, pong)
        elif kind is Cancel:
            self.cancel_received(message.request_id)

    @property
    def congested(self) -> bool:
        """Whether messages to this VM are held up on its link."""
        return self.now < self.congested_until

    def note_congestion(self, origin: str, late: float) -> None:
        """Ask others to send elsewhere for a while, because messages from nearby were held up."""
        if not self.congested:
            log_events.emit(events.LinkCongested(peer=origin, delay_s=round(late, 3)))
        self.congested_until = self.now + CONGESTED_FOR_SECONDS

    def delay(self, origin: str, process: bytes, sent_at: float) -> float:
        """Return by how many seconds a message was held up on its way; 0 for usual delays.

        Another process of the same node may be on a VM that was started anew, whose clock has too.
        """
        known, transit = self.transit.get(origin, (b"", None))
        if transit is None or known != process:
            transit = Transit()
            self.transit[origin] = process, transit
        late = transit.delay(sent_at, self.now)
        self.traffic.note_delay(self.members.region(origin), late)
        if late > CONGESTED_SECONDS and self.members.region(origin) == self.settings.region:
            self.note_congestion(origin, late)
        return late if late > LATE_SECONDS else 0.0
