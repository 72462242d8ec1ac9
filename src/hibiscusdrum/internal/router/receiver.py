"""Requests on the VM of their target: admission, the HTTP exchange with the target, and the outcome."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

from returns.result import Result, Success

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.load.body_gate import BodyGate
from hibiscusdrum.internal.load.body_room import BodyRoom, default_room
from hibiscusdrum.internal.load.egress import EgressQueue
from hibiscusdrum.internal.messages import UNKNOWN_OUTLOOK, Answered, Declined, Forward, SendBody
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.account_fairness import DRAWN_PRIORITY, AccountFairness
from hibiscusdrum.internal.router.accounts import EndedRuns
from hibiscusdrum.internal.router.admission import (
    MAX_RETRY_AFTER_SECONDS,
    MIN_RETRY_AFTER_SECONDS,
    AdmissionQueue,
    QueueEntry,
)
from hibiscusdrum.internal.router.answer_sizes import LinkForecast
from hibiscusdrum.internal.router.crash_detector import CRASHED_REASON, CrashDetector
from hibiscusdrum.internal.router.hop import CLOSING_REASON, LATE_MESSAGE_SECONDS
from hibiscusdrum.internal.router.hung_requests import HungRequests
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
LINK_FULL_REASON = "link_full"
REFUSED_REASON = "target_refused"
STOPPING_REASON = "stopping"
UNSENDABLE_REASON = "unsendable"
SUSPECTS_WAITING_REASON = "suspects_waiting"
LAST_TARGET_REASON = "last_target_spared"
EVACUATED_REASON = "evacuated"
# Within this time most keys of an evacuated target have their new owner, who also needs a grant for them.
MOVE_RETRY_AFTER_SECONDS = 1.0
# A body is requested only if it can arrive within this share of the time left for its request.
MAX_BODY_WAIT_SHARE = 0.5
BUSY_REASON = "busy"
LATE_REASON = "late"
WITHDRAWN_REASON = "withdrawn"
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


def drop_reply(_answer: Answered | Declined | SendBody, _body: bytes) -> None:
    """Take the outcome of a request that was cancelled while it was running."""


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
    awaiting_move : list of Job
        Requests for keys of this evacuated node that get another owner soon.
    suspect_line : SuspectLine
        Requests under which targets have crashed.
    hung_requests : HungRequests
        Requests at the target, and which of them it will not answer any more.
    limit_known : bool
        Whether the target has answered since the start of this process, so that its rate limit is known.
    stopping : bool
        Whether the process is shutting down; requests that other targets may serve are then refused.
    service_seconds_left : callable
        Returns the seconds within which the target must answer because the process is about to end.
    closed : bool
        Whether all new requests are refused, so that the process can exit.
    body_room : BodyRoom
        Bytes of bodies at the target, and the requests that wait for room.
    link_forecast : LinkForecast
        Expects when answers will have left the link of this VM.
    replaced_headers : set of str
        Headers of the forwarded request that are replaced by those for the target.
    account_headers : frozenset of str
        Those that are replaced besides if the configuration has client accounts.
    fairness : AccountFairness
        Draws the requests that precede others whatever the priority of their accounts.
    ended_runs : EndedRuns
        Accounts of the runs that have ended, for the requests that their targets still send.
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
        self.link_forecast = LinkForecast(EgressQueue(0.0))
        self.body_room = BodyRoom(int(settings.target_body_bytes) or default_room(settings.memory_bytes))
        self.jobs: dict[bytes, Job] = {}
        self.awaiting_keys: list[Job] = []
        self.awaiting_move: list[Job] = []
        self.suspect_line = SuspectLine()
        self.hung_requests = HungRequests()
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
        self.account_headers = frozenset((header_names.account_key, header_names.account))
        self.ended_runs = EndedRuns()
        self.fairness = AccountFairness(random.Random(settings.node))

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
        self.forwarder.on_withdraw = self.withdraw
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

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for something else than a slot."""
        return (
            len(self.awaiting_keys)
            + len(self.awaiting_move)
            + len(self.suspect_line.waiting)
            + len(self.body_room.waiting)
        )

    def waiting_elsewhere(self) -> int:
        """Return the number of requests that wait outside of the queue, as ``load_report`` counts them."""
        admission, limiter = self.admission, self.admission.rate_limiter
        waiting = self.body_gate.expected_wait() / admission.mean_service_seconds * admission.slots
        if limiter.stated is not None:
            waiting += limiter.wait_seconds(0, self.now) * limiter.stated_rate
        return self.waiting_count + math.ceil(waiting)

    def outlook(self) -> tuple[float, float, float]:
        """Return the outstanding work, the wait for the link and the slowdown sent with each load report."""
        admission, now = self.admission, self.now
        link = round(self.link_forecast.wait_seconds(now), 4)
        if not self.settings.cost_aware:
            # No node of this deployment compares targets by them.
            return (UNKNOWN_OUTLOOK[0], link, UNKNOWN_OUTLOOK[2])
        work = admission.outstanding_seconds(now)
        work += self.waiting_elsewhere() * admission.work.costs.overall.mean
        return (round(work, 4), link, round(admission.work.slowdown(now), 2))

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
        reason = EVACUATED_REASON if self.evacuated else f"target_{self.target.state.value}"
        for entry in self.admission.remove_all():
            job = entry.item
            if self.target_holds_key(job.forward):
                job.queue_entry = self.queue_entry(job)
                self.admission.push(job.queue_entry, self.now)
            else:
                self.redirect(job, reason)
        waiting, self.awaiting_keys = self.awaiting_keys, []
        awaiting_bodies = [self.jobs[request_id] for request_id in self.body_gate.transfers]
        for job in waiting:
            self.redirect(job, reason)
        awaiting_room = list(self.body_room.waiting)
        for job in (*awaiting_bodies, *awaiting_room):
            if not self.may_come_later(job.forward):
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
        else:
            key_state = self.range_owner.key_state(forward.key) if forward.key >= 0 else KeyState.GRANTED
            if key_state is KeyState.GRANT_PENDING:
                self.await_keys(job)
            elif key_state is KeyState.MOVING:
                self.await_move(job)
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
            self.remove_waiting(job)
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

    def withdraw(self, request_id: bytes) -> None:
        """Decline a request whose key was removed, unless the target has been sent it."""
        job = self.jobs.get(request_id)
        if job is None or job.has_been_sent:
            return
        self.remove_waiting(job)
        self.decline(job, WITHDRAWN_REASON)

    def remove_waiting(self, job: Job) -> None:
        """Remove a request that was not sent to the target from where it waits."""
        if job.queue_entry is not None:
            self.admission.remove(job.queue_entry)
        elif job in self.awaiting_keys:
            self.awaiting_keys.remove(job)
        elif job in self.awaiting_move:
            self.awaiting_move.remove(job)

    def decline_held(self, identity: bytes, _record: CrashRecord) -> None:
        """Decline the requests with an identity that have arrived and were not sent to the target."""
        for job in list(self.jobs.values()):
            if job.has_been_sent or not job.has_body or job.identify() != identity:
                continue
            self.remove_waiting(job)
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
        if job.has_been_sent and self.has_accounts:
            self.ended_runs.record(job.forward.attempt_id, job.forward.account, self.now)
        self.link_forecast.remove(job.forward.id)
        self.body_room.remove(job)
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
        if self.may_come_later(forward):
            return ""
        if forward.key >= 0 and self.other_owner(forward):
            # Its caller's node has an outdated ring, and learns of the owner from the answer.
            return NOT_OWNER_REASON
        if self.evacuated:
            return EVACUATED_REASON
        if self.target.state is not TargetState.READY:
            return f"target_{self.target.state.value}"
        if forward.key >= 0:
            return NOT_OWNER_REASON if self.range_owner.key_state(forward.key) is KeyState.NOT_OWNED else ""
        return STOPPING_REASON if self.stopping else ""

    def target_holds_key(self, forward: Forward) -> bool:
        """Return whether the target holds the key of a request, which it then serves even when draining."""
        return forward.key >= 0 and self.range_owner.key_state(forward.key) is KeyState.GRANTED

    def may_come_later(self, forward: Forward) -> bool:
        """Return whether a request is for a key that the target holds, or that moves from it soon."""
        if forward.key < 0:
            return False
        return self.range_owner.key_state(forward.key) in (KeyState.GRANTED, KeyState.MOVING)

    def redirect(self, job: Job, reason: str) -> None:
        """Hold a request until its key has its new owner, or decline it if it is for no such key."""
        forward = job.forward
        if forward.key < 0:
            self.decline(job, reason)
        elif self.range_owner.key_state(forward.key) is KeyState.MOVING:
            self.await_move(job)
        else:
            self.decline(job, NOT_OWNER_REASON if self.other_owner(forward) else reason)

    def await_move(self, job: Job) -> None:
        """Hold a request until its key has its new owner, whom the caller's node is then told."""
        service = self.admission.expected_service_seconds(job.forward.cost_class)
        has_room = len(self.awaiting_move) < self.admission.slots * 2
        if not has_room or self.now + service > job.deadline:
            self.decline(job, EVACUATED_REASON, retry_after=MOVE_RETRY_AFTER_SECONDS)
            return
        job.queue_entry = None
        self.awaiting_move.append(job)
        self.expiry_timer.wake()

    def admit_moved(self) -> None:
        """Admit or decline the requests whose keys do not move any more, and decline those that are late."""
        waiting, self.awaiting_move = self.awaiting_move, []
        for job in waiting:
            if self.range_owner.key_state(job.forward.key) is not KeyState.MOVING:
                self.admit(job)
            elif self.now + self.admission.mean_service_seconds > job.deadline:
                self.decline(job, EVACUATED_REASON, retry_after=MOVE_RETRY_AFTER_SECONDS)
            else:
                self.awaiting_move.append(job)

    def await_keys(self, job: Job) -> None:
        """Hold a request until its key is granted, if the target's next report is due in time."""
        report_due = max(0.0, self.target.last_heartbeat_at + self.settings.heartbeat - self.now)
        service = self.admission.expected_service_seconds(job.forward.cost_class)
        has_room = len(self.awaiting_keys) < self.admission.slots * 2
        if not has_room or self.now + report_due + service > job.deadline:
            self.decline(job, "keys_expected", retry_after=report_due + 0.1)
            return
        job.queue_entry = None
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
            elif state is KeyState.MOVING:
                self.await_move(job)
            else:
                self.awaiting_keys.append(job)

    def enqueue(self, job: Job) -> None:
        """Queue a request that is expected to be served in time, or decline it."""
        if self.defer_suspect(job):
            return
        now = self.now
        entry = self.queue_entry(job)
        # It may have been admitted before, and wait for room at the target since.
        self.link_forecast.remove(job.forward.id)
        if not self.admission.is_servable(entry, now):
            reason = self.unservable_reason(job)
            stopping = reason == STOPPING_REASON
            wait = self.service_seconds_left() + RESTART_SECONDS if stopping else 0.0
            self.decline(job, reason, retry_after=max(wait, self.admission.retry_after(entry, now)))
            return
        if late := self.link_late_seconds(entry, now):
            self.decline_link_full(job, late)
            return
        job.queue_entry = entry
        self.expect_answer(job)
        self.admission.push(entry, now)
        self.send_queued()
        if self.admission.queued:
            self.expiry_timer.wake()

    def crosses_link(self, job: Job) -> bool:
        """Return whether the answer to a request leaves this VM towards another node."""
        return job.forward.origin != self.settings.node

    def expect_answer(self, job: Job) -> None:
        """Count the expected bytes of the answer to an admitted request."""
        if self.crosses_link(job):
            self.link_forecast.add(job.forward.id, job.forward.cost_class, job.forward.nested)

    def link_late_seconds(self, entry: QueueEntry, now: float) -> float:
        """Return by how many seconds the link would make the answer to a request late; 0 if in time."""
        if not self.link_forecast.egress.rate or not self.crosses_link(entry.item):
            return 0.0
        admission = self.admission
        start = now + admission.expected_wait_seconds(entry.order, now)
        ready_at = start + admission.expected_service_seconds(entry.cost_class)
        return self.link_forecast.late_seconds(
            entry.cost_class, entry.nested, ready_at, entry.goal_at, entry.deadline, now
        )

    def decline_link_full(self, job: Job, late: float) -> None:
        """Decline a request whose answer the link could deliver in time only some seconds later."""
        egress = self.link_forecast.egress
        log_events.emit(
            events.LinkFull(
                id=job.forward.attempt_id,
                origin=job.forward.origin,
                late_s=round(late, 3),
                wait_s=round(self.link_forecast.wait_seconds(self.now), 3),
                queued_bytes=egress.queued_bytes,
                expected_bytes=round(sum(self.link_forecast.means)),
            )
        )
        self.decline(job, LINK_FULL_REASON, retry_after=max(MIN_RETRY_AFTER_SECONDS, late))

    def queue_entry(self, job: Job) -> QueueEntry:
        """Return an entry of the admission queue for a request, which must end before the process does."""
        forward, now = job.forward, self.now
        deadline = min(job.deadline, now + self.service_seconds_left())
        if job.drawn is None and forward.account and not forward.nested:
            job.drawn = self.fairness.draws(now)
        return QueueEntry(
            job,
            DRAWN_PRIORITY if job.drawn else forward.priority,
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

    def account_of_run(self, attempt_id: str) -> str | None:
        """Return the account (empty without one) of a run that the target may still be at, or None."""
        for job in self.jobs.values():
            if job.has_been_sent and job.forward.attempt_id == attempt_id:
                return job.forward.account
        return self.ended_runs.find(attempt_id, self.now)

    @property
    def has_accounts(self) -> bool:
        """Whether the configuration has client accounts."""
        return self.route_table is not None and self.route_table.accounts is not None

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
        late = [job for job in self.body_room.waiting if self.is_too_late(job, now)]
        for job in late:
            self.decline(job, TOO_LATE_REASON, retry_after=self.admission.mean_service_seconds)
        for job in self.suspect_line.expired(now, self.admission.mean_service_seconds):
            self.decline(job, TOO_LATE_REASON)
        for request_id in list(self.body_gate.transfers):
            job = self.jobs[request_id]
            if now + self.admission.mean_service_seconds > job.deadline:
                self.decline(job, "body_late")
        self.send_queued()
        self.admit_moved()
        return bool(self.admission.queued or self.waiting_count or self.body_gate.transfers)

    def is_too_late(self, job: Job, now: float) -> bool:
        """Return whether the target could not answer a request in time if it started now."""
        return now + self.admission.expected_service_seconds(job.forward.cost_class) > job.deadline

    def send_to_target(self, job: Job) -> None:
        """Send a request that has a slot to the target."""
        forward, now = job.forward, self.now
        left = min(job.deadline - now, self.service_seconds_left())
        if left < MIN_SEND_REMAINING_SECONDS:
            self.release_unsent(job, TOO_LATE_REASON)
            return
        key_state = self.range_owner.key_state(forward.key) if forward.key >= 0 else KeyState.GRANTED
        if key_state is KeyState.MOVING:
            self.release_slot(job)
            self.await_move(job)
            return
        if key_state is not KeyState.GRANTED:
            self.release_unsent(job, NOT_OWNER_REASON)
            return
        if hold := self.hold_seconds(job):
            self.release_slot(job)
            self.decline_quarantined(job, hold)
            return
        if self.defer_suspect(job):
            self.release_slot(job)
            return
        if not self.body_room.take(forward.id, len(job.body)):
            self.release_slot(job)
            self.await_room(job)
            return
        job.sent_at, job.incarnation = now, self.target.last_incarnation
        if job.drawn is not None:
            self.fairness.on_served(now)
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
            return
        self.hung_requests.on_sent(forward.id, now)

    def await_room(self, job: Job) -> None:
        """Hold a request until the target holds fewer bytes of bodies."""
        room = self.body_room
        log_events.emit(
            events.TargetBodiesFull(
                id=job.forward.attempt_id,
                size=len(job.body),
                outstanding=room.outstanding,
                limit=room.limit,
                waiting=len(room.waiting),
            )
        )
        room.waiting.append(job)
        self.expiry_timer.wake()

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
        hidden = self.account_headers if forward.account or self.has_accounts else ()
        for name, value in forward.headers:
            if name == "host":
                host = value
            elif name not in self.replaced_headers and name not in hidden:
                headers[name] = f"{headers[name]}, {value}" if name in headers else value
        headers[names.attempt_id] = forward.attempt_id
        headers[names.deadline_ms] = str(max(1, int(left * 1000.0)))
        headers[names.expected_target] = self.target.last_heartbeat.target
        headers[names.caller] = forward.caller
        if forward.account:
            headers[names.account] = forward.account
        return host, headers

    def release_slot(self, job: Job, seconds: float | None = None) -> None:
        """Free the slot of a request, with its service time if the outcome reflects that."""
        self.admission.finish(job.forward.cost_class, seconds, job.queue_entry, self.now)

    def release_unsent(self, job: Job, reason: str) -> None:
        """Free the slot of a request that was not sent, and decline the request."""
        self.release_slot(job)
        self.readmit(self.body_room.release(job.forward.id))
        self.decline(job, reason)

    def on_result(self, job: Job, result: Result[HttpResponse, HttpFailure]) -> None:
        """Process the result of the exchange with the target, and send the next queued requests."""
        job.exchange = None
        forward = job.forward
        if isinstance(result, Success):
            self.on_response(job, result.unwrap())
            self.end_hung()
        else:
            self.hung_requests.forget(forward.id)
            failure = result.failure()
            if failure.kind is FailureKind.UNANSWERED:
                # The target may still run it, but not beyond the deadline that it was given.
                self.app.scheduler.call_later(job.deadline - self.now, lambda: self.free_slot(job))
            else:
                self.release_slot(job)
            self.on_failure(job, failure)
        self.readmit(self.body_room.release(forward.id))
        self.send_queued()

    def free_slot(self, job: Job) -> None:
        """Free the slot of a request that was given up before its deadline."""
        self.release_slot(job)
        self.send_queued()

    def end_hung(self) -> None:
        """Give up the requests that the target will not answer any more, as answers to later ones show.

        One that no other target gets is not given up, since it may only be slow: one that must not run twice,
        or has been sent to as many targets as it may.
        """
        for request_id in self.hung_requests.overtaken_by(self.admission.slots):
            job = self.jobs.get(request_id)
            if job is None or job.exchange is None:
                continue
            if not (job.forward.may_go_elsewhere and job.exchange.is_unanswered):
                continue
            expected = self.admission.expected_service_seconds(job.forward.cost_class)
            if self.hung_requests.takes_too_long(request_id, expected, self.now):
                log_events.emit(
                    events.RequestHung(
                        id=job.forward.attempt_id,
                        target=self.target.last_heartbeat.target,
                        waited_ms=round((self.now - job.sent_at) * 1000),
                        left_s=round(job.deadline - self.now, 3),
                    )
                )
                job.exchange.cancel(FailureKind.UNANSWERED)

    def on_response(self, job: Job, response: HttpResponse) -> None:
        """Process a complete response: reply with it, or decline the request if the target did not run it."""
        forward, names = job.forward, self.header_names
        self.target.record_answer()
        self.observe_signals(job, response)
        if is_refusal(response.status, response.headers, names):
            # A full target refuses later requests while it runs earlier ones.
            self.hung_requests.forget(forward.id)
            self.release_slot(job)
            misdirected = response.status == MISDIRECTED_STATUS
            if misdirected and forward.key >= 0:
                self.range_owner.invalidate_grant()
            reason = MISDIRECTED_REASON if misdirected else REFUSED_REASON
            wait = 0.0 if misdirected else self.refusal_retry_after(job, response)
            self.decline(job, reason, arrived=True, retry_after=wait)
            return
        self.hung_requests.on_answered(forward.id)
        self.release_slot(job, self.now - job.sent_at)
        self.link_forecast.sizes.observe(forward.cost_class, len(response.body))
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
            class_seconds=round(self.admission.work.costs.expected(forward.cost_class), 4),
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
        if job.drawn is not None and reason in (OVERLOADED_REASON, TOO_LATE_REASON):
            self.fairness.on_refused(self.now)
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
            else:
                # Its answer would take up the link, and nobody waits for it.
                self.link_forecast.remove(request_id)
                job.reply = drop_reply
            return
        self.end_job(job)
        self.body_gate.forget(request_id)
        self.request_bodies()
        if job in self.awaiting_keys:
            self.awaiting_keys.remove(job)
        elif job in self.awaiting_move:
            self.awaiting_move.remove(job)
        elif job.queue_entry is not None:
            self.admission.remove(job.queue_entry)

    @property
    def has_jobs(self) -> bool:
        """Whether any request has no outcome yet."""
        return bool(self.jobs)
