"""Sends calls to owners, follows moved keys, repeats what did not run, and matches answers to calls."""

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

OnDone = Callable[[Result[Answer, HibiscusdrumError]], None]

# Waits before a call that found no owner, or a stale one, looks at the refreshed map. The first ones are
# short, since a handover takes tens of milliseconds; the growth bounds the load during an outage.
OWNERSHIP_WAIT_SECONDS = 0.02
OWNERSHIP_MAX_WAIT_SECONDS = 0.25
# An idempotent attempt without an answer is sent again after this time, to the owner known then.
ATTEMPT_TIMEOUT_SECONDS = 0.5
# Attempts that follow a named owner, or try another shared node, without waiting; two nodes with old maps
# could send a call back and forth.
MAX_HINTS = 2
NO_TIMER_SECONDS = 3600.0
# Failures that mean that the map is stale or ownership is changing. They cost the target nothing, so they are
# repeated until the deadline without the retry budget.
OWNERSHIP_FAILURES = (
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
# Failures that another attempt, perhaps at another target, may avoid; each one costs a retry token.
LOAD_FAILURES = (Overloaded, TargetRefused, OutcomeUnknown, IncompleteAnswer)


class PendingCall:
    """A call without an outcome.

    Attributes
    ----------
    attempts : dict of str to float
        Send time of each attempt that has neither an answer nor a refusal, by node.
    hint : str
        Owner that a refusing daemon named; tried once before the map is asked again.
    maybe_ran : bool
        Whether an attempt has ended with an unknown outcome.
    refused_by : set of str
        Nodes that refused the call although it is shared; others are tried first.
    shared : bool
        Whether any target of the region may run the call, so that it can be hedged.
    timer : int
        Number of the call's current timer; older ones are ignored.
    """

    __slots__ = (
        "attempts",
        "deadline",
        "hedged",
        "hint",
        "last_error",
        "maybe_ran",
        "on_done",
        "ownership_waits",
        "refused_by",
        "request",
        "request_id",
        "shared",
        "timer",
        "tries",
    )

    def __init__(self, request: Request, request_id: bytes, on_done: OnDone, deadline: float) -> None:
        self.request = request
        self.request_id = request_id
        self.on_done = on_done
        self.deadline = deadline
        self.attempts: dict[str, float] = {}
        self.maybe_ran = False
        self.shared = False
        self.hedged = False
        self.hint = ""
        self.refused_by: set[str] = set()
        self.timer = 0
        self.tries = 0
        self.ownership_waits = 0
        self.last_error: HibiscusdrumError | None = None


class MapView(Protocol):
    """What the engine needs to know of ownership and configuration."""

    map: OwnershipMap
    document: Document

    def invalidate(self, now: float) -> None:
        """Note that an answer showed the map to be stale."""


class CallEngine:
    """Life cycle of calls; used by the caller's library and by daemons that forward HTTP requests.

    Parameters
    ----------
    view : MapView
        Ownership map and configuration.
    send : callable
        Sends a message and a body to an address; False means that nothing was sent.
    rng : random.Random
        Random choices.
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
        self.candidates_key = (-1, -1)
        self.candidates_cache: dict[tuple[str, str], tuple[str, ...]] = {}
        self.calls: dict[bytes, PendingCall] = {}
        # Calls that wait for an owner, with the number of their timer.
        self.waiting: dict[bytes, int] = {}
        self.timers: list[tuple[float, int, bytes]] = []
        self.numbers = itertools.count(1)
        self.completed = 0

    # Attempts

    def submit(self, request: Request, on_done: OnDone) -> None:
        """Start a call."""
        now = time.monotonic()
        request_id = request.request_id or new_request_id(time.time())
        if request_id in self.calls:
            # Answers are matched by id; the call in flight would never end if this one took its place.
            reason = "a call with this id is in flight"
            on_done(Failure(OutcomeUnknown(request_id=request_id.hex(), reason=reason)))
            return
        call = PendingCall(request, request_id, on_done, now + request.timeout)
        self.calls[request_id] = call
        self.policy.on_request(request.tenant)
        self.attempt(call, now)

    def attempt(self, call: PendingCall, now: float) -> None:
        """Send the call to its owner, or try again soon when there is none."""
        try:
            node = self.choose(call)
        except HibiscusdrumError as error:
            self.retry_or_fail(call, error, now)
            return
        call.tries += 1
        if self.send_attempt(call, node, now):
            self.set_timer(call, self.next_check(call, now))
        else:
            self.retry_or_fail(call, NodeUnreachable(node=node.node), now)

    def send_attempt(self, call: PendingCall, node: OwnerRow, now: float) -> bool:
        """Send one attempt to a node; False when nothing was sent."""
        if not self.send(node.peer_address, self.message(call, now), call.request.body):
            return False
        if node.node in call.attempts:
            # A refusal of the new attempt says nothing of the one that it replaces.
            call.maybe_ran = True
            self.policy.on_cancelled(node.node)
        call.attempts[node.node] = now
        self.policy.on_sent(node.node)
        return True

    def next_check(self, call: PendingCall, now: float) -> float:
        """Return when to look at an unanswered call again: to hedge, to repeat, or to give up."""
        if not call.request.idempotent:
            return call.deadline
        if call.shared and not call.hedged:
            return min(call.deadline, now + self.policy.hedge_delay(call.request.service))
        return min(call.deadline, now + ATTEMPT_TIMEOUT_SECONDS)

    def choose(self, call: PendingCall) -> OwnerRow:
        """Return the node to send a call to.

        Raises
        ------
        UnknownService, UnknownTenant, Suspended, NoOwner
            As the configuration and the map say.
        """
        request, view = call.request, self.view
        where = resolve(view.document, request.service, request.tenant, request.key, request.idempotent)
        call.shared = not where.owned
        if where.owned:
            hint, call.hint = call.hint, ""
            owner = view.map.owners.get(hint)
            if owner is None:
                owner = view.map.owner(request.service, where.region, where.hash_value)
        else:
            exclude = (*call.attempts, *call.refused_by)
            owner = self.choose_shared(request.service, where.region, exclude)
        if owner is None:
            raise NoOwner(slice=where.slice)
        return owner

    def choose_shared(self, service: str, region: str, exclude: tuple[str, ...]) -> OwnerRow | None:
        """Return one of the nodes that may run a call, by their load as seen here."""
        names = self.candidates(service, region)
        name = self.policy.choose(names, exclude) or self.policy.choose(names)
        return self.view.map.owners[name] if name is not None else None

    def candidates(self, service: str, region: str) -> tuple[str, ...]:
        """Return the nodes that may run shared calls; computed again only when the map has changed."""
        key = (self.view.map.generation, self.view.document.revision)
        if key != self.candidates_key:
            self.candidates_key = key
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
        """Send a second copy of an unanswered call to another node, within the budget."""
        call.hedged = True
        (first,) = tuple(call.attempts)[:1]
        request, owners = call.request, self.view.map.owners
        if first in owners:
            names = self.candidates(request.service, owners[first].region)
            name = self.policy.hedge_node(first, names, request.idempotent, tuple(call.refused_by))
            if name is not None:
                self.send_attempt(call, owners[name], now)
        self.set_timer(call, self.next_check(call, now))

    def message(self, call: PendingCall, now: float) -> Call:
        """Build the message of one attempt."""
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

    # Answers

    def dispatch(self, message: Message, body: bytes) -> None:
        """Handle one message from a daemon; answers to unknown calls are late and dropped."""
        if isinstance(message, Reply):
            self.on_reply(message, body)
        elif isinstance(message, Refusal):
            self.on_refusal(message)

    def on_reply(self, reply: Reply, body: bytes) -> None:
        """Complete a call with its answer."""
        call = self.calls.get(reply.request_id)
        if call is None:
            return
        now = time.monotonic()
        sent_at = call.attempts.pop(reply.target, None)
        if sent_at is not None:
            self.policy.on_done(reply.target, call.request.service, now - sent_at, True)
        if len(body) != reply.length:
            call.maybe_ran = True
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
            self.note_refusal(call, refusal.node, error, now - sent_at)
        call.maybe_ran = call.maybe_ran or not error.not_run
        if isinstance(error, Moved):
            call.hint = error.owner
        self.retry_or_fail(call, error, now)

    def note_refusal(self, call: PendingCall, node: str, error: HibiscusdrumError, latency: float) -> None:
        """Tell the load policy of a refused attempt.

        A refusal for ownership reasons says nothing of the target's speed. Counted as a fast answer it would
        draw calls to a node that takes none.
        """
        if isinstance(error, OWNERSHIP_FAILURES):
            self.policy.on_cancelled(node)
            if call.shared:
                call.refused_by.add(node)
        else:
            self.policy.on_done(node, call.request.service, latency, False)

    def retry_or_fail(self, call: PendingCall, error: HibiscusdrumError, now: float) -> None:
        """Schedule another attempt if that is safe and may help, else end the call with the error."""
        call.last_error = error
        if call.attempts and call.request.idempotent:
            # Another attempt is still under way; it, or the timer, decides.
            return
        if call.request.idempotent or not (call.attempts or call.maybe_ran):
            wait = self.retry_wait(call, error)
            if wait is not None and now + wait < call.deadline:
                self.set_timer(call, now + wait)
                if isinstance(error, OWNERSHIP_FAILURES):
                    self.waiting[call.request_id] = call.timer
                return
        self.finish(call, Failure(self.final_error(call, error)))

    def retry_wait(self, call: PendingCall, error: HibiscusdrumError) -> float | None:
        """Return the seconds until another attempt, or None when there should be none."""
        if isinstance(error, OWNERSHIP_FAILURES):
            self.view.invalidate(time.monotonic())
            if (call.hint or call.refused_by) and call.ownership_waits < MAX_HINTS:
                call.ownership_waits += 1
                return 0.0
            wait = min(OWNERSHIP_MAX_WAIT_SECONDS, OWNERSHIP_WAIT_SECONDS * 2.0**call.ownership_waits)
            call.ownership_waits += 1
            return wait * (0.5 + self.rng.random())
        if isinstance(error, LOAD_FAILURES) and self.policy.try_spend_retry(call.request.tenant):
            return self.policy.backoff(call.tries)
        return None

    def final_error(self, call: PendingCall, error: HibiscusdrumError) -> HibiscusdrumError:
        """Return the error to report; "not run" only if no attempt may have run."""
        request_id = call.request_id.hex()
        if error.not_run and (call.attempts or call.maybe_ran):
            return OutcomeUnknown(request_id=request_id, reason="an earlier attempt got no answer")
        if isinstance(error, Overloaded | TargetRefused) and call.tries > 1:
            return RetryBudgetSpent(tenant=call.request.tenant)
        return error

    def expire(self, call: PendingCall) -> None:
        """End a call whose deadline has passed."""
        if call.attempts or call.maybe_ran:
            error: HibiscusdrumError = OutcomeUnknown(
                request_id=call.request_id.hex(), reason="no answer in time"
            )
        elif call.last_error is not None:
            error = call.last_error
        else:
            error = DeadlineExceeded(timeout_ms=call.request.timeout * 1000.0)
        self.finish(call, Failure(error))

    def finish(self, call: PendingCall, outcome: Result[Answer, HibiscusdrumError]) -> None:
        """Report a call's outcome once, and cancel attempts that are not needed any more."""
        for node in call.attempts:
            self.policy.on_cancelled(node)
            row = self.view.map.owners.get(node)
            if row is not None and call.request.idempotent:
                self.send(row.peer_address, Cancel(call.request_id), b"")
        del self.calls[call.request_id]
        self.completed += 1
        call.on_done(outcome)

    # Timers

    def retry_waiting(self, now: float) -> None:
        """Try the calls that wait for an owner again, because the map has changed."""
        waiting, self.waiting = self.waiting, {}
        for request_id, timer in waiting.items():
            call = self.calls.get(request_id)
            if call is not None and call.timer == timer:
                self.attempt(call, now)

    def set_timer(self, call: PendingCall, due: float) -> None:
        """Replace the call's timer."""
        call.timer = next(self.numbers)
        heapq.heappush(self.timers, (due, call.timer, call.request_id))

    def next_timer_in(self, now: float) -> float:
        """Return the seconds until the next timer."""
        return max(0.0, self.timers[0][0] - now) if self.timers else NO_TIMER_SECONDS

    def run_timers(self, now: float) -> None:
        """Run the timers that are due; timers of ended calls are dropped."""
        while self.timers and self.timers[0][0] <= now:
            _due, number, request_id = heapq.heappop(self.timers)
            call = self.calls.get(request_id)
            if call is not None and call.timer == number:
                self.on_timer(call, now)

    def on_timer(self, call: PendingCall, now: float) -> None:
        """Give up, hedge, or send a call again."""
        if now >= call.deadline:
            self.expire(call)
        elif call.attempts and call.shared and not call.hedged:
            self.hedge(call, now)
        else:
            self.attempt(call, now)

    def fail_all(self) -> None:
        """End all open calls, because no answer can come any more."""
        for call in list(self.calls.values()):
            self.expire(call)
