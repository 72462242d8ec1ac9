"""Entry point for callers on this VM: routing, target selection, retries and the final response."""

from __future__ import annotations

import math
from collections.abc import Callable

import msgspec

from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.load.retry_budget import RetryBudget
from hibiscusdrum.internal.messages import Answered, Declined, Forward, Withdraw
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.accounts import (
    ENDED_RUN_SECONDS,
    AccountTable,
    Admission,
    Verdict,
    authenticate,
    common_regions,
    only_key,
)
from hibiscusdrum.internal.router.answer_sizes import AnswerSizes
from hibiscusdrum.internal.router.crash_detector import CRASHED_REASON
from hibiscusdrum.internal.router.flight import PendingRequest, TargetFailure
from hibiscusdrum.internal.router.hop import CLOSING_REASON, Forwarder
from hibiscusdrum.internal.router.members import Members
from hibiscusdrum.internal.router.overload import OverloadControl
from hibiscusdrum.internal.router.quarantine import (
    QUARANTINED_REASON,
    SOURCE_RECEIVER,
    CrashRecord,
    Quarantine,
)
from hibiscusdrum.internal.router.quota import RefusedConnections
from hibiscusdrum.internal.router.quota_service import QuotaService
from hibiscusdrum.internal.router.range_owner import RangeOwner
from hibiscusdrum.internal.router.receiver import (
    BUSY_REASON,
    HOP_BY_HOP_HEADERS,
    LATE_REASON,
    LINK_FULL_REASON,
    MISDIRECTED_REASON,
    NOT_OWNER_REASON,
    OVERLOADED_REASON,
    RESTART_SECONDS,
    TOO_LATE_REASON,
    Receiver,
)
from hibiscusdrum.internal.router.request_identity import request_identity
from hibiscusdrum.internal.router.rings import Rings
from hibiscusdrum.internal.router.routes import (
    EMPTY_TABLE,
    KEY_SPACE,
    HeaderNames,
    Route,
    RouteTable,
    WeightedRoundRobin,
)
from hibiscusdrum.internal.router.selection import Candidate, LoadReport, NodeSelector
from hibiscusdrum.internal.router.settings import RouterSettings
from hibiscusdrum.internal.router.target_signals import is_leaving
from hibiscusdrum.internal.transport.descriptor_limits import caller_connection_limit, descriptor_limit
from hibiscusdrum.internal.transport.entry_request import EntryRequest
from hibiscusdrum.internal.transport.http_entry import HttpEntry

# If the configuration is unconfirmed for longer than this, no request is told that the configuration does not
# allow it. The store confirms it each 3 s if nothing delays its answers, and peers several times a second.
MAX_CONFIRMATION_AGE_SECONDS = 4.0
# Longest part of a host or path in a log line.
MAX_LOGGED_CHARACTERS = 100
# Logged as the age of a configuration that was never confirmed.
MAX_LOGGED_AGE_SECONDS = 1e6
# Timeout of a request whose deadline header is missing or invalid.
DEFAULT_TIMEOUT_SECONDS = 10.0
# A key may have leading zeros; far longer texts cannot be converted to a number.
MAX_KEY_DIGITS = 100
# Nodes that may refuse a request before the caller gets a 503. A refusal by a node does not load its target.
MAX_REFUSING_NODES = 4
# A request is not retried with less time than this before its deadline.
MIN_RETRY_REMAINING_SECONDS = 0.05
# Retry-After of a 503 when no node gave an estimate: about the interval between two reports of a target.
DEFAULT_RETRY_AFTER_SECONDS = 0.5
# Retry-After while an entry of the configuration cannot be used: an operator has to write another one.
UNUSABLE_RETRY_AFTER_SECONDS = 5.0
# Retry-After while the owner of the key may not serve the route: the key or the configuration has to change.
OUTSIDE_REGIONS_RETRY_AFTER_SECONDS = 5.0
# Retries of a request whose key has a new owner, and the delay before the owner is looked up again.
MAX_OWNER_RETRIES = 3
OWNER_RETRY_DELAY_SECONDS = 0.2
# Share of the service's retry budget that the router uses. The rest is left for the calls that a retried
# target makes in turn, which count against the budgets of the called services.
RETRY_BUDGET_SHARE = 0.3
# A stopping router takes a request only if this much time, or all of the request's own, is left for it.
MIN_STOP_SERVICE_SECONDS = 1.5
# A target that is told to stop before its caller's deadline gets this long to answer so itself.
EARLY_END_PATIENCE_SECONDS = 0.2
# An owner that leaves serves its keys until its next report, which is due within 1.5 s.
LEAVING_OWNER_SECONDS = 2.0
# A request under which this many targets have crashed is not retried; its caller may send it again.
MAX_CRASHES_TO_RETRY = 2
LEAVING_REASON = "target_leaving"
NO_ROUTE_REASON = "no_route"
UNCONFIRMED_REASON = "configuration_unconfirmed"
OUTSIDE_REGIONS_REASON = "owner_outside_regions"
NO_REGION_REASON = "no_allowed_region"
NO_ACCOUNT_KEY_REASON = "no_account_key"
UNKNOWN_ACCOUNT_KEY_REASON = "unknown_account_key"
ACCOUNT_CHANGED_REASON = "account_changed"
OVER_QUOTA_REASON = "over_quota"
# Sent with each 401, which has to name how to authenticate: by a key in the header of the configuration.
KEY_CHALLENGE = ("www-authenticate", "ApiKey")
OVERLOAD_REASONS = (OVERLOADED_REASON, TOO_LATE_REASON)
THROTTLED_REASON = "throttled"
LINK_CONGESTED_REASON = "link_congested"
SERVER_ERRORS = (500, 502, 503)
FINAL_STATUSES = range(200, 600)
MALFORMED_REASON = "target_malformed"


def first_segment(path: str) -> str:
    """Return the first segment of a path with its slashes."""
    return "/" + path.partition("?")[0].lstrip("/").partition("/")[0] + "/"


class Gateway(Service):
    """Accepts requests from callers on this VM and responds to them.

    Parameters
    ----------
    header_names : HeaderNames
        Names of the headers exchanged with callers and targets.

    Attributes
    ----------
    route_table : RouteTable
        The configuration that is currently active on this node.
    replaced_headers : set of str
        Headers of the caller that are not forwarded, because each hop sets its own.
    pending_requests : set of PendingRequest
        Requests that have no final response yet.
    stopping : bool
        Whether the process is shutting down; connections are then closed after their response.
    service_seconds_left : callable
        Returns the seconds within which requests must end because the process is about to.
    hidden_headers : set of str
        Headers that are not forwarded if the configuration has client accounts.
    refused_connections : RefusedConnections
        Connections of callers that were refused over their quota.
    quota : QuotaService or None
        Gives tokens to requests of accounts that have a quota.
    started_at : float
        Monotonic time in seconds at which the process began to listen.
    closed : bool
        Whether new connections are refused because the process is about to exit.
    routes_active_at : float
        Monotonic time in seconds at which the active configuration came into force.
    confirmed_age : callable
        Returns for how many seconds at most the active configuration has not been known to be the newest.
    """

    service_name = "gateway"

    def __init__(self, settings: RouterSettings, header_names: HeaderNames, selector: NodeSelector) -> None:
        super().__init__()
        self.settings = settings
        self.header_names = header_names
        self.selector = selector
        self.route_table = EMPTY_TABLE
        self.service_choice = WeightedRoundRobin()
        self.replaced_headers = HOP_BY_HOP_HEADERS | {
            header_names.attempt_id,
            header_names.deadline_ms,
            header_names.expected_target,
            header_names.caller,
        }
        self.hidden_headers = self.replaced_headers | {header_names.account_key, header_names.account}
        self.quota: QuotaService | None = None
        self.refused_connections = RefusedConnections()
        self.started_at = -math.inf
        self.pending_requests: set[PendingRequest] = set()
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.overload_control = OverloadControl(selector.rng, settings.cost_aware)
        self.answer_sizes = AnswerSizes()
        self.stopping = False
        self.closed = False
        self.routes_active_at = 0.0
        self.confirmed_age: Callable[[], float] = lambda: 0.0
        self.service_seconds_left: Callable[[], float] = lambda: math.inf

    def on_start(self) -> None:
        """Look up the services this one uses, and listen for callers."""
        self.started_at = self.app.clock.monotonic()
        find = self.app.find
        self.members: Members = find("members")
        self.range_owner: RangeOwner = find("range_owner")
        self.rings: Rings = find("rings")
        self.receiver: Receiver = find("receiver")
        self.quarantine: Quarantine = find("quarantine")
        self.quarantine.on_held.append(self.refuse_held)
        self.forwarder: Forwarder = find("hop")
        self.metrics = find("metrics")
        self.entry: HttpEntry = find("entry")
        max_callers = caller_connection_limit(descriptor_limit(self.settings.max_descriptors))
        self.entry.listen(
            self.settings.caller_address,
            self.on_request,
            max_connections=max_callers,
            on_rejected=self.report_client_error,
        )

    def close(self) -> None:
        """Refuse new connections; requests on open ones are served until the process exits."""
        self.closed = True
        self.entry.stop_listening(self.settings.caller_address)

    def set_route_table(self, table: RouteTable) -> None:
        """Activate a configuration if it is newer than the active one."""
        if table.version <= self.route_table.version:
            return
        previous, self.route_table = self.route_table, table
        self.routes_active_at = self.app.clock.monotonic()
        self.receiver.set_route_table(table)
        self.entry.limits = table.limits
        self.range_owner.set_partitioned(self.settings.service in table.partitioned)
        log_events.emit(
            events.RoutesInForce(
                version=table.version,
                former=previous.version,
                routes=sum(len(routes) for routes in table.by_host.values()),
            )
        )
        if previous.accounts is not None and table.accounts is not None:
            # Before the quotas: requests that wait for a token of an account that has none any more are sent.
            self.check_keys_again(table.accounts)
        if self.quota is not None and (previous.accounts is not None or table.accounts is not None):
            self.quota.set_accounts(table.accounts)

    def check_keys_again(self, accounts: AccountTable) -> None:
        """Withdraw the requests whose keys have been removed or given to other accounts."""
        withdrawn = []
        for pending in self.pending_requests:
            if pending.account is None or pending.inherits_account:
                continue
            key = only_key(pending.request.headers, self.header_names.account_key)
            account = accounts.find(key) if key else None
            if account is None or not account.usable or account.name != pending.account.name:
                withdrawn.append(pending)
        if withdrawn:
            log_events.emit(
                events.RequestsWithdrawn(version=self.route_table.version, requests=len(withdrawn))
            )
        for pending in withdrawn:
            self.withdraw(pending)

    def withdraw(self, pending: PendingRequest) -> None:
        """Have a request refused unless its target has been sent it."""
        pending.withdrawn = True
        forward = pending.forward
        if forward is None:
            self.refuse_withdrawn(pending)
        elif pending.node == self.settings.node:
            self.receiver.withdraw(forward.id)
        elif self.forwarder.has_unsent_body(forward.id):
            self.cancel_forward(pending)
            self.refuse_withdrawn(pending)
        else:
            self.forwarder.send_message(pending.node, Withdraw(forward.id))

    def refuse_withdrawn(self, pending: PendingRequest) -> None:
        """Refuse a request whose key has been removed since it arrived, unless an attempt may have run it."""
        if pending.may_have_run:
            self.answer_failure(pending, 502)
            return
        accounts = self.route_table.accounts
        key = only_key(pending.request.headers, self.header_names.account_key)
        if accounts is None or pending.route.public or (key and accounts.find(key) is not None):
            pending.reason = ACCOUNT_CHANGED_REASON
            self.refuse(pending)
        elif not self.routes_confirmed:
            pending.reason = UNCONFIRMED_REASON
            self.refuse(pending)
        else:
            self.return_token(pending)
            self.report_client_error(pending.request, 401, UNKNOWN_ACCOUNT_KEY_REASON)
            headers = [(self.header_names.attempt_id, pending.attempt_id)] if pending.attempt_id else []
            self.finish(pending, 401, [*headers, KEY_CHALLENGE], b"", UNKNOWN_ACCOUNT_KEY_REASON)

    @property
    def routes_confirmed(self) -> bool:
        """Whether the active configuration is known to have been the newest one a short time ago."""
        return self.confirmed_age() <= MAX_CONFIRMATION_AGE_SECONDS

    def refuse_unsent(self) -> None:
        """Refuse the requests whose bodies are not completely sent, because the process is about to exit."""
        for pending in list(self.pending_requests):
            if pending.forward is not None and self.forwarder.has_unsent_body(pending.forward.id):
                self.cancel_forward(pending)
                pending.reason = "stopping"
                self.refuse(pending)

    def end_unanswered(self) -> None:
        """End the requests whose deadlines the process does not reach, as if they had reached them."""
        for pending in list(self.pending_requests):
            pending.reason = pending.reason or "stopping"
            self.on_deadline(pending)

    def on_request(self, request: EntryRequest) -> None:
        """Match a new request to a route, and dispatch or refuse it."""
        now = self.app.clock.monotonic()
        if self.route_table.version == 0:
            self.refuse_unrouted(request, 503, "no_configuration")
            return
        route = self.route_table.find(request.header("host") or "", request.target)
        if route is None:
            self.refuse_unconfigured(request, 404, NO_ROUTE_REASON)
            return
        admission, regions = None, route.regions
        if self.route_table.accounts is not None:
            admission = self.admit(request, route)
            if admission.verdict is not Verdict.ADMITTED:
                self.refuse_admission(request, admission.verdict)
                return
            if admission.account is not None:
                regions = common_regions(regions, admission.account.regions)
                if regions is None:
                    self.refuse_unrouted(request, 503, NO_REGION_REASON, OUTSIDE_REGIONS_RETRY_AFTER_SECONDS)
                    return
        service = self.service_choice.choose(route) if route.services else ""
        if not service or service in self.route_table.unusable_services:
            reason = "service_unusable" if service else "route_unusable"
            self.refuse_unrouted(request, 503, reason, UNUSABLE_RETRY_AFTER_SECONDS)
            return
        timeout = self.request_timeout(request)
        remaining = min(timeout, route.timeout) if route.timeout > 0.0 else timeout
        available = self.service_seconds_left()
        if self.stopping:
            available -= self.link_seconds(request, route)
        if available < min(remaining, MIN_STOP_SERVICE_SECONDS):
            self.refuse_unrouted(request, 503, "stopping")
            return
        ends_early = available < remaining
        remaining = min(remaining, available)
        pending = PendingRequest(request, route, service, now + remaining, now)
        pending.timeout = timeout
        if admission is not None:
            pending.set_account(admission, regions)
        self.overload_control.on_arrival(pending, now)
        pending.attempt_id = request.header(self.header_names.attempt_id) or ""
        pending.nested = self.is_nested(pending.attempt_id)
        spec = self.route_table.services.get(pending.service)
        if spec is not None and spec.partitioned:
            key = request.header(self.header_names.key) or ""
            if not key.isdecimal() or len(key) > MAX_KEY_DIGITS or int(key) >= KEY_SPACE:
                self.refuse_unconfigured(request, 400, "no_key")
                return
            pending.key = int(key)
        self.pending_requests.add(pending)
        request.on_closed = lambda reason: self.on_connection_closed(pending, reason)
        patience = remaining + EARLY_END_PATIENCE_SECONDS if ends_early else remaining
        pending.timer = self.app.scheduler.call_later(patience, lambda: self.on_deadline(pending))
        self.retry_budget(pending.service).on_request()
        if self.overload_control.refuses(pending, now):
            pending.reason = THROTTLED_REASON
            self.refuse(pending)
        elif pending.account is not None and pending.account.rate and not pending.inherits_account:
            self.dispatch_within_quota(pending)
        else:
            self.dispatch(pending)

    def link_seconds(self, request: EntryRequest, route: Route) -> float:
        """Return the seconds that a large response to a caller needs on the link, with those before it."""
        attempt_id = request.header(self.header_names.attempt_id) or ""
        if not self.answer_sizes.is_bulk(route.name) or self.is_nested(attempt_id):
            return 0.0
        expected = self.answer_sizes.expect(route.name).mean
        return self.forwarder.seconds_for_callers(expected)

    def dispatch_within_quota(self, pending: PendingRequest) -> None:
        """Dispatch a request once there is a token for it, or refuse it."""
        account = pending.account.name

        def decide(wait: float) -> None:
            if pending not in self.pending_requests:
                if not wait:
                    self.quota.give_back(account)
            elif wait:
                self.refuse_over_quota(pending, wait)
            else:
                pending.has_token = True
                self.dispatch(pending)

        if self.quota is None or account not in self.quota.accounts:
            self.dispatch(pending)
        else:
            now = self.app.clock.monotonic()
            returning = self.refused_connections.take(pending.request.connection, now)
            if self.quota.acquire(account, returning or pending.waited_before > 0.0, decide):
                pending.has_token = True
                self.dispatch(pending)

    def refuse_over_quota(self, pending: PendingRequest, wait: float) -> None:
        """Respond that the account of a request has used up its quota for some seconds."""
        log_events.emit(events.QuotaExceeded(account=pending.account_name, wait_s=round(wait, 3)))
        now = self.app.clock.monotonic()
        self.refused_connections.record(pending.request.connection, wait, now)
        self.overload_control.on_refused(pending, wait, now)
        self.report_client_error(pending.request, 429, OVER_QUOTA_REASON)
        headers = [("retry-after", f"{wait:.3f}")]
        if pending.attempt_id:
            headers.append((self.header_names.attempt_id, pending.attempt_id))
        self.finish(pending, 429, headers, b"", OVER_QUOTA_REASON)

    def return_token(self, pending: PendingRequest) -> None:
        """Return the token of a request that has not run and never will."""
        if pending.has_token:
            pending.has_token = False
            self.quota.give_back(pending.account_name)

    def is_nested(self, attempt_id: str) -> bool:
        """Return whether this VM's target sent a request for one that it is running."""
        parent = self.parent_id(attempt_id)
        return bool(parent) and self.receiver.is_running(parent)

    def parent_id(self, attempt_id: str) -> str:
        """Return the attempt id of the run that sent a request, as far as its id tells; empty if none."""
        separator = self.settings.nested_id_separator
        return attempt_id.rpartition(separator)[0] if separator else ""

    def admit(self, request: EntryRequest, route: Route) -> Admission:
        """Return whether a request is admitted, and for which account."""
        names = self.header_names
        key = only_key(request.headers, names.account_key)
        run_account, restarted = None, False
        if key is None and (parent := self.parent_id(request.header(names.attempt_id) or "")):
            run_account = self.receiver.account_of_run(parent)
            restarted = self.app.clock.monotonic() - self.started_at < ENDED_RUN_SECONDS
        return authenticate(self.route_table.accounts, route.public, key, run_account, restarted)

    def refuse_admission(self, request: EntryRequest, verdict: Verdict) -> None:
        """Respond to a request whose key, or lack of one, does not admit it."""
        if verdict is Verdict.UNAUTHORIZED:
            has_key = request.header(self.header_names.account_key)
            reason = UNKNOWN_ACCOUNT_KEY_REASON if has_key else NO_ACCOUNT_KEY_REASON
            self.refuse_unconfigured(request, 401, reason)
        else:
            self.refuse_unrouted(request, 503, verdict.value, UNUSABLE_RETRY_AFTER_SECONDS)

    def request_timeout(self, request: EntryRequest) -> float:
        """Return the caller's timeout in seconds, from its deadline header."""
        try:
            timeout = float(request.header(self.header_names.deadline_ms) or "") / 1000.0
        except ValueError:
            return DEFAULT_TIMEOUT_SECONDS
        return timeout if 0.0 < timeout < float("inf") else DEFAULT_TIMEOUT_SECONDS

    def refuse_unconfigured(self, request: EntryRequest, status: int, reason: str) -> None:
        """Respond that the configuration does not allow a request, or 503 if it may be outdated.

        Callers do not repeat a request that gets a status of 400 to 499.
        """
        if self.routes_confirmed:
            self.refuse_unrouted(request, status, reason)
        else:
            self.refuse_unrouted(request, 503, UNCONFIRMED_REASON)

    def refuse_unrouted(
        self,
        request: EntryRequest,
        status: int,
        reason: str,
        retry_after: float = DEFAULT_RETRY_AFTER_SECONDS,
    ) -> None:
        """Respond with an error to a request that cannot be matched to a service or a key."""
        attempt_id = request.header(self.header_names.attempt_id) or ""
        if status < 500:
            self.report_client_error(request, status, reason)
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
                version=self.route_table.version,
            )
        )
        headers = [(self.header_names.attempt_id, attempt_id)] if attempt_id else []
        if status == 503:
            headers.append(("retry-after", f"{retry_after:.3f}"))
        elif status == 401:
            headers.append(KEY_CHALLENGE)
        request.respond(status, headers, close=self.stopping)

    def report_client_error(
        self, request: EntryRequest, status: int, reason: str, received_bytes: int = 0
    ) -> None:
        """Count and log a status of 400 to 499 that the router itself answers, or rejected input."""
        now = self.app.clock.monotonic()
        unrouted = reason == NO_ROUTE_REASON
        self.metrics.count_client_error(status, reason)
        log_events.emit(
            events.ClientErrorAnswered(
                id=request.header(self.header_names.attempt_id) or "",
                status=status,
                reason=reason,
                version=self.route_table.version,
                version_age_s=round(now - self.routes_active_at, 3),
                confirmed_age_s=round(min(self.confirmed_age(), MAX_LOGGED_AGE_SECONDS), 3),
                host=(request.header("host") or "")[:MAX_LOGGED_CHARACTERS] if unrouted else "",
                prefix=first_segment(request.target)[:MAX_LOGGED_CHARACTERS] if unrouted else "",
                received_bytes=received_bytes,
            )
        )

    def dispatch(self, pending: PendingRequest) -> None:
        """Send a request to the owner of its key, or else to the node that is expected to respond first."""
        if pending.withdrawn:
            self.refuse_withdrawn(pending)
            return
        now = self.app.clock.monotonic()
        if hold := self.hold_seconds(pending):
            self.quarantine.log_refusal(pending.identity, pending.attempt_id)
            self.refuse_quarantined(pending, hold)
            return
        only_if_free = False
        if pending.key >= 0:
            node = self.rings.owner_node(pending.service, pending.key)
            if node is None:
                pending.reason = pending.reason or "no_owner"
                self.refuse(pending)
                return
            if not self.may_serve(node, pending):
                self.refuse_outside_regions(pending)
                return
            if self.members.leaving_seconds(node) > LEAVING_OWNER_SECONDS:
                pending.reason = LEAVING_REASON
                self.refuse(pending)
                return
        else:
            candidates = self.eligible_candidates(pending)
            if pending.service == self.settings.service and self.receiver.reported_rate():
                # Nodes other than this one know little of the wait for the rate limit of this node's target.
                self.selector.on_report(self.settings.node, self.local_load(), now)
            probe = self.overload_control.probing_pays(pending, now)
            selected = self.selector.select(
                candidates,
                len(pending.body),
                now,
                pending.busy_nodes,
                pending.refusing_nodes,
                probe,
                bulk_answer=self.answer_sizes.is_bulk(pending.route.name),
                cost_class=pending.cost_class,
            )
            if selected is None:
                pending.reason = pending.reason or "no_target"
                self.refuse(pending)
                return
            node, only_if_free = selected[0].node, selected[1]
        region = self.members.region_of(node)
        cross_region = region != self.settings.region
        if (
            cross_region
            and not pending.asked_nodes
            and self.overload_control.withholds_from_path(self.selector.path_delay(region), now)
        ):
            pending.reason = LINK_CONGESTED_REASON
            pending.excluded_regions.add(region)
            if pending.key < 0 and self.eligible_candidates(pending):
                self.dispatch(pending)
            else:
                self.refuse(pending)
            return
        self.send_to_node(pending, node, now, only_if_free)

    def hold_seconds(self, pending: PendingRequest) -> float:
        """Return for how many seconds a request is held in quarantine."""
        return self.quarantine.hold_seconds(self.identify(pending)) if self.quarantine.active else 0.0

    def identify(self, pending: PendingRequest) -> bytes:
        """Return the identity of a request."""
        if not pending.identity:
            request = pending.request
            pending.identity = request_identity(
                request.method.decode("latin-1"),
                request.header("host") or "",
                request.target,
                self.settings.service,
                pending.key,
                pending.body,
            )
        return pending.identity

    def known_crashes(self, pending: PendingRequest) -> int:
        """Return the number of crashes of targets under a request that this node knows of."""
        known = self.quarantine.crashes_of(self.identify(pending)) if self.quarantine.active else 0
        return max(known, pending.crashes)

    def refuse_quarantined(self, pending: PendingRequest, hold: float) -> None:
        """Refuse a request that is held in quarantine for some seconds, which the caller is told."""
        pending.reason = QUARANTINED_REASON
        pending.retry_after = hold
        self.refuse(pending)

    def refuse_held(self, identity: bytes, _record: CrashRecord) -> None:
        """Refuse the requests with an identity whose bodies are not completely sent."""
        for pending in list(self.pending_requests):
            forward = pending.forward
            unsent = forward is not None and self.forwarder.has_unsent_body(forward.id)
            if unsent and self.identify(pending) == identity:
                self.cancel_forward(pending)
                self.quarantine.log_refusal(identity, pending.attempt_id)
                self.refuse_quarantined(pending, self.quarantine.hold_seconds(identity))

    def may_serve(self, node: str, pending: PendingRequest) -> bool:
        """Return whether a node is in a region in which a request may be served."""
        regions = pending.regions
        return not regions or self.members.region_of(node) in regions

    def refuse_outside_regions(self, pending: PendingRequest) -> None:
        """Refuse a request because the owner of its key is in a region that its route does not allow."""
        pending.reason = OUTSIDE_REGIONS_REASON
        pending.retry_after = OUTSIDE_REGIONS_RETRY_AFTER_SECONDS
        self.refuse(pending)

    def local_load(self) -> LoadReport:
        """Return the load of this node's target."""
        report = LoadReport(
            *self.receiver.load_report(), self.receiver.reported_rate(), *self.receiver.outlook()
        )
        return msgspec.structs.replace(report, link_seconds=0.0)

    def eligible_candidates(self, pending: PendingRequest) -> list[Candidate]:
        """Return the nodes that may serve a request, without those of its excluded regions."""
        candidates = self.members.candidates(pending.service, pending.regions)
        if not pending.excluded_regions:
            return candidates
        return [entry for entry in candidates if entry.region not in pending.excluded_regions]

    def send_to_node(self, pending: PendingRequest, node: str, now: float, only_if_free: bool) -> None:
        """Forward a request to a node, which may be this one."""
        request = pending.request
        pending.node, pending.sent_at = node, now
        pending.asked_nodes.append(node)
        forward = Forward(
            id=self.forwarder.next_request_id(),
            origin=self.settings.node,
            sent_at=now,
            remaining_seconds=pending.deadline - now,
            goal_remaining_seconds=pending.goal_at - now,
            service=pending.service,
            method=request.method.decode("latin-1"),
            target=request.target,
            headers=self.forwarded_headers(request),
            attempt_id=pending.attempt_id,
            key=pending.key,
            priority=pending.priority,
            repeatable=pending.route.repeatable,
            cost_class=pending.route.name,
            caller=self.settings.service,
            only_if_free=only_if_free,
            nested=pending.nested,
            returning=self.overload_control.is_returning(pending),
            crashes=self.known_crashes(pending),
            account=pending.account_name,
            last_attempt=pending.target_attempts + 1 >= pending.route.attempts,
        )
        pending.forward = forward
        self.selector.on_sent(node, pending.cost_class)

        def reply(answer: Answered | Declined, body: bytes) -> None:
            self.on_reply(pending, forward, answer, body)

        if node == self.settings.node:
            self.receiver.submit(forward, pending.body, reply)
        elif not self.forwarder.send(node, forward, pending.body, reply):
            self.selector.on_failure(node, now)
            closing = self.forwarder.is_closing(node)
            reason, wait = (CLOSING_REASON, RESTART_SECONDS) if closing else ("peer_disconnected", 0.0)
            reply(Declined(forward.id, reason, False, False, wait, (0, 0, 1, 0.15, False)), b"")

    def forwarded_headers(self, request: EntryRequest) -> tuple[tuple[str, str], ...]:
        """Return the headers to forward: the host, and all that are not hop-by-hop or set by the router."""
        host = ("host", request.header("host") or "")
        if self.route_table.accounts is not None:
            return (host, *(entry for entry in request.headers if entry[0] not in self.hidden_headers))
        return (host, *(entry for entry in request.headers if entry[0] not in self.replaced_headers))

    def on_reply(
        self, pending: PendingRequest, forward: Forward, answer: Answered | Declined, body: bytes
    ) -> None:
        """Process the outcome of one attempt."""
        if pending not in self.pending_requests or pending.forward is not forward:
            # The attempt was cancelled, and was counted as ended at that time.
            return
        self.selector.on_ended(pending.node)
        now = self.app.clock.monotonic()
        if pending.node == self.settings.node:
            # The answer of this node's own target does not cross the link between nodes.
            report = msgspec.structs.replace(LoadReport.of(answer), link_seconds=0.0)
            self.selector.on_report(pending.node, report, now)
        if isinstance(answer, Answered) and answer.status not in FINAL_STATUSES:
            # A node of an earlier release passes on any status of its target.
            declined = Declined(forward.id, MALFORMED_REASON, True, True, 0.0, answer.load)
            self.on_declined(pending, declined, now)
        elif isinstance(answer, Answered):
            self.on_answered(pending, forward, answer, body, now)
        else:
            self.on_declined(pending, answer, now)

    def on_answered(
        self, pending: PendingRequest, forward: Forward, answer: Answered, body: bytes, now: float
    ) -> None:
        """Return the target's response to the caller, or retry elsewhere after a retryable server error."""
        pending.target_attempts += 1
        self.answer_sizes.observe(pending.route.name, len(body))
        self.selector.on_class_cost(pending.node, pending.cost_class, answer.class_seconds)
        self.overload_control.on_answered(pending, forward, answer, now)
        if forward.crashes and any(name == self.header_names.signature for name, _ in answer.headers):
            self.quarantine.clear(self.identify(pending), "answered")
        pending.path_seconds = now - pending.sent_at - answer.held_seconds
        if is_leaving(dict(answer.headers), self.header_names):
            self.members.mark_leaving(pending.node, pending.attempt_id)
        if answer.status in SERVER_ERRORS:
            self.selector.on_failure(pending.node, now)
            pending.refusing_nodes.append(pending.node)
            if self.may_retry(pending, now):
                pending.target_failure = TargetFailure(answer, body)
                self.retry(pending, f"status_{answer.status}")
                return
        else:
            self.selector.on_success(pending.node)
        self.finish_answered(pending, answer, body, "answered")

    def finish_answered(self, pending: PendingRequest, answer: Answered, body: bytes, reason: str) -> None:
        """Give a target's answer as the final response."""
        names = {name for name, _ in answer.headers}
        headers = list(answer.headers)
        if self.header_names.attempt_id not in names and pending.attempt_id:
            headers.append((self.header_names.attempt_id, pending.attempt_id))
        self.finish(pending, answer.status, headers, body, reason)

    def on_declined(self, pending: PendingRequest, answer: Declined, now: float) -> None:
        """Send a declined request to another node, or give the final response."""
        if pending.withdrawn:
            pending.may_have_run = pending.may_have_run or answer.may_have_run
            pending.reason = answer.reason
            self.refuse_withdrawn(pending)
            return
        if answer.reason == BUSY_REASON:
            self.overload_control.on_busy(pending, now)
            pending.busy_nodes.append(pending.node)
            self.dispatch(pending)
            return
        pending.reason = answer.reason
        pending.refusing_nodes.append(pending.node)
        if answer.reason in OVERLOAD_REASONS:
            # The declining node was the best of a sample, so other nodes of its region rarely have capacity.
            pending.excluded_regions.add(self.members.region_of(pending.node))
        pending.target_attempts += answer.arrived
        if answer.reason == QUARANTINED_REASON:
            self.quarantine.adopt(self.identify(pending), pending.node, SOURCE_RECEIVER)
            self.refuse_quarantined(pending, answer.retry_after)
            return
        if answer.reason == CRASHED_REASON:
            pending.crashes = max(pending.crashes, pending.forward.crashes + 1)
        if answer.retry_after:
            earliest = pending.retry_after or answer.retry_after
            pending.retry_after = min(earliest, answer.retry_after)
        if answer.may_have_run or answer.reason == LATE_REASON:
            self.selector.on_failure(pending.node, now)
        if answer.may_have_run:
            if self.may_retry(pending, now):
                self.retry(pending, answer.reason)
                return
            self.answer_failure(pending, 502)
            return
        owner_changed = answer.reason == NOT_OWNER_REASON or (
            answer.reason == MISDIRECTED_REASON and self.may_retry(pending, now, executed=False)
        )
        if owner_changed and pending.owner_changes < MAX_OWNER_RETRIES:
            pending.owner_changes += 1
            if answer.owner and answer.owner not in pending.asked_nodes:
                # The previous owner named the new one, so the ring need not be read.
                if self.may_serve(answer.owner, pending):
                    self.send_to_node(pending, answer.owner, now, False)
                else:
                    self.refuse_outside_regions(pending)
                return
            self.app.scheduler.call_later(OWNER_RETRY_DELAY_SECONDS, lambda: self.resolve_owner(pending))
            return
        if (
            pending.key >= 0
            or len(pending.refusing_nodes) >= MAX_REFUSING_NODES
            or (pending.excluded_regions and not self.eligible_candidates(pending))
            or (answer.arrived and not self.may_retry(pending, now, executed=False))
            or pending.deadline - now < MIN_RETRY_REMAINING_SECONDS
        ):
            if answer.reason in (*OVERLOAD_REASONS, LATE_REASON, LINK_FULL_REASON):
                self.overload_control.on_not_served(pending, now)
            self.refuse(pending)
        else:
            self.dispatch(pending)

    def resolve_owner(self, pending: PendingRequest) -> None:
        """Look up the current owner of a request's key, and dispatch the request to it."""
        if pending not in self.pending_requests:
            return
        owner_changed = self.rings.owner_node(pending.service, pending.key) != pending.node
        if owner_changed or not self.members.store_reachable:
            self.dispatch(pending)
        else:
            self.rings.refresh_ring(pending.service, lambda: self.dispatch_if_pending(pending))

    def dispatch_if_pending(self, pending: PendingRequest) -> None:
        """Dispatch a request again unless it has ended meanwhile."""
        if pending in self.pending_requests:
            self.dispatch(pending)

    def may_retry(self, pending: PendingRequest, now: float, executed: bool = True) -> bool:
        """Return whether a request may be sent to another target; if so, charge it to the retry budget.

        Parameters
        ----------
        executed : bool
            Whether the previous target may have run it, so that it must be safe to repeat.
        """
        if pending.withdrawn or (executed and not pending.route.repeatable):
            return False
        if pending.target_attempts >= max(1, pending.route.attempts):
            return False
        if pending.crashes >= MAX_CRASHES_TO_RETRY:
            return False
        if pending.deadline - now < MIN_RETRY_REMAINING_SECONDS:
            return False
        return self.retry_budget(pending.service).try_spend_retry(now)

    def retry(self, pending: PendingRequest, reason: str) -> None:
        """Retry on another target a request that may already have run."""
        pending.may_have_run = True
        log_events.emit(
            events.RequestRepeated(
                id=pending.attempt_id,
                reason=reason,
                node=pending.node,
                arrivals=pending.target_attempts,
                left_s=round(pending.deadline - self.app.clock.monotonic(), 3),
            )
        )
        self.dispatch(pending)

    def retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service, adjusted to the current number of nodes."""
        budget = self.retry_budgets.get(service)
        settings = self.settings
        # The budget is for all nodes together, and each node counts only its own retries.
        slack = settings.retry_slack * RETRY_BUDGET_SHARE / max(1, len(self.members.nodes))
        if budget is None:
            ratio = min(1.0, settings.retry_ratio * RETRY_BUDGET_SHARE)
            budget = self.retry_budgets[service] = RetryBudget(ratio=ratio, burst=max(1.0, slack))
        budget.burst = max(1.0, slack)
        budget.min_tokens_per_second = slack / settings.retry_window
        return budget

    def refuse(self, pending: PendingRequest) -> None:
        """Respond that a request has not run, with a Retry-After, unless an earlier attempt may have run."""
        if pending.may_have_run:
            self.answer_failure(pending, 502)
            return
        self.return_token(pending)
        now = self.app.clock.monotonic()
        wait = pending.retry_after or DEFAULT_RETRY_AFTER_SECONDS
        if pending.key < 0 and pending.reason in (*OVERLOAD_REASONS, THROTTLED_REASON):
            wait = self.overload_control.reserve_return(pending, wait, now)
        self.overload_control.on_refused(pending, wait, now)
        headers = [("retry-after", f"{wait:.3f}")]
        if pending.attempt_id:
            headers.append((self.header_names.attempt_id, pending.attempt_id))
        self.finish(pending, 503, headers, b"", pending.reason)

    def answer_failure(self, pending: PendingRequest, status: int) -> None:
        """Respond with a status that leaves open whether the request has run.

        A failure that a target has answered to an earlier attempt takes precedence, since it tells more.
        """
        failure = pending.target_failure
        if failure is not None:
            self.finish_answered(pending, failure.answer, failure.body, pending.reason)
            return
        headers = [(self.header_names.attempt_id, pending.attempt_id)] if pending.attempt_id else []
        self.finish(pending, status, headers, b"", pending.reason)

    def on_deadline(self, pending: PendingRequest) -> None:
        """Respond with 504 to a request that has reached its deadline."""
        if pending not in self.pending_requests:
            return
        pending.reason = pending.reason or "deadline"
        self.overload_control.on_not_served(pending, self.app.clock.monotonic())
        self.cancel_forward(pending)
        self.answer_failure(pending, 504)

    def on_connection_closed(self, pending: PendingRequest, reason: str) -> None:
        """Cancel a request whose connection was closed by its caller or by this process."""
        if pending not in self.pending_requests:
            return
        self.cancel_forward(pending)
        self.finish(pending, 499, [], b"", reason)

    def cancel_forward(self, pending: PendingRequest) -> None:
        """Cancel the current attempt at the node that has it."""
        forward = pending.forward
        if forward is None:
            return
        self.selector.on_ended(pending.node)
        if pending.node == self.settings.node:
            self.receiver.cancel(forward.id)
        else:
            self.forwarder.cancel(forward.id)

    def finish(
        self, pending: PendingRequest, status: int, headers: list[tuple[str, str]], body: bytes, reason: str
    ) -> None:
        """Log and count the outcome of a request, and respond unless the caller has disconnected."""
        self.pending_requests.discard(pending)
        if pending.timer is not None:
            pending.timer.cancel()
        duration = self.app.clock.monotonic() - pending.arrived_at
        log_events.emit(
            events.RequestEnded(
                id=pending.attempt_id,
                route=pending.route.name,
                service=pending.service,
                status=status,
                reason=reason,
                node=pending.node,
                asked=tuple(pending.asked_nodes),
                took_ms=round(duration * 1000),
                version=self.route_table.version,
                before_ms=round((pending.sent_at - pending.arrived_at) * 1000),
                path_ms=round(pending.path_seconds * 1000),
                limit_ms=round(pending.timeout * 1000),
                waited_ms=round(pending.waited_before * 1000),
                nested=pending.nested,
                allowed_regions=pending.regions,
                account=pending.account_name,
            )
        )
        self.metrics.count_ended(pending.route.name, status, duration)
        if pending.account is not None:
            self.metrics.count_account(pending.account_name, status)
        if status != 499:
            if not pending.nested:
                # The caller of a nested request is the target on this VM.
                pending.request.link_deadline = pending.deadline
            pending.request.respond(status, headers, body, close=self.stopping)

    @property
    def has_pending(self) -> bool:
        """Whether any request has no final response yet."""
        return bool(self.pending_requests)
