"""Settings file of the platform, with lines ``a.b=value``, and its conversion to the router's settings."""

from __future__ import annotations

from pathlib import Path

from hibiscusdrum.errors import InvalidSettings
from hibiscusdrum.internal.router.settings import RouterSettings
from hibiscusdrum.internal.settings import Problem

BOOT_VARIABLE = "HIBISCUSDRUM_BOOT"
# The router's ports, as offsets into the port range that the platform assigns to it.
PEER_PORT_OFFSET = 0
METRICS_PORT_OFFSET = 1
BOOLEANS = {"true": True, "false": False}
BYTES_PER_MEGABIT = 125_000.0
BYTES_PER_MEGABYTE = 1024.0 * 1024.0
# A target's own requests have the attempt id of the request being run, this, and an id of their own.
NESTED_ID_SEPARATOR = "."


def read_boot_file(path: str) -> dict[str, str]:
    """Parse a settings file; lines without ``=`` and those that begin with ``#`` are ignored.

    Raises
    ------
    InvalidSettings
        If the file cannot be read.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        problem = Problem(BOOT_VARIABLE, path, f"a readable file ({error})")
        raise InvalidSettings(problems=(problem,)) from error
    values = {}
    for line in text.splitlines():
        name, separator, value = line.strip().partition("=")
        if separator and not name.startswith("#"):
            values[name.strip()] = value.strip()
    return values


def router_settings(values: dict[str, str]) -> RouterSettings:
    """Convert the platform's settings to the router's.

    Raises
    ------
    InvalidSettings
        If values are missing or malformed; the error lists all of them.
    """
    problems: list[Problem] = []
    bounds = dict(part.partition("=")[::2] for part in values.get("bounds", "").split(",") if "=" in part)

    def parse_number(source: dict[str, str], name: str, default: float) -> float:
        text = source.get(name, "")
        try:
            return float(text) if text else default
        except ValueError:
            problems.append(Problem(name, text, "a number"))
            return default

    def parse_boolean(name: str, default: bool) -> bool:
        text = values.get(name, "")
        if text and text not in BOOLEANS:
            problems.append(Problem(name, text, "true or false"))
        return BOOLEANS.get(text, default)

    first_port = values.get("portRange", "").partition(",")[0]
    if not first_port.isdecimal():
        problems.append(Problem("portRange", values.get("portRange", "(missing)"), "two ports"))
        first_port = "1"
    ip = values.get("ip", "")
    settings = RouterSettings(
        node=values.get("node", ""),
        region=values.get("region", ""),
        failure_domain=values.get("zone", ""),
        service=values.get("service", ""),
        target_address=values.get("appAddr", ""),
        caller_address=values.get("listen.outbound", ""),
        ready_address=values.get("listen.ready", ""),
        target_control_address=values.get("listen.control", ""),
        peer_address=f"{ip}:{int(first_port) + PEER_PORT_OFFSET}",
        metrics_address=f"{ip}:{int(first_port) + METRICS_PORT_OFFSET}",
        store_address=values.get("provider.addr", ""),
        heartbeat=parse_number(values, "heartbeatS", 1.0),
        longest_hold=parse_number(bounds, "holdMaxS", 10.0),
        grace=parse_number(bounds, "graceS", 6.0),
        evacuation_period=parse_number(bounds, "evacuateS", 5.0),
        retry_ratio=parse_number(bounds, "budgetRatio", 0.2),
        retry_slack=parse_number(bounds, "budgetSlack", 60.0),
        retry_window=parse_number(bounds, "budgetWindowS", 10.0),
        cold_factor=parse_number(bounds, "coldOver", 1.0),
        cold_slack=parse_number(bounds, "coldSlack", 0.0),
        quota_window=parse_number(bounds, "quotaWindowS", 5.0),
        quota_over=parse_number(bounds, "quotaOver", 0.1),
        quota_slack=parse_number(bounds, "quotaSlack", 20.0),
        cost_aware=parse_boolean("costAware", False),
        nested_id_separator=NESTED_ID_SEPARATOR,
        memory_bytes=parse_number(values, "limits.memoryMb", 0.0) * BYTES_PER_MEGABYTE,
        max_descriptors=parse_number(values, "limits.maxFds", 0.0),
        target_body_bytes=parse_number(values, "limits.targetBodyMb", 0.0) * BYTES_PER_MEGABYTE,
        parse_turn_seconds=parse_number(values, "router.parseTurnS", 0.01),
        processor_share=parse_number(values, "router.processorShare", 0.05),
        stalled_seconds=parse_number(values, "router.stalledS", 3.0),
        control_connections=parse_number(values, "router.controlConnections", 20.0),
        link_bytes_per_second=parse_number(values, "limits.linkMbps", 0.0) * BYTES_PER_MEGABIT,
    )
    try:
        settings.validated()
    except InvalidSettings as error:
        problems.extend(error.problems)
    if problems:
        raise InvalidSettings(problems=tuple(problems))
    return settings
