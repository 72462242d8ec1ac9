"""Requests of the callers on this VM: the choice of a route and a target, repeats, and the final answer."""

from __future__ import annotations

from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.load.retry_budget import RetryBudget
from hibiscusdrum.internal.messages import Answered, Declined, Forward
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.flight import Flight
from hibiscusdrum.internal.router.hop import Hop
from hibiscusdrum.internal.router.members import Members
from hibiscusdrum.internal.router.overload import Overload
from hibiscusdrum.internal.router.range_owner import RangeOwner
from hibiscusdrum.internal.router.receiver import (
    BUSY_REASON,
    HOP_HEADERS,
    LATE_REASON,
    MISDIRECTED_REASON,
    NOT_OWNER_REASON,
    OVERLOADED_REASON,
    TOO_LATE_REASON,
    Receiver,
)
from hibiscusdrum.internal.router.rings import Rings
from hibiscusdrum.internal.router.routes import (
    EMPTY_TABLE,
    KEY_SPACE,
    HeaderNames,
    RouteTable,
    WeightedChoice,
)
from hibiscusdrum.internal.router.selection import Candidate, LoadReport, Selection
from hibiscusdrum.internal.router.settings import RouterSettings
from hibiscusdrum.internal.transport.entry_connection import EntryRequest
from hibiscusdrum.internal.transport.http_entry import HttpEntry

# Time a caller is given when it names none, in seconds.
DEFAULT_LEFT_SECONDS = 10.0
# Nodes that may refuse a request before its caller is refused; a refusal between daemons costs no target
# anything.
MOST_NODES_ASKED = 4
# A request is not sent again with less than this left, in seconds.
SHORTEST_REPEAT_SECONDS = 0.05
# Time after which a caller may come back when nothing better is known: about one report of a target.
RETRY_SECONDS = 0.5
# Times that a request for a key whose owner has just changed is tried again, and the wait in seconds.
MOVED_TRIES = 3
MOVED_WAIT_SECONDS = 0.2
# Share of the service's budget of repeats that the router uses. A repeated run also repeats the calls of its
# target, which count at the called service.
BUDGET_SHARE = 0.3
OVERLOAD_REASONS = (OVERLOADED_REASON, TOO_LATE_REASON)
THROTTLED = "throttled"
LINK_CONGESTED = "link_congested"
SERVER_ERRORS = (500, 502, 503)


class Gateway(Service):
    """Answers the requests of this VM's callers.

    Parameters
    ----------
    names : HeaderNames
        Headers of callers and targets.

    Attributes
    ----------
    table : RouteTable
        The configuration in force here.
    """

    service_name = "gateway"

    def __init__(self, settings: RouterSettings, names: HeaderNames, selection: Selection) -> None:
        super().__init__()
        self.settings = settings
        self.names = names
        self.selection = selection
        self.table = EMPTY_TABLE
        self.weights = WeightedChoice()
        self.own_headers = HOP_HEADERS | {
            names.attempt_id,
            names.deadline_ms,
            names.expected_target,
            names.caller,
        }
        self.flights: set[Flight] = set()
        self.budgets: dict[str, RetryBudget] = {}
        self.overload = Overload(selection.rng)
        self.stopping = False
        self.closed = False

    def on_start(self) -> None:
        """Listen for callers."""
        find = self.app.find
        self.members: Members = find("members")
        self.owner: RangeOwner = find("range_owner")
        self.rings: Rings = find("rings")
        self.receiver: Receiver = find("receiver")
        self.hop: Hop = find("hop")
        self.metrics = find("metrics")
        self.entry: HttpEntry = find("entry")
        self.entry.listen(self.settings.caller_address, self.on_request)

    def close(self) -> None:
        """Refuse new requests and connections, because the process ends when those under way have ended."""
        self.closed = True
        self.entry.stop_listening(self.settings.caller_address)

    def set_table(self, table: RouteTable) -> None:
        """Put a configuration in force; an older one changes nothing."""
        if table.version <= self.table.version:
            return
        former, self.table = self.table, table
        self.receiver.set_table(table)
        self.entry.limits = table.limits
        self.owner.set_partitioned(self.settings.service in table.partitioned)
        log_events.emit(
            events.RoutesInForce(
                version=table.version,
                former=former.version,
                routes=sum(len(routes) for routes in table.by_host.values()),
            )
        )

    def refuse_unsent(self) -> None:
        """Refuse the requests whose bodies no node has asked for, because the process ends."""
        for flight in list(self.flights):
            if flight.forward is not None and self.hop.holds_body(flight.forward.id):
                self.withdraw(flight)
                flight.reason = "stopping"
                self.refuse(flight)

    # A new request

    def on_request(self, request: EntryRequest) -> None:
        """Find the route of a request and send it on its way."""
        now = self.app.clock.monotonic()
        if self.table.version == 0 or self.closed:
            self.refuse_early(request, 503, "stopping" if self.closed else "no_configuration")
            return
        route = self.table.find(request.header("host") or "", request.target)
        if route is None:
            self.refuse_early(request, 404, "no_route")
            return
        limit = self.limit(request)
        left = min(limit, route.timeout) if route.timeout > 0.0 else limit
        flight = Flight(request, route, self.weights.choose(route), now + left, now)
        flight.limit = limit
        self.overload.arrived(flight, now)
        flight.attempt_id = request.header(self.names.attempt_id) or ""
        spec = self.table.services.get(flight.service)
        if spec is not None and spec.partitioned:
            key = request.header(self.names.key) or ""
            if not key.isdecimal() or int(key) >= KEY_SPACE:
                self.refuse_early(request, 400, "no_key")
                return
            flight.key = int(key)
        self.flights.add(flight)
        request.on_closed = lambda: self.on_caller_gone(flight)
        flight.timer = self.app.scheduler.call_later(left, lambda: self.on_deadline(flight))
        self.budget(flight.service).on_request()
        if self.overload.throttled(flight, now):
            flight.reason = THROTTLED
            self.refuse(flight)
        else:
            self.place(flight)

    def limit(self, request: EntryRequest) -> float:
        """Return the seconds for which the caller waits."""
        try:
            limit = float(request.header(self.names.deadline_ms) or "") / 1000.0
        except ValueError:
            return DEFAULT_LEFT_SECONDS
        return limit if 0.0 < limit < float("inf") else DEFAULT_LEFT_SECONDS

    def refuse_early(self, request: EntryRequest, status: int, reason: str) -> None:
        """Answer a request that has no route or no key."""
        attempt_id = request.header(self.names.attempt_id) or ""
        log_events.emit(
            events.RequestEnded(
                id=attempt_id,
                route="",
                service="",
                status=status,
                reason=reason,
                node="",
                asked=(),
                took_ms=0,
                version=self.table.version,
            )
        )
        headers = [(self.names.attempt_id, attempt_id)] if attempt_id else []
        if status == 503:
            headers.append(("retry-after", f"{RETRY_SECONDS:.3f}"))
        request.respond(status, headers, close=self.closed)

    # Placing

    def place(self, flight: Flight) -> None:
        """Send a request to the owner of its key, or to the node that probably answers first."""
        now = self.app.clock.monotonic()
        only_if_free = False
        if flight.key >= 0:
            node = self.rings.owner_node(flight.service, flight.key)
            if node is None:
                flight.reason = flight.reason or "no_owner"
                self.refuse(flight)
                return
        else:
            candidates = self.open_candidates(flight)
            tries = self.overload.tries_pay(flight, now)
            placed = self.selection.place(
                candidates, len(flight.body), now, flight.busy, flight.refused, tries
            )
            if placed is None:
                flight.reason = flight.reason or "no_target"
                self.refuse(flight)
                return
            node, only_if_free = placed[0].node, placed[1]
        region = self.members.region(node)
        far = region != self.settings.region
        if far and not flight.asked and self.overload.held_back(self.selection.path(region), now):
            flight.reason = LINK_CONGESTED
            flight.full_regions.add(region)
            if flight.key < 0 and self.open_candidates(flight):
                self.place(flight)
            else:
                self.refuse(flight)
            return
        self.send(flight, node, now, only_if_free)

    def open_candidates(self, flight: Flight) -> list[Candidate]:
        """Return the nodes that may serve a request, those of regions without room for it left out."""
        candidates = self.members.candidates(flight.service, flight.route.regions)
        if not flight.full_regions:
            return candidates
        return [entry for entry in candidates if entry.region not in flight.full_regions]

    def send(self, flight: Flight, node: str, now: float, only_if_free: bool) -> None:
        """Pass a request to a node."""
        request = flight.request
        flight.node, flight.sent_at = node, now
        flight.asked.append(node)
        forward = Forward(
            id=self.hop.next_id(),
            origin=self.settings.node,
            sent_at=now,
            left=flight.deadline - now,
            goal_left=flight.goal - now,
            service=flight.service,
            method=request.method.decode("latin-1"),
            target=request.target,
            headers=self.forwarded_headers(request),
            attempt_id=flight.attempt_id,
            key=flight.key,
            priority=flight.route.priority,
            repeatable=flight.route.repeatable,
            cost_class=flight.route.name,
            caller=self.settings.service,
            only_if_free=only_if_free,
        )
        flight.forward = forward
        self.selection.sent(node)

        def reply(answer: Answered | Declined, body: bytes) -> None:
            self.on_reply(flight, forward, answer, body)

        if node == self.settings.node:
            self.receiver.submit(forward, flight.body, reply)
        elif not self.hop.send(node, forward, flight.body, reply):
            self.selection.failed(node, now)
            reply(Declined(forward.id, "peer_disconnected", False, False, 0.0, (0, 0, 1, 0.15, False)), b"")

    def forwarded_headers(self, request: EntryRequest) -> tuple[tuple[str, str], ...]:
        """Return the headers that are passed on: the host, and all but those that are set anew."""
        host = ("host", request.header("host") or "")
        return (host, *(entry for entry in request.headers if entry[0] not in self.own_headers))

    # Outcomes

    def on_reply(self, flight: Flight, forward: Forward, answer: Answered | Declined, body: bytes) -> None:
        """Take the outcome of one try."""
        if flight not in self.flights or flight.forward is not forward:
            # The request was withdrawn, and counted as ended then.
            return
        self.selection.ended(flight.node)
        now = self.app.clock.monotonic()
        if flight.node == self.settings.node:
            self.selection.reported(flight.node, LoadReport(*answer.load), now)
        if isinstance(answer, Answered):
            self.on_answered(flight, forward, answer, body, now)
        else:
            self.on_declined(flight, answer, now)

    def on_answered(
        self, flight: Flight, forward: Forward, answer: Answered, body: bytes, now: float
    ) -> None:
        """Pass the target's answer on; a failure of a request that may be repeated is tried elsewhere."""
        flight.arrivals += 1
        self.overload.answered(flight, forward, answer, now)
        flight.path = now - flight.sent_at - answer.held
        if answer.status in SERVER_ERRORS:
            self.selection.failed(flight.node, now)
            flight.refused.append(flight.node)
            if self.may_repeat(flight, now):
                self.repeat(flight, f"status_{answer.status}")
                return
        else:
            self.selection.succeeded(flight.node)
        names = {name for name, _ in answer.headers}
        headers = list(answer.headers)
        if self.names.attempt_id not in names and flight.attempt_id:
            headers.append((self.names.attempt_id, flight.attempt_id))
        self.end(flight, answer.status, headers, body, "answered")

    def on_declined(self, flight: Flight, answer: Declined, now: float) -> None:
        """Try another node, or give the final answer."""
        if answer.reason == BUSY_REASON:
            self.overload.turned_away(flight, now)
            flight.busy.append(flight.node)
            self.place(flight)
            return
        flight.reason = answer.reason
        flight.refused.append(flight.node)
        if answer.reason in OVERLOAD_REASONS:
            # The node that was asked was the best of a sample, so others of its region rarely have room.
            flight.full_regions.add(self.members.region(flight.node))
        flight.arrivals += answer.arrived
        if answer.retry_after:
            known = flight.retry_after or answer.retry_after
            flight.retry_after = min(known, answer.retry_after)
        if answer.may_have_run or answer.reason == LATE_REASON:
            self.selection.failed(flight.node, now)
        if answer.may_have_run:
            if self.may_repeat(flight, now):
                self.repeat(flight, answer.reason)
                return
            self.fail(flight, 502)
            return
        moved = answer.reason == NOT_OWNER_REASON or (
            answer.reason == MISDIRECTED_REASON and self.may_repeat(flight, now, ran=False)
        )
        if moved and flight.moved < MOVED_TRIES:
            flight.moved += 1
            if answer.owner and answer.owner not in flight.asked:
                # The former owner knows the new one without a read of the ring.
                self.send(flight, answer.owner, now, False)
                return
            self.app.scheduler.call_later(MOVED_WAIT_SECONDS, lambda: self.find_owner(flight))
            return
        if (
            flight.key >= 0
            or len(flight.refused) >= MOST_NODES_ASKED
            or (flight.full_regions and not self.open_candidates(flight))
            or (answer.arrived and not self.may_repeat(flight, now, ran=False))
            or flight.deadline - now < SHORTEST_REPEAT_SECONDS
        ):
            if answer.reason in OVERLOAD_REASONS or answer.reason == LATE_REASON:
                self.overload.not_served(flight, now)
            self.refuse(flight)
        else:
            self.place(flight)

    def find_owner(self, flight: Flight) -> None:
        """Learn who owns the key of a request now, and place the request again."""
        if flight not in self.flights:
            return
        moved = self.rings.owner_node(flight.service, flight.key) != flight.node
        if moved or not self.members.reachable:
            self.place(flight)
        else:
            self.rings.refresh(flight.service, lambda: self.place_again(flight))

    def place_again(self, flight: Flight) -> None:
        """Place a request whose key had moved."""
        if flight in self.flights:
            self.place(flight)

    def may_repeat(self, flight: Flight, now: float, ran: bool = True) -> bool:
        """Return whether a request may be sent to one more target, within the budget of its service."""
        if ran and not flight.route.repeatable:
            return False
        if flight.arrivals >= max(1, flight.route.attempts):
            return False
        if flight.deadline - now < SHORTEST_REPEAT_SECONDS:
            return False
        return self.budget(flight.service).may_retry(now)

    def repeat(self, flight: Flight, reason: str) -> None:
        """Send a request that may have run to another target."""
        flight.uncertain = True
        log_events.emit(
            events.RequestRepeated(
                id=flight.attempt_id,
                reason=reason,
                node=flight.node,
                arrivals=flight.arrivals,
                left_s=round(flight.deadline - self.app.clock.monotonic(), 3),
            )
        )
        self.place(flight)

    def budget(self, service: str) -> RetryBudget:
        """Return the budget of requests that are sent to a second target."""
        budget = self.budgets.get(service)
        settings = self.settings
        # All nodes draw on one budget, and each knows only its own repeats.
        slack = settings.retry_slack * BUDGET_SHARE / max(1, len(self.members.nodes))
        if budget is None:
            ratio = min(1.0, settings.retry_ratio * BUDGET_SHARE)
            budget = self.budgets[service] = RetryBudget(ratio=ratio, burst=max(1.0, slack))
        budget.burst = max(1.0, slack)
        budget.minimum_rate = slack / settings.retry_window
        return budget

    # Final answers

    def refuse(self, flight: Flight) -> None:
        """Answer that a request has not run, and when to come back."""
        if flight.uncertain:
            self.fail(flight, 502)
            return
        wait = flight.retry_after or RETRY_SECONDS
        self.overload.refused(flight, wait, self.app.clock.monotonic())
        headers = [("retry-after", f"{wait:.3f}")]
        if flight.attempt_id:
            headers.append((self.names.attempt_id, flight.attempt_id))
        self.end(flight, 503, headers, b"", flight.reason)

    def fail(self, flight: Flight, status: int) -> None:
        """Answer that the outcome is not known."""
        headers = [(self.names.attempt_id, flight.attempt_id)] if flight.attempt_id else []
        self.end(flight, status, headers, b"", flight.reason)

    def on_deadline(self, flight: Flight) -> None:
        """Give up on a request whose time has passed."""
        if flight not in self.flights:
            return
        flight.reason = flight.reason or "deadline"
        self.overload.not_served(flight, self.app.clock.monotonic())
        self.withdraw(flight)
        self.fail(flight, 504)

    def on_caller_gone(self, flight: Flight) -> None:
        """Withdraw a request whose caller has closed the connection."""
        if flight not in self.flights:
            return
        self.withdraw(flight)
        self.end(flight, 499, [], b"", "caller_gone")

    def withdraw(self, flight: Flight) -> None:
        """Tell whoever has the request that nobody waits for it."""
        forward = flight.forward
        if forward is None:
            return
        self.selection.ended(flight.node)
        if flight.node == self.settings.node:
            self.receiver.cancel(forward.id)
        else:
            self.hop.cancel(forward.id)

    def end(
        self, flight: Flight, status: int, headers: list[tuple[str, str]], body: bytes, reason: str
    ) -> None:
        """Give the final answer."""
        self.flights.discard(flight)
        if flight.timer is not None:
            flight.timer.cancel()
        took = self.app.clock.monotonic() - flight.begun_at
        log_events.emit(
            events.RequestEnded(
                id=flight.attempt_id,
                route=flight.route.name,
                service=flight.service,
                status=status,
                reason=reason,
                node=flight.node,
                asked=tuple(flight.asked),
                took_ms=round(took * 1000),
                version=self.table.version,
                before_ms=round((flight.sent_at - flight.begun_at) * 1000),
                path_ms=round(flight.path * 1000),
                limit_ms=round(flight.limit * 1000),
                waited_ms=round(flight.waited * 1000),
            )
        )
        self.metrics.ended(flight.route.name, status, took)
        if status != 499:
            flight.request.respond(status, headers, body, close=self.stopping)

    @property
    def busy(self) -> bool:
        """Whether a caller waits for an answer."""
        return bool(self.flights)
