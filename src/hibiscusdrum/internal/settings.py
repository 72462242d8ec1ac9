"""Settings of the daemon, read from command line flags and environment variables.

``SETTINGS`` describes every setting. ``load`` validates all of them before anything is started and reports
all problems at once, so that an operator can correct them in one attempt.
"""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from hibiscusdrum.errors import InvalidSettings

ENVIRONMENT_PREFIX = "HIBISCUSDRUM_"
HIDDEN = "(hidden)"
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
NAME_EXPECTED = "1 to 63 letters, digits, '.', '_' or '-', beginning with a letter or digit"
ADDRESS_EXPECTED = "ip:port with an IP address that peers can reach and a port from 1 to 65535"
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
# The key is sent in an HTTP header, so only printable ASCII without spaces is allowed.
KEY_PATTERN = re.compile(r"[!-~]{16,256}")
KEY_EXPECTED = "16 to 256 printable ASCII characters without spaces"
# A lease survives the loss of two consecutive renewals.
RENEWALS_PER_TERM = 3


class Problem(msgspec.Struct, frozen=True):
    """One invalid setting.

    Attributes
    ----------
    name : str
        Name of the setting, or the given name if there is no such setting.
    value : str
        The given value; ``(hidden)`` for secrets and unknown names, ``(missing)`` if none was given.
    expected : str
        Description of the accepted values.
    """

    name: str
    value: str
    expected: str

    def __str__(self) -> str:
        return f"{self.name}={self.value}: expected {self.expected}"

    def __repr__(self) -> str:
        return str(self)


class Setting(msgspec.Struct, frozen=True):
    """Description of one setting.

    Attributes
    ----------
    parse : callable
        Converts text to the value; raises ``ValueError`` if the text is malformed.
    default : Any
        Default value; None if the setting is required.
    minimum, maximum : float or None
        Inclusive range of a number.
    expected : str
        Description of the accepted values of a setting that is not a number.
    secret : bool
        Whether the value must not be printed.
    """

    name: str
    parse: Callable[[str], Any]
    type_name: str
    unit: str
    help: str
    default: Any = None
    minimum: float | None = None
    maximum: float | None = None
    expected: str = ""
    secret: bool = False

    @property
    def environment(self) -> str:
        """Name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper()

    @property
    def flag(self) -> str:
        """Command line flag; empty for secrets, since other users can read command lines."""
        return "" if self.secret else "--" + self.name.replace("_", "-")

    @property
    def accepted(self) -> str:
        """Description of the accepted values."""
        return self.expected or f"{self.type_name} from {self.minimum} to {self.maximum}"


def parse_name(text: str) -> str:
    """Validate a name, which becomes part of row keys that use ``/`` and ``@`` as separators."""
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError(text)
    return text


def parse_address(text: str) -> str:
    """Validate ``ip:port`` (IPv6 in brackets); host names, unspecified and multicast IPs are refused."""
    host, separator, port = text.rpartition(":")
    bracketed = host.startswith("[") and host.endswith("]")
    address = ipaddress.ip_address(host[1:-1] if bracketed else host)
    if bracketed != (address.version == 6) or address.is_unspecified or address.is_multicast:
        raise ValueError(text)
    if not separator or not re.fullmatch(r"[0-9]{1,5}", port) or not 1 <= int(port) <= 65535:
        raise ValueError(text)
    return text


def parse_integer(text: str) -> int:
    """Parse a decimal integer; underscores, spaces and a ``+`` sign are refused."""
    if not re.fullmatch(r"-?[0-9]{1,18}", text):
        raise ValueError(text)
    return int(text)


def parse_decimal(text: str) -> float:
    """Parse a decimal number; ``nan``, ``inf`` and exponents are refused."""
    if not re.fullmatch(r"-?[0-9]{1,12}(\.[0-9]{1,12})?", text):
        raise ValueError(text)
    return float(text)


def parse_log_level(text: str) -> str:
    """Validate a log level."""
    if text not in LOG_LEVELS:
        raise ValueError(text)
    return text


def parse_shared_key(text: str) -> bytes:
    """Validate the shared key and return its bytes."""
    if not KEY_PATTERN.fullmatch(text):
        raise ValueError(HIDDEN)
    return text.encode()


def _name(name: str, meaning: str) -> Setting:
    return Setting(name, parse_name, "name", "", meaning, expected=NAME_EXPECTED)


def _address(name: str, meaning: str) -> Setting:
    return Setting(name, parse_address, "address", "ip:port", meaning, expected=ADDRESS_EXPECTED)


def _integer(name: str, unit: str, default: int, minimum: int, maximum: int, meaning: str) -> Setting:
    return Setting(name, parse_integer, "integer", unit, meaning, default, minimum, maximum)


SETTINGS: tuple[Setting, ...] = (
    _name("node", "Identifies this node; unique among all nodes."),
    _name("region", "Region of this node."),
    _name("failure_domain", "Failure domain of this node."),
    _name("service", "Service of this node's target."),
    _address("peer_address", "Address of the ZeroMQ socket for peers and callers."),
    _address("http_address", "Address of the HTTP endpoint for callers, operators and metrics."),
    _address("target_address", "HTTP address of this node's target."),
    _address("store_address", "HTTP address of the platform's table service."),
    Setting(
        "shared_key",
        parse_shared_key,
        "secret",
        "",
        "Key shared by all daemons and operators; signs control messages. Never printed.",
        expected=KEY_EXPECTED,
        secret=True,
    ),
    _integer("lease_term_ms", "ms", 1500, 300, 60_000, "Term of a lease grant; must be equal on all nodes."),
    _integer("renewal_interval_ms", "ms", 400, 50, 20_000, "Time between lease renewals."),
    Setting(
        "clock_margin_percent",
        parse_decimal,
        "number",
        "%",
        "Margin for differences between clock rates, as a share of the lease term.",
        1.0,
        0.1,
        10.0,
    ),
    _integer("table_poll_ms", "ms", 2000, 100, 60_000, "Time between polls of the table for changes."),
    _integer("slots", "requests", 9, 1, 10_000, "Maximum number of requests that the target runs at once."),
    _integer("connections", "connections", 120, 1, 10_000, "Maximum number of connections to the target."),
    _integer("queue_capacity", "requests", 256, 1, 65_536, "Maximum number of requests waiting for a slot."),
    _integer("max_body_bytes", "bytes", 1_048_576, 1, 67_108_864, "Maximum size of a request body."),
    _integer("dedup_window_s", "s", 120, 10, 3600, "Time for which request ids are kept for deduplication."),
    _integer("stop_timeout_s", "s", 20, 1, 600, "Longest wait of a planned stop for requests and the store."),
    Setting(
        "log_level",
        parse_log_level,
        "level",
        "",
        "Lowest level of log events that are written.",
        "INFO",
        expected="one of " + ", ".join(LOG_LEVELS),
    ),
    _integer("rebalance_interval_ms", "ms", 1000, 100, 60_000, "Time between decisions to rebalance slices."),
    _integer(
        "cross_region_bytes_per_second",
        "bytes/s",
        3_750_000,
        1000,
        1_250_000_000,
        "Budget of this deployment for traffic between regions.",
    ),
)
BY_NAME: dict[str, Setting] = {setting.name: setting for setting in SETTINGS}


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """Validated settings; ``SETTINGS`` describes the unit and range of each."""

    node: str
    region: str
    failure_domain: str
    service: str
    peer_address: str
    http_address: str
    target_address: str
    store_address: str
    shared_key: bytes
    lease_term_ms: int
    renewal_interval_ms: int
    clock_margin_percent: float
    table_poll_ms: int
    slots: int
    connections: int
    queue_capacity: int
    max_body_bytes: int
    dedup_window_s: int
    stop_timeout_s: int
    log_level: str
    rebalance_interval_ms: int
    cross_region_bytes_per_second: int

    def public(self) -> dict[str, Any]:
        """Return the settings without secrets, for logs and status."""
        return {s.name: getattr(self, s.name) for s in SETTINGS if not s.secret}

    def __repr__(self) -> str:
        return f"Settings({', '.join(f'{name}={value!r}' for name, value in self.public().items())})"

    def __rich_repr__(self):
        yield from self.public().items()


def load(flags: Mapping[str, Any], environment: Mapping[str, str]) -> Settings:
    """Load the settings; a flag takes precedence over the environment variable.

    Parameters
    ----------
    flags : mapping of str to Any
        Values by setting name; None means that the flag was not given.
    environment : mapping of str to str
        Environment variables; only those that begin with ``HIBISCUSDRUM_`` are read.

    Raises
    ------
    InvalidSettings
        If any value is missing, malformed or out of range, or any name is unknown; lists all problems.
    """
    given = {name: value for name, value in flags.items() if value is not None}
    problems = _unknown_names(given, environment)
    values: dict[str, Any] = {}
    for setting in SETTINGS:
        raw = given.get(setting.name, environment.get(setting.environment))
        try:
            values[setting.name] = _parse_value(setting, raw)
        except ValueError:
            problems.append(_describe_problem(setting, raw))
    problems.extend(_check_relations(values))
    if problems:
        raise InvalidSettings(problems=tuple(problems))
    return Settings(**values)


def _parse_value(setting: Setting, raw: Any) -> Any:
    if raw is None:
        if setting.default is None:
            raise ValueError(setting.name)
        return setting.default
    value = setting.parse(raw.decode("ascii") if isinstance(raw, bytes) else str(raw))
    if setting.minimum is not None and not setting.minimum <= value <= setting.maximum:
        raise ValueError(raw)
    return value


def _describe_problem(setting: Setting, raw: Any) -> Problem:
    if raw is None:
        return Problem(setting.name, "(missing)", setting.accepted)
    return Problem(setting.name, HIDDEN if setting.secret else repr(raw), setting.accepted)


def _unknown_names(given: Mapping[str, Any], environment: Mapping[str, str]) -> list[Problem]:
    """Report unknown names; their values are hidden, since the name may be that of a secret, misspelt."""
    known = {setting.environment for setting in SETTINGS}
    names = [name for name in given if name not in BY_NAME]
    names += [name for name in environment if name.startswith(ENVIRONMENT_PREFIX) and name not in known]
    return [Problem(name, HIDDEN, "the name of a setting") for name in sorted(names)]


def _check_relations(values: Mapping[str, Any]) -> list[Problem]:
    """Check settings that depend on each other; those already found invalid are skipped."""
    problems = []
    term, interval = values.get("lease_term_ms"), values.get("renewal_interval_ms")
    if term and interval and interval * RENEWALS_PER_TERM > term:
        limit = term // RENEWALS_PER_TERM
        expected = f"at most {limit}, a third of lease_term_ms={term}"
        problems.append(Problem("renewal_interval_ms", repr(interval), expected))
    http = values.get("http_address")
    if http and http == values.get("peer_address"):
        problems.append(Problem("http_address", repr(http), "an address other than peer_address"))
    return problems


def describe() -> str:
    """Return the contents of ``docs/settings.md``."""
    lines = [
        "# Settings",
        "",
        "<!-- Generated by `python -m hibiscusdrum.internal.settings`; do not edit. -->",
        "",
        "Each setting is a flag of `hibiscusdrumd` or an environment variable; the flag takes precedence.",
        "Secrets have no flag, since other users of a VM can read command lines. Unknown variables that",
        f"begin with `{ENVIRONMENT_PREFIX}` are refused. `hibiscusdrumd check` reports all problems and does",
        "not start the daemon.",
        "",
        "| setting | flag | environment variable | type | unit | default | accepted | meaning |",
        "|---|---|---|---|---|---|---|---|",
    ]
    lines += [_table_row(setting) for setting in SETTINGS]
    lines += [
        "",
        "`renewal_interval_ms` may be at most a third of `lease_term_ms`, so that",
        f"a lease survives the loss of {RENEWALS_PER_TERM - 1} consecutive renewals.",
        "`peer_address` and `http_address` must differ.",
    ]
    return "\n".join(lines) + "\n"


def _table_row(setting: Setting) -> str:
    flag = f"`{setting.flag}`" if setting.flag else "none"
    default = "required" if setting.default is None else f"`{setting.default}`"
    cells = (
        f"`{setting.name}`",
        flag,
        f"`{setting.environment}`",
        setting.type_name,
        setting.unit or "-",
        default,
        setting.accepted,
        setting.help,
    )
    return "| " + " | ".join(cells) + " |"


if __name__ == "__main__":
    print(describe(), end="")
