"""Requests at the VM of their target: admission, the exchange with the target, and the outcome."""

from __future__ import annotations

import math
from collections.abc import Callable

from returns.result import Result, Success

from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.load.body_gate import BodyGate
from hibiscusdrum.internal.messages import Answered, Declined, Forward, SendBody
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.admission import LONGEST_RETRY_SECONDS, Admission, ColdGate, Entry
from hibiscusdrum.internal.router.local_target import LocalTarget, TargetState
from hibiscusdrum.internal.router.range_owner import KeyState, RangeOwner
from hibiscusdrum.internal.router.routes import HeaderNames, RouteTable
from hibiscusdrum.internal.router.settings import RouterSettings
from hibiscusdrum.internal.transport.http_client import HttpClient
from hibiscusdrum.internal.transport.http_connection import (
    FailureKind,
    HttpExchange,
    HttpFailure,
    HttpResponse,
)

EXPIRE_SECONDS = 0.02
# A target ends work at the deadline that it is given; its answer to that may take this long to arrive.
ANSWER_SLACK_SECONDS = 0.15
# Requests that target and queue have given up on are not sent with less than this left, in seconds.
SHORTEST_SEND_SECONDS = 0.005
# Connections beyond the slots: health checks, and those whose answers are still being read.
SPARE_CONNECTIONS = 4
SERVICE_UNAVAILABLE = 503
MISDIRECTED = 421
DEFAULT_SLOTS = 8
MISDIRECTED_REASON = "misdirected"
NOT_OWNER_REASON = "not_owner"
OVERLOADED_REASON = "overloaded"
TOO_LATE_REASON = "too_late"
REFUSED_REASON = "target_refused"
# A body that would arrive later than this share of the time that its request has is not asked for.
LONGEST_BODY_SHARE = 0.5
BUSY_REASON = "busy"
LATE_REASON = "late"
HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    )
)

ReplyCallback = Callable[[Answered | Declined | SendBody, bytes], None]


class Job:
    """A request on this VM without an outcome."""

    __slots__ = (
        "arrived_at",
        "body",
        "deadline",
        "entry",
        "exchange",
        "forward",
        "goal",
        "parts",
        "reply",
        "sent_at",
    )

    def __init__(self, forward: Forward, body: bytes, now: float, reply: ReplyCallback) -> None:
        self.forward = forward
        self.body = body
        self.parts: list[bytes] = []
        self.arrived_at = now
        self.deadline = now + forward.left
        self.goal = now + min(forward.goal_left, forward.left)
        self.reply = reply
        self.entry: Entry | None = None
        self.exchange: HttpExchange | None = None
        self.sent_at = 0.0


class Receiver(Service):
    """Admits requests to this VM's target.

    Attributes
    ----------
    bodies : BodyGate
        Large bodies that were offered or asked for.
    parked : list of Job
        Requests for keys that the target is about to be given.
    stopping : bool
        Whether the process ends soon; requests that other targets may serve are then refused.
    closed : bool
        Whether all new requests are refused, so that the process can end.
    """

    service_name = "receiver"

    def __init__(self, settings: RouterSettings, names: HeaderNames) -> None:
        super().__init__()
        self.settings = settings
        self.names = names
        self.admission = Admission(DEFAULT_SLOTS, ColdGate(settings.cold_factor, settings.cold_slack))
        self.bodies = BodyGate(settings.link_bytes_per_second)
        self.jobs: dict[bytes, Job] = {}
        self.parked: list[Job] = []
        self.stopping = False
        self.closed = False
        self.table: RouteTable | None = None
        self.target_headers = {names.attempt_id, names.deadline_ms, names.expected_target, names.caller}

    def on_start(self) -> None:
        """Find the services of the path."""
        find = self.app.find
        self.target: LocalTarget = find("local_target")
        self.owner: RangeOwner = find("range_owner")
        self.members = find("members")
        self.http: HttpClient = find("http_client")
        self.hop = find("hop")
        self.metrics = find("metrics")
        self.rings = find("rings")
        self.hop.accept = self.on_forward
        self.hop.cancel_received = self.cancel
        self.hop.body_received = self.on_body
        self.hop.own_load = self.load
        self.owner.on_granted.append(self.unpark)
        self.target.on_change.append(self.on_target)
        self.target.on_cold.append(self.on_cold)
        self.members.on_change.append(self.on_target)
        self.expiry = self.app.scheduler.while_needed(EXPIRE_SECONDS, self.expire)

    @property
    def now(self) -> float:
        """Steady time in seconds."""
        return self.app.clock.monotonic()

    def load(self) -> tuple[int, int, int, float, bool]:
        """Return the load report that travels with each reply.

        Bodies that wait for the link count as the requests that the target would serve in that time.
        """
        admission = self.admission
        awaited = math.ceil(self.bodies.wait() / admission.service * admission.slots)
        return (
            admission.running,
            admission.queued + len(self.parked) + awaited,
            admission.slots,
            round(admission.service, 4),
            self.accepting,
        )

    @property
    def evacuated(self) -> bool:
        """Whether this node's failure domain is to get nothing."""
        return self.settings.failure_domain in self.members.evacuated

    @property
    def accepting(self) -> bool:
        """Whether the target takes requests that others could serve."""
        return self.target.ready and not self.evacuated and not self.stopping

    # Changes of the target

    def on_cold(self, seconds: float) -> None:
        """Limit the rate while the target is cold."""
        self.admission.cold.until = self.now + seconds

    def set_table(self, table: RouteTable) -> None:
        """Take over what a cold target bears, also when it became cold before the table was known."""
        self.table = table
        spec = table.services.get(self.settings.service)
        self.admission.cold.rate = spec.cold_rate if spec is not None else 0.0

    def on_target(self) -> None:
        """Follow the target's slots, and refuse what waits for a target that takes nothing."""
        report = self.target.report
        if report is not None:
            self.admission.slots = max(1, report.slots)
        if self.target.ready and not self.evacuated:
            self.pump()
            return
        reason = "evacuated" if self.evacuated else f"target_{self.target.state.value}"
        for entry in self.admission.drain():
            if self.still_served(entry.item.forward):
                self.admission.push(self.entry(entry.item), self.now)
            else:
                self.decline(entry.item, reason)
        parked, self.parked = self.parked, []
        awaited = [self.jobs[request_id] for request_id in self.bodies.transfers]
        for job in (*parked, *awaited):
            self.decline(job, reason)

    # Admission

    def on_forward(self, forward: Forward, body: bytes, delay: float, reply: ReplyCallback) -> None:
        """Take a request of another daemon; one that was held up on its way is refused."""
        if delay:
            log_events.emit(
                events.RequestDeclined(
                    id=forward.attempt_id,
                    origin=forward.origin,
                    reason=LATE_REASON,
                    left_s=round(forward.left, 3),
                    running=self.admission.running,
                    queued=self.admission.queued,
                    wait_s=round(delay, 3),
                )
            )
            reply(Declined(forward.id, LATE_REASON, False, False, 0.0, self.load()), b"")
            return
        self.submit(forward, body, reply)

    def submit(self, forward: Forward, body: bytes, reply: ReplyCallback) -> None:
        """Admit a request or decline it at once; ``reply`` is called once."""
        job = Job(forward, body, self.now, reply)
        self.jobs[forward.id] = job
        if forward.key >= 0 and self.owner.state(forward.key) is not KeyState.FOREIGN:
            self.owner.note_request(forward.key)
        if forward.only_if_free and (full := self.full(forward)):
            self.decline(job, self.refusal(forward) or BUSY_REASON, full=full)
        elif forward.offered_bytes and not body:
            self.await_body(job)
        else:
            self.admit(job)

    def full(self, forward: Forward) -> str:
        """Return what keeps a request from starting at once; empty when nothing does."""
        if not self.admission.free(self.now):
            return "slots"
        if forward.offered_bytes and not self.bodies.free:
            return "bodies"
        return "link" if self.hop.congested else ""

    def admit(self, job: Job) -> None:
        """Queue a request that is complete, or refuse it."""
        forward = job.forward
        reason = self.refusal(forward)
        if reason:
            self.decline(job, reason)
        elif forward.key >= 0 and self.owner.state(forward.key) is KeyState.EXPECTED:
            self.park(job)
        else:
            self.enqueue(job)

    # Large bodies

    def await_body(self, job: Job) -> None:
        """Ask for the body of a request when the link has room, if the request can be served."""
        forward = job.forward
        reason = self.refusal(forward)
        wait = self.bodies.wait(forward.offered_bytes)
        late = wait > (job.deadline - self.now) * LONGEST_BODY_SHARE
        if not reason and (late or not self.admission.fits(self.entry(job), self.now)):
            reason = OVERLOADED_REASON
        if reason:
            self.decline(job, reason, retry_after=min(wait, LONGEST_RETRY_SECONDS))
            return
        far = self.members.region(forward.origin) not in ("", self.settings.region)
        self.bodies.offer(forward.id, forward.offered_bytes, forward.priority, job.deadline, far)
        self.ask_bodies()
        self.expiry.wake()

    def ask_bodies(self) -> None:
        """Ask for the bodies that the link has room for."""
        while (part := self.bodies.pop()) is not None:
            self.jobs[part[0]].reply(SendBody(*part), b"")

    def on_body(self, request_id: bytes, first: int, part: bytes) -> None:
        """Take a part of the body of a request that still waits for it."""
        job = self.jobs.get(request_id)
        if job is not None and self.bodies.take(request_id, first, len(part)):
            job.parts.append(part)
            if first + len(part) == job.forward.offered_bytes:
                self.bodies.done(request_id)
                job.body, job.parts = b"".join(job.parts), []
                self.admit(job)
        self.ask_bodies()

    def refusal(self, forward: Forward) -> str:
        """Return why a request cannot be taken, or an empty text."""
        if forward.service != self.settings.service:
            return "other_service"
        if self.closed:
            return "stopping"
        if self.table is None and self.now < self.admission.cold.until:
            # What the target bears while it is cold stands in the configuration.
            return "no_configuration"
        if self.still_served(forward):
            return ""
        if self.evacuated:
            return "evacuated"
        if self.target.state is not TargetState.READY:
            return f"target_{self.target.state.value}"
        if forward.key >= 0:
            return NOT_OWNER_REASON if self.owner.state(forward.key) is KeyState.FOREIGN else ""
        return "stopping" if self.stopping else ""

    def still_served(self, forward: Forward) -> bool:
        """Return whether the target holds the key of a request, although it takes no other work."""
        return forward.key >= 0 and self.owner.state(forward.key) is KeyState.HELD

    def park(self, job: Job) -> None:
        """Let a request wait for keys, if the next report of the target probably comes in time."""
        due = max(0.0, self.target.reported_at + self.settings.heartbeat - self.now)
        service = self.admission.expected_service(job.forward.cost_class)
        room = len(self.parked) < self.admission.slots * 2
        if not room or self.now + due + service > job.deadline:
            self.decline(job, "keys_expected", retry_after=due + 0.1)
            return
        self.parked.append(job)
        self.expiry.wake()

    def unpark(self) -> None:
        """Queue the requests whose keys the target was given, and refuse those whose keys went elsewhere."""
        parked, self.parked = self.parked, []
        for job in parked:
            state = self.owner.state(job.forward.key)
            if state is KeyState.HELD:
                self.enqueue(job)
            elif state is KeyState.FOREIGN:
                self.decline(job, NOT_OWNER_REASON)
            else:
                self.parked.append(job)

    def enqueue(self, job: Job) -> None:
        """Queue a request that can probably be answered in time."""
        now = self.now
        entry = self.entry(job)
        if not self.admission.fits(entry, now):
            self.decline(job, OVERLOADED_REASON, retry_after=self.admission.retry_after(entry, now))
            return
        job.entry = entry
        self.admission.push(entry, now)
        self.pump()
        if self.admission.queued:
            self.expiry.wake()

    def entry(self, job: Job) -> Entry:
        """Return a request as the queue takes it."""
        forward = job.forward
        return Entry(job, forward.priority, job.goal, job.deadline, forward.cost_class, self.now)

    def pump(self) -> None:
        """Send queued requests while the target has room."""
        while True:
            entry = self.admission.pop(self.now)
            if entry is None:
                return
            self.send(entry.item)

    def expire(self) -> bool:
        """Decline what can no longer be answered in time; True while something waits."""
        for entry in self.admission.hopeless(self.now):
            self.decline(entry.item, TOO_LATE_REASON, retry_after=self.admission.retry_after(entry, self.now))
        now = self.now
        for job in [job for job in self.parked if now + self.admission.service > job.deadline]:
            self.parked.remove(job)
            self.decline(job, "keys_late")
        for request_id in list(self.bodies.transfers):
            job = self.jobs[request_id]
            if now + self.admission.service > job.deadline:
                self.decline(job, "body_late")
        self.pump()
        return bool(self.admission.queued or self.parked or self.bodies.transfers)

    # The target

    def send(self, job: Job) -> None:
        """Pass a request to the target."""
        forward, now = job.forward, self.now
        left = job.deadline - now
        if left < SHORTEST_SEND_SECONDS:
            self.unsent(job, TOO_LATE_REASON)
            return
        if forward.key >= 0 and self.owner.state(forward.key) is not KeyState.HELD:
            self.unsent(job, NOT_OWNER_REASON)
            return
        job.sent_at = now
        host, headers = self.headers(job, left)
        job.exchange = self.http.request(
            self.settings.target_address,
            forward.method,
            forward.target,
            headers,
            job.body,
            left + ANSWER_SLACK_SECONDS,
            lambda result: self.on_answer(job, result),
            self.connection_limit(),
            host,
        )

    def connection_limit(self) -> int:
        """Return the connections that may be open to the target."""
        spec = self.table.services.get(self.settings.service) if self.table is not None else None
        wanted = self.admission.slots + SPARE_CONNECTIONS
        return min(wanted, spec.max_connections) if spec is not None else wanted

    def headers(self, job: Job, left: float) -> tuple[str, dict[str, str]]:
        """Return the host and the headers that the target gets."""
        forward, names = job.forward, self.names
        headers: dict[str, str] = {}
        host = ""
        for name, value in forward.headers:
            if name == "host":
                host = value
            elif name not in self.target_headers:
                headers[name] = f"{headers[name]}, {value}" if name in headers else value
        headers[names.attempt_id] = forward.attempt_id
        headers[names.deadline_ms] = str(max(1, int(left * 1000.0)))
        headers[names.expected_target] = self.target.report.target
        headers[names.caller] = forward.caller
        return host, headers

    def unsent(self, job: Job, reason: str) -> None:
        """End a request that got a slot but was not sent."""
        self.admission.done(job.forward.cost_class, None)
        self.decline(job, reason)

    def on_answer(self, job: Job, result: Result[HttpResponse, HttpFailure]) -> None:
        """Free the slot, learn from the answer, and report the outcome."""
        job.exchange = None
        forward = job.forward
        if isinstance(result, Success):
            self.on_response(job, result.unwrap())
        else:
            self.admission.done(forward.cost_class, None)
            self.on_failure(job, result.failure())
        self.pump()

    def on_response(self, job: Job, response: HttpResponse) -> None:
        """Report a complete answer."""
        forward, names = job.forward, self.names
        self.target.answered()
        refused = names.not_run in response.headers or response.status == MISDIRECTED
        if refused:
            self.admission.done(forward.cost_class, None)
            misdirected = response.status == MISDIRECTED
            if misdirected and forward.key >= 0:
                self.owner.hold_lost()
            reason = MISDIRECTED_REASON if misdirected else REFUSED_REASON
            # A target that turns requests away with slots free may well take the next attempt.
            wait = 0.0 if misdirected else self.admission.retry_after(self.entry(job), self.now)
            self.decline(job, reason, arrived=True, retry_after=wait)
            return
        self.admission.done(forward.cost_class, self.now - job.sent_at)
        self.metrics.ran(forward.cost_class, self.now - job.sent_at)
        if forward.key >= 0:
            self.owner.key_load.served(self.now - job.sent_at)
        if names.signature not in response.headers and 200 <= response.status < 300:
            self.decline(job, "unsigned", may_have_run=True, arrived=True)
            return
        headers = tuple((name, value) for name, value in response.headers.items() if name not in HOP_HEADERS)
        if self.jobs.pop(forward.id, None) is None:
            return
        log_events.emit(
            events.RequestRun(
                id=forward.attempt_id,
                origin=forward.origin,
                target=self.target.report.target,
                status=response.status,
                queued_ms=round((job.sent_at - job.arrived_at) * 1000),
                ran_ms=round((self.now - job.sent_at) * 1000),
            )
        )
        held = self.now - job.arrived_at
        job.reply(Answered(forward.id, response.status, headers, self.load(), held), response.body)

    def on_failure(self, job: Job, failure: HttpFailure) -> None:
        """Report an exchange without an answer."""
        if failure.kind is FailureKind.REFUSED and not failure.bytes_sent:
            self.target.refused()
        reason = f"target_{failure.kind.value}"
        self.decline(job, reason, may_have_run=failure.bytes_sent, arrived=failure.bytes_sent)

    def decline(
        self,
        job: Job,
        reason: str,
        may_have_run: bool = False,
        arrived: bool = False,
        retry_after: float = 0.0,
        full: str = "",
    ) -> None:
        """Report that a request has no answer."""
        forward = job.forward
        if self.jobs.pop(forward.id, None) is None:
            return
        if forward.offered_bytes:
            self.bodies.done(forward.id)
            self.ask_bodies()
        log_events.emit(
            events.RequestDeclined(
                id=forward.attempt_id,
                origin=forward.origin,
                reason=reason,
                left_s=round(job.deadline - self.now, 3),
                running=self.admission.running,
                queued=self.admission.queued,
                wait_s=round(retry_after, 3),
                full=full,
            )
        )
        self.metrics.declined(forward.cost_class, full or reason)
        owner = self.other_owner(forward) if reason == NOT_OWNER_REASON else ""
        declined = Declined(forward.id, reason, may_have_run, arrived, retry_after, self.load(), owner)
        job.reply(declined, b"")

    def other_owner(self, forward: Forward) -> str:
        """Return the node that owns the key of a request, when it is another one."""
        node = self.rings.owner_node(forward.service, forward.key)
        return node if node is not None and node != self.settings.node else ""

    def cancel(self, request_id: bytes) -> None:
        """Drop a request whose caller has left; one that must not be repeated runs to its end."""
        job = self.jobs.get(request_id)
        if job is None:
            return
        if job.exchange is not None:
            if job.forward.repeatable:
                del self.jobs[request_id]
                job.exchange.cancel()
            return
        del self.jobs[request_id]
        self.bodies.done(request_id)
        self.ask_bodies()
        if job in self.parked:
            self.parked.remove(job)
        elif job.entry is not None:
            self.admission.remove(job.entry)

    @property
    def busy(self) -> bool:
        """Whether a request is on this VM without an outcome."""
        return bool(self.jobs)
