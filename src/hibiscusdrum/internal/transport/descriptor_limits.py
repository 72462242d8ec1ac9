"""File descriptors of the process: raises its limit, and bounds the part that callers may take."""

from __future__ import annotations

import resource

from hibiscusdrum.internal import log_events

# Descriptors kept for everything but callers' connections. ZeroMQ takes up to two for each peer; the largest
# system has 490 nodes.
RESERVED_FOR_FILES = 200
RESERVED_FOR_PEERS = 2 * 490
RESERVED_FOR_TARGET = 128
RESERVED_FOR_STORE = 16
RESERVED_FOR_OTHER_LISTENERS = 64
RESERVED_DESCRIPTORS = (
    RESERVED_FOR_FILES
    + RESERVED_FOR_PEERS
    + RESERVED_FOR_TARGET
    + RESERVED_FOR_STORE
    + RESERVED_FOR_OTHER_LISTENERS
)
# Callers' share of a limit that the reserve would take whole or nearly so.
LEAST_CALLER_SHARE = 1.0 / 3.0
UNLIMITED = 1_048_576


def raise_descriptor_limit() -> None:
    """Raise the soft limit of file descriptors to the hard limit; a refusal is logged."""
    soft = hard = 0
    try:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft != hard:
            resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    except (OSError, ValueError) as error:
        log_events.emit(log_events.DescriptorLimitKept(soft=soft, hard=hard, reason=str(error)))


def descriptor_limit(max_descriptors: float = 0.0) -> int:
    """Return the descriptors that this process may open.

    Parameters
    ----------
    max_descriptors : float
        Limit from the settings; 0 when not known.
    """
    try:
        limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    except (OSError, ValueError):
        limit = resource.RLIM_INFINITY
    if limit == resource.RLIM_INFINITY:
        limit = UNLIMITED
    return int(min(limit, max_descriptors or limit))


def caller_connection_limit(descriptors: int) -> int:
    """Return how many of the process's descriptors may be callers' connections."""
    return max(descriptors - RESERVED_DESCRIPTORS, int(descriptors * LEAST_CALLER_SHARE))
