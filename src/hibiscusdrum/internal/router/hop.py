"""Forwarding of requests between nodes, and failure detection for peers with outstanding requests."""

from __future__ import annotations

import itertools
import os
import uuid
from collections.abc import Callable
from functools import singledispatch
from typing import Any

import msgspec

from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.load.egress import EgressQueue, Lane, Outgoing, Precedence
from hibiscusdrum.internal.messages import (
    UNKNOWN_OUTLOOK,
    Answered,
    AnswerPart,
    Body,
    Cancel,
    Closing,
    Declined,
    Forward,
    Message,
    Ping,
    Pong,
    SendBody,
    Withdraw,
)
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.answer_sizes import MAX_INLINE_BODY_BYTES
from hibiscusdrum.internal.router.members import Members
from hibiscusdrum.internal.router.selection import LoadReport, NodeSelector
from hibiscusdrum.internal.router.settings import RouterSettings
from hibiscusdrum.internal.router.shared_clock import SharedClock
from hibiscusdrum.internal.router.traffic import Traffic
from hibiscusdrum.internal.transport.body_memory import MAX_BODY_BYTES, BodyMemory
from hibiscusdrum.internal.transport.entry_connection import EntryConnection

PING_INTERVAL_SECONDS = 0.25
# A peer with outstanding requests counts as unreachable after this much silence. A round trip between regions
# takes 60 ms, and a busy peer may respond a few hundred milliseconds late.
MAX_SILENCE_SECONDS = 1.0
# Time in transit beyond which a request counts as late. A caller may leave as soon as its request is sent,
# and its cancellation takes as long as the request. The measured time may be a little short of the true one.
LATE_MESSAGE_SECONDS = 0.4
# Transit delay of a message from the same region beyond which this VM's link counts as congested, and for how
# long after that message. Uncongested links within a region delay messages by a few milliseconds.
CONGESTION_DELAY_SECONDS = 0.2
CONGESTION_HOLD_SECONDS = 1.0
# The fastest message is remembered for one to two such periods, to adapt to a change of the network path.
BASELINE_PERIOD_SECONDS = 30.0
# Time after a pause of this process within which the connections that peers have replaced are accepted.
RECONNECT_SECONDS = 0.1
SILENT_REASON = "silent"
DISCONNECTED_REASON = "disconnected"
RESTARTED_REASON = "restarted"
PARTS_LOST_REASON = "parts_lost"
ANSWER_MEMORY_REASON = "answer_memory"
REMOVED_REASON = "removed"
# Reason with which a node declines all requests because its process is about to end.
CLOSING_REASON = "closing"
# Reason with which a node declines a request that has run, whose answer it cannot send before it ends.
UNSENT_REASON = "answer_unsent"
# Leading bytes of a request id that identify the sending process.
PROCESS_ID_BYTES = 6
# The memory of bodies is checked after so many bytes of parts of answers, since a check takes time in
# proportion to the callers' connections.
MEMORY_CHECK_BYTES = 65_536

ReplyCallback = Callable[[Answered | Declined | SendBody, bytes], None]


class OutstandingRequest:
    """A request sent to a peer that has not been answered yet.

    Attributes
    ----------
    repeatable : bool
        Whether the request may be sent to another node although this one may have run it.
    unsent_body : bytes
        Offered body until its last part is sent; until then the request cannot have run.
    lane : Lane
        Lane of the body on the link of this VM.
    deadline : float
        Monotonic time in seconds from which an answer is useless.
    answer_parts, received : list of bytes, int
        Parts of the answer received so far, and their bytes.
    """

    __slots__ = (
        "address",
        "answer_parts",
        "callback",
        "deadline",
        "lane",
        "node",
        "received",
        "repeatable",
        "sent_at",
        "unsent_body",
    )

    def __init__(
        self,
        node: str,
        address: str,
        callback: ReplyCallback,
        sent_at: float,
        repeatable: bool,
        unsent_body: bytes,
        lane: Lane,
        deadline: float,
    ) -> None:
        self.node = node
        self.address = address
        self.callback = callback
        self.sent_at = sent_at
        self.repeatable = repeatable
        self.unsent_body = unsent_body
        self.lane = lane
        self.deadline = deadline
        self.answer_parts: list[bytes] = []
        self.received = 0

    @property
    def may_have_run(self) -> bool:
        """Whether the peer may have run the request."""
        return not self.unsent_body


class QueuedAnswer:
    """An answer to another node that waits for the link.

    Attributes
    ----------
    identity, origin : bytes, str
        Connection of the node, and its name.
    attempt_id : str
        Caller's id of the request.
    queued_at : float
        Monotonic time in seconds.
    """

    __slots__ = ("answer", "attempt_id", "content", "identity", "origin", "queued_at")

    def __init__(
        self, identity: bytes, forward: Forward, answer: Answered, content: bytes, now: float
    ) -> None:
        self.identity = identity
        self.origin = forward.origin
        self.attempt_id = forward.attempt_id
        self.answer = answer
        self.content = content
        self.queued_at = now


class QueuedBody:
    """Requested bytes of the body of a request, from an offset on, that wait for the link."""

    __slots__ = ("first",)

    def __init__(self, first: int) -> None:
        self.first = first


class QueuedOutput:
    """Output to a caller's connection that waits for the link."""

    __slots__ = ("connection",)

    def __init__(self, connection: EntryConnection) -> None:
        self.connection = connection


class TransitDelay:
    """Transit delay of one sender's messages, relative to its fastest one.

    The clocks of sender and receiver may differ by any constant, so absolute delays are unknown.
    """

    __slots__ = ("fastest", "period_started_at", "previous_fastest")

    def __init__(self) -> None:
        self.fastest = float("inf")
        self.previous_fastest = float("inf")
        self.period_started_at = 0.0

    def record(self, sent_at: float, now: float) -> float:
        """Record a message, and return its delay in seconds beyond the fastest message."""
        if now - self.period_started_at > BASELINE_PERIOD_SECONDS:
            self.previous_fastest, self.fastest, self.period_started_at = self.fastest, float("inf"), now
        age = now - sent_at
        self.fastest = min(self.fastest, age)
        return age - min(self.fastest, self.previous_fastest)


class PeerState:
    """Liveness of a peer's process, as seen from this node.

    Attributes
    ----------
    reachable : bool
        Whether the peer has been heard since its connection was last lost, or replaced because of silence.
    silent : bool
        Whether the connection was replaced because of silence; that it is not established proves no loss.
    closing_until : float
        Monotonic time in seconds until which the peer may be about to end, since it has said so or declined
        a request for that reason. Requests that it had not read by then would end without an answer, so
        none are sent before that time or before the connection is made anew.
    """

    __slots__ = ("address", "closing_until", "incarnation", "last_heard_at", "reachable", "silent")

    def __init__(self, address: str, now: float) -> None:
        self.address = address
        self.incarnation = ""
        self.last_heard_at = now
        self.reachable = True
        self.silent = False
        self.closing_until = float("-inf")


class Forwarder(Service):
    """Forwards requests to other nodes, and receives theirs.

    Attributes
    ----------
    incarnation : str
        Identifies this start of the process to peers.
    process_id : bytes
        Random prefix of this process's request ids.
    on_forward : callable or None
        Called with a received request: message, body, time in transit in seconds or None if unknown, and
        reply callback.
    on_cancel : callable or None
        Called with the id of a received request that is cancelled, and the time that the cancellation was in
        transit in seconds, or None if unknown.
    on_withdraw : callable or None
        Called with the id of a received request that must not run if the target has not been sent it.
    shared_clock : SharedClock
        Measures the time in transit from the first message between two nodes on.
    on_body_part : callable or None
        Called with the id of a received request, the offset of a part of its body, and that part.
    load_report : callable
        Returns the load of this node's target, which is sent with each pong.
    rate_limit : callable
        Returns the requests per second that this node's target accepts, or 0; sent with each pong.
    outlook : callable
        Returns the outlook of this node's target, which is sent with each pong.
    message_handlers : dict of type to callable
        Called with the messages of other types.
    before_end : list of callable
        Called before the peers are told that this process is about to end.
    on_peer_closing : list of callable
        Called with a node whose process is about to end.
    egress : EgressQueue
        Answers and bodies that wait for the link of this VM.
    memory : BodyMemory
        Limits on the bodies that this process holds.
    """

    service_name = "hop"

    def __init__(self, settings: RouterSettings, selector: NodeSelector) -> None:
        super().__init__()
        self.settings = settings
        self.selector = selector
        self.incarnation = uuid.uuid4().hex[:12]
        self.process_id = os.urandom(PROCESS_ID_BYTES)
        self.request_counter = itertools.count(1)
        self.outstanding: dict[bytes, OutstandingRequest] = {}
        self.peer_states: dict[str, PeerState] = {}
        self.transit_delays: dict[str, tuple[bytes, TransitDelay]] = {}
        self.congested_until = float("-inf")
        self.started_at = 0.0
        self.on_forward: Callable[[Forward, bytes, float | None, ReplyCallback], None] | None = None
        self.on_cancel: Callable[[bytes, float | None], None] | None = None
        self.on_withdraw: Callable[[bytes], None] | None = None
        self.shared_clock = SharedClock()
        self.on_body_part: Callable[[bytes, int, bytes], None] | None = None
        self.load_report: Callable[[], tuple[int, int, int, float, bool]] = lambda: (0, 0, 1, 0.0, False)
        self.rate_limit: Callable[[], float] = lambda: 0.0
        self.outlook: Callable[[], tuple[float, float, float]] = lambda: UNKNOWN_OUTLOOK
        self.message_handlers: dict[type, Callable[[Message], None]] = {}
        self.before_end: list[Callable[[], None]] = []
        self.on_peer_closing: list[Callable[[str], None]] = []
        self.egress = EgressQueue(settings.link_bytes_per_second)
        self.egress_due_at = float("inf")
        self.memory = BodyMemory()
        self.unchecked_bytes = 0

    def on_start(self) -> None:
        """Register for the messages of peers, and connect to nodes as they join."""
        self.started_at = self.now
        self.peers = self.app.find("peers")
        self.members: Members = self.app.find("members")
        self.traffic: Traffic = self.app.find("traffic")
        self.peers.on_request = self.on_request
        self.peers.on_reply = self.on_reply
        self.members.on_change.append(self.connect_to_members)
        self.memory.holders.append(self.held_bytes)
        self.traffic.on_store_sent = self.charge
        self.app.scheduler.every(PING_INTERVAL_SECONDS, self.ping)

    def on_stop(self) -> None:
        """Hand all that waits for the link to the connections, which transmit it before they are closed."""
        while (part := self.egress.next_part(self.now, paced=False)) is not None:
            send_part(part[0].item, self, *part)

    def held_bytes(self) -> int:
        """Return the bytes of answers that wait for the link or have arrived in part."""
        items = [entry.item for entry in self.egress.entries.values()]
        waiting = sum(len(item.content) for item in items if isinstance(item, QueuedAnswer))
        return waiting + sum(entry.received for entry in self.outstanding.values())

    @property
    def has_queued(self) -> bool:
        """Whether an answer or a body waits for the link."""
        return bool(self.egress.entries)

    def charge(self, size: int) -> None:
        """Count bytes that were sent over the link of this VM."""
        self.egress.charge(size, self.now)

    def count_sent(self, region: str, kind: str, size: int) -> None:
        """Count the bytes of a message to a node in a region."""
        self.traffic.count_sent(region, kind, size)
        self.charge(size)

    @property
    def now(self) -> float:
        """Monotonic time in seconds."""
        return self.app.clock.monotonic()

    def connect_to_members(self) -> None:
        """Open connections to all nodes, and close those to removed nodes."""
        for row in self.members.nodes.values():
            if row.node != self.settings.node:
                state = self.peer_states.get(row.node)
                if state is None or state.address != row.peer_address:
                    self.peer_states[row.node] = PeerState(row.peer_address, self.now)
                    # Heartbeats between regions would use more of the link than requests.
                    self.peers.peer(row.peer_address, heartbeats=row.region == self.settings.region)
        self.disconnect_removed()

    def disconnect_removed(self) -> None:
        """Close connections to nodes whose rows were removed and that have no outstanding requests.

        The row of a node may be removed before the node has answered all requests, or because the node cannot
        reach the store. Whether the node has ended is decided by its silence instead.
        """
        busy = {entry.node for entry in self.outstanding.values()}
        for node in [
            node for node in self.peer_states if node not in self.members.nodes and node not in busy
        ]:
            self.peers.disconnect_peer(self.peer_states.pop(node).address)

    def next_request_id(self) -> bytes:
        """Return a new request id."""
        return self.process_id + next(self.request_counter).to_bytes(5, "big")

    def send(self, node: str, forward: Forward, body: bytes, callback: ReplyCallback) -> bool:
        """Send a request; return False if nothing was sent because the peer is closing or not connected."""
        state = self.peer_states.get(node)
        if self.is_closing(node):
            return False
        unsent_body = b""
        if len(body) > MAX_INLINE_BODY_BYTES:
            unsent_body, body = body, b""
            forward = msgspec.structs.replace(forward, offered_bytes=len(unsent_body))
        stamp, _ = self.shared_clock.stamp()
        earliest, era = self.shared_clock.earliest_stamp()
        forward = msgspec.structs.replace(
            forward, store_sent_at=stamp, store_era=era, store_earliest=earliest, takes_parts=True
        )
        size = self.peers.try_send_request(state.address, forward, body) if state is not None else 0
        if not size:
            return False
        self.count_sent(self.members.region_of(node), "forward", size)
        self.outstanding[forward.id] = OutstandingRequest(
            node,
            state.address,
            callback,
            self.now,
            forward.repeatable,
            unsent_body,
            Lane.NESTED if forward.nested else Lane.BULK,
            self.now + forward.remaining_seconds,
        )
        return True

    def is_closing(self, node: str) -> bool:
        """Return whether a node declines all requests because its process is about to end."""
        state = self.peer_states.get(node)
        if state is None or self.now >= state.closing_until:
            return False
        if not self.peers.is_connected(state.address):
            state.closing_until = float("-inf")
            return False
        return True

    def on_closing(self, node: str) -> None:
        """Record that a node is about to end."""
        state = self.peer_states.get(node)
        if state is not None:
            # The peer is killed at the end of its grace, also if the end of its connection is not seen.
            state.closing_until = self.now + self.settings.grace
        for listener in self.on_peer_closing:
            listener(node)

    def announce_end(self) -> None:
        """Tell all peers that this process is about to end."""
        for listener in self.before_end:
            listener()
        self.broadcast(Closing(self.settings.node))

    def broadcast(self, message: Message) -> None:
        """Send a message to all peers to which there is a connection."""
        for node in self.peer_states:
            self.send_message(node, message)

    def is_connected(self, node: str) -> bool:
        """Return whether there is a connection to a peer."""
        state = self.peer_states.get(node)
        return state is not None and self.peers.is_connected(state.address)

    def send_message(self, node: str, message: Message) -> bool:
        """Send a message to a peer, and return whether there is a connection to it."""
        state = self.peer_states.get(node)
        if state is None:
            return False
        size = self.peers.try_send_request(state.address, message)
        self.count_sent(self.members.region_of(node), type(message).__name__.lower(), size)
        return size > 0

    def send_body_part(self, part_request: SendBody) -> None:
        """Send the part of an offered body that the receiver asks for, once the link has room for it."""
        request_id, first = part_request.id, part_request.first
        entry = self.outstanding.get(request_id)
        if entry is None or not entry.unsent_body:
            return
        count = min(part_request.count, len(entry.unsent_body) - first)
        queued = self.egress.entries.get(request_id)
        if not self.egress.rate or count <= 0:
            self.transmit_body(request_id, first, part_request.count)
        elif queued is None:
            outgoing = Outgoing(request_id, entry.lane, count, entry.deadline, QueuedBody(first))
            self.egress.push(outgoing, self.now)
            self.send_due()
        elif queued.item.first + queued.size == first:
            self.egress.extend(queued, count)

    def transmit_body(self, request_id: bytes, first: int, count: int) -> bool:
        """Send a part of an offered body; return False if it was not sent."""
        entry = self.outstanding.get(request_id)
        if entry is None or not entry.unsent_body:
            return False
        end = first + count
        part = entry.unsent_body[first:end]
        size = self.peers.try_send_request(entry.address, Body(request_id, first), part)
        if size:
            self.count_sent(self.members.region_of(entry.node), "body", size)
            if end >= len(entry.unsent_body):
                entry.unsent_body = b""
        return size > 0

    def send_due(self) -> None:
        """Send the parts of answers and bodies that the link has room for, and wait for the next one."""
        self.egress_due_at = float("inf")
        now = self.now
        # Peers may have replaced their connections during a pause of this process.
        delay = self.app.scheduler.resumed_at + RECONNECT_SECONDS - now
        if delay <= 0.0:
            while (part := self.egress.next_part(now)) is not None:
                send_part(part[0].item, self, *part)
            delay = self.egress.next_due_seconds(now)
        if delay is not None and self.has_queued:
            self.egress_due_at = now + delay
            self.app.scheduler.call_later(delay, self.send_if_due)

    def takes_output(self, size: int) -> bool:
        """Return whether a response to a caller has to wait for the link."""
        lane = Lane.SMALL if size <= MAX_INLINE_BODY_BYTES else Lane.BULK
        return lane is Lane.BULK and not self.egress.passes(lane, size, self.now)

    def queue_output(self, connection: EntryConnection, size: int, deadline: float) -> None:
        """Write the output of a caller's connection in parts, when the link has room for them.

        It is written to its end also after the deadline, since the caller could not tell a part from a whole.
        """
        item = QueuedOutput(connection)
        outgoing = Outgoing(
            output_key(connection),
            Lane.BULK,
            size,
            deadline,
            item,
            expires=False,
            precedence=Precedence.RESPONSE,
        )
        self.egress.push(outgoing, self.now)
        self.send_due()

    def extend_output(self, connection: EntryConnection, size: int) -> None:
        """Add bytes to the output of a caller's connection, if it is queued."""
        entry = self.egress.entries.get(output_key(connection))
        if entry is not None:
            self.egress.extend(entry, size)

    def forget_output(self, connection: EntryConnection) -> None:
        """Drop the output of a caller's connection that is closed."""
        self.egress.remove(output_key(connection))

    def send_if_due(self) -> None:
        """Continue to send, unless that has been done since this call was scheduled."""
        if self.now >= self.egress_due_at:
            self.send_due()

    def has_unsent_body(self, request_id: bytes) -> bool:
        """Return whether a request cannot have run because its body has not been sent completely."""
        entry = self.outstanding.get(request_id)
        return entry is not None and bool(entry.unsent_body)

    def cancel(self, request_id: bytes) -> None:
        """Ask the peer to cancel a request; a reply that still arrives is dropped."""
        entry = self.outstanding.pop(request_id, None)
        if entry is not None:
            self.egress.remove(request_id)
            self.charge(
                self.peers.try_send_request(entry.address, Cancel(request_id, *self.shared_clock.stamp()))
            )

    def on_reply(self, message: Message, body: bytes) -> None:
        """Process a message that answers an earlier one of this node."""
        kind = type(message)
        if kind is Pong:
            self.on_pong(message)
            return
        if kind is SendBody:
            self.send_body_part(message)
            return
        if kind is AnswerPart:
            self.on_answer_part(message, body)
            return
        if kind not in (Answered, Declined):
            return
        entry = self.outstanding.get(message.id)
        if entry is None:
            return
        if kind is Answered and message.first != entry.received:
            self.give_up(message.id, f"peer_{PARTS_LOST_REASON}")
            return
        del self.outstanding[message.id]
        self.egress.remove(message.id)
        if kind is Answered and entry.answer_parts:
            body = b"".join((*entry.answer_parts, body))
        state = self.peer_states.get(entry.node)
        if state is not None:
            state.last_heard_at = self.now
            if kind is Declined and message.reason == CLOSING_REASON:
                self.on_closing(entry.node)
        self.selector.on_report(entry.node, LoadReport.of(message), self.now)
        entry.callback(message, body)

    def on_answer_part(self, message: AnswerPart, part: bytes) -> None:
        """Add a part to an answer; give the request up if a part is missing or the memory is full."""
        entry = self.outstanding.get(message.id)
        if entry is None or not part:
            return
        state = self.peer_states.get(entry.node)
        if state is not None:
            state.last_heard_at = self.now
        if message.first != entry.received:
            self.give_up(message.id, f"peer_{PARTS_LOST_REASON}")
            return
        entry.answer_parts.append(part)
        entry.received += len(part)
        if entry.received > MAX_BODY_BYTES:
            self.give_up_incomplete(message.id)
            return
        self.unchecked_bytes += len(part)
        if self.unchecked_bytes >= MEMORY_CHECK_BYTES:
            self.unchecked_bytes = 0
            if self.memory.exceeded:
                self.give_up_incomplete(
                    max(self.outstanding, key=lambda request_id: self.outstanding[request_id].received)
                )

    def give_up_incomplete(self, request_id: bytes) -> None:
        """Give up a request because there is no memory for the rest of its answer."""
        self.memory.report_exceeded("incomplete answer", self.outstanding[request_id].received)
        self.give_up(request_id, ANSWER_MEMORY_REASON)

    def give_up(self, request_id: bytes, reason: str) -> None:
        """Decline a request that has run, whose answer cannot be completed."""
        entry = self.outstanding[request_id]
        self.cancel(request_id)
        entry.callback(Declined(request_id, reason, True, True, 0.0, (0, 0, 1, 0.0, False)), b"")

    def on_pong(self, pong: Pong) -> None:
        """Record that a peer is alive; decline the requests sent to its previous incarnation."""
        state = self.peer_states.get(pong.node)
        if state is None:
            return
        now = self.now
        state.last_heard_at = now
        state.silent = False
        if not state.reachable:
            state.reachable = True
            log_events.emit(events.PeerRegained(peer=pong.node, incarnation=pong.incarnation))
        self.selector.on_report(pong.node, LoadReport.of(pong), now)
        self.selector.path_delay(self.members.region_of(pong.node)).record(now - pong.sent_at, now)
        if state.incarnation and state.incarnation != pong.incarnation:
            # Requests sent after the new process began to listen have reached it and are still being served.
            started_at = now - pong.uptime_seconds
            self.decline_outstanding(pong.node, RESTARTED_REASON, lambda entry: entry.sent_at <= started_at)
        state.incarnation = pong.incarnation

    def ping(self) -> None:
        """Ping the peers with outstanding requests; mark those that were silent too long as unreachable."""
        self.disconnect_removed()
        for node in self.peer_states:
            # Detects the end of a connection that is made anew before the next request.
            self.is_closing(node)
        now = self.now
        waiting: dict[str, float] = {}
        for entry in self.outstanding.values():
            waiting[entry.node] = min(waiting.get(entry.node, now), entry.sent_at)
        for node, since in waiting.items():
            state = self.peer_states.get(node)
            if state is None:
                self.decline_outstanding(node, REMOVED_REASON)
                continue
            ping = Ping(self.settings.node, now, self.process_id, *self.shared_clock.earliest_stamp())
            sent = self.peers.try_send_request(state.address, ping)
            self.charge(sent)
            silence = self.app.scheduler.silence_seconds(max(state.last_heard_at, since))
            if silence > MAX_SILENCE_SECONDS:
                self.on_silent(node, state)
            elif not sent and not state.silent:
                self.mark_unreachable(node, state, DISCONNECTED_REASON)
                self.decline_outstanding(node, DISCONNECTED_REASON)

    def on_silent(self, node: str, state: PeerState) -> None:
        """Decline the requests at a silent peer, except orders that it may be running.

        The peer may only be paused or cut off. An order must not be repeated elsewhere, so waiting for its
        answer until its deadline costs its caller nothing.
        """
        if not state.silent:
            state.silent = True
            self.mark_unreachable(node, state, SILENT_REASON)
            # Messages that are still buffered in the old connection must not be delivered later.
            row = self.members.nodes.get(node)
            self.peers.disconnect_peer(state.address)
            self.peers.peer(state.address, row is not None and row.region == self.settings.region)
        self.decline_outstanding(
            node, SILENT_REASON, lambda entry: entry.repeatable or not entry.may_have_run
        )

    def mark_unreachable(self, node: str, state: PeerState, reason: str) -> None:
        """Mark a peer as unreachable, so that other nodes are preferred."""
        if state.reachable:
            state.reachable = False
            log_events.emit(
                events.PeerLost(
                    peer=node,
                    reason=reason,
                    silence_s=round(self.now - state.last_heard_at, 3),
                    outstanding=sum(entry.node == node for entry in self.outstanding.values()),
                )
            )
        self.selector.on_failure(node, self.now)

    def decline_outstanding(
        self, node: str, reason: str, affected: Callable[[OutstandingRequest], bool] = lambda _entry: True
    ) -> None:
        """Decline the affected outstanding requests of a peer."""
        ids = [
            request_id
            for request_id, entry in self.outstanding.items()
            if entry.node == node and affected(entry)
        ]
        for request_id in ids:
            entry = self.outstanding.pop(request_id)
            self.egress.remove(request_id)
            ran = entry.may_have_run
            entry.callback(Declined(request_id, f"peer_{reason}", ran, ran, 0.0, (0, 0, 1, 0.0, False)), b"")

    def on_request(self, identity: bytes, message: Message, body: bytes) -> None:
        """Process a message from another node."""
        kind = type(message)
        if kind is Forward:
            self.shared_clock.on_message(message.store_earliest, message.store_era)
            transit = self.time_in_transit(message)
            deadline = self.now - (transit or 0.0) + message.remaining_seconds

            def reply(answer: Answered | Declined | SendBody, content: bytes) -> None:
                self.reply(identity, message, deadline, answer, content)

            self.on_forward(message, body, transit, reply)
        elif kind is Body:
            self.on_body_part(message.id, message.first, body)
        elif kind is Ping:
            self.shared_clock.on_message(message.store_earliest, message.store_era)
            self.transit_delay(message.origin, message.process, message.sent_at)
            age = self.now - self.started_at
            pong = Pong(
                self.settings.node,
                self.incarnation,
                message.sent_at,
                self.load_report(),
                age,
                self.rate_limit(),
                self.outlook(),
            )
            self.charge(self.peers.reply(identity, pong))
        elif kind is Cancel:
            self.egress.remove(message.request_id)
            transit = self.shared_clock.seconds_since(message.store_sent_at, message.store_era)
            self.on_cancel(message.request_id, transit)
        elif kind is Withdraw:
            self.on_withdraw(message.request_id)
        elif kind is Closing:
            self.on_closing(message.node)
        elif kind in self.message_handlers:
            self.message_handlers[kind](message)

    def reply(
        self,
        identity: bytes,
        forward: Forward,
        deadline: float,
        answer: Answered | Declined | SendBody,
        content: bytes,
    ) -> None:
        """Reply to a request of another node, after a pause of this process with a delay.

        A peer that found this process silent has replaced its connection. What is sent before the new one is
        accepted goes to the old one and is lost. An answer waits for the link if that is busy.
        """
        now = self.now
        delay = self.app.scheduler.resumed_at + RECONNECT_SECONDS - now
        if delay > 0.0:
            self.app.scheduler.call_later(
                delay, lambda: self.reply(identity, forward, deadline, answer, content)
            )
            return
        lane = answer_lane(forward, content)
        if type(answer) is not Answered or self.egress.passes(lane, len(content), now):
            self.transmit_reply(identity, forward.origin, answer, content)
            return
        item = QueuedAnswer(identity, forward, answer, content, now)
        precedence = Precedence.REPEATABLE if forward.may_go_elsewhere else Precedence.UNREPEATABLE
        whole = not forward.takes_parts
        outgoing = Outgoing(
            forward.id, lane, len(content), deadline, item, whole=whole, precedence=precedence
        )
        self.egress.push(outgoing, now)
        self.send_due()

    def transmit_reply(self, identity: bytes, origin: str, answer: Message, content: bytes) -> int:
        """Send a reply, and return its size; 0 if the connection is lost."""
        size = self.peers.reply(identity, answer, content)
        self.count_sent(self.members.region_of(origin), type(answer).__name__.lower(), size)
        return size

    def fit_queue(self, seconds: float) -> None:
        """Give up answers to other nodes that cannot leave the link before the process ends.

        Responses to callers go first from then on, and the other nodes are told at once. They can still
        repeat a request elsewhere then, while a response that is cut cannot be replaced.

        Parameters
        ----------
        seconds : float
            Time that is left to send what is queued.
        """
        egress, now = self.egress, self.now
        if egress.seconds_to_send(now) <= seconds:
            return
        egress.order_by_precedence()
        for entry in egress.unsendable(now, seconds):
            if isinstance(entry.item, QueuedAnswer):
                self.give_up_answer(entry, seconds)

    def give_up_answer(self, entry: Outgoing, seconds: float) -> None:
        """Tell another node that an answer will not come."""
        item = entry.item
        self.egress.remove(entry.key)
        log_events.emit(
            events.AnswerGivenUp(
                id=item.attempt_id,
                origin=item.origin,
                left_bytes=entry.left,
                sent_bytes=entry.sent,
                queued_bytes=self.egress.queued_bytes,
                left_s=round(seconds, 3),
            )
        )
        declined = Declined(
            entry.key,
            UNSENT_REASON,
            True,
            True,
            0.0,
            self.load_report(),
            rate_limit=self.rate_limit(),
            outlook=self.outlook(),
        )
        self.transmit_reply(item.identity, item.origin, declined, b"")

    def seconds_for_callers(self, further: float) -> float:
        """Return the seconds that queued responses to callers, and further bytes, take on the link."""
        return self.egress.seconds_to_send(self.now, Precedence.RESPONSE, further)

    @property
    def link_congested(self) -> bool:
        """Whether messages to this VM were recently delayed by its link."""
        return self.now < self.congested_until

    def record_congestion(self, origin: str, delay: float) -> None:
        """Treat the link as congested for a while, because a message from the same region was delayed."""
        if not self.link_congested:
            log_events.emit(events.LinkCongested(peer=origin, delay_s=round(delay, 3)))
        self.congested_until = self.now + CONGESTION_HOLD_SECONDS

    def time_in_transit(self, message: Forward) -> float | None:
        """Return for how many seconds at least a request was in transit; None if that is not known.

        Each measurement is a lower bound of the true time.
        """
        known, _ = self.transit_delays.get(message.origin, (b"", None))
        process = message.id[:PROCESS_ID_BYTES]
        delay = self.transit_delay(message.origin, process, message.sent_at)
        measured = self.shared_clock.seconds_since(message.store_sent_at, message.store_era)
        if known != process:
            # The first message of a process has none to be compared with.
            return measured
        return delay if measured is None else max(delay, measured)

    def transit_delay(self, origin: str, process: bytes, sent_at: float) -> float:
        """Return the transit delay of a message in seconds beyond the fastest one of its sender's process.

        The measurement restarts with each process of the sender, because its VM may have restarted, and with
        it the monotonic clock.
        """
        known, transit = self.transit_delays.get(origin, (b"", None))
        if transit is None or known != process:
            transit = TransitDelay()
            self.transit_delays[origin] = process, transit
        delay = transit.record(sent_at, self.now)
        self.traffic.count_delay(self.members.region_of(origin), delay)
        if delay > CONGESTION_DELAY_SECONDS and self.members.region_of(origin) == self.settings.region:
            self.record_congestion(origin, delay)
        return delay


def answer_lane(forward: Forward, content: bytes) -> Lane:
    """Return the lane of an answer on the link."""
    if len(content) <= MAX_INLINE_BODY_BYTES:
        return Lane.SMALL
    return Lane.NESTED if forward.nested else Lane.BULK


def output_key(connection: EntryConnection) -> bytes:
    """Return the key of a connection's output in the queue, which differs from all ids of requests."""
    return b"output" + id(connection).to_bytes(8, "big")


@singledispatch
def send_part(item: Any, hop: Forwarder, entry: Outgoing, first: int, count: int) -> None:
    """Send a part of what waited for the link; drop the rest if there is no connection."""
    raise TypeError(type(item).__name__)


@send_part.register
def send_answer_part(item: QueuedAnswer, hop: Forwarder, entry: Outgoing, first: int, count: int) -> None:
    """Send a part of an answer; the last one with the answer itself and the current load."""
    message: Message = AnswerPart(item.answer.id, first)
    if first + count == entry.size:
        message = msgspec.structs.replace(
            item.answer,
            load=hop.load_report(),
            held_seconds=item.answer.held_seconds + hop.now - item.queued_at,
            outlook=hop.outlook(),
            first=first,
        )
    part = item.content[first : first + count]
    if not hop.transmit_reply(item.identity, item.origin, message, part):
        hop.egress.remove(entry.key)


@send_part.register
def send_queued_body(item: QueuedBody, hop: Forwarder, entry: Outgoing, first: int, count: int) -> None:
    """Send a part of the body of a request."""
    if not hop.transmit_body(entry.key, item.first + first, count):
        hop.egress.remove(entry.key)


@send_part.register
def send_output_part(item: QueuedOutput, hop: Forwarder, entry: Outgoing, first: int, count: int) -> None:
    """Write a part of the output of a caller's connection."""
    hop.charge(item.connection.write_paced(entry.left))
