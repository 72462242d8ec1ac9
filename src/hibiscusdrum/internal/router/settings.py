"""Settings of the router's processes; whoever starts the router fills them in."""

from __future__ import annotations

import msgspec

from hibiscusdrum.errors import InvalidSettings
from hibiscusdrum.internal.settings import Problem, parse_address

DEFAULT_HEARTBEAT_SECONDS = 1.0
DEFAULT_HOLD_SECONDS = 10.0
DEFAULT_GRACE_SECONDS = 6.0
DEFAULT_RETRY_RATIO = 0.2


class RouterSettings(msgspec.Struct, frozen=True):
    """Names, addresses and limits of one node.

    Attributes
    ----------
    target_address : str
        ``ip:port`` of the target on this VM.
    caller_address, ready_address, target_control_address : str
        Where callers of this VM send requests, where readiness is asked, and where the target reports.
    peer_address : str
        Where other daemons reach this one.
    metrics_address : str
        Where metrics are served; empty when nowhere.
    store_address : str
        Address of the platform's store.
    heartbeat : float
        Seconds between two reports of the target.
    longest_hold : float
        Seconds for which a target may hold keys without a renewal.
    grace : float
        Seconds from a stop signal to the end of the process.
    retry_ratio, retry_slack, retry_window : float
        Requests sent to a second target: a share of all, and a number in so many seconds for all nodes.
    cold_factor, cold_slack : float
        A target that bears R requests a second while cold tolerates ``R * cold_factor + cold_slack`` in one.
    link_bytes_per_second : float
        Rate of this VM's link; 0 when not known.
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
    retry_ratio: float = DEFAULT_RETRY_RATIO
    retry_slack: float = 60.0
    retry_window: float = 10.0
    cold_factor: float = 1.0
    cold_slack: float = 0.0
    link_bytes_per_second: float = 0.0
    log_level: str = "INFO"

    def validated(self) -> RouterSettings:
        """Return the settings.

        Raises
        ------
        InvalidSettings
            If some are missing or malformed; all of them are named.
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
        if problems:
            raise InvalidSettings(problems=tuple(problems))
        return self
