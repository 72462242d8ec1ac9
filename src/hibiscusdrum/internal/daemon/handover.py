"""Moves slices away from this node while it serves: planned moves, draining, rebalancing, leaving."""

from __future__ import annotations

import random
from collections.abc import Sequence

import msgspec
from returns.result import Failure, Result, Success

from hibiscusdrum.errors import DeadlineExceeded, HibiscusdrumError, Overloaded
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.daemon.operations import ignore_result, new_operation_id
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.messages import Call
from hibiscusdrum.internal.ownership import handover as transactions
from hibiscusdrum.internal.ownership.rows import owner_key
from hibiscusdrum.internal.ownership.takeover import choose_receivers
from hibiscusdrum.internal.platform.table import Transaction
from hibiscusdrum.internal.routing import Resolution
from hibiscusdrum.internal.settings import Settings

STEP_INTERVAL_SECONDS = 0.005
# Slices whose requests do not end within this time move later, so that the others are not held up.
DRAIN_WAIT_SECONDS = 0.1
MAX_HELD = 1024
RETRY_SECONDS = 0.1
UNKNOWN = "unknown"


class HeldCall(msgspec.Struct, frozen=True):
    """A request that waits for the end of a handover."""

    call: Call
    body: bytes
    answer: object
    held_at: float


class Move:
    """A handover under way.

    Attributes
    ----------
    slices : frozenset of int
        Slices that are held; those with long requests are taken out before the write.
    transaction : Transaction or None
        The write, once it was sent.
    """

    __slots__ = ("held", "hot_keys", "receiver", "slices", "started", "transaction")

    def __init__(self, receiver: str, slices: frozenset[int], hot_keys: frozenset[int], now: float) -> None:
        self.receiver = receiver
        self.slices = slices
        self.hot_keys = hot_keys
        self.started = now
        self.held: list[HeldCall] = []
        self.transaction: Transaction | None = None


class HandoverCoordinator(Service):
    """Carries out one move at a time.

    Parameters
    ----------
    settings : Settings
        Names and intervals of this node.
    """

    service_name = "handover"

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self.settings = settings
        self.node = settings.node
        self.move: Move | None = None
        self.probing = False
        self.leaving = False
        self.retry_at = 0.0
        self.rng = random.Random(settings.node)

    def on_start(self) -> None:
        """Start the timers."""
        find = self.app.find
        self.membership = find("membership")
        self.configuration = find("configuration")
        self.owned = find("owned")
        self.requests = find("requests")
        self.target = find("target")
        self.leases = find("leases")
        self.step_timer = self.app.scheduler.while_needed(STEP_INTERVAL_SECONDS, self.step)
        # All that may make a drain necessary: a row, a revision, the loss of the target, and ``leave``.
        self.membership.listeners.append(self.on_change)
        self.configuration.listeners.append(self.on_change)
        self.target.lost_listeners.append(self.step_timer.wake)
        self.app.scheduler.every(self.settings.rebalance_interval_ms / 1000.0, self.claim_unowned)

    @property
    def busy(self) -> bool:
        """Whether a move is under way or about to start."""
        return self.move is not None or self.probing

    def on_change(self, _changed: object) -> None:
        """Look whether a drain is due, after rows or the configuration have changed."""
        if self.has_work():
            self.step_timer.wake()

    def leave(self) -> None:
        """Give all slices away, because this node leaves."""
        self.leaving = True
        self.step_timer.wake()

    def has_work(self) -> bool:
        """Return whether a move waits for requests in flight, or slices are to be given away."""
        if self.move is not None:
            return self.move.transaction is None
        return self.must_drain()

    # Requests during a move

    def hold(self, where: Resolution, call: Call, body: bytes, answer: object) -> bool:
        """Keep a request for a moving key until the move has ended; False when the key stays.

        Raises
        ------
        Overloaded
            If too many requests wait already.
        """
        move = self.move
        if move is None or (where.slice not in move.slices and where.hash_value not in move.hot_keys):
            return False
        if len(move.held) >= MAX_HELD:
            raise Overloaded(tenant=call.tenant, request_class=call.request_class)
        move.held.append(HeldCall(call, body, answer, self.app.clock.monotonic()))
        return True

    def release_held(self, held: Sequence[HeldCall]) -> None:
        """Submit held requests again; moved ones are answered with the new owner."""
        now = self.app.clock.monotonic()
        for item in held:
            left = item.call.timeout_ms - (now - item.held_at) * 1000.0
            if left <= 0.0:
                item.answer(Failure(DeadlineExceeded(timeout_ms=item.call.timeout_ms)))
                continue
            call = msgspec.structs.replace(item.call, timeout_ms=left)
            self.requests.submit(call, item.body, item.answer)

    # Moves

    def begin(self, receiver: str, slices: Sequence[int], hot_keys: Sequence[int] = ()) -> None:
        """Start to move slices to a receiver, once the store has answered.

        From the write until its outcome is known, the requests of the moving slices are held. A store that
        has just answered is not likely to fail within the few milliseconds until then.
        """
        self.probing = True

        def answered(result: Result[object, HibiscusdrumError]) -> None:
            self.probing = False
            if isinstance(result, Success):
                self.start_move(receiver, slices, hot_keys)
            else:
                self.retry_at = self.app.clock.monotonic() + RETRY_SECONDS
                self.wake_for_drain()

        self.membership.read((owner_key(self.node),), answered)

    def start_move(self, receiver: str, slices: Sequence[int], hot_keys: Sequence[int]) -> None:
        """Hold the requests of what moves, and write when nothing is in flight on it."""
        self.move = Move(receiver, frozenset(slices), frozenset(hot_keys), self.app.clock.monotonic())
        self.step_timer.wake()
        self.step()

    def step(self) -> bool:
        """Advance the move under way, or start the next one of a drain; True if there is more to do."""
        now = self.app.clock.monotonic()
        move = self.move
        if self.probing:
            return False
        if move is None:
            if self.must_drain() and now >= self.retry_at:
                self.start_drain_handover()
        elif move.transaction is None:
            self.write_when_idle(move, now)
        return self.has_work()

    def write_when_idle(self, move: Move, now: float) -> None:
        """Write the move when nothing is in flight on its slices; slices with long requests are left out."""
        busy = self.owned.busy_slices(move.slices)
        keys_busy = self.owned.any_key_busy(move.hot_keys)
        if (busy or keys_busy) and now - move.started < DRAIN_WAIT_SECONDS:
            return
        if busy or keys_busy:
            self.leave_out(move, busy, keys_busy)
        if not move.slices and not move.hot_keys:
            self.end(move)
            return
        self.write(move)

    def leave_out(self, move: Move, busy: set[int], keys_busy: bool) -> None:
        """Let what has long requests in flight stay for now, and serve its held requests."""
        move.slices -= busy
        if keys_busy:
            move.hot_keys = frozenset()
        held, move.held = move.held, []
        self.release_held(held)

    def write(self, move: Move) -> None:
        """Send the transaction of a move."""
        try:
            move.transaction = transactions.handover_transaction(
                self.membership.map,
                self.node,
                move.receiver,
                sorted(move.slices),
                sorted(move.hot_keys),
                new_operation_id(),
            )
        except HibiscusdrumError as error:
            self.failed(move, error)
            return
        self.membership.commit(move.transaction, lambda result: self.written(move, result))

    def written(self, move: Move, result: Result[int, HibiscusdrumError]) -> None:
        """End the move, or send the same transaction again when its outcome is unknown."""
        if isinstance(result, Success):
            self.log_move(move)
            self.end(move)
        elif getattr(result.failure(), "reason", "") == UNKNOWN:
            # The slices stay held: they may belong to the receiver already.
            self.app.scheduler.call_later(
                RETRY_SECONDS,
                lambda: self.membership.commit(move.transaction, lambda again: self.written(move, again)),
            )
        else:
            self.failed(move, result.failure())

    def failed(self, move: Move, error: HibiscusdrumError) -> None:
        """Keep the slices and try again later."""
        log_events.emit(
            log_events.HandoverFailed(receiver=move.receiver, slices=len(move.slices), code=error.code)
        )
        self.retry_at = self.app.clock.monotonic() + RETRY_SECONDS
        self.end(move)

    def end(self, move: Move) -> None:
        """Submit the held requests again."""
        self.move = None
        self.wake_for_drain()
        self.release_held(move.held)

    def wake_for_drain(self) -> None:
        """Continue a drain."""
        if self.must_drain():
            self.step_timer.wake()

    def log_move(self, move: Move) -> None:
        """Log a committed move."""
        duration = (self.app.clock.monotonic() - move.started) * 1000.0
        log_events.emit(
            log_events.HandoverCommitted(
                receiver=move.receiver,
                slices=len(move.slices),
                held_requests=len(move.held),
                duration_ms=duration,
            )
        )

    # Draining

    def must_drain(self) -> bool:
        """Return whether this node should give all its slices away.

        Before this process has joined, the row of its name belongs to an earlier incarnation, which may still
        be serving: only that one, or its guard, may move its slices.
        """
        row = self.owned.row
        if self.leases.holder is None or row is None or not (row.slices or row.hot_keys):
            return False
        return self.leaving or not self.target.available or not self.configuration.accepts_work(row)

    def receivers(self) -> list[str]:
        """Return the nodes that may take this node's slices."""
        row = self.owned.row
        if row is None:
            return []
        return choose_receivers(self.membership.map, row, {self.node}, self.configuration.accepts_work)

    def has_receivers(self) -> bool:
        """Return whether any node may take this node's slices."""
        return bool(self.receivers())

    def start_drain_handover(self) -> None:
        """Move a share of the slices to the least loaded receiver."""
        row = self.owned.row
        names = self.receivers()
        if not names:
            self.retry_at = self.app.clock.monotonic() + RETRY_SECONDS
            return
        share = -(-len(row.slices) // len(names))
        self.begin(names[0], row.slices[:share], row.hot_keys)

    # Slices without an owner

    def claim_unowned(self) -> None:
        """Claim slices of the ring that have no owner."""
        row = self.owned.row
        if (
            row is None
            or self.leaving
            or not self.target.available
            or not self.configuration.accepts_work(row)
        ):
            return
        ring = self.membership.map.rings.get((row.service, row.region))
        if ring is not None and ring.unowned and self.leases.valid():
            transaction = transactions.claim_transaction(self.membership.map, self.node, new_operation_id())
            if transaction is not None:
                self.membership.commit(transaction, ignore_result)
