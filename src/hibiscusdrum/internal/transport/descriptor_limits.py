"""Raises the limit of file descriptors of the process."""

from __future__ import annotations

import resource

from hibiscusdrum.internal import log_events


def raise_descriptor_limit() -> None:
    """Raise the soft limit of file descriptors to the hard limit; a refusal is logged."""
    soft = hard = 0
    try:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft != hard:
            resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    except (OSError, ValueError) as error:
        log_events.emit(log_events.DescriptorLimitKept(soft=soft, hard=hard, reason=str(error)))
