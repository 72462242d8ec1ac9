"""The request path: admission, queueing, sending to the target, and the outcome."""

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
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.load.fair_queue import FairQueue
from hibiscusdrum.internal.load.hot_keys import HotKeyDetector
from hibiscusdrum.internal.load.limiter import ConcurrencyLimiter
from hibiscusdrum.internal.messages import Call, Cancel, MapReply, MapRequest, Message, Refusal, Reply
from hibiscusdrum.internal.ownership.dedup import DedupWindow, Recorded, Refused
from hibiscusdrum.internal.routing import Resolution, resolve
from hibiscusdrum.internal.settings import Settings
from hibiscusdrum.internal.transport.http_connection import (
    FailureKind,
    HttpFailure,
    HttpResponse,
)

NANOSECONDS = 1_000_000_000
QUEUE_EXPIRY_INTERVAL_SECONDS = 0.01
# Requests sent longer ago than this get their target's deadline extended at each renewal of the lease.
EXTEND_AFTER_SECONDS = 0.3
CONTROL_TIMEOUT_SECONDS = 1.0
SERVICE_UNAVAILABLE = 503
STALE_EPOCH = "stale_epoch"
NOT_RUN_HEADER = "x-not-run"
HEADER_PREFIX = "x-hibiscusdrum-"


class TargetAnswer(msgspec.Struct, frozen=True):
    """What a request came back with."""

    reply: Reply
    body: bytes

    def __len__(self) -> int:
        return len(self.body)


Outcome = Result[TargetAnswer, HibiscusdrumError]
Answer = Callable[[Outcome], None]


class PendingRequest:
    """An admitted request without an outcome."""

    __slots__ = (
        "admitted_at",
        "answer",
        "body",
        "call",
        "cancelled",
        "deadline",
        "deduplicated",
        "epoch",
        "sent_at",
        "target_deadline",
        "where",
    )

    def __init__(self, call: Call, body: bytes, answer: Answer, where: Resolution, now: float) -> None:
        self.call = call
        self.body = body
        self.answer = answer
        self.where = where
        self.admitted_at = now
        self.deadline = now + call.timeout_ms / 1000.0
        self.sent_at = 0.0
        self.target_deadline = 0.0
        self.epoch = 0
        self.deduplicated = False
        self.cancelled = False


class RequestPipeline(Service):
    """Admits requests and passes them to this node's target.

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
        # By identity, since an idempotent request may be here twice with one id.
        self.pending: set[PendingRequest] = set()
        self.sent: set[PendingRequest] = set()
        self.by_id: dict[bytes, PendingRequest] = {}
        self.hot_keys = HotKeyDetector(rng=random.Random(settings.node))
        self.stopping = False

    def on_start(self) -> None:
        """Find the services that the path uses."""
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
        self.peers.on_bad_frame = log_bad_frame
        self.target.available_listeners.append(self.on_target_available)
        self.leases.granted_listeners.append(self.extend_deadlines)
        self.leases.lost_listeners.append(self.cancel_owned)
        self.owned.epoch_listeners.append(self.grant_epoch)
        self.configuration.listeners.append(self.on_document)
        self.expiry_timer = self.app.scheduler.while_needed(QUEUE_EXPIRY_INTERVAL_SECONDS, self.expire_queued)

    def on_document(self, document: Document) -> None:
        """Take over the weights of request classes.

        The queue serves classes by weight, and tenants within a class alike. Of several tenants' weights
        for a class the largest counts.
        """
        weights: dict[str, float] = {}
        for tenant in document.tenants.values():
            for name, weight in tenant.class_weights.items():
                weights[name] = max(weight, weights.get(name, weight))
        self.queue.set_weights({}, weights)

    # Messages

    def on_request(self, identity: bytes, message: Message, body: bytes) -> None:
        """Handle one message from a caller or a forwarding daemon."""
        kind = type(message)
        if kind is Call:
            self.submit(message, body, lambda outcome: self.reply(identity, message.request_id, outcome))
        elif kind is MapRequest:
            rows = self.membership.changes_since(message.since)
            self.peers.reply(identity, MapReply(message.nonce, self.membership.map.seq, rows))
        elif kind is Cancel:
            self.cancel(message.request_id)

    def reply(self, identity: bytes, request_id: bytes, outcome: Outcome) -> None:
        """Send an outcome to the asker."""
        if isinstance(outcome, Success):
            answer = outcome.unwrap()
            self.peers.reply(identity, answer.reply, answer.body)
        else:
            error = outcome.failure()
            self.peers.reply(identity, Refusal(request_id, error.code, error.values, self.settings.node))

    # Admission

    def submit(self, call: Call, body: bytes, answer: Answer) -> None:
        """Admit a request or refuse it with a typed error; ``answer`` is called once."""
        try:
            self.admit(call, body, answer)
        except HibiscusdrumError as error:
            self.refuse(call, error, answer)

    def refuse(self, call: Call, error: HibiscusdrumError, answer: Answer) -> None:
        """Answer with an error and count it."""
        self.metrics.count_failure(call.tenant, call.request_class, error.code)
        answer(Failure(error))

    def admit(self, call: Call, body: bytes, answer: Answer) -> None:
        """Run the admission checks in their order and queue the request."""
        settings = self.settings
        if len(body) > settings.max_body_bytes:
            raise BodyTooLarge(size=len(body), limit=settings.max_body_bytes)
        where = resolve(self.configuration.document, call.service, call.tenant, call.key, call.idempotent)
        self.check_region(call, where)
        if where.owned:
            if self.handover.hold(where, call, body, answer):
                return
            self.check_owner(call, where)
            self.hot_keys.observe(where.hash_value, self.app.clock.monotonic())
        else:
            self.check_accepting(call, where)
        if not self.target.available:
            raise TargetUnreachable(target=settings.node)
        pending = PendingRequest(call, body, answer, where, self.app.clock.monotonic())
        if call.idempotent or self.first_run(pending):
            self.enqueue(pending)

    def check_region(self, call: Call, where: Resolution) -> None:
        """Refuse a request whose key belongs to another region."""
        here = self.settings.region
        if where.region != here:
            if where.tenant.home_regions:
                regions = tuple(where.tenant.home_regions)
                log_events.emit(log_events.RequestRefusedRegion(tenant=call.tenant, regions=regions))
                raise WrongRegion(tenant=call.tenant, here=here, regions=regions)
            raise Moved(slice=where.slice, owner=where.region)

    def check_owner(self, call: Call, where: Resolution) -> None:
        """Refuse a request whose key this node does not own or may not serve now."""
        if call.service != self.settings.service or not self.owned.owns(where.hash_value, where.slice):
            owner = self.membership.map.owner(call.service, where.region, where.hash_value)
            if owner is None or owner.node == self.settings.node:
                raise NoOwner(slice=where.slice)
            raise Moved(slice=where.slice, owner=owner.node)
        if not self.leases.valid():
            raise LeaseLost(node=self.settings.node)
        if self.configuration.refuses_owned():
            raise Draining(node=self.settings.node)

    def check_accepting(self, call: Call, where: Resolution) -> None:
        """Refuse a request that any target may run when this one takes no new work."""
        if call.service != self.settings.service:
            raise Moved(slice=where.slice, owner="")
        row = self.owned.row
        if self.stopping or row is None or not self.configuration.accepts_work(row):
            raise Draining(node=self.settings.node)

    def first_run(self, pending: PendingRequest) -> bool:
        """Record a non-idempotent request; False when it was answered from the record of an earlier run."""
        call, where = pending.call, pending.where
        acquired = self.owned.acquired_at(where.hash_value, where.slice)
        decision = self.dedup.admit(call.request_id, call.attempt, acquired, self.app.clock.wall())
        if isinstance(decision, Recorded):
            pending.answer(Success(decision.answer))
            return False
        if isinstance(decision, Refused):
            if decision.not_run:
                raise Overloaded(tenant=call.tenant, request_class=call.request_class)
            raise OutcomeUnknown(request_id=call.request_id.hex(), reason=decision.reason.value)
        pending.deduplicated = True
        return True

    def enqueue(self, pending: PendingRequest) -> None:
        """Queue an admitted request, or shed it."""
        call, now = pending.call, pending.admitted_at
        if pending.where.owned:
            self.owned.request_started(pending.where.hash_value, pending.where.slice)
        self.pending.add(pending)
        self.by_id[call.request_id] = pending
        if not self.queue.push(pending, call.tenant, call.request_class, pending.deadline, now):
            error = Overloaded(tenant=call.tenant, request_class=call.request_class)
            self.finish(pending, Failure(error))
            return
        self.pump(now)
        if len(self.queue):
            self.expiry_timer.wake()

    def serves_any(self, tenants: set[str]) -> bool:
        """Return whether a request of one of the tenants is in flight."""
        return any(pending.call.tenant in tenants for pending in self.pending)

    # Queue

    def pump(self, now: float) -> None:
        """Send queued requests while the target may be given more."""
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
        """Refuse queued requests whose deadline has passed; True if some are still queued."""
        now = self.app.clock.monotonic()
        for pending in self.queue.expire(now):
            error = DeadlineExceeded(timeout_ms=pending.call.timeout_ms)
            self.finish(pending, Failure(error))
        if len(self.queue):
            self.pump(now)
        return len(self.queue) > 0

    def cancel(self, request_id: bytes) -> None:
        """Drop an idempotent request that still waits in the queue; one that was sent runs to its end."""
        pending = self.by_id.get(request_id)
        if pending is not None and pending.call.idempotent and pending not in self.sent:
            pending.cancelled = True
            self.finish(pending, Failure(DeadlineExceeded(timeout_ms=pending.call.timeout_ms)))

    # Target

    def send(self, pending: PendingRequest, now: float) -> None:
        """Pass a request to the target with its epoch and a deadline within the lease."""
        deadline = pending.deadline
        if pending.where.owned:
            expires_at = self.leases.expires_at()
            if expires_at <= now:
                self.unsent(pending, LeaseLost(node=self.settings.node))
                return
            deadline = min(deadline, expires_at)
        pending.sent_at = now
        pending.target_deadline = deadline
        pending.epoch = self.owned.epoch
        self.sent.add(pending)
        self.http.request(
            self.settings.target_address,
            pending.call.method,
            pending.call.path,
            self.headers(pending),
            pending.body,
            pending.deadline - now,
            lambda result: self.on_answer(pending, result),
            self.settings.connections,
        )

    def headers(self, pending: PendingRequest) -> dict[str, str]:
        """Return the headers that the target checks and records."""
        call = pending.call
        return {
            "content-type": call.content_type,
            HEADER_PREFIX + "request-id": call.request_id.hex(),
            HEADER_PREFIX + "tenant": call.tenant,
            HEADER_PREFIX + "key": call.key.hex(),
            HEADER_PREFIX + "epoch": str(pending.epoch),
            HEADER_PREFIX + "deadline-ns": str(int(pending.target_deadline * NANOSECONDS)),
        }

    def unsent(self, pending: PendingRequest, error: HibiscusdrumError) -> None:
        """End a request that got a slot but was not sent."""
        self.limiter.release()
        self.queue.on_finished(pending.call.request_class)
        self.finish(pending, Failure(error))

    def on_answer(self, pending: PendingRequest, result: Result[HttpResponse, HttpFailure]) -> None:
        """Free the slot, learn from the latency, and report the outcome."""
        now = self.app.clock.monotonic()
        self.sent.discard(pending)
        self.queue.on_finished(pending.call.request_class)
        outcome = self.outcome(pending, result)
        if self.overtaken_by_epoch(pending, outcome):
            self.queue.on_started(pending.call.request_class)
            self.send(pending, now)
            return
        self.learn(pending, outcome, now)
        self.finish(pending, outcome)
        self.pump(now)

    def outcome(self, pending: PendingRequest, result: Result[HttpResponse, HttpFailure]) -> Outcome:
        """Translate the target's answer, or its absence, into an outcome."""
        if isinstance(result, Success):
            return self.response_outcome(pending, result.unwrap())
        failure = result.failure()
        if not failure.bytes_sent:
            if failure.kind is FailureKind.REFUSED:
                self.target.lost("refused")
            return Failure(TargetUnreachable(target=self.settings.node))
        if failure.kind is FailureKind.INCOMPLETE:
            return Failure(IncompleteAnswer(received=failure.received, declared=failure.declared))
        request_id = pending.call.request_id.hex()
        return Failure(OutcomeUnknown(request_id=request_id, reason=failure.kind.value))

    def overtaken_by_epoch(self, pending: PendingRequest, outcome: Outcome) -> bool:
        """Return whether the target refused a request only because this node's epoch has grown since.

        The epoch grows when the node gains slices; a request under way on another connection then seems stale
        to a target that checks epochs. It did not run, and this node still owns its key.
        """
        error = outcome.failure() if isinstance(outcome, Failure) else None
        if not isinstance(error, TargetRefused) or error.reason != STALE_EPOCH:
            return False
        where = pending.where
        owned = not where.owned or self.owned.owns(where.hash_value, where.slice)
        return owned and pending.epoch < self.owned.epoch and self.app.clock.monotonic() < pending.deadline

    def response_outcome(self, pending: PendingRequest, response: HttpResponse) -> Outcome:
        """Translate a complete answer."""
        if response.status == SERVICE_UNAVAILABLE and response.headers.get(NOT_RUN_HEADER) == "1":
            return Failure(TargetRefused(target=self.settings.node, reason=refusal_reason(response.body)))
        reply = Reply(
            request_id=pending.call.request_id,
            status=response.status,
            content_type=response.headers.get("content-type", ""),
            length=len(response.body),
            target=self.settings.node,
            epoch=pending.epoch,
        )
        return Success(TargetAnswer(reply, response.body))

    def learn(self, pending: PendingRequest, outcome: Outcome, now: float) -> None:
        """Give the limiter the sample of a request that the target got."""
        limiter = self.limiter
        if isinstance(outcome, Failure) and isinstance(outcome.failure(), TargetUnreachable):
            limiter.release()
            return
        resets = limiter.ramp_restarts
        latency = now - pending.sent_at
        limiter.on_complete(latency, isinstance(outcome, Success), now)
        if limiter.ramp_restarts != resets:
            log_events.emit(
                log_events.TargetCold(
                    target=self.settings.target_address, latency_ms=latency * 1000.0, limit=limiter.limit
                )
            )

    def finish(self, pending: PendingRequest, outcome: Outcome) -> None:
        """Record and report the outcome of an admitted request."""
        call = pending.call
        if pending not in self.pending:
            return
        self.pending.remove(pending)
        if self.by_id.get(call.request_id) is pending:
            del self.by_id[call.request_id]
        if pending.where.owned:
            self.owned.request_finished(pending.where.hash_value, pending.where.slice)
        if pending.deduplicated:
            self.record(call.request_id, outcome)
        now = self.app.clock.monotonic()
        if isinstance(outcome, Success):
            queued = pending.sent_at - pending.admitted_at
            self.metrics.record_success(call.tenant, call.request_class, now - pending.admitted_at, queued)
            pending.answer(outcome)
        else:
            self.refuse(call, outcome.failure(), pending.answer)

    def record(self, request_id: bytes, outcome: Outcome) -> None:
        """Remember the outcome of a non-idempotent request for its retries."""
        if isinstance(outcome, Success):
            self.dedup.finish(request_id, outcome.unwrap())
        elif outcome.failure().not_run:
            self.dedup.forget(request_id)
        else:
            self.dedup.finish(request_id, None)

    # Lease and target changes

    def on_target_available(self) -> None:
        """Begin the ramp of a fresh target."""
        self.limiter.restart_ramp(self.app.clock.monotonic())
        self.grant_epoch()

    def grant_epoch(self) -> None:
        """Give the target the fenced grant, so that it refuses requests of an earlier epoch."""
        if self.target.available and self.owned.epoch:
            self.control("/control/grant", {"epoch": self.owned.epoch})

    def extend_deadlines(self) -> None:
        """Extend the deadlines of long requests after a renewal of the lease."""
        now = self.app.clock.monotonic()
        expires_at = self.leases.expires_at()
        for pending in list(self.sent):
            deadline = min(pending.deadline, expires_at)
            if now - pending.sent_at > EXTEND_AFTER_SECONDS and pending.target_deadline < deadline:
                pending.target_deadline = deadline
                value = {
                    "request_id": pending.call.request_id.hex(),
                    "deadline_ns": int(deadline * NANOSECONDS),
                }
                self.control("/control/extend", value)

    def cancel_owned(self) -> None:
        """Cancel requests in flight on owned keys, because another node may own them soon."""
        for pending in list(self.sent):
            if pending.where.owned:
                self.control("/control/cancel", {"request_id": pending.call.request_id.hex()})

    def control(self, path: str, value: dict) -> None:
        """Send an order to the target; its answer does not matter, since the deadline holds anyway."""
        self.http.request(
            self.settings.target_address,
            "POST",
            path,
            {"content-type": "application/json"},
            msgspec.json.encode(value),
            CONTROL_TIMEOUT_SECONDS,
            ignore_answer,
            self.settings.connections,
        )


def ignore_answer(_result: object) -> None:
    """Leave an order's outcome to the deadline that the target has."""


def refusal_reason(body: bytes) -> str:
    """Return the reason that a target gave for not running a request."""
    try:
        return str(msgspec.json.decode(body, type=dict).get("reason", ""))
    except msgspec.DecodeError:
        return ""


def log_bad_frame(error: HibiscusdrumError) -> None:
    """Log a message that could not be decoded or verified."""
    if error.code == "unauthorized":
        log_events.emit(log_events.Unauthorized(party=error.party))
    else:
        log_events.emit(log_events.InvalidFrame(party="peer or caller", reason=error.code))
