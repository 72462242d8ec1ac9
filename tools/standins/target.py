"""HTTP stand-in for a target, a server that owns its keys exclusively.

Run as ``python -m tools.standins.target --address 127.0.0.1:7101 --daemon-address 127.0.0.1:7201
--service wappensuche``. It records each effect, so that a test can check which target ran a request,
and when.
"""

from __future__ import annotations

import sys
import time
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

import defopt
import msgspec
from circuits.web.wrappers import Request, Response
from returns.result import Result

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.transport.http_client import HttpClient
from tools.standins.web import OK, JsonServer, read_json, run_services

SERVICES = ("wappensuche", "verleihung", "archiv", "lista", "registro", "galeria")
ANNOUNCE_INTERVAL_SECONDS = 1.0
MS_PER_SECOND = 1000
NS_PER_SECOND = 1_000_000_000
# Further requests are shed; a target has little memory for queued requests.
QUEUED_REQUESTS_PER_SLOT = 1
# Ratio of the service time of a cold target to that of a warm one.
COLD_FACTOR = 5.0
SERVICE_UNAVAILABLE = 503
NOT_RUN_HEADERS = {"x-not-run": "1"}
HEADER_PREFIX = "x-hibiscusdrum-"


class TargetOptions(msgspec.Struct, frozen=True):
    """Settings of a target stand-in; `main` describes each."""

    address: str
    daemon_address: str
    service: str
    slots: int = 9
    connections: int = 120
    checks_epoch: bool = True
    service_time_ms: float = 2.0
    cold_completions: int = 50
    report_lag_seconds: float = 2.0


class Effect(msgspec.Struct):
    """Record of a request that ran; times are CLOCK_MONOTONIC in nanoseconds."""

    request_id: str
    key: str
    tenant: str
    epoch: int
    method: str
    start_ns: int
    end_ns: int = 0


class Refusal(msgspec.Struct, frozen=True):
    """Record of a request that was refused without running."""

    request_id: str
    key: str
    reason: str
    at_ns: int


class Grant(msgspec.Struct, frozen=True):
    """Body of a grant; a target that checks epochs then refuses requests with a lower one."""

    epoch: int


class Cancellation(msgspec.Struct, frozen=True):
    """Body of a request to cancel another request."""

    request_id: str


class Extension(msgspec.Struct, frozen=True):
    """Body of a request to change the deadline of another request."""

    request_id: str
    deadline_ns: int


class Faults(msgspec.Struct, frozen=True):
    """Faults to inject, as decoded from the body of ``POST /faults``; absent fields change nothing.

    Attributes
    ----------
    cold : bool
        Reset the count of completions, so that the target is cold again.
    slow_factor : float
        Factor on the service time for ``seconds``.
    seconds : float
        Duration of ``slow_factor``.
    short_answer : int
        Number of further responses to truncate.
    hang : int
        Number of further executed requests to leave without a response.
    """

    cold: bool = False
    slow_factor: float = 0.0
    seconds: float = 0.0
    short_answer: int = 0
    hang: int = 0


class TargetRequest:
    """A caller's request with the headers of the target protocol decoded."""

    __slots__ = (
        "cancelled",
        "deadline_ns",
        "effect",
        "epoch",
        "key",
        "reply",
        "request",
        "request_id",
        "tenant",
    )

    def __init__(self, request: Request, reply: Response) -> None:
        headers = request.headers
        self.request = request
        self.reply = reply
        self.request_id = headers.get(HEADER_PREFIX + "request-id", "")
        self.tenant = headers.get(HEADER_PREFIX + "tenant", "")
        self.key = headers.get(HEADER_PREFIX + "key", "")
        self.epoch = parse_number_header(headers, HEADER_PREFIX + "epoch")
        self.deadline_ns = parse_number_header(headers, HEADER_PREFIX + "deadline-ns")
        self.effect: Effect | None = None
        self.cancelled = False


def parse_number_header(headers: Any, name: str) -> int:
    """Parse a header as a non-negative number; an absent header gives 0.

    Raises
    ------
    InvalidArgument
        If the value is not a decimal number.
    """
    header_value = headers.get(name, "0")
    if not header_value.isdecimal():
        raise InvalidArgument(name=name, value=header_value, expected="a number of 0 or more")
    return int(header_value)


class TargetStandIn(JsonServer):
    """Executes requests on a limited number of slots and records their effects.

    Parameters
    ----------
    options : TargetOptions
        Settings.
    """

    def __init__(self, options: TargetOptions) -> None:
        validate_options(options)
        super().__init__(f"target-{options.address}", options.address)
        self.options = options
        self.highest_epoch = 0
        self.draining = False
        self.completions = 0
        self.slow_factor = 1.0
        self.slow_until = 0.0
        self.pending_truncated_responses = 0
        self.pending_hangs = 0
        self.running_requests: dict[int, TargetRequest] = {}
        self.queued_requests: deque[TargetRequest] = deque()
        self.effects: list[Effect] = []
        self.refusals: list[Refusal] = []
        self.effects_by_key: Counter[str] = Counter()
        self.peak_in_flight = 0
        self.report_samples: deque[tuple[float, dict[str, Any]]] = deque()
        self.control_handlers: dict[tuple[str, str], Callable[[Request], Any]] = {
            ("POST", "/control/grant"): self.grant,
            ("POST", "/control/drain"): self.drain,
            ("POST", "/control/cancel"): self.cancel,
            ("POST", "/control/extend"): self.extend,
            ("POST", "/faults"): self.set_faults,
            ("GET", "/record"): self.get_record,
            ("GET", "/health"): self.get_delayed_report,
            ("GET", "/load"): self.get_delayed_report,
        }

    def on_start(self) -> None:
        """Start sampling the reported state."""
        self.app.scheduler.every(min(0.1, self.options.report_lag_seconds or 0.1), self.sample_report)
        self.sample_report()

    def handle_request(self, request: Request, reply: Response) -> None:
        """Handle a control request, or admit any other request for execution."""
        control_handler = self.control_handlers.get((request.method, request.path))
        if control_handler is not None:
            self.send_json(reply, OK, control_handler(request))
        else:
            self.admit(TargetRequest(request, reply))

    def admit(self, target_request: TargetRequest) -> None:
        """Start a request in a free slot, queue it, or refuse it."""
        if self.draining:
            self.refuse(target_request, "draining")
        elif self.is_stale_epoch(target_request):
            self.refuse(target_request, "stale_epoch")
        elif len(self.running_requests) < self.options.slots:
            self.start_request(target_request)
        elif len(self.queued_requests) < self.options.slots * QUEUED_REQUESTS_PER_SLOT:
            self.queued_requests.append(target_request)
        else:
            self.refuse(target_request, "shed")
        self.peak_in_flight = max(self.peak_in_flight, len(self.running_requests) + len(self.queued_requests))

    def is_stale_epoch(self, target_request: TargetRequest) -> bool:
        """Return whether a request's epoch is below the highest one seen, and remember a higher one."""
        if not self.options.checks_epoch:
            return False
        self.highest_epoch = max(self.highest_epoch, target_request.epoch)
        return target_request.epoch < self.highest_epoch

    def start_request(self, target_request: TargetRequest) -> None:
        """Occupy a slot with a request for the service time."""
        self.running_requests[id(target_request)] = target_request
        self.app.scheduler.call_later(self.service_seconds(), lambda: self.finish_request(target_request))

    def service_seconds(self) -> float:
        """Return the service time, with the factors for a cold target and for injected slowness."""
        seconds = self.options.service_time_ms / MS_PER_SECOND
        if self.completions < self.options.cold_completions:
            seconds *= COLD_FACTOR
        if self.app.clock.monotonic() < self.slow_until:
            seconds *= self.slow_factor
        return seconds

    def finish_request(self, target_request: TargetRequest) -> None:
        """Free the slot, and run the request unless it is cancelled, expired or has a stale epoch."""
        del self.running_requests[id(target_request)]
        now_ns = time.monotonic_ns()
        if target_request.cancelled or (target_request.deadline_ns and now_ns > target_request.deadline_ns):
            self.refuse(target_request, "expired")
        elif self.is_stale_epoch(target_request):
            self.refuse(target_request, "stale_epoch")
        else:
            self.record_effect(target_request, now_ns)
        self.start_next_queued()

    def start_next_queued(self) -> None:
        """Start the oldest queued request if a slot is free."""
        if self.queued_requests and len(self.running_requests) < self.options.slots:
            self.start_request(self.queued_requests.popleft())

    def record_effect(self, target_request: TargetRequest, start_ns: int) -> None:
        """Record the effect of a request and send its result."""
        self.completions += 1
        self.effects_by_key[target_request.key] += 1
        effect = Effect(
            target_request.request_id,
            target_request.key,
            target_request.tenant,
            target_request.epoch,
            target_request.request.method,
            start_ns,
        )
        effect.end_ns = time.monotonic_ns()
        self.effects.append(effect)
        self.send_result(target_request)

    def send_result(self, target_request: TargetRequest) -> None:
        """Respond with the result of a request, unless a fault truncates or withholds the response."""
        value = {
            "service": self.options.service,
            "key": target_request.key,
            "request_id": target_request.request_id,
            "count": self.effects_by_key[target_request.key],
        }
        if self.pending_hangs:
            self.pending_hangs -= 1
        elif self.pending_truncated_responses:
            self.pending_truncated_responses -= 1
            body = msgspec.json.encode(value)
            self.send_truncated_json(target_request.reply, body[: len(body) // 2], len(body))
        else:
            headers = (
                {HEADER_PREFIX + "request-id": target_request.request_id}
                if target_request.request_id
                else None
            )
            self.send_json(target_request.reply, OK, value, headers)

    def refuse(self, target_request: TargetRequest, reason: str) -> None:
        """Record and respond that a request did not run."""
        self.refusals.append(
            Refusal(target_request.request_id, target_request.key, reason, time.monotonic_ns())
        )
        self.send_json(target_request.reply, SERVICE_UNAVAILABLE, {"reason": reason}, NOT_RUN_HEADERS)

    def grant(self, request: Request) -> dict[str, Any]:
        """Raise the lowest accepted epoch.

        Raises
        ------
        InvalidArgument
            If the target checks epochs and the granted one is below the highest one seen.
        """
        epoch = read_json(request, Grant).epoch
        if self.options.checks_epoch and epoch < self.highest_epoch:
            raise InvalidArgument(name="epoch", value=epoch, expected=f"at least {self.highest_epoch}")
        self.highest_epoch = max(self.highest_epoch, epoch)
        return {"epoch": self.highest_epoch}

    def drain(self, _request: Request) -> dict[str, Any]:
        """Refuse new requests; running and queued requests continue."""
        self.draining = True
        return {"in_flight": len(self.running_requests) + len(self.queued_requests)}

    def cancel(self, request: Request) -> dict[str, Any]:
        """Cancel the requests with an id that have not run yet."""
        matches = self.find_requests(read_json(request, Cancellation).request_id)
        for target_request in matches:
            target_request.cancelled = True
        return {"cancelled": len(matches)}

    def extend(self, request: Request) -> dict[str, Any]:
        """Replace the deadline of the requests with an id that have not run yet."""
        extension = read_json(request, Extension)
        matches = self.find_requests(extension.request_id)
        for target_request in matches:
            target_request.deadline_ns = extension.deadline_ns
        return {"extended": len(matches)}

    def find_requests(self, request_id: str) -> list[TargetRequest]:
        """Return the running and queued requests that have an id."""
        accepted = [*self.running_requests.values(), *self.queued_requests]
        return [target_request for target_request in accepted if target_request.request_id == request_id]

    def set_faults(self, request: Request) -> Faults:
        """Apply the faults in a request's body."""
        faults = read_json(request, Faults)
        if faults.cold:
            self.completions = 0
        if faults.slow_factor:
            self.slow_factor = faults.slow_factor
            self.slow_until = self.app.clock.monotonic() + faults.seconds
        self.pending_truncated_responses += faults.short_answer
        self.pending_hangs += faults.hang
        return faults

    def get_record(self, _request: Request) -> dict[str, Any]:
        """Return the recorded effects and refusals, and the peak number of requests in flight."""
        return {"effects": self.effects, "not_run": self.refusals, "peak_in_flight": self.peak_in_flight}

    def sample_report(self) -> None:
        """Store the current state and drop samples that are older than the report lag requires."""
        now = self.app.clock.monotonic()
        self.report_samples.append((now, self.current_report()))
        while (
            len(self.report_samples) > 1
            and self.report_samples[1][0] <= now - self.options.report_lag_seconds
        ):
            self.report_samples.popleft()

    def current_report(self) -> dict[str, Any]:
        """Return the current state."""
        return {
            "state": "draining" if self.draining else "ready",
            "running": len(self.running_requests),
            "waiting": len(self.queued_requests),
            "slots": self.options.slots,
            "completions": self.completions,
        }

    def get_delayed_report(self, _request: Request) -> dict[str, Any]:
        """Return the state as it was one report lag ago, or the oldest stored one."""
        return self.report_samples[0][1]


def validate_options(options: TargetOptions) -> None:
    """Check the constraints on settings that their types do not express.

    Raises
    ------
    InvalidArgument
        If the service is unknown or there is no slot.
    """
    if options.service not in SERVICES:
        raise InvalidArgument(name="service", value=options.service, expected=f"one of {SERVICES}")
    if options.slots < 1:
        raise InvalidArgument(name="slots", value=options.slots, expected="at least 1")


class Announcer(Service):
    """Announces a target to its daemon periodically; repeated announcements serve as heartbeats.

    Parameters
    ----------
    options : TargetOptions
        Settings.
    interval_seconds : float
        Interval between announcements, and timeout of each one.
    """

    def __init__(self, options: TargetOptions, interval_seconds: float = ANNOUNCE_INTERVAL_SECONDS) -> None:
        self.service_name = f"announcer-{options.address}"
        super().__init__()
        self.options = options
        self.interval_seconds = interval_seconds
        self.accepted_announcements = 0

    def on_start(self) -> None:
        """Start sending announcements."""
        self.app.scheduler.every(self.interval_seconds, self.send_announcement)
        self.send_announcement()

    def send_announcement(self) -> None:
        """Send one announcement."""
        options = self.options
        body = {
            "service": options.service,
            "address": options.address,
            "slots": options.slots,
            "connections": options.connections,
            "checks_epoch": options.checks_epoch,
        }
        self.app.find(HttpClient.service_name).request(
            options.daemon_address,
            "POST",
            "/v1/target/announce",
            {"content-type": "application/json"},
            msgspec.json.encode(body),
            self.interval_seconds,
            self.on_response,
        )

    def on_response(self, result: Result) -> None:
        """Count an announcement that the daemon accepted."""
        if result.map(lambda response: response.status == OK).value_or(False):
            self.accepted_announcements += 1


def main(
    *,
    address: str = "127.0.0.1:7101",
    daemon_address: str = "127.0.0.1:7201",
    service: str = "wappensuche",
    slots: int = 9,
    connections: int = 120,
    checks_epoch: str = "true",
    service_time_ms: float = 2.0,
    cold_completions: int = 50,
    report_lag_seconds: float = 2.0,
) -> int:
    """Run the target stand-in until a signal arrives.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on.
    daemon_address : str
        ``ip:port`` of the daemon's HTTP endpoint.
    service : str
        Name of the service.
    slots : int
        Maximum number of requests that run concurrently.
    connections : int
        Announced connection limit; not enforced here.
    checks_epoch : str
        ``true`` or ``false``: whether requests and grants with an older epoch are refused.
    service_time_ms : float
        Time that a request takes when warm.
    cold_completions : int
        Number of completed requests after which the target is warm.
    report_lag_seconds : float
        Age of the health and load reports.
    """
    if checks_epoch not in ("true", "false"):
        raise InvalidArgument(name="checks_epoch", value=checks_epoch, expected="true or false")
    options = TargetOptions(
        address,
        daemon_address,
        service,
        slots,
        connections,
        checks_epoch == "true",
        service_time_ms,
        cold_completions,
        report_lag_seconds,
    )
    return run_services(HttpClient(), TargetStandIn(options), Announcer(options))


if __name__ == "__main__":
    sys.exit(defopt.run(main))
