"""Call engine: sends calls to owners, follows redirects, retries, hedges, and matches answers to calls."""

from __future__ import annotations

import heapq
import itertools
import time
from collections.abc import Callable
from random import Random
from typing import Protocol

from returns.result import Failure, Result, Success

from hibiscusdrum.errors import (
    DeadlineExceeded,
    Draining,
    HibiscusdrumError,
    IncompleteAnswer,
    LeaseLost,
    Moved,
    NodeUnreachable,
    NoOwner,
    OutcomeUnknown,
    Overloaded,
    RetryBudgetSpent,
    Suspended,
    TargetRefused,
    TargetUnreachable,
    UnknownService,
    UnknownTenant,
    from_wire,
)
from hibiscusdrum.internal.caller.types import Answer, Request
from hibiscusdrum.internal.clock import SystemClock
from hibiscusdrum.internal.config.document import Document
from hibiscusdrum.internal.load.client_policy import ClientPolicy
from hibiscusdrum.internal.messages import Call, Cancel, Message, Refusal, Reply
from hibiscusdrum.internal.ownership.handover import ACTIVE
from hibiscusdrum.internal.ownership.ids import new_request_id
from hibiscusdrum.internal.ownership.ownership_map import OwnershipMap
from hibiscusdrum.internal.ownership.rows import OwnerRow
from hibiscusdrum.internal.routing import may_take_work, resolve
from hibiscusdrum.internal.transport.http_connection import FailureKind

OnDone = Callable[[Result[Answer, HibiscusdrumError]], None]

# Exponential backoff of a call that found no owner, or a stale one, before it reads the map again. The
# first delays are short, because a handover takes tens of milliseconds; their growth bounds the load during
# an outage.
OWNERSHIP_MIN_DELAY_SECONDS = 0.02
OWNERSHIP_MAX_DELAY_SECONDS = 0.25
# An idempotent call without an answer is sent again after this time, to the owner in the map at that time.
ATTEMPT_TIMEOUT_SECONDS = 0.5
# Ownership retries that follow an owner hint, or try another node for a shared call, without delay. With no
# limit, two nodes with stale maps could redirect a call to each other in a tight loop.
MAX_IMMEDIATE_RETRIES = 2
# Reported as the time to the next timer when there is none.
NO_TIMER_SECONDS = 3600.0
# Errors that mean that the map is stale or that ownership is changing. They cost the target nothing, so the
# call is retried until its deadline without spending the retry budget.
OWNERSHIP_ERRORS = (
    Moved,
    NoOwner,
    LeaseLost,
    Suspended,
    NodeUnreachable,
    Draining,
    TargetUnreachable,
    UnknownService,
    UnknownTenant,
)
# Errors that another attempt, perhaps at another target, may avoid; each retry spends a retry token.
LOAD_ERRORS = (Overloaded, TargetRefused, OutcomeUnknown, IncompleteAnswer)
# A call under which this many targets have ended without an answer may be the cause, and is not sent again.
MAX_TARGET_ENDS = 3


def is_target_end(error: HibiscusdrumError) -> bool:
    """Return whether an attempt failed as it does when the process of its target ends."""
    if isinstance(error, OutcomeUnknown):
        return error.reason == FailureKind.CLOSED.value
    return isinstance(error, IncompleteAnswer)


class PendingCall:
    """State of a call that has no outcome yet.

    Attributes
    ----------
    attempts : dict of str to float
        Send time of each attempt that has neither an answer nor a refusal, by node.
    hinted_owner : str
        Owner named by the daemon that refused the call; tried once before the owner in the map.
    may_have_run : bool
        Whether an attempt has ended with an unknown outcome.
    ownership_retries : int
        Number of ownership errors counted for the backoff.
    refused_by : set of str
        Nodes that refused the shared call for ownership reasons; other nodes are tried first.
    shared : bool
        Whether any target of the region may run the call, so that it may be hedged.
    target_ends : int
        Number of attempts at whose target the connection ended without a complete answer.
    timer_number : int
        Number of the call's current timer; timers with other numbers are ignored.
    try_count : int
        Number of attempts to send the call, without hedges.
    """

    __slots__ = (
        "attempts",
        "deadline",
        "hedged",
        "hinted_owner",
        "last_error",
        "may_have_run",
        "on_done",
        "ownership_retries",
        "refused_by",
        "request",
        "request_id",
        "shared",
        "target_ends",
        "timer_number",
        "try_count",
    )

    def __init__(self, request: Request, request_id: bytes, on_done: OnDone, deadline: float) -> None:
        self.request = request
        self.request_id = request_id
        self.on_done = on_done
        self.deadline = deadline
        self.attempts: dict[str, float] = {}
        self.may_have_run = False
        self.shared = False
        self.hedged = False
        self.hinted_owner = ""
        self.refused_by: set[str] = set()
        self.target_ends = 0
        self.timer_number = 0
        self.try_count = 0
        self.ownership_retries = 0
        self.last_error: HibiscusdrumError | None = None


class MapView(Protocol):
    """Access to the ownership map and the configuration."""

    map: OwnershipMap
    document: Document

    def invalidate(self, now: float) -> None:
        """Record that an answer showed the map to be stale."""


class CallEngine:
    """Runs calls from submission to outcome, for the caller library and for daemons that forward requests.

    Parameters
    ----------
    view : MapView
        Ownership map and configuration.
    send : callable
        Sends a message and a body to an address; returns False if nothing was sent.
    rng : random.Random
        Source of the randomness in node choices and delays.
    forwarded : bool
        Whether the calls are forwarded by a daemon.
    """

    def __init__(
        self, view: MapView, send: Callable[[str, Message, bytes], bool], rng: Random, forwarded: bool = False
    ) -> None:
        self.view = view
        self.send = send
        self.rng = rng
        self.forwarded = forwarded
        self.policy = ClientPolicy(rng, SystemClock())
        self.candidates_version = (-1, -1)
        self.candidates_cache: dict[tuple[str, str], tuple[str, ...]] = {}
        self.calls: dict[bytes, PendingCall] = {}
        # Timer numbers of the calls that wait for an owner, by request id.
        self.waiting_for_owner: dict[bytes, int] = {}
        self.timers: list[tuple[float, int, bytes]] = []
        self.timer_numbers = itertools.count(1)
        self.completed = 0

    def submit(self, request: Request, on_done: OnDone) -> None:
        """Start a call; ``on_done`` is called once with its outcome."""
        now = time.monotonic()
        request_id = request.request_id or new_request_id(time.time())
        if request_id in self.calls:
            # Answers are matched by id, so the call in flight would never end if this one replaced it.
            reason = "a call with this id is in flight"
            on_done(Failure(OutcomeUnknown(request_id=request_id.hex(), reason=reason)))
            return
        call = PendingCall(request, request_id, on_done, now + request.timeout)
        self.calls[request_id] = call
        self.policy.on_request(request.tenant)
        self.attempt(call, now)

    def attempt(self, call: PendingCall, now: float) -> None:
        """Send the call to a node, or schedule a retry if no node can be chosen or reached."""
        try:
            node = self.choose_node(call)
        except HibiscusdrumError as error:
            self.retry_or_fail(call, error, now)
            return
        call.try_count += 1
        if self.send_attempt(call, node, now):
            self.set_timer(call, self.next_check_time(call, now))
        else:
            self.retry_or_fail(call, NodeUnreachable(node=node.node), now)

    def send_attempt(self, call: PendingCall, node: OwnerRow, now: float) -> bool:
        """Send one attempt to a node; return False if nothing was sent."""
        if not self.send(node.peer_address, self.build_message(call, now), call.request.body):
            return False
        if node.node in call.attempts:
            # A refusal of the new attempt does not show whether the replaced one ran.
            call.may_have_run = True
            self.policy.on_cancelled(node.node)
        call.attempts[node.node] = now
        self.policy.on_sent(node.node)
        return True

    def next_check_time(self, call: PendingCall, now: float) -> float:
        """Return the time at which an unanswered call is to be hedged, sent again or given up."""
        if not call.request.idempotent:
            return call.deadline
        if call.shared and not call.hedged:
            return min(call.deadline, now + self.policy.hedge_delay(call.request.service))
        return min(call.deadline, now + ATTEMPT_TIMEOUT_SECONDS)

    def choose_node(self, call: PendingCall) -> OwnerRow:
        """Return the node to which a call is to be sent.

        Raises
        ------
        UnknownService, UnknownTenant, Suspended, NoOwner
            If the configuration or the map has no node for the call.
        """
        request, view = call.request, self.view
        resolution = resolve(view.document, request.service, request.tenant, request.key, request.idempotent)
        call.shared = not resolution.owned
        if resolution.owned:
            hint, call.hinted_owner = call.hinted_owner, ""
            owner = view.map.owners.get(hint)
            if owner is None:
                owner = view.map.owner(request.service, resolution.region, resolution.hash_value)
        else:
            exclude = (*call.attempts, *call.refused_by)
            owner = self.choose_shared_node(request.service, resolution.region, exclude)
        if owner is None:
            raise NoOwner(slice=resolution.slice)
        return owner

    def choose_shared_node(self, service: str, region: str, exclude: tuple[str, ...]) -> OwnerRow | None:
        """Return a node that may run a shared call, chosen by load; excluded nodes are the last resort."""
        names = self.candidates(service, region)
        name = self.policy.choose(names, exclude) or self.policy.choose(names)
        return self.view.map.owners[name] if name is not None else None

    def candidates(self, service: str, region: str) -> tuple[str, ...]:
        """Return the nodes that may run shared calls; cached until the map or the configuration changes."""
        key = (self.view.map.generation, self.view.document.revision)
        if key != self.candidates_version:
            self.candidates_version = key
            self.candidates_cache.clear()
            self.policy.set_nodes(self.view.map.owners)
        names = self.candidates_cache.get((service, region))
        if names is None:
            document = self.view.document
            rows = self.view.map.owner_rows(service, region)
            leases = self.view.map.leases
            names = tuple(
                row.node
                for row in rows
                if may_take_work(document, row) and row.node in leases and leases[row.node].state == ACTIVE
            )
            self.candidates_cache[service, region] = names
        return names

    def hedge(self, call: PendingCall, now: float) -> None:
        """Send an unanswered call to a second node if the hedge policy allows it."""
        call.hedged = True
        (first,) = tuple(call.attempts)[:1]
        request, owners = call.request, self.view.map.owners
        if first in owners:
            names = self.candidates(request.service, owners[first].region)
            name = self.policy.hedge_node(first, names, request.idempotent, tuple(call.refused_by))
            if name is not None:
                self.send_attempt(call, owners[name], now)
        self.set_timer(call, self.next_check_time(call, now))

    def build_message(self, call: PendingCall, now: float) -> Call:
        """Return the message of one attempt."""
        request = call.request
        return Call(
            request_id=call.request_id,
            tenant=request.tenant,
            service=request.service,
            request_class=request.request_class,
            key=request.key,
            method=request.method,
            path=request.path,
            timeout_ms=(call.deadline - now) * 1000.0,
            idempotent=request.idempotent,
            attempt=request.attempt,
            content_type=request.content_type,
            forwarded=self.forwarded,
        )

    def dispatch(self, message: Message, body: bytes) -> None:
        """Process a message from a daemon; late answers, whose call has ended, are dropped."""
        if isinstance(message, Reply):
            self.on_reply(message, body)
        elif isinstance(message, Refusal):
            self.on_refusal(message)

    def on_reply(self, reply: Reply, body: bytes) -> None:
        """Complete a call with its answer, or retry or fail it if the answer is incomplete."""
        call = self.calls.get(reply.request_id)
        if call is None:
            return
        now = time.monotonic()
        sent_at = call.attempts.pop(reply.target, None)
        if sent_at is not None:
            self.policy.on_done(reply.target, call.request.service, now - sent_at, True)
        if len(body) != reply.length:
            call.may_have_run = True
            call.target_ends += 1
            self.retry_or_fail(call, IncompleteAnswer(received=len(body), declared=reply.length), now)
            return
        answer = Answer(reply.request_id, reply.status, body, reply.content_type, reply.target, reply.epoch)
        self.finish(call, Success(answer))

    def on_refusal(self, refusal: Refusal) -> None:
        """Retry or fail a call that a daemon refused."""
        call = self.calls.get(refusal.request_id)
        if call is None:
            return
        now = time.monotonic()
        error = from_wire(refusal.code, refusal.values)
        sent_at = call.attempts.pop(refusal.node, None)
        if sent_at is not None:
            self.record_refusal(call, refusal.node, error, now - sent_at)
        call.may_have_run = call.may_have_run or not error.not_run
        call.target_ends += is_target_end(error)
        if isinstance(error, Moved):
            call.hinted_owner = error.owner
        self.retry_or_fail(call, error, now)

    def record_refusal(self, call: PendingCall, node: str, error: HibiscusdrumError, latency: float) -> None:
        """Record a refused attempt in the load policy.

        A refusal for ownership reasons says nothing about the target's latency. If it counted as a fast
        answer, it would attract calls to a node that accepts none.
        """
        if isinstance(error, OWNERSHIP_ERRORS):
            self.policy.on_cancelled(node)
            if call.shared:
                call.refused_by.add(node)
        else:
            self.policy.on_done(node, call.request.service, latency, False)

    def retry_or_fail(self, call: PendingCall, error: HibiscusdrumError, now: float) -> None:
        """Schedule another attempt if that is safe and may succeed, otherwise end the call with the error."""
        call.last_error = error
        if call.attempts and call.request.idempotent:
            # Another attempt is still in flight; its answer or the timer decides.
            return
        if call.target_ends >= MAX_TARGET_ENDS:
            self.finish(call, Failure(self.final_error(call, error)))
            return
        if call.request.idempotent or not (call.attempts or call.may_have_run):
            delay = self.retry_delay(call, error)
            if delay is not None and now + delay < call.deadline:
                self.set_timer(call, now + delay)
                if isinstance(error, OWNERSHIP_ERRORS):
                    self.waiting_for_owner[call.request_id] = call.timer_number
                return
        self.finish(call, Failure(self.final_error(call, error)))

    def retry_delay(self, call: PendingCall, error: HibiscusdrumError) -> float | None:
        """Return the seconds until the next attempt, or None if there is to be none."""
        if isinstance(error, OWNERSHIP_ERRORS):
            self.view.invalidate(time.monotonic())
            if (call.hinted_owner or call.refused_by) and call.ownership_retries < MAX_IMMEDIATE_RETRIES:
                call.ownership_retries += 1
                return 0.0
            delay = min(
                OWNERSHIP_MAX_DELAY_SECONDS, OWNERSHIP_MIN_DELAY_SECONDS * 2.0**call.ownership_retries
            )
            call.ownership_retries += 1
            return delay * (0.5 + self.rng.random())
        if isinstance(error, LOAD_ERRORS) and self.policy.try_spend_retry(call.request.tenant):
            return self.policy.backoff(call.try_count)
        return None

    def final_error(self, call: PendingCall, error: HibiscusdrumError) -> HibiscusdrumError:
        """Return the error to report, which states "not run" only if no attempt may have run."""
        request_id = call.request_id.hex()
        if error.not_run and (call.attempts or call.may_have_run):
            return OutcomeUnknown(request_id=request_id, reason="an earlier attempt got no answer")
        if isinstance(error, Overloaded | TargetRefused) and call.try_count > 1:
            return RetryBudgetSpent(tenant=call.request.tenant)
        return error

    def expire(self, call: PendingCall) -> None:
        """End an unanswered call, at its deadline or when no further answer can arrive."""
        if call.attempts or call.may_have_run:
            error: HibiscusdrumError = OutcomeUnknown(
                request_id=call.request_id.hex(), reason="no answer received"
            )
        elif call.last_error is not None:
            error = call.last_error
        else:
            error = DeadlineExceeded(timeout_ms=call.request.timeout * 1000.0)
        self.finish(call, Failure(error))

    def finish(self, call: PendingCall, outcome: Result[Answer, HibiscusdrumError]) -> None:
        """Report the outcome of a call and cancel its remaining attempts."""
        for node in call.attempts:
            self.policy.on_cancelled(node)
            row = self.view.map.owners.get(node)
            if row is not None and call.request.idempotent:
                self.send(row.peer_address, Cancel(call.request_id), b"")
        del self.calls[call.request_id]
        self.completed += 1
        call.on_done(outcome)

    def retry_waiting(self, now: float) -> None:
        """Send the calls that wait for an owner again, after a change of the map."""
        waiting, self.waiting_for_owner = self.waiting_for_owner, {}
        for request_id, timer in waiting.items():
            call = self.calls.get(request_id)
            if call is not None and call.timer_number == timer:
                self.attempt(call, now)

    def set_timer(self, call: PendingCall, due: float) -> None:
        """Replace the call's timer."""
        call.timer_number = next(self.timer_numbers)
        heapq.heappush(self.timers, (due, call.timer_number, call.request_id))

    def next_timer_in(self, now: float) -> float:
        """Return the seconds until the next timer is due."""
        return max(0.0, self.timers[0][0] - now) if self.timers else NO_TIMER_SECONDS

    def run_timers(self, now: float) -> None:
        """Run the timers that are due; replaced timers and those of ended calls are dropped."""
        while self.timers and self.timers[0][0] <= now:
            _due, number, request_id = heapq.heappop(self.timers)
            call = self.calls.get(request_id)
            if call is not None and call.timer_number == number:
                self.on_timer(call, now)

    def on_timer(self, call: PendingCall, now: float) -> None:
        """End a call after its deadline, hedge it, or send it again."""
        if now >= call.deadline:
            self.expire(call)
        elif call.target_ends >= MAX_TARGET_ENDS:
            self.set_timer(call, call.deadline)
        elif call.attempts and call.shared and not call.hedged:
            self.hedge(call, now)
        else:
            self.attempt(call, now)

    def fail_all(self) -> None:
        """End all open calls, for use when no further answer can arrive."""
        for call in list(self.calls.values()):
            self.expire(call)
