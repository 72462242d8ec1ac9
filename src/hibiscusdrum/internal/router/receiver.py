"""Requests on the VM of their target: admission, the HTTP exchange with the target, and the outcome."""

from __future__ import annotations

import math
from collections.abc import Callable

from returns.result import Result, Success

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.load.body_gate import BodyGate
from hibiscusdrum.internal.messages import UNKNOWN_OUTLOOK, Answered, Declined, Forward, SendBody
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.admission import (
    MAX_RETRY_AFTER_SECONDS,
    AdmissionQueue,
    QueueEntry,
)
from hibiscusdrum.internal.router.crash_detector import CRASHED_REASON, CrashDetector
from hibiscusdrum.internal.router.hop import CLOSING_REASON, LATE_MESSAGE_SECONDS
from hibiscusdrum.internal.router.job import Job, ReplyCallback
from hibiscusdrum.internal.router.local_target import LocalTarget, TargetState
from hibiscusdrum.internal.router.quarantine import (
    CRASHES_TO_SPARE,
    QUARANTINED_REASON,
    CrashRecord,
    Quarantine,
)
from hibiscusdrum.internal.router.range_owner import KeyState, RangeOwner
from hibiscusdrum.internal.router.rate_limiter import UNKNOWN_LIMIT_BOUND, RateLimiter
from hibiscusdrum.internal.router.routes import HeaderNames, RouteTable
from hibiscusdrum.internal.router.settings import RouterSettings
from hibiscusdrum.internal.router.suspect_line import Place, SuspectLine
from hibiscusdrum.internal.router.target_signals import (
    MISDIRECTED_STATUS,
    is_leaving,
    is_refusal,
    parse_rate_limit,
    parse_retry_after,
    parse_slowdown,
)
from hibiscusdrum.internal.transport.http_client import HttpClient
from hibiscusdrum.internal.transport.http_connection import (
    FailureKind,
    HttpFailure,
    HttpResponse,
)

EXPIRY_INTERVAL_SECONDS = 0.02
# A target stops work at the deadline it is given; its response to that may arrive this much later.
RESPONSE_GRACE_SECONDS = 0.15
# A request with less time than this before its deadline is not sent to the target.
MIN_SEND_REMAINING_SECONDS = 0.005
# Connections beyond the slots, for health checks and for responses that are still being read.
SPARE_CONNECTIONS = 4
SERVICE_UNAVAILABLE_STATUS = 503
DEFAULT_SLOTS = 8
# Time from the first request that is declined as closing until the next process may serve its keys.
RESTART_SECONDS = 1.0
MISDIRECTED_REASON = "misdirected"
NOT_OWNER_REASON = "not_owner"
OVERLOADED_REASON = "overloaded"
TOO_LATE_REASON = "too_late"
REFUSED_REASON = "target_refused"
STOPPING_REASON = "stopping"
UNSENDABLE_REASON = "unsendable"
SUSPECTS_WAITING_REASON = "suspects_waiting"
LAST_TARGET_REASON = "last_target_spared"
# A body is requested only if it can arrive within this share of the time left for its request.
MAX_BODY_WAIT_SHARE = 0.5
BUSY_REASON = "busy"
LATE_REASON = "late"
HOP_BY_HOP_HEADERS = frozenset(
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


class Receiver(Service):
    """Admits requests to this VM's target and sends them to it.

    Attributes
    ----------
    body_gate : BodyGate
        Large bodies that were offered, and those of them that were requested.
    jobs : dict of bytes to Job
        Requests without an outcome, by request id.
    awaiting_keys : list of Job
        Requests for keys that the target is about to be granted.
    suspect_line : SuspectLine
        Requests under which targets have crashed.
    limit_known : bool
        Whether the target has answered since the start of this process, so that its rate limit is known.
    stopping : bool
        Whether the process is shutting down; requests that other targets may serve are then refused.
    service_seconds_left : callable
        Returns the seconds within which the target must answer because the process is about to end.
    closed : bool
        Whether all new requests are refused, so that the process can exit.
    replaced_headers : set of str
        Headers of the forwarded request that are replaced by those for the target.
    """

    service_name = "receiver"

    def __init__(self, settings: RouterSettings, header_names: HeaderNames) -> None:
        super().__init__()
        self.settings = settings
        self.header_names = header_names
        self.admission = AdmissionQueue(
            DEFAULT_SLOTS, RateLimiter(settings.cold_factor, settings.cold_slack), settings.cost_aware
        )
        self.limit_known = False
        self.admission.rate_limiter.stated = UNKNOWN_LIMIT_BOUND
        self.body_gate = BodyGate(settings.link_bytes_per_second)
        self.jobs: dict[bytes, Job] = {}
        self.awaiting_keys: list[Job] = []
        self.suspect_line = SuspectLine()
        self.stopping = False
        self.closed = False
        self.service_seconds_left: Callable[[], float] = lambda: math.inf
        self.route_table: RouteTable | None = None
        self.replaced_headers = {
            header_names.attempt_id,
            header_names.deadline_ms,
            header_names.expected_target,
            header_names.caller,
        }

    def on_start(self) -> None:
        """Look up the services this one uses, and register for their events."""
        find = self.app.find
        self.target: LocalTarget = find("local_target")
        self.range_owner: RangeOwner = find("range_owner")
        self.members = find("members")
        self.http_client: HttpClient = find("http_client")
        self.target.is_serving = lambda: self.http_client.has_sent_exchange(self.settings.target_address)
        self.quarantine: Quarantine = find("quarantine")
        self.quarantine.on_held.append(self.decline_held)
        self.crash_detector: CrashDetector = find("crash_detector")
        self.crash_detector.on_outcome = self.on_interruption_decided
        self.forwarder = find("hop")
        self.metrics = find("metrics")
        self.rings = find("rings")
        self.forwarder.on_forward = self.on_forward
        self.forwarder.on_cancel = self.cancel
        self.forwarder.on_body_part = self.on_body_part
        self.forwarder.load_report = self.load_report
        self.forwarder.rate_limit = self.reported_rate
        self.forwarder.outlook = self.outlook
        self.range_owner.on_granted.append(self.on_keys_granted)
        self.target.on_change.append(self.on_target_change)
        self.target.on_cold.append(self.on_cold_start)
        self.members.on_change.append(self.on_target_change)
        self.expiry_timer = self.app.scheduler.create_work_timer(
            EXPIRY_INTERVAL_SECONDS, self.decline_expired
        )

    @property
    def now(self) -> float:
        """Monotonic time in seconds."""
        return self.app.clock.monotonic()

    def load_report(self) -> tuple[int, int, int, float, bool]:
        """Return the load report that is sent with each reply.

        The time that offered bodies wait for the link is counted as the number of requests that the target
        could serve in that time, and the wait for the target's rate as the number that the rate allows in it.
        """
        admission = self.admission
        return (
            admission.running,
            admission.queued + self.waiting_elsewhere(),
            admission.slots,
            round(admission.mean_service_seconds, 4),
            self.accepting,
        )

    def waiting_elsewhere(self) -> int:
        """Return the number of requests that wait outside of the queue, as ``load_report`` counts them."""
        admission, limiter = self.admission, self.admission.rate_limiter
        waiting = self.body_gate.expected_wait() / admission.mean_service_seconds * admission.slots
        if limiter.stated is not None:
            waiting += limiter.wait_seconds(0, self.now) * limiter.stated_rate
        return len(self.awaiting_keys) + len(self.suspect_line.waiting) + math.ceil(waiting)

    def outlook(self) -> tuple[float, float, float]:
        """Return the outstanding work, the wait for the link and the slowdown sent with each load report."""
        admission, now = self.admission, self.now
        work = admission.outstanding_seconds(now)
        work += self.waiting_elsewhere() * admission.work.costs.overall.mean
        return (round(work, 4), UNKNOWN_OUTLOOK[1], round(admission.work.slowdown(now), 2))

    def reported_rate(self) -> float:
        """Return the rate limit that is sent with each load report: requests per second, 0 if unlimited."""
        limiter = self.admission.rate_limiter
        return round(limiter.stated_rate, 3) if limiter.stated is not None else 0.0

    @property
    def evacuated(self) -> bool:
        """Whether this node's failure domain is being evacuated."""
        return self.settings.failure_domain in self.members.evacuated_domains

    @property
    def accepting(self) -> bool:
        """Whether the target accepts requests that other targets could serve."""
        return self.target.ready and not self.evacuated and not self.stopping

    def on_cold_start(self, seconds: float) -> None:
        """Limit the request rate for a number of seconds, while the target is cold."""
        self.admission.rate_limiter.warm_at = self.now + seconds

    def set_route_table(self, table: RouteTable) -> None:
        """Set the rate limit of a cold target from the configuration.

        The limit also applies to a target that became cold before the configuration was known.
        """
        self.route_table = table
        service = table.services.get(self.settings.service)
        self.admission.rate_limiter.cold_rate = service.cold_rate if service is not None else 0.0

    def on_target_change(self) -> None:
        """Update the number of slots; decline waiting requests if the target takes no new work.

        Requests for keys that the target still holds stay queued, since no other target may serve them.
        """
        report = self.target.last_heartbeat
        if report is not None:
            self.admission.slots = max(1, report.slots)
        if self.limit_known:
            # A new incarnation of the target has no limit.
            self.admission.rate_limiter.set_stated_rate(self.target.rate_limit.rate)
        if self.target.ready and not self.evacuated:
            self.send_queued()
            return
        reason = "evacuated" if self.evacuated else f"target_{self.target.state.value}"
        for entry in self.admission.remove_all():
            job = entry.item
            if self.target_holds_key(job.forward):
                job.queue_entry = self.queue_entry(job)
                self.admission.push(job.queue_entry, self.now)
            else:
                self.decline(job, reason)
        waiting, self.awaiting_keys = self.awaiting_keys, []
        awaiting_bodies = [self.jobs[request_id] for request_id in self.body_gate.transfers]
        for job in (*waiting, *awaiting_bodies):
            self.decline(job, reason)
        self.readmit(self.suspect_line.take_waiting())

    def on_forward(self, forward: Forward, body: bytes, transit: float | None, reply: ReplyCallback) -> None:
        """Submit a request from another node, or decline it if it was delayed in transit.

        ``transit`` is the least time in seconds that it was in transit; None if unknown. A request is late if
        its caller's deadline has passed, or if a cancellation would arrive too late to stop it.
        """
        spent = transit or 0.0
        left = forward.remaining_seconds - spent
        if spent > LATE_MESSAGE_SECONDS or (spent and left < MIN_SEND_REMAINING_SECONDS):
            log_events.emit(
                events.RequestDeclined(
                    id=forward.attempt_id,
                    origin=forward.origin,
                    reason=LATE_REASON,
                    left_s=round(left, 3),
                    running=self.admission.running,
                    queued=self.admission.queued,
                    wait_s=round(spent, 3),
                    transit_ms=round(spent * 1000),
                )
            )
            declined = Declined(
                forward.id,
                LATE_REASON,
                False,
                False,
                0.0,
                self.load_report(),
                rate_limit=self.reported_rate(),
                outlook=self.outlook(),
            )
            reply(declined, b"")
            return
        self.submit(forward, body, reply, transit)

    def submit(
        self, forward: Forward, body: bytes, reply: ReplyCallback, transit: float | None = None
    ) -> None:
        """Admit a request, or decline it immediately.

        ``reply`` is called once with the outcome, and before that for each part of a large body to request.
        """
        job = Job(forward, body, self.now, reply, transit)
        self.jobs[forward.id] = job
        if forward.key >= 0 and self.range_owner.key_state(forward.key) is not KeyState.NOT_OWNED:
            self.range_owner.record_request(forward.key)
        if forward.only_if_free and (missing := self.missing_capacity(forward)):
            self.decline(job, self.refusal_reason(forward) or BUSY_REASON, missing=missing)
        elif forward.offered_bytes and not body:
            self.await_body(job)
        else:
            self.admit(job)

    def missing_capacity(self, forward: Forward) -> str:
        """Return the resource that a request would have to wait for; an empty string if none."""
        if not self.admission.rate_limiter.can_send(self.now):
            return "rate"
        if not self.admission.has_free_slot(self.now):
            return "slots"
        if forward.offered_bytes and not self.body_gate.is_idle:
            return "bodies"
        return "link" if self.forwarder.link_congested else ""

    def admit(self, job: Job) -> None:
        """Queue a request whose body has arrived, or decline it."""
        forward = job.forward
        reason = self.refusal_reason(forward)
        if reason:
            self.decline(job, reason, retry_after=RESTART_SECONDS if reason == CLOSING_REASON else 0.0)
        elif hold := self.hold_seconds(job):
            self.decline_quarantined(job, hold)
        elif forward.key >= 0 and self.range_owner.key_state(forward.key) is KeyState.GRANT_PENDING:
            self.await_keys(job)
        else:
            self.enqueue(job)

    def await_body(self, job: Job) -> None:
        """Schedule the transfer of a large body, or decline a request that cannot be served in time."""
        forward = job.forward
        reason = self.refusal_reason(forward)
        wait = self.body_gate.expected_wait(forward.offered_bytes)
        late = wait > (job.deadline - self.now) * MAX_BODY_WAIT_SHARE
        if not reason and (late or not self.admission.is_servable(self.queue_entry(job), self.now)):
            reason = self.unservable_reason(job)
        if reason:
            self.decline(job, reason, retry_after=min(wait, MAX_RETRY_AFTER_SECONDS))
            return
        cross_region = self.members.region_of(forward.origin) not in ("", self.settings.region)
        self.body_gate.offer(forward.id, forward.offered_bytes, forward.priority, job.deadline, cross_region)
        self.request_bodies()
        self.expiry_timer.wake()

    def decline_unsent(self) -> None:
        """Decline the requests that the target was not sent, because the process is about to end."""
        for job in [job for job in self.jobs.values() if not job.has_been_sent]:
            if job.queue_entry is not None:
                self.admission.remove(job.queue_entry)
            elif job in self.awaiting_keys:
                self.awaiting_keys.remove(job)
            self.decline(job, CLOSING_REASON, retry_after=RESTART_SECONDS)

    def hold_seconds(self, job: Job) -> float:
        """Return for how many seconds a request whose body has arrived is held in quarantine."""
        if not self.quarantine.active:
            return 0.0
        return self.quarantine.hold_seconds(job.identify())

    def decline_quarantined(self, job: Job, hold: float) -> None:
        """Decline a request that is held in quarantine for some seconds."""
        self.quarantine.log_refusal(job.identity, job.forward.attempt_id)
        self.decline(job, QUARANTINED_REASON, retry_after=hold)

    def decline_held(self, identity: bytes, _record: CrashRecord) -> None:
        """Decline the requests with an identity that have arrived and were not sent to the target."""
        for job in list(self.jobs.values()):
            if job.has_been_sent or not job.has_body or job.identify() != identity:
                continue
            if job.queue_entry is not None:
                self.admission.remove(job.queue_entry)
            elif job in self.awaiting_keys:
                self.awaiting_keys.remove(job)
            self.decline_quarantined(job, self.quarantine.hold_seconds(identity))

    def defer_suspect(self, job: Job) -> bool:
        """Return whether a request is not queued or sent now because it is a suspect."""
        if not (self.quarantine.active or job.forward.crashes):
            return False
        identity = job.identify()
        cleared = self.quarantine.is_cleared(identity)
        job.crashes = 0 if cleared else max(job.forward.crashes, self.quarantine.crashes_of(identity))
        if not job.crashes:
            return False
        if wait := self.spare_seconds(job):
            self.decline(job, LAST_TARGET_REASON, retry_after=wait)
            return True
        place = self.suspect_line.join(job, self.now, self.admission.mean_service_seconds)
        if place is Place.WAITING:
            self.expiry_timer.wake()
        elif place is Place.TOO_LATE:
            self.decline(job, SUSPECTS_WAITING_REASON)
        return place is not Place.FIRST

    def spare_seconds(self, job: Job) -> float:
        """Return for how many seconds a suspect is kept from the target, if no other accepts requests."""
        if job.crashes < CRASHES_TO_SPARE:
            return 0.0
        candidates = self.members.candidates(self.settings.service, ())
        others = [entry.node for entry in candidates if entry.node != self.settings.node]
        return self.quarantine.spare_seconds(job.identify(), others)

    def end_job(self, job: Job) -> bool:
        """Forget a request that has its outcome; return False if that has been done."""
        if self.jobs.pop(job.forward.id, None) is None:
            return False
        self.readmit(self.suspect_line.leave(job))
        return True

    def readmit(self, suspects: list[Job]) -> None:
        """Admit requests that have waited for the end of another suspect."""
        for job in suspects:
            if self.jobs.get(job.forward.id) is job:
                self.admit(job)

    def request_bodies(self) -> None:
        """Request the parts of offered bodies that the link has capacity for."""
        while (part := self.body_gate.next_chunk()) is not None:
            self.jobs[part[0]].reply(SendBody(*part), b"")

    def on_body_part(self, request_id: bytes, first: int, part: bytes) -> None:
        """Add a received part to the body of its request, and admit the request once the body is complete."""
        job = self.jobs.get(request_id)
        if job is not None and self.body_gate.on_chunk_received(request_id, first, len(part)):
            job.body_parts.append(part)
            if first + len(part) == job.forward.offered_bytes:
                self.body_gate.forget(request_id)
                job.body, job.body_parts = b"".join(job.body_parts), []
                self.admit(job)
        self.request_bodies()

    def refusal_reason(self, forward: Forward) -> str:
        """Return why a request cannot be accepted; an empty string if it can."""
        if forward.service != self.settings.service:
            return "other_service"
        if self.closed:
            return CLOSING_REASON
        if self.route_table is None and self.now < self.admission.rate_limiter.warm_at:
            # The rate limit of a cold target comes from the configuration.
            return "no_configuration"
        if self.target_holds_key(forward):
            return ""
        if self.evacuated:
            return "evacuated"
        if self.target.state is not TargetState.READY:
            return f"target_{self.target.state.value}"
        if forward.key >= 0:
            return NOT_OWNER_REASON if self.range_owner.key_state(forward.key) is KeyState.NOT_OWNED else ""
        return STOPPING_REASON if self.stopping else ""

    def target_holds_key(self, forward: Forward) -> bool:
        """Return whether the target holds the key of a request, which it then serves even when draining."""
        return forward.key >= 0 and self.range_owner.key_state(forward.key) is KeyState.GRANTED

    def await_keys(self, job: Job) -> None:
        """Hold a request until its key is granted, if the target's next report is due in time."""
        report_due = max(0.0, self.target.last_heartbeat_at + self.settings.heartbeat - self.now)
        service = self.admission.expected_service_seconds(job.forward.cost_class)
        has_room = len(self.awaiting_keys) < self.admission.slots * 2
        if not has_room or self.now + report_due + service > job.deadline:
            self.decline(job, "keys_expected", retry_after=report_due + 0.1)
            return
        self.awaiting_keys.append(job)
        self.expiry_timer.wake()

    def on_keys_granted(self) -> None:
        """Queue the requests whose keys the target now holds; decline those whose keys went elsewhere."""
        waiting, self.awaiting_keys = self.awaiting_keys, []
        for job in waiting:
            state = self.range_owner.key_state(job.forward.key)
            if state is KeyState.GRANTED:
                self.enqueue(job)
            elif state is KeyState.NOT_OWNED:
                self.decline(job, NOT_OWNER_REASON)
            else:
                self.awaiting_keys.append(job)

    def enqueue(self, job: Job) -> None:
        """Queue a request that is expected to be served in time, or decline it."""
        if self.defer_suspect(job):
            return
        now = self.now
        entry = self.queue_entry(job)
        if not self.admission.is_servable(entry, now):
            reason = self.unservable_reason(job)
            stopping = reason == STOPPING_REASON
            wait = self.service_seconds_left() + RESTART_SECONDS if stopping else 0.0
            self.decline(job, reason, retry_after=max(wait, self.admission.retry_after(entry, now)))
            return
        job.queue_entry = entry
        self.admission.push(entry, now)
        self.send_queued()
        if self.admission.queued:
            self.expiry_timer.wake()

    def queue_entry(self, job: Job) -> QueueEntry:
        """Return an entry of the admission queue for a request, which must end before the process does."""
        forward, now = job.forward, self.now
        deadline = min(job.deadline, now + self.service_seconds_left())
        return QueueEntry(
            job,
            forward.priority,
            job.goal_at,
            deadline,
            forward.cost_class,
            now,
            forward.nested,
            forward.returning,
        )

    def unservable_reason(self, job: Job) -> str:
        """Return why a request cannot be served in time: its deadline, or the end of this process."""
        ends_first = self.now + self.service_seconds_left() < job.deadline
        return STOPPING_REASON if ends_first else OVERLOADED_REASON

    def is_running(self, attempt_id: str) -> bool:
        """Return whether the target is running a request with this attempt id."""
        return any(
            job.exchange is not None and job.forward.attempt_id == attempt_id for job in self.jobs.values()
        )

    def send_queued(self) -> None:
        """Send queued requests to the target while it has free slots."""
        while True:
            entry = self.admission.pop(self.now)
            if entry is None:
                return
            self.send_to_target(entry.item)

    def decline_expired(self) -> bool:
        """Decline requests that can no longer be served in time; return whether any are still waiting."""
        for entry in self.admission.remove_unservable(self.now):
            self.decline(entry.item, TOO_LATE_REASON, retry_after=self.admission.retry_after(entry, self.now))
        now = self.now
        for job in [
            job for job in self.awaiting_keys if now + self.admission.mean_service_seconds > job.deadline
        ]:
            self.awaiting_keys.remove(job)
            self.decline(job, "keys_late")
        for job in self.suspect_line.expired(now, self.admission.mean_service_seconds):
            self.decline(job, TOO_LATE_REASON)
        for request_id in list(self.body_gate.transfers):
            job = self.jobs[request_id]
            if now + self.admission.mean_service_seconds > job.deadline:
                self.decline(job, "body_late")
        self.send_queued()
        waiting = self.awaiting_keys or self.suspect_line.waiting or self.body_gate.transfers
        return bool(self.admission.queued or waiting)

    def send_to_target(self, job: Job) -> None:
        """Send a request that has a slot to the target."""
        forward, now = job.forward, self.now
        left = min(job.deadline - now, self.service_seconds_left())
        if left < MIN_SEND_REMAINING_SECONDS:
            self.release_unsent(job, TOO_LATE_REASON)
            return
        if forward.key >= 0 and self.range_owner.key_state(forward.key) is not KeyState.GRANTED:
            self.release_unsent(job, NOT_OWNER_REASON)
            return
        if hold := self.hold_seconds(job):
            self.release_slot(job)
            self.decline_quarantined(job, hold)
            return
        if self.defer_suspect(job):
            self.release_slot(job)
            return
        job.sent_at, job.incarnation = now, self.target.last_incarnation
        host, headers = self.target_headers(job, left)
        try:
            job.exchange = self.http_client.request(
                self.settings.target_address,
                forward.method,
                forward.target,
                headers,
                job.body,
                left + RESPONSE_GRACE_SECONDS,
                lambda result: self.on_result(job, result),
                self.connection_limit(),
                host,
            )
        except InvalidArgument as error:
            log_events.emit(events.RowUnreadable(what="request", reason=str(error)[:200]))
            self.release_unsent(job, UNSENDABLE_REASON)

    def connection_limit(self) -> int:
        """Return the maximum number of open connections to the target."""
        service = (
            self.route_table.services.get(self.settings.service) if self.route_table is not None else None
        )
        limit = self.admission.slots + SPARE_CONNECTIONS
        return min(limit, service.max_connections) if service is not None else limit

    def target_headers(self, job: Job, left: float) -> tuple[str, dict[str, str]]:
        """Return the host and the headers to send to the target."""
        forward, names = job.forward, self.header_names
        headers: dict[str, str] = {}
        host = ""
        for name, value in forward.headers:
            if name == "host":
                host = value
            elif name not in self.replaced_headers:
                headers[name] = f"{headers[name]}, {value}" if name in headers else value
        headers[names.attempt_id] = forward.attempt_id
        headers[names.deadline_ms] = str(max(1, int(left * 1000.0)))
        headers[names.expected_target] = self.target.last_heartbeat.target
        headers[names.caller] = forward.caller
        return host, headers

    def release_slot(self, job: Job, seconds: float | None = None) -> None:
        """Free the slot of a request, with its service time if the outcome reflects that."""
        self.admission.finish(job.forward.cost_class, seconds, job.queue_entry, self.now)

    def release_unsent(self, job: Job, reason: str) -> None:
        """Free the slot of a request that was not sent, and decline the request."""
        self.release_slot(job)
        self.decline(job, reason)

    def on_result(self, job: Job, result: Result[HttpResponse, HttpFailure]) -> None:
        """Process the result of the exchange with the target, and send the next queued requests."""
        job.exchange = None
        if isinstance(result, Success):
            self.on_response(job, result.unwrap())
        else:
            self.release_slot(job)
            self.on_failure(job, result.failure())
        self.send_queued()

    def on_response(self, job: Job, response: HttpResponse) -> None:
        """Process a complete response: reply with it, or decline the request if the target did not run it."""
        forward, names = job.forward, self.header_names
        self.target.record_answer()
        self.observe_signals(job, response)
        if is_refusal(response.status, response.headers, names):
            self.release_slot(job)
            misdirected = response.status == MISDIRECTED_STATUS
            if misdirected and forward.key >= 0:
                self.range_owner.invalidate_grant()
            reason = MISDIRECTED_REASON if misdirected else REFUSED_REASON
            wait = 0.0 if misdirected else self.refusal_retry_after(job, response)
            self.decline(job, reason, arrived=True, retry_after=wait)
            return
        self.release_slot(job, self.now - job.sent_at)
        self.metrics.count_run(forward.cost_class, self.now - job.sent_at)
        if forward.key >= 0:
            self.range_owner.key_load.record_service_time(self.now - job.sent_at)
        if names.signature not in response.headers and 200 <= response.status < 300:
            self.decline(job, "unsigned", may_have_run=True, arrived=True)
            return
        if (self.quarantine.active or job.crashes) and names.signature in response.headers:
            self.quarantine.on_answered(job.identify(), job.crashes)
        headers = tuple(
            (name, value) for name, value in response.headers.items() if name not in HOP_BY_HOP_HEADERS
        )
        if not self.end_job(job):
            return
        log_events.emit(
            events.RequestRun(
                id=forward.attempt_id,
                origin=forward.origin,
                target=self.target.last_heartbeat.target,
                status=response.status,
                queued_ms=round((job.sent_at - job.arrived_at) * 1000),
                ran_ms=round((self.now - job.sent_at) * 1000),
                transit_ms=job.transit_ms,
            )
        )
        answered = Answered(
            forward.id,
            response.status,
            headers,
            self.load_report(),
            self.now - job.arrived_at,
            self.reported_rate(),
            self.outlook(),
            round(self.admission.work.costs.expected(forward.cost_class), 4),
        )
        job.reply(answered, response.body)

    def refusal_retry_after(self, job: Job, response: HttpResponse) -> float:
        """Return the seconds after which a request that the target refused may be sent again.

        A target that refuses a request while it has free slots may accept the next attempt, unless it states
        a time itself.
        """
        expected = self.admission.retry_after(self.queue_entry(job), self.now)
        try:
            return max(expected, parse_retry_after(response.headers))
        except InvalidArgument as error:
            self.log_unreadable(error)
            return expected

    def log_unreadable(self, error: InvalidArgument) -> None:
        """Log a header of the target's answer that could not be decoded."""
        log_events.emit(events.RowUnreadable(what="answer", reason=str(error)[:200]))

    def observe_signals(self, job: Job, response: HttpResponse) -> None:
        """Record what a response, also a refusal, says about the state of the target."""
        target = self.target
        if job.incarnation != target.last_incarnation:
            return
        if not self.limit_known:
            self.on_first_answer()
        if is_leaving(response.headers, self.header_names):
            self.on_leaving(job)
        self.observe_slowdown(response)
        try:
            rate = parse_rate_limit(response.headers, self.header_names)
        except InvalidArgument as error:
            self.log_unreadable(error)
            return
        self.on_rate_limit(job, rate)

    def observe_slowdown(self, response: HttpResponse) -> None:
        """Record how long a response says that work takes at the target now."""
        try:
            slowdown = parse_slowdown(response.headers, self.header_names)
        except InvalidArgument as error:
            self.log_unreadable(error)
            return
        if slowdown is not None:
            self.admission.work.state_slowdown(slowdown, self.now)

    def on_first_answer(self) -> None:
        """Lift the bound that applies while the target's rate limit is unknown."""
        self.limit_known = True
        self.admission.rate_limiter.set_stated_rate(None)

    def on_rate_limit(self, job: Job, rate: float | None) -> None:
        """Apply the rate limit that an answer states, or end it if the answer states none."""
        limit, now = self.target.rate_limit, self.now
        former, former_at = limit.rate, limit.changed_at
        if limit.observe(rate, job.sent_at, now):
            self.admission.rate_limiter.set_stated_rate(rate)
            log_events.emit(
                events.TargetLimitChanged(
                    target=self.target.last_heartbeat.target,
                    life=job.incarnation,
                    id=job.forward.attempt_id,
                    rate_per_s=rate,
                    former_per_s=former,
                    former_s=round(now - former_at, 3) if former is not None else 0.0,
                    running=self.admission.running,
                    queued=self.admission.queued,
                )
            )

    def on_leaving(self, job: Job) -> None:
        """Stop sending work to the target, because its answer states that it leaves."""
        if job.incarnation not in self.target.leaving_incarnations:
            log_events.emit(
                events.TargetLeaving(
                    target=self.target.last_heartbeat.target,
                    life=job.incarnation,
                    id=job.forward.attempt_id,
                )
            )
            self.target.mark_leaving(job.incarnation)

    def on_failure(self, job: Job, failure: HttpFailure) -> None:
        """Decline a request whose exchange with the target failed."""
        if failure.bytes_sent:
            self.crash_detector.on_interrupted(job, failure)
            return
        if failure.kind is FailureKind.REFUSED:
            self.target.on_connection_refused()
        self.decline(job, f"target_{failure.kind.value}")

    def on_interruption_decided(self, job: Job, failure: HttpFailure, crashed: bool) -> None:
        """Decline a request that the target may have run, but has not answered."""
        reason = CRASHED_REASON if crashed else f"target_{failure.kind.value}"
        self.decline(job, reason, may_have_run=True, arrived=True)

    def decline(
        self,
        job: Job,
        reason: str,
        may_have_run: bool = False,
        arrived: bool = False,
        retry_after: float = 0.0,
        missing: str = "",
    ) -> None:
        """Reply that a request was not served.

        Parameters
        ----------
        may_have_run : bool
            Whether the target may have run the request.
        arrived : bool
            Whether the target received the request.
        retry_after : float
            Seconds after which capacity is expected; 0 if unknown.
        missing : str
            Resource that a request with ``only_if_free`` would have had to wait for.
        """
        forward = job.forward
        if not self.end_job(job):
            return
        if forward.offered_bytes:
            self.body_gate.forget(forward.id)
            self.request_bodies()
        limit = self.target.rate_limit
        log_events.emit(
            events.RequestDeclined(
                id=forward.attempt_id,
                origin=forward.origin,
                reason=reason,
                left_s=round(job.deadline - self.now, 3),
                running=self.admission.running,
                queued=self.admission.queued,
                wait_s=round(retry_after, 3),
                full=missing,
                nested=forward.nested,
                limit_per_s=limit.rate,
                limit_age_s=round(self.now - limit.stated_at, 3) if limit.rate is not None else 0.0,
                transit_ms=job.transit_ms,
            )
        )
        self.metrics.count_declined(forward.cost_class, missing or reason)
        owner = self.other_owner(forward) if reason == NOT_OWNER_REASON else ""
        declined = Declined(
            forward.id,
            reason,
            may_have_run,
            arrived,
            retry_after,
            self.load_report(),
            owner,
            self.reported_rate(),
            self.outlook(),
        )
        job.reply(declined, b"")

    def other_owner(self, forward: Forward) -> str:
        """Return the node that owns the key of a request; an empty string if unknown or this node."""
        node = self.rings.owner_node(forward.service, forward.key)
        return node if node is not None and node != self.settings.node else ""

    def cancel(self, request_id: bytes, transit: float | None = None) -> None:
        """Drop a request whose caller has gone; a running one that is not repeatable runs to its end.

        ``transit`` is the least time in seconds that the cancellation was in transit; None if unknown.
        """
        job = self.jobs.get(request_id)
        if job is None:
            return
        log_events.emit(
            events.RequestCancelled(
                id=job.forward.attempt_id,
                origin=job.forward.origin,
                sent=job.has_been_sent,
                held_ms=round((self.now - job.arrived_at) * 1000),
                transit_ms=round(transit * 1000) if transit is not None else None,
            )
        )
        if job.exchange is not None:
            if job.forward.repeatable:
                self.end_job(job)
                job.exchange.cancel()
            return
        self.end_job(job)
        self.body_gate.forget(request_id)
        self.request_bodies()
        if job in self.awaiting_keys:
            self.awaiting_keys.remove(job)
        elif job.queue_entry is not None:
            self.admission.remove(job.queue_entry)

    @property
    def has_jobs(self) -> bool:
        """Whether any request has no outcome yet."""
        return bool(self.jobs)
