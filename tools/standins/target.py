"""Stand-in for a target (a server that owns its keys exclusively) over HTTP.

Run as ``python -m tools.standins.target --address 127.0.0.1:7101 --daemon-address 127.0.0.1:7201
--service wappensuche``. It records each effect, so that a test can check who ran what, and when.
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
# Requests that may wait for a slot before the target sheds; a target has little memory for more.
QUEUE_PER_SLOT = 1
# Service time of a cold target as a multiple of the usual one.
COLD_FACTOR = 5.0
UNAVAILABLE = 503
REFUSED_HEADERS = {"x-not-run": "1"}
REQUEST_HEADER = "x-hibiscusdrum-"


class TargetOptions(msgspec.Struct, frozen=True):
    """Settings of a target; see ``main``."""

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
    """A request that ran; times are CLOCK_MONOTONIC in nanoseconds."""

    request_id: str
    key: str
    tenant: str
    epoch: int
    method: str
    start_ns: int
    end_ns: int = 0


class Refused(msgspec.Struct, frozen=True):
    """A request that did not run."""

    request_id: str
    key: str
    reason: str
    at_ns: int


class Grant(msgspec.Struct, frozen=True):
    """Body of a fenced grant."""

    epoch: int


class Cancellation(msgspec.Struct, frozen=True):
    """Body of a cancellation."""

    request_id: str


class Extension(msgspec.Struct, frozen=True):
    """Body of a deadline extension."""

    request_id: str
    deadline_ns: int


class Faults(msgspec.Struct, frozen=True):
    """Body of the fault control; absent fields change nothing."""

    cold: bool = False
    slow_factor: float = 0.0
    seconds: float = 0.0
    short_answer: int = 0
    hang: int = 0


class Work:
    """One request inside the target."""

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
        self.request_id = headers.get(REQUEST_HEADER + "request-id", "")
        self.tenant = headers.get(REQUEST_HEADER + "tenant", "")
        self.key = headers.get(REQUEST_HEADER + "key", "")
        self.epoch = read_number(headers, REQUEST_HEADER + "epoch")
        self.deadline_ns = read_number(headers, REQUEST_HEADER + "deadline-ns")
        self.effect: Effect | None = None
        self.cancelled = False


def read_number(headers: Any, name: str) -> int:
    """Return a header's number, 0 when absent."""
    text = headers.get(name, "0")
    if not text.isdecimal():
        raise InvalidArgument(name=name, value=text, expected="a number of 0 or more")
    return int(text)


class TargetStandIn(JsonServer):
    """Serves requests on a limited number of slots and records their effects.

    Parameters
    ----------
    options : TargetOptions
        Settings.
    """

    def __init__(self, options: TargetOptions) -> None:
        check_options(options)
        super().__init__(f"target-{options.address}", options.address)
        self.options = options
        self.highest_epoch = 0
        self.draining = False
        self.completions = 0
        self.slow_factor = 1.0
        self.slow_until = 0.0
        self.short_answers = 0
        self.hangs = 0
        self.running_requests: dict[int, Work] = {}
        self.queued_requests: deque[Work] = deque()
        self.effects: list[Effect] = []
        self.not_run: list[Refused] = []
        self.counts: Counter[str] = Counter()
        self.peak_in_flight = 0
        self.reports: deque[tuple[float, dict[str, Any]]] = deque()
        self.controls: dict[tuple[str, str], Callable[[Request], Any]] = {
            ("POST", "/control/grant"): self.grant,
            ("POST", "/control/drain"): self.drain,
            ("POST", "/control/cancel"): self.cancel,
            ("POST", "/control/extend"): self.extend,
            ("POST", "/faults"): self.set_faults,
            ("GET", "/record"): self.record,
            ("GET", "/health"): self.lagging_report,
            ("GET", "/load"): self.lagging_report,
        }

    def on_start(self) -> None:
        """Begin to report."""
        self.app.scheduler.every(min(0.1, self.options.report_lag_seconds or 0.1), self.note_report)
        self.note_report()

    def handle_request(self, request: Request, reply: Response) -> None:
        """Serve a control, or run the request."""
        control = self.controls.get((request.method, request.path))
        if control is not None:
            self.send_json(reply, OK, control(request))
        else:
            self.admit(Work(request, reply))

    def admit(self, work: Work) -> None:
        """Take a request into a slot or the queue, or refuse it."""
        if self.draining:
            self.refuse(work, "draining")
        elif self.is_stale(work):
            self.refuse(work, "stale_epoch")
        elif len(self.running_requests) < self.options.slots:
            self.begin(work)
        elif len(self.queued_requests) < self.options.slots * QUEUE_PER_SLOT:
            self.queued_requests.append(work)
        else:
            self.refuse(work, "shed")
        self.peak_in_flight = max(self.peak_in_flight, len(self.running_requests) + len(self.queued_requests))

    def is_stale(self, work: Work) -> bool:
        """Note the epoch; tell whether it is below the highest one seen."""
        if not self.options.checks_epoch:
            return False
        self.highest_epoch = max(self.highest_epoch, work.epoch)
        return work.epoch < self.highest_epoch

    def begin(self, work: Work) -> None:
        """Occupy a slot for the service time."""
        self.running_requests[id(work)] = work
        self.app.scheduler.call_later(self.service_seconds(), lambda: self.execute(work))

    def service_seconds(self) -> float:
        """Return the service time under the present conditions."""
        seconds = self.options.service_time_ms / MS_PER_SECOND
        if self.completions < self.options.cold_completions:
            seconds *= COLD_FACTOR
        if self.app.clock.monotonic() < self.slow_until:
            seconds *= self.slow_factor
        return seconds

    def execute(self, work: Work) -> None:
        """Run the effect unless a fence or the deadline forbids it, then free the slot."""
        del self.running_requests[id(work)]
        now_ns = time.monotonic_ns()
        if work.cancelled or (work.deadline_ns and now_ns > work.deadline_ns):
            self.refuse(work, "expired")
        elif self.is_stale(work):
            self.refuse(work, "stale_epoch")
        else:
            self.run_effect(work, now_ns)
        self.begin_waiting()

    def begin_waiting(self) -> None:
        """Start the next request that waits for a slot."""
        if self.queued_requests and len(self.running_requests) < self.options.slots:
            self.begin(self.queued_requests.popleft())

    def run_effect(self, work: Work, start_ns: int) -> None:
        """Record the effect and answer."""
        self.completions += 1
        self.counts[work.key] += 1
        effect = Effect(work.request_id, work.key, work.tenant, work.epoch, work.request.method, start_ns)
        effect.end_ns = time.monotonic_ns()
        self.effects.append(effect)
        self.send_answer(work)

    def send_answer(self, work: Work) -> None:
        """Answer, or fail to do so when a fault says so."""
        value = {
            "service": self.options.service,
            "key": work.key,
            "request_id": work.request_id,
            "count": self.counts[work.key],
        }
        if self.hangs:
            self.hangs -= 1
        elif self.short_answers:
            self.short_answers -= 1
            body = msgspec.json.encode(value)
            self.send_truncated_json(work.reply, body[: len(body) // 2], len(body))
        else:
            headers = {REQUEST_HEADER + "request-id": work.request_id} if work.request_id else None
            self.send_json(work.reply, OK, value, headers)

    def refuse(self, work: Work, reason: str) -> None:
        """Answer that the request did not run."""
        self.not_run.append(Refused(work.request_id, work.key, reason, time.monotonic_ns()))
        self.send_json(work.reply, UNAVAILABLE, {"reason": reason}, REFUSED_HEADERS)

    def grant(self, request: Request) -> dict[str, Any]:
        """Raise the fence; an older grant is refused by a target that checks epochs."""
        epoch = read_json(request, Grant).epoch
        if self.options.checks_epoch and epoch < self.highest_epoch:
            raise InvalidArgument(name="epoch", value=epoch, expected=f"at least {self.highest_epoch}")
        self.highest_epoch = max(self.highest_epoch, epoch)
        return {"epoch": self.highest_epoch}

    def drain(self, _request: Request) -> dict[str, Any]:
        """Take no new work; what is inside goes on."""
        self.draining = True
        return {"in_flight": len(self.running_requests) + len(self.queued_requests)}

    def cancel(self, request: Request) -> dict[str, Any]:
        """Cancel a request that has not run."""
        works = self.find(read_json(request, Cancellation).request_id)
        for work in works:
            work.cancelled = True
        return {"cancelled": len(works)}

    def extend(self, request: Request) -> dict[str, Any]:
        """Move the deadline of a request."""
        extension = read_json(request, Extension)
        works = self.find(extension.request_id)
        for work in works:
            work.deadline_ns = extension.deadline_ns
        return {"extended": len(works)}

    def find(self, request_id: str) -> list[Work]:
        """Return the requests inside the target that have an id."""
        inside = [*self.running_requests.values(), *self.queued_requests]
        return [work for work in inside if work.request_id == request_id]

    def set_faults(self, request: Request) -> Faults:
        """Set faults."""
        faults = read_json(request, Faults)
        if faults.cold:
            self.completions = 0
        if faults.slow_factor:
            self.slow_factor = faults.slow_factor
            self.slow_until = self.app.clock.monotonic() + faults.seconds
        self.short_answers += faults.short_answer
        self.hangs += faults.hang
        return faults

    def record(self, _request: Request) -> dict[str, Any]:
        """Return what ran and what did not."""
        return {"effects": self.effects, "not_run": self.not_run, "peak_in_flight": self.peak_in_flight}

    def note_report(self) -> None:
        """Keep the present state for a later report."""
        now = self.app.clock.monotonic()
        self.reports.append((now, self.report()))
        while len(self.reports) > 1 and self.reports[1][0] <= now - self.options.report_lag_seconds:
            self.reports.popleft()

    def report(self) -> dict[str, Any]:
        """Return the present state."""
        return {
            "state": "draining" if self.draining else "ready",
            "running": len(self.running_requests),
            "waiting": len(self.queued_requests),
            "slots": self.options.slots,
            "completions": self.completions,
        }

    def lagging_report(self, _request: Request) -> dict[str, Any]:
        """Return the state of the report lag ago, or the oldest known."""
        return self.reports[0][1]


def check_options(options: TargetOptions) -> None:
    """Check the settings that a type cannot."""
    if options.service not in SERVICES:
        raise InvalidArgument(name="service", value=options.service, expected=f"one of {SERVICES}")
    if options.slots < 1:
        raise InvalidArgument(name="slots", value=options.slots, expected="at least 1")


class Announcer(Service):
    """Announces a target to its daemon; announcements after the first answer are the heartbeat.

    Parameters
    ----------
    options : TargetOptions
        Settings.
    interval_seconds : float
        Time between two announcements.
    """

    def __init__(self, options: TargetOptions, interval_seconds: float = ANNOUNCE_INTERVAL_SECONDS) -> None:
        self.service_name = f"announcer-{options.address}"
        super().__init__()
        self.options = options
        self.interval_seconds = interval_seconds
        self.accepted_announcements = 0

    def on_start(self) -> None:
        """Begin to announce."""
        self.app.scheduler.every(self.interval_seconds, self.announce)
        self.announce()

    def announce(self) -> None:
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
            self.on_answer,
        )

    def on_answer(self, result: Result) -> None:
        """Count the announcements that the daemon took."""
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
    """Run a target's stand-in.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on.
    daemon_address : str
        ``ip:port`` of the daemon's HTTP endpoint.
    service : str
        Name of the service.
    slots : int
        Requests that run at once.
    connections : int
        Connection limit that is announced.
    checks_epoch : str
        ``true`` or ``false``: whether requests and grants with an older epoch are refused.
    service_time_ms : float
        Time that a request takes when warm.
    cold_completions : int
        Requests until the target is warm.
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
