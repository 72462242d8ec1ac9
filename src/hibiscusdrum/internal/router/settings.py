"""Settings of one router process, supplied by the program that starts it."""

from __future__ import annotations

import msgspec

from hibiscusdrum.errors import InvalidSettings
from hibiscusdrum.internal.settings import Problem, parse_address

DEFAULT_HEARTBEAT_SECONDS = 1.0
DEFAULT_HOLD_SECONDS = 10.0
DEFAULT_GRACE_SECONDS = 6.0
DEFAULT_RETRY_RATIO = 0.2
DEFAULT_EVACUATION_SECONDS = 5.0


class RouterSettings(msgspec.Struct, frozen=True):
    """Names, addresses and limits of one node. Addresses have the form ``ip:port``.

    Attributes
    ----------
    service : str
        Service of the target on this VM.
    target_address : str
        Where the target on this VM serves requests.
    caller_address : str
        Where this process accepts requests of callers on this VM.
    ready_address : str
        Where this process answers readiness requests.
    target_control_address : str
        Where this process receives heartbeats of the target.
    peer_address : str
        Where this process accepts connections of other nodes.
    store_address : str
        Address of the platform's store.
    metrics_address : str
        Where metrics are served; empty to serve none.
    heartbeat : float
        Seconds between two heartbeats of the target.
    longest_hold : float
        Longest time in seconds of one grant to the target.
    grace : float
        Seconds from a stop signal until the process is killed.
    evacuation_period : float
        Seconds for which targets of a failure domain may get requests after its evacuation has begun.
    retry_ratio : float
        Share of requests that may be retried at another target.
    retry_slack, retry_window : float
        Further retries that all nodes together may make: ``retry_slack`` in ``retry_window`` seconds.
    cold_factor, cold_slack : float
        A target that sustains R requests per second while cold accepts up to
        ``R * cold_factor + cold_slack`` within one second.
    link_bytes_per_second : float
        Bandwidth of this VM's link; 0 when not known.
    memory_bytes : float
        Memory that this process may use; 0 when not known.
    max_descriptors : float
        File descriptors that this process may open, besides the limit of the system; 0 when not known.
    quota_window, quota_over, quota_slack : float
        Tolerance of the quotas of client accounts: in any ``quota_window`` seconds, as many requests as the
        rate and the burst allow, ``quota_over`` times as many more, and ``quota_slack``.
    target_body_bytes : float
        Bytes of request bodies that the target may hold at the same time; further ones wait, unless it holds
        none. 0 for a quarter of ``memory_bytes``, 64 MiB at most and if the memory is not known.
    parse_turn_seconds : float
        Processor time in seconds for which callers' input is parsed in one turn of the event loop.
    processor_share : float
        Share of the processor that the input of one connection may take for long without waiting for others.
    stalled_seconds : float
        Time in seconds without progress after which a caller's connection is given up first when memory or
        connections are short.
    control_connections : float
        Connections to each of the addresses for readiness, reports and metrics.
    nested_id_separator : str
        Follows the attempt id of the request being run in the attempt ids of its target's own requests; empty
        if the platform's ids do not tell these apart.
    cost_aware : bool
        Whether targets are chosen, and requests queued and refused, by the expected cost of requests instead
        of their number.
    """

    node: str
    region: str
    failure_domain: str
    service: str
    target_address: str
    caller_address: str
    ready_address: str
    target_control_address: str
    peer_address: str
    store_address: str
    metrics_address: str = ""
    heartbeat: float = DEFAULT_HEARTBEAT_SECONDS
    longest_hold: float = DEFAULT_HOLD_SECONDS
    grace: float = DEFAULT_GRACE_SECONDS
    evacuation_period: float = DEFAULT_EVACUATION_SECONDS
    retry_ratio: float = DEFAULT_RETRY_RATIO
    retry_slack: float = 60.0
    retry_window: float = 10.0
    cold_factor: float = 1.0
    cold_slack: float = 0.0
    link_bytes_per_second: float = 0.0
    memory_bytes: float = 0.0
    max_descriptors: float = 0.0
    quota_window: float = 5.0
    quota_over: float = 0.1
    quota_slack: float = 20.0
    parse_turn_seconds: float = 0.01
    processor_share: float = 0.05
    stalled_seconds: float = 3.0
    control_connections: float = 20.0
    nested_id_separator: str = ""
    target_body_bytes: float = 0.0
    cost_aware: bool = False
    log_level: str = "INFO"

    def validated(self) -> RouterSettings:
        """Return these settings after a check.

        Raises
        ------
        InvalidSettings
            If any setting is missing or malformed; lists all of them.
        """
        problems = [
            Problem(name, "(missing)", "a name")
            for name in ("node", "region", "failure_domain", "service")
            if not getattr(self, name)
        ]
        for name in self.__struct_fields__:
            value = getattr(self, name)
            if name.endswith("_address") and (value or name != "metrics_address"):
                try:
                    parse_address(value)
                except ValueError:
                    problems.append(Problem(name, str(value), "ip:port"))
            elif isinstance(value, float) and not value >= 0.0:
                problems.append(Problem(name, str(value), "a number from 0"))
        if not self.parse_turn_seconds > 0.0:
            problems.append(Problem("parse_turn_seconds", str(self.parse_turn_seconds), "a number above 0"))
        if not self.control_connections >= 1.0:
            problems.append(Problem("control_connections", str(self.control_connections), "at least 1"))
        if problems:
            raise InvalidSettings(problems=tuple(problems))
        return self
