"""Hands slices over to other nodes without interrupting service: drains, rebalancing and shutdown."""

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
# Slices whose requests in flight do not end within this time are left out of the handover, so that requests
# for the other slices are not held any longer; they are handed over later.
IN_FLIGHT_WAIT_SECONDS = 0.1
MAX_HELD_REQUESTS = 1024
RETRY_INTERVAL_SECONDS = 0.1
OUTCOME_UNKNOWN = "unknown"


class HeldRequest(msgspec.Struct, frozen=True):
    """Request that is held until a handover has ended."""

    call: Call
    body: bytes
    on_outcome: object
    held_at: float


class ActiveHandover:
    """State of the handover in progress.

    Attributes
    ----------
    slices : frozenset of int
        Slices to hand over, whose requests are held. Slices with long-running requests are removed before the
        transaction is sent.
    transaction : Transaction or None
        Ownership change in the table; None until it is sent.
    """

    __slots__ = ("held_requests", "hot_keys", "receiver", "slices", "started_at", "transaction")

    def __init__(self, receiver: str, slices: frozenset[int], hot_keys: frozenset[int], now: float) -> None:
        self.receiver = receiver
        self.slices = slices
        self.hot_keys = hot_keys
        self.started_at = now
        self.held_requests: list[HeldRequest] = []
        self.transaction: Transaction | None = None


class HandoverCoordinator(Service):
    """Runs handovers of slices and hot keys, one at a time.

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
        self.active_handover: ActiveHandover | None = None
        self.store_check_pending = False
        self.leaving = False
        self.retry_at = 0.0
        self.rng = random.Random(settings.node)

    def on_start(self) -> None:
        """Subscribe to the events that can require a drain, and start the timers."""
        find = self.app.find
        self.membership = find("membership")
        self.configuration = find("configuration")
        self.owned = find("owned")
        self.requests = find("requests")
        self.target = find("target")
        self.leases = find("leases")
        self.step_timer = self.app.scheduler.create_work_timer(STEP_INTERVAL_SECONDS, self.step)
        # A drain can become necessary by changed rows, a new revision, the loss of the target, or ``leave``.
        self.membership.listeners.append(self.on_change)
        self.configuration.listeners.append(self.on_change)
        self.target.lost_listeners.append(self.step_timer.wake)
        self.app.scheduler.every(self.settings.rebalance_interval_ms / 1000.0, self.claim_unowned)

    @property
    def busy(self) -> bool:
        """Whether a handover is in progress or about to start."""
        return self.active_handover is not None or self.store_check_pending

    def on_change(self, _changed: object) -> None:
        """Wake the step timer if a change of rows or configuration requires a drain."""
        if self.needs_step():
            self.step_timer.wake()

    def leave(self) -> None:
        """Drain all slices because this node is shutting down."""
        self.leaving = True
        self.step_timer.wake()

    def needs_step(self) -> bool:
        """Return whether a handover waits for requests in flight or a drain has slices left."""
        if self.active_handover is not None:
            return self.active_handover.transaction is None
        return self.must_drain()

    def hold(self, resolution: Resolution, call: Call, body: bytes, on_outcome: object) -> bool:
        """Hold a request if its key is part of the handover in progress.

        Returns
        -------
        bool
            False if the key is not being handed over, so that the request can be served now.

        Raises
        ------
        Overloaded
            If ``MAX_HELD_REQUESTS`` requests are held already.
        """
        handover = self.active_handover
        if handover is None or (
            resolution.slice not in handover.slices and resolution.hash_value not in handover.hot_keys
        ):
            return False
        if len(handover.held_requests) >= MAX_HELD_REQUESTS:
            raise Overloaded(tenant=call.tenant, request_class=call.request_class)
        handover.held_requests.append(HeldRequest(call, body, on_outcome, self.app.clock.monotonic()))
        return True

    def release_held(self, held: Sequence[HeldRequest]) -> None:
        """Submit held requests again; those for keys that were handed over fail with ``Moved``."""
        now = self.app.clock.monotonic()
        for request in held:
            remaining_ms = request.call.timeout_ms - (now - request.held_at) * 1000.0
            if remaining_ms <= 0.0:
                request.on_outcome(Failure(DeadlineExceeded(timeout_ms=request.call.timeout_ms)))
                continue
            call = msgspec.structs.replace(request.call, timeout_ms=remaining_ms)
            self.requests.submit(call, request.body, request.on_outcome)

    def start_handover(self, receiver: str, slices: Sequence[int], hot_keys: Sequence[int] = ()) -> None:
        """Start a handover after a read has shown that the store responds.

        The requests of the slices are held until the outcome of the write is known. A store that has just
        responded is unlikely to fail within the few milliseconds until then.
        """
        self.store_check_pending = True

        def answered(result: Result[object, HibiscusdrumError]) -> None:
            self.store_check_pending = False
            if isinstance(result, Success):
                self.hold_and_commit(receiver, slices, hot_keys)
            else:
                self.retry_at = self.app.clock.monotonic() + RETRY_INTERVAL_SECONDS
                self.continue_drain()

        self.membership.read((owner_key(self.node),), answered)

    def hold_and_commit(self, receiver: str, slices: Sequence[int], hot_keys: Sequence[int]) -> None:
        """Hold new requests for the slices and hot keys, and commit once none are in flight."""
        self.active_handover = ActiveHandover(
            receiver, frozenset(slices), frozenset(hot_keys), self.app.clock.monotonic()
        )
        self.step_timer.wake()
        self.step()

    def step(self) -> bool:
        """Advance the handover in progress, or start the next one of a drain; returns ``needs_step``."""
        now = self.app.clock.monotonic()
        handover = self.active_handover
        if self.store_check_pending:
            return False
        if handover is None:
            if self.must_drain() and now >= self.retry_at:
                self.start_drain_handover()
        elif handover.transaction is None:
            self.commit_when_idle(handover, now)
        return self.needs_step()

    def commit_when_idle(self, handover: ActiveHandover, now: float) -> None:
        """Commit a handover without what is still busy after ``IN_FLIGHT_WAIT_SECONDS``."""
        busy = self.owned.busy_slices(handover.slices)
        hot_keys_busy = self.owned.any_key_busy(handover.hot_keys)
        if (busy or hot_keys_busy) and now - handover.started_at < IN_FLIGHT_WAIT_SECONDS:
            return
        if busy or hot_keys_busy:
            self.exclude_busy(handover, busy, hot_keys_busy)
        if not handover.slices and not handover.hot_keys:
            self.complete(handover)
            return
        self.commit(handover)

    def exclude_busy(self, handover: ActiveHandover, busy: set[int], hot_keys_busy: bool) -> None:
        """Remove slices and hot keys with requests in flight from a handover, and release held requests."""
        handover.slices -= busy
        if hot_keys_busy:
            handover.hot_keys = frozenset()
        held, handover.held_requests = handover.held_requests, []
        self.release_held(held)

    def commit(self, handover: ActiveHandover) -> None:
        """Send the transaction of a handover to the table."""
        try:
            handover.transaction = transactions.handover_transaction(
                self.membership.map,
                self.node,
                handover.receiver,
                sorted(handover.slices),
                sorted(handover.hot_keys),
                new_operation_id(),
            )
        except HibiscusdrumError as error:
            self.on_failure(handover, error)
            return
        self.membership.commit(handover.transaction, lambda result: self.on_write_result(handover, result))

    def on_write_result(self, handover: ActiveHandover, result: Result[int, HibiscusdrumError]) -> None:
        """Complete the handover, or resend the same transaction if its outcome is unknown."""
        if isinstance(result, Success):
            self.log_committed(handover)
            self.complete(handover)
        elif getattr(result.failure(), "reason", "") == OUTCOME_UNKNOWN:
            # The requests stay held, since the receiver may own the slices already.
            self.app.scheduler.call_later(
                RETRY_INTERVAL_SECONDS,
                lambda: self.membership.commit(
                    handover.transaction, lambda again: self.on_write_result(handover, again)
                ),
            )
        else:
            self.on_failure(handover, result.failure())

    def on_failure(self, handover: ActiveHandover, error: HibiscusdrumError) -> None:
        """Log a failed handover and delay the next attempt; the slices stay with this node."""
        log_events.emit(
            log_events.HandoverFailed(
                receiver=handover.receiver, slices=len(handover.slices), code=error.code
            )
        )
        self.retry_at = self.app.clock.monotonic() + RETRY_INTERVAL_SECONDS
        self.complete(handover)

    def complete(self, handover: ActiveHandover) -> None:
        """End the handover, continue a drain and release the held requests."""
        self.active_handover = None
        self.continue_drain()
        self.release_held(handover.held_requests)

    def continue_drain(self) -> None:
        """Wake the step timer if a drain has slices left."""
        if self.must_drain():
            self.step_timer.wake()

    def log_committed(self, handover: ActiveHandover) -> None:
        """Log a committed handover."""
        duration_ms = (self.app.clock.monotonic() - handover.started_at) * 1000.0
        log_events.emit(
            log_events.HandoverCommitted(
                receiver=handover.receiver,
                slices=len(handover.slices),
                held_requests=len(handover.held_requests),
                duration_ms=duration_ms,
            )
        )

    def must_drain(self) -> bool:
        """Return whether this node must hand over all its slices.

        Until this process has joined, the owner row under its name belongs to an earlier incarnation, which
        may still be serving. Only that incarnation or its guard may change the ownership of its slices.
        """
        row = self.owned.row
        if self.leases.holder is None or row is None or not (row.slices or row.hot_keys):
            return False
        return self.leaving or not self.target.available or not self.configuration.accepts_work(row)

    def drain_receivers(self) -> list[str]:
        """Return the nodes that may receive this node's slices, in order of preference."""
        row = self.owned.row
        if row is None:
            return []
        return choose_receivers(self.membership.map, row, {self.node}, self.configuration.accepts_work)

    def has_drain_receivers(self) -> bool:
        """Return whether any node may receive this node's slices."""
        return bool(self.drain_receivers())

    def start_drain_handover(self) -> None:
        """Start the handover of an even share of the slices to the preferred receiver."""
        row = self.owned.row
        receiver_names = self.drain_receivers()
        if not receiver_names:
            self.retry_at = self.app.clock.monotonic() + RETRY_INTERVAL_SECONDS
            return
        slices_per_receiver = -(-len(row.slices) // len(receiver_names))
        self.start_handover(receiver_names[0], row.slices[:slices_per_receiver], row.hot_keys)

    def claim_unowned(self) -> None:
        """Claim slices of this node's ring that have no owner."""
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
