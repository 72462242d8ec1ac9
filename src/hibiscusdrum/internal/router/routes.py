"""Routes, services and limits of the active configuration, and the matching of requests to routes."""

from __future__ import annotations

import enum
import itertools

import msgspec

from hibiscusdrum.internal.router.accounts import AccountTable

# Keys of partitioned services are integers from 0 to this, exclusive.
KEY_SPACE = 65_536
# Host of a route that applies to the requests for which no other route exists, whatever their host.
ANY_HOST = ""


class RequestKind(enum.Enum):
    """Kinds of requests, which differ in whether they may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    UPLOAD = "upload"
    DOWNLOAD = "download"


# A download is a read with a large answer, so that running it twice has no further effect.
REPEATABLE_KINDS = frozenset((RequestKind.IDEMPOTENT, RequestKind.DOWNLOAD))


class HeaderNames(msgspec.Struct, frozen=True):
    """Names of the headers that callers, targets and the router exchange, in lower case.

    Attributes
    ----------
    attempt_id : str
        Identifies one attempt of a caller; the response carries it too.
    deadline_ms : str
        Milliseconds that the sender will wait for the response.
    key : str
        Key of a request to a partitioned service.
    signature : str
        Present in a response that was produced by the target.
    expected_target : str
        The only target that may run the request.
    not_run : str
        Present in a response if the target did not run the request.
    caller : str
        Service of the VM from which the request was sent.
    rate_limit : str
        Requests per second that the target accepts from all nodes together, while it states so.
    leaving : str
        Present in all responses of a target that is leaving.
    account_key : str
        Key of a client account, which is read where the request enters and goes no further.
    account : str
        Name of the client account, which the router tells the target.
    load_report : str
        Running and waiting requests and slots of the target, and sometimes how long work takes in percent of
        usual.
    """

    attempt_id: str = "x-attempt-id"
    deadline_ms: str = "x-deadline-ms"
    key: str = "x-key"
    signature: str = "x-signature"
    expected_target: str = "x-expected-target"
    not_run: str = "x-not-run"
    caller: str = "x-caller"
    rate_limit: str = "x-rate-limit"
    leaving: str = "x-leaving"
    account_key: str = "x-account-key"
    account: str = "x-account"
    load_report: str = "x-load-report"


class Route(msgspec.Struct, frozen=True):
    """A rule that sends requests for a host and path prefix to services.

    Attributes
    ----------
    timeout, latency_goal : float
        Seconds; 0 if unlimited.
    priority : int
        0 is the highest priority.
    services : tuple of (str, float)
        Services with their weights; none if the route cannot be used, so that its requests are refused.
    attempts : int
        Maximum number of targets to which one attempt of a caller may be sent.
    regions : tuple of str
        Regions in which requests may be served; all if empty.
    public : bool
        Whether requests need no key of a client account.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    services: tuple[tuple[str, float], ...]
    timeout: float = 0.0
    latency_goal: float = 0.0
    priority: int = 1
    attempts: int = 1
    regions: tuple[str, ...] = ()
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether requests may safely run more than once."""
        return self.kind in REPEATABLE_KINDS


class ServiceSpec(msgspec.Struct, frozen=True):
    """Properties of the targets of a service.

    Attributes
    ----------
    max_connections : int
        Maximum number of connections to one target.
    warmup : float
        Seconds for which a target is cold after a start.
    cold_rate : float
        Requests per second that a cold target can handle; 0 if unlimited.
    partitioned : bool
        Whether each target exclusively owns ranges of keys.
    """

    name: str
    health_path: str = "/healthz"
    max_connections: int = 64
    warmup: float = 0.0
    cold_rate: float = 0.0
    partitioned: bool = False


class EntryLimits(msgspec.Struct, frozen=True):
    """Limits on the size of callers' requests in bytes, and on slow or idle connections in seconds."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 16_777_216
    head_timeout: float = 5.0
    idle_timeout: float = 60.0


# Limits on the reports of the target, on readiness requests and on scrapes of metrics, which those on callers
# must not stop. A report of 65,536 keys that are held or released one by one takes less than 4 MiB.
CONTROL_LIMITS = EntryLimits(max_body_bytes=4 * 1024 * 1024)


class RouteTable(msgspec.Struct, frozen=True):
    """One version of the configuration.

    Attributes
    ----------
    version : int
        Increases with each change; 0 if no configuration is known yet.
    by_host : dict
        Routes by host in lower case, longest prefix first.
    unusable_services : frozenset of str
        Services to which no request may be sent, since their entries cannot be used.
    accounts : AccountTable or None
        Client accounts; None if requests need no key.
    """

    version: int
    by_host: dict[str, tuple[Route, ...]]
    services: dict[str, ServiceSpec]
    limits: EntryLimits = EntryLimits()
    unusable_services: frozenset[str] = frozenset()
    accounts: AccountTable | None = None

    @classmethod
    def build(
        cls,
        version: int,
        routes: list[Route],
        services: list[ServiceSpec],
        limits: EntryLimits | None = None,
        unusable_services: frozenset[str] = frozenset(),
        accounts: AccountTable | None = None,
    ) -> RouteTable:
        """Return a table whose routes are indexed by host and sorted by length of prefix."""
        by_host: dict[str, list[Route]] = {}
        for route in routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        ordered = {
            host: tuple(sorted(entries, key=lambda route: -len(route.prefix)))
            for host, entries in by_host.items()
        }
        specs = {spec.name: spec for spec in services}
        return cls(version, ordered, specs, limits or EntryLimits(), unusable_services, accounts)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest matching prefix, else one of any host, or None.

        Parameters
        ----------
        host : str
            Host header; a port is ignored unless a route names it.
        path : str
            Path with an optional query, which is ignored.
        """
        name = host.lower()
        routes = self.by_host.get(name)
        if routes is None:
            routes = self.by_host.get(name.rpartition(":")[0], ())
        path = path.partition("?")[0]
        for route in itertools.chain(routes, self.by_host.get(ANY_HOST, ())):
            if path.startswith(route.prefix):
                return route
        return None

    @property
    def partitioned(self) -> tuple[str, ...]:
        """Sorted names of the partitioned services."""
        return tuple(sorted(name for name, spec in self.services.items() if spec.partitioned))


EMPTY_TABLE = RouteTable(0, {}, {})


class WeightedRoundRobin:
    """Smooth weighted round robin over the services of each route."""

    __slots__ = ("credits",)

    def __init__(self) -> None:
        self.credits: dict[str, dict[str, float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of a route, in proportion to the weights."""
        if len(route.services) == 1:
            return route.services[0][0]
        credits = self.credits.setdefault(route.name, {})
        total = 0.0
        best = route.services[0][0]
        for service, weight in route.services:
            credits[service] = credits.get(service, 0.0) + weight
            total += weight
            if credits[service] > credits[best]:
                best = service
        credits[best] -= total
        return best
