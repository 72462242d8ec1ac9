"""Request path: admission, queueing, dispatch to the target and outcome reporting."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from hibiscusdrum.errors import (
    BodyTooLarge,
    DeadlineExceeded,
    Draining,
    HibiscusdrumError,
    IncompleteAnswer,
    LeaseLost,
    Moved,
    NoOwner,
    OutcomeUnknown,
    Overloaded,
    TargetRefused,
    TargetUnreachable,
    WrongRegion,
)
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.config.document import Document
from hibiscusdrum.internal.decoding import DECODE_ERRORS
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.load.fair_queue import FairQueue
from hibiscusdrum.internal.load.hot_keys import HotKeyDetector
from hibiscusdrum.internal.load.limiter import ConcurrencyLimiter
from hibiscusdrum.internal.messages import Call, Cancel, MapReply, MapRequest, Message, Refusal, Reply
from hibiscusdrum.internal.ownership.dedup import DedupWindow, Recorded, Refused
from hibiscusdrum.internal.routing import Resolution, resolve
from hibiscusdrum.internal.settings import Settings
from hibiscusdrum.internal.transport.http_client import HttpClient
from hibiscusdrum.internal.transport.http_connection import (
    FailureKind,
    HttpFailure,
    HttpResponse,
)

NANOSECONDS_PER_SECOND = 1_000_000_000
QUEUE_EXPIRY_INTERVAL_SECONDS = 0.01
# After each lease renewal, requests sent longer ago than this get a later deadline at the target.
DEADLINE_EXTENSION_MIN_AGE_SECONDS = 0.3
TARGET_CONTROL_TIMEOUT_SECONDS = 1.0
HTTP_SERVICE_UNAVAILABLE = 503
STALE_EPOCH_REASON = "stale_epoch"
NOT_RUN_HEADER = "x-not-run"
HEADER_PREFIX = "x-hibiscusdrum-"


class TargetResponse(msgspec.Struct, frozen=True):
    """Complete response of the target, as stored for retries and sent to the caller."""

    reply: Reply
    body: bytes

    def __len__(self) -> int:
        return len(self.body)


Outcome = Result[TargetResponse, HibiscusdrumError]
OutcomeCallback = Callable[[Outcome], None]


class PendingRequest:
    """Admitted request that has no outcome yet."""

    __slots__ = (
        "admitted_at",
        "body",
        "call",
        "cancelled",
        "deadline",
        "epoch",
        "in_dedup_window",
        "on_outcome",
        "resolution",
        "sent_at",
        "target_deadline",
    )

    def __init__(
        self, call: Call, body: bytes, on_outcome: OutcomeCallback, resolution: Resolution, now: float
    ) -> None:
        self.call = call
        self.body = body
        self.on_outcome = on_outcome
        self.resolution = resolution
        self.admitted_at = now
        self.deadline = now + call.timeout_ms / 1000.0
        self.sent_at = 0.0
        self.target_deadline = 0.0
        self.epoch = 0
        self.in_dedup_window = False
        self.cancelled = False


class RequestPipeline(Service):
    """Admits requests, queues them and sends them to this node's target.

    Parameters
    ----------
    settings : Settings
        Limits and names of this node.
    """

    service_name = "requests"

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self.settings = settings
        self.limiter = ConcurrencyLimiter(settings.slots)
        self.queue = FairQueue(settings.queue_capacity, settings.slots)
        self.dedup = DedupWindow(float(settings.dedup_window_s))
        # A set of objects rather than a dict by id: an idempotent request may be pending twice under one id.
        self.pending: set[PendingRequest] = set()
        self.sent_requests: set[PendingRequest] = set()
        self.pending_by_id: dict[bytes, PendingRequest] = {}
        self.hot_keys = HotKeyDetector(rng=random.Random(settings.node))
        self.stopping = False

    def on_start(self) -> None:
        """Look up the services of the request path and subscribe to their changes."""
        find = self.app.find
        self.membership = find("membership")
        self.configuration = find("configuration")
        self.leases = find("leases")
        self.owned = find("owned")
        self.target = find("target")
        self.http = find("http_client")
        self.handover = find("handover")
        self.metrics = find("metrics")
        self.peers = find("peers")
        self.peers.on_request = self.on_request
        self.target.available_listeners.append(self.on_target_available)
        self.leases.granted_listeners.append(self.extend_target_deadlines)
        self.leases.lost_listeners.append(self.cancel_owned_requests)
        self.owned.epoch_listeners.append(self.send_epoch_grant)
        self.configuration.listeners.append(self.on_document)
        self.expiry_timer = self.app.scheduler.create_work_timer(
            QUEUE_EXPIRY_INTERVAL_SECONDS, self.expire_queued
        )

    def on_document(self, document: Document) -> None:
        """Apply the request class weights of a new configuration.

        The queue serves classes by weight and the tenants within a class equally. If several tenants set
        different weights for a class, the largest one applies.
        """
        weights: dict[str, float] = {}
        for tenant in document.tenants.values():
            for name, weight in tenant.class_weights.items():
                weights[name] = max(weight, weights.get(name, weight))
        self.queue.set_weights({}, weights)

    def on_request(self, identity: bytes, message: Message, body: bytes) -> None:
        """Handle one message from a caller or a forwarding daemon."""
        kind = type(message)
        if kind is Call:
            self.submit(
                message, body, lambda outcome: self.send_outcome(identity, message.request_id, outcome)
            )
        elif kind is MapRequest:
            rows = self.membership.changes_since(message.since)
            self.peers.reply(identity, MapReply(message.nonce, self.membership.map.seq, rows))
        elif kind is Cancel:
            self.cancel(message.request_id)

    def send_outcome(self, identity: bytes, request_id: bytes, outcome: Outcome) -> None:
        """Send an outcome to the peer with the given ZeroMQ identity."""
        if isinstance(outcome, Success):
            response = outcome.unwrap()
            self.peers.reply(identity, response.reply, response.body)
        else:
            error = outcome.failure()
            self.peers.reply(identity, Refusal(request_id, error.code, error.values, self.settings.node))

    def submit(self, call: Call, body: bytes, on_outcome: OutcomeCallback) -> None:
        """Admit a request or refuse it with a typed error; ``on_outcome`` is called exactly once."""
        try:
            self.admit(call, body, on_outcome)
        except HibiscusdrumError as error:
            self.report_failure(call, error, on_outcome)

    def report_failure(self, call: Call, error: HibiscusdrumError, on_outcome: OutcomeCallback) -> None:
        """Report an error as the outcome of a request and count it in the metrics."""
        self.metrics.count_failure(call.tenant, call.request_class, error.code)
        on_outcome(Failure(error))

    def admit(self, call: Call, body: bytes, on_outcome: OutcomeCallback) -> None:
        """Run the admission checks and queue the request.

        Raises
        ------
        HibiscusdrumError
            If a check refuses the request.
        """
        settings = self.settings
        if len(body) > settings.max_body_bytes:
            raise BodyTooLarge(size=len(body), limit=settings.max_body_bytes)
        resolution = resolve(
            self.configuration.document, call.service, call.tenant, call.key, call.idempotent
        )
        self.check_region(call, resolution)
        if resolution.owned:
            if self.handover.hold(resolution, call, body, on_outcome):
                return
            self.check_owner(call, resolution)
            self.hot_keys.observe(resolution.hash_value, self.app.clock.monotonic())
        else:
            self.check_accepts_unowned(call, resolution)
        if not self.target.available:
            raise TargetUnreachable(target=settings.node)
        pending = PendingRequest(call, body, on_outcome, resolution, self.app.clock.monotonic())
        if call.idempotent or self.record_attempt(pending):
            self.enqueue(pending)

    def check_region(self, call: Call, resolution: Resolution) -> None:
        """Raise ``WrongRegion`` or ``Moved`` if the key belongs to another region."""
        here = self.settings.region
        if resolution.region != here:
            if resolution.tenant.home_regions:
                regions = tuple(resolution.tenant.home_regions)
                log_events.emit(log_events.RequestRefusedRegion(tenant=call.tenant, regions=regions))
                raise WrongRegion(tenant=call.tenant, here=here, regions=regions)
            raise Moved(slice=resolution.slice, owner=resolution.region)

    def check_owner(self, call: Call, resolution: Resolution) -> None:
        """Raise an error if this node does not own the key or may not serve it now."""
        if call.service != self.settings.service or not self.owned.owns(
            resolution.hash_value, resolution.slice
        ):
            owner = self.membership.map.owner(call.service, resolution.region, resolution.hash_value)
            if owner is None or owner.node == self.settings.node:
                raise NoOwner(slice=resolution.slice)
            raise Moved(slice=resolution.slice, owner=owner.node)
        if not self.leases.valid():
            raise LeaseLost(node=self.settings.node)
        if self.configuration.drain_grace_expired():
            raise Draining(node=self.settings.node)

    def check_accepts_unowned(self, call: Call, resolution: Resolution) -> None:
        """Raise an error if this node takes no new requests for keys without an owner."""
        if call.service != self.settings.service:
            raise Moved(slice=resolution.slice, owner="")
        row = self.owned.row
        if self.stopping or row is None or not self.configuration.accepts_work(row):
            raise Draining(node=self.settings.node)

    def record_attempt(self, pending: PendingRequest) -> bool:
        """Record a non-idempotent request in the deduplication window.

        Returns
        -------
        bool
            False if the recorded response of an earlier attempt was sent, so that nothing is left to run.

        Raises
        ------
        Overloaded, OutcomeUnknown
            If the request must not run; ``OutcomeUnknown`` if an earlier attempt may have run.
        """
        call, resolution = pending.call, pending.resolution
        acquired = self.owned.acquired_at(resolution.hash_value, resolution.slice)
        decision = self.dedup.admit(call.request_id, call.attempt, acquired, self.app.clock.wall())
        if isinstance(decision, Recorded):
            pending.on_outcome(Success(decision.answer))
            return False
        if isinstance(decision, Refused):
            if decision.not_run:
                raise Overloaded(tenant=call.tenant, request_class=call.request_class)
            raise OutcomeUnknown(request_id=call.request_id.hex(), reason=decision.reason.value)
        pending.in_dedup_window = True
        return True

    def enqueue(self, pending: PendingRequest) -> None:
        """Queue an admitted request, or fail it with ``Overloaded`` when the queue is full."""
        call, now = pending.call, pending.admitted_at
        if pending.resolution.owned:
            self.owned.request_started(pending.resolution.hash_value, pending.resolution.slice)
        self.pending.add(pending)
        self.pending_by_id[call.request_id] = pending
        if not self.queue.push(pending, call.tenant, call.request_class, pending.deadline, now):
            error = Overloaded(tenant=call.tenant, request_class=call.request_class)
            self.finish(pending, Failure(error))
            return
        self.dispatch_queued(now)
        if len(self.queue):
            self.expiry_timer.wake()

    def has_pending_of(self, tenants: set[str]) -> bool:
        """Return whether any of the tenants has a request that is queued or sent."""
        return any(pending.call.tenant in tenants for pending in self.pending)

    def dispatch_queued(self, now: float) -> None:
        """Send queued requests to the target until the concurrency limit is reached."""
        limiter, queue = self.limiter, self.queue
        queue.slots = max(1, int(limiter.limit))
        queue.service_time_seconds = limiter.long_term_baseline
        while limiter.can_acquire(now):
            pending = queue.pop(now)
            if pending is None:
                return
            if pending.cancelled:
                continue
            limiter.try_acquire(now)
            queue.on_started(pending.call.request_class)
            self.send(pending, now)

    def expire_queued(self) -> bool:
        """Fail queued requests whose deadline has passed; returns whether any are still queued."""
        now = self.app.clock.monotonic()
        for pending in self.queue.expire(now):
            error = DeadlineExceeded(timeout_ms=pending.call.timeout_ms)
            self.finish(pending, Failure(error))
        if len(self.queue):
            self.dispatch_queued(now)
        return len(self.queue) > 0

    def cancel(self, request_id: bytes) -> None:
        """Cancel a queued idempotent request; a request already sent to the target runs to completion."""
        pending = self.pending_by_id.get(request_id)
        if pending is not None and pending.call.idempotent and pending not in self.sent_requests:
            pending.cancelled = True
            self.finish(pending, Failure(DeadlineExceeded(timeout_ms=pending.call.timeout_ms)))

    def send(self, pending: PendingRequest, now: float) -> None:
        """Send a request to the target with its epoch and a deadline no later than the end of the lease."""
        deadline = pending.deadline
        if pending.resolution.owned:
            expires_at = self.leases.expires_at()
            if expires_at <= now:
                self.finish_unsent(pending, LeaseLost(node=self.settings.node))
                return
            deadline = min(deadline, expires_at)
        pending.sent_at = now
        pending.target_deadline = deadline
        pending.epoch = self.owned.epoch
        self.sent_requests.add(pending)
        self.http.request(
            self.settings.target_address,
            pending.call.method,
            pending.call.path,
            self.target_headers(pending),
            pending.body,
            pending.deadline - now,
            lambda result: self.on_target_response(pending, result),
            self.settings.connections,
        )

    def target_headers(self, pending: PendingRequest) -> dict[str, str]:
        """Return the headers by which the target identifies the request and checks its epoch and deadline."""
        call = pending.call
        return {
            "content-type": call.content_type,
            HEADER_PREFIX + "request-id": call.request_id.hex(),
            HEADER_PREFIX + "tenant": call.tenant,
            HEADER_PREFIX + "key": call.key.hex(),
            HEADER_PREFIX + "epoch": str(pending.epoch),
            HEADER_PREFIX + "deadline-ns": str(int(pending.target_deadline * NANOSECONDS_PER_SECOND)),
        }

    def finish_unsent(self, pending: PendingRequest, error: HibiscusdrumError) -> None:
        """Release the slot of a request that was not sent, and report its error."""
        self.limiter.release()
        self.queue.on_finished(pending.call.request_class)
        self.finish(pending, Failure(error))

    def on_target_response(self, pending: PendingRequest, result: Result[HttpResponse, HttpFailure]) -> None:
        """Release the slot, update the concurrency limiter and report the outcome."""
        now = self.app.clock.monotonic()
        self.sent_requests.discard(pending)
        self.queue.on_finished(pending.call.request_class)
        outcome = self.outcome_of(pending, result)
        if self.refused_for_former_epoch(pending, outcome):
            self.queue.on_started(pending.call.request_class)
            self.send(pending, now)
            return
        self.update_limiter(pending, outcome, now)
        self.finish(pending, outcome)
        self.dispatch_queued(now)

    def outcome_of(self, pending: PendingRequest, result: Result[HttpResponse, HttpFailure]) -> Outcome:
        """Convert the result of the HTTP exchange with the target into an outcome."""
        if isinstance(result, Success):
            return self.response_to_outcome(pending, result.unwrap())
        failure = result.failure()
        if not failure.bytes_sent:
            if failure.kind is FailureKind.REFUSED:
                self.target.mark_lost("refused")
            return Failure(TargetUnreachable(target=self.settings.node))
        if failure.kind is FailureKind.INCOMPLETE:
            return Failure(IncompleteAnswer(received=failure.received, declared=failure.declared))
        request_id = pending.call.request_id.hex()
        return Failure(OutcomeUnknown(request_id=request_id, reason=failure.kind.value))

    def refused_for_former_epoch(self, pending: PendingRequest, outcome: Outcome) -> bool:
        """Return whether to resend a request that was refused only because this node's epoch has increased.

        The epoch increases when the node gains slices. A request already sent on another connection then
        carries a stale epoch and is refused by a target that checks epochs. It did not run, and this node
        still owns its key, so it can be sent again.
        """
        error = outcome.failure() if isinstance(outcome, Failure) else None
        if not isinstance(error, TargetRefused) or error.reason != STALE_EPOCH_REASON:
            return False
        resolution = pending.resolution
        owned = not resolution.owned or self.owned.owns(resolution.hash_value, resolution.slice)
        return owned and pending.epoch < self.owned.epoch and self.app.clock.monotonic() < pending.deadline

    def response_to_outcome(self, pending: PendingRequest, response: HttpResponse) -> Outcome:
        """Convert a complete HTTP response of the target into an outcome."""
        if is_refusal(response):
            return Failure(TargetRefused(target=self.settings.node, reason=refusal_reason(response.body)))
        reply = Reply(
            request_id=pending.call.request_id,
            status=response.status,
            content_type=response.headers.get("content-type", ""),
            length=len(response.body),
            target=self.settings.node,
            epoch=pending.epoch,
        )
        return Success(TargetResponse(reply, response.body))

    def update_limiter(self, pending: PendingRequest, outcome: Outcome, now: float) -> None:
        """Pass the latency of a request that reached the target to the concurrency limiter."""
        limiter = self.limiter
        if isinstance(outcome, Failure) and isinstance(outcome.failure(), TargetUnreachable):
            limiter.release()
            return
        resets_before = limiter.ramp_restarts
        latency = now - pending.sent_at
        limiter.on_complete(latency, isinstance(outcome, Success), now)
        if limiter.ramp_restarts != resets_before:
            log_events.emit(
                log_events.TargetCold(
                    target=self.settings.target_address, latency_ms=latency * 1000.0, limit=limiter.limit
                )
            )

    def finish(self, pending: PendingRequest, outcome: Outcome) -> None:
        """Report the outcome of an admitted request once; later calls for the same request do nothing."""
        call = pending.call
        if pending not in self.pending:
            return
        self.pending.remove(pending)
        if self.pending_by_id.get(call.request_id) is pending:
            del self.pending_by_id[call.request_id]
        if pending.resolution.owned:
            self.owned.request_finished(pending.resolution.hash_value, pending.resolution.slice)
        if pending.in_dedup_window:
            self.record_outcome(call.request_id, outcome)
        now = self.app.clock.monotonic()
        if isinstance(outcome, Success):
            queued = pending.sent_at - pending.admitted_at
            self.metrics.record_success(call.tenant, call.request_class, now - pending.admitted_at, queued)
            pending.on_outcome(outcome)
        else:
            self.report_failure(call, outcome.failure(), pending.on_outcome)

    def record_outcome(self, request_id: bytes, outcome: Outcome) -> None:
        """Store the outcome of a non-idempotent request in the deduplication window for later retries."""
        if isinstance(outcome, Success):
            self.dedup.finish(request_id, outcome.unwrap())
        elif outcome.failure().not_run:
            self.dedup.forget(request_id)
        else:
            self.dedup.finish(request_id, None)

    def on_target_available(self) -> None:
        """Reset the concurrency limit for a newly started target and send it the epoch."""
        self.limiter.restart_ramp(self.app.clock.monotonic())
        self.send_epoch_grant()

    def send_epoch_grant(self) -> None:
        """Send the epoch to the target as a fencing token, so that it refuses requests of earlier epochs."""
        if self.target.available and self.owned.epoch:
            self.send_control_request("/control/grant", {"epoch": self.owned.epoch})

    def extend_target_deadlines(self) -> None:
        """Extend the target's deadlines of long-running requests after a lease renewal."""
        now = self.app.clock.monotonic()
        expires_at = self.leases.expires_at()
        for pending in list(self.sent_requests):
            deadline = min(pending.deadline, expires_at)
            if (
                now - pending.sent_at > DEADLINE_EXTENSION_MIN_AGE_SECONDS
                and pending.target_deadline < deadline
            ):
                pending.target_deadline = deadline
                value = {
                    "request_id": pending.call.request_id.hex(),
                    "deadline_ns": int(deadline * NANOSECONDS_PER_SECOND),
                }
                self.send_control_request("/control/extend", value)

    def cancel_owned_requests(self) -> None:
        """Cancel requests at the target for owned keys, since another node may own the keys soon."""
        for pending in list(self.sent_requests):
            if pending.resolution.owned:
                self.send_control_request("/control/cancel", {"request_id": pending.call.request_id.hex()})

    def send_control_request(self, path: str, value: dict) -> None:
        """Send a control request to the target.

        The response is ignored: if the control request is lost, the deadline sent with each request still
        ends it within the lease.
        """
        self.http.request(
            self.settings.target_address,
            "POST",
            path,
            {"content-type": "application/json"},
            msgspec.json.encode(value),
            TARGET_CONTROL_TIMEOUT_SECONDS,
            ignore_control_result,
            self.settings.connections,
        )


def ignore_control_result(_result: object) -> None:
    """Ignore the result of a control request; the deadline at the target still applies."""


def is_refusal(response: HttpResponse) -> bool:
    """Return whether a response of the target says that its request did not run."""
    return response.status == HTTP_SERVICE_UNAVAILABLE and response.headers.get(NOT_RUN_HEADER) == "1"


def target_client() -> HttpClient:
    """Return the HTTP client for the target."""
    return HttpClient(is_refusal=is_refusal)


def refusal_reason(body: bytes) -> str:
    """Return the reason from a target's refusal body, or an empty string if there is none."""
    try:
        return str(msgspec.json.decode(body, type=dict).get("reason", ""))
    except DECODE_ERRORS:
        return ""
