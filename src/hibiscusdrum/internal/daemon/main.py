"""Assembly and main function of the daemon."""

from __future__ import annotations

import gc

from hibiscusdrum import __version__
from hibiscusdrum.errors import HibiscusdrumError
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.daemon.configuration import Configuration
from hibiscusdrum.internal.daemon.guarding import GuardService
from hibiscusdrum.internal.daemon.handover import HandoverCoordinator
from hibiscusdrum.internal.daemon.http_endpoint import HttpEndpoint
from hibiscusdrum.internal.daemon.leases import LeaseManager
from hibiscusdrum.internal.daemon.link import CrossRegionLink
from hibiscusdrum.internal.daemon.membership import Membership
from hibiscusdrum.internal.daemon.metrics import Metrics
from hibiscusdrum.internal.daemon.owned import OwnedSlices
from hibiscusdrum.internal.daemon.rebalancer import Rebalancer
from hibiscusdrum.internal.daemon.requests import RequestPipeline, target_client
from hibiscusdrum.internal.daemon.stopping import ShutdownCoordinator
from hibiscusdrum.internal.daemon.target import Target
from hibiscusdrum.internal.kernel import Application
from hibiscusdrum.internal.log_output import NonBlockingOutput
from hibiscusdrum.internal.platform.table_client import TableClient
from hibiscusdrum.internal.settings import Settings
from hibiscusdrum.internal.transport.descriptor_limits import raise_descriptor_limit
from hibiscusdrum.internal.transport.peers import PeerTransport

STDERR_FD = 2
# Allocations before a collection of the youngest generation. A request creates few reference cycles, so the
# objects of about 1,000 requests may accumulate.
GC_YOUNG_THRESHOLD = 20_000
# Collections of a generation before the next older one is collected.
GC_OLDER_THRESHOLD = 20


def build(settings: Settings) -> Application:
    """Return the application with all services, added in the order in which they start."""
    app = Application()
    app.add(target_client())
    app.add(TableClient(settings.store_address))
    app.add(PeerTransport(settings.peer_address, settings.shared_key))
    app.add(Membership(settings.node, settings.table_poll_ms / 1000.0))
    app.add(CrossRegionLink(settings))
    app.add(Configuration(settings.node, settings.failure_domain))
    app.add(OwnedSlices(settings.node))
    app.add(Target(settings))
    app.add(LeaseManager(settings))
    app.add(GuardService(settings))
    app.add(HandoverCoordinator(settings))
    app.add(Rebalancer(settings))
    app.add(Metrics(settings.node))
    app.add(RequestPipeline(settings))
    app.add(HttpEndpoint(settings))
    app.add(ShutdownCoordinator(settings))
    target, leases = app.find("target"), app.find("leases")
    target.available_listeners.append(leases.on_target_available)
    target.lost_listeners.append(leases.on_target_lost)
    return app


def tune_garbage_collector() -> None:
    """Keep full garbage collections off the request path.

    The objects that exist at start are never garbage, so they are exempt from collections.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_YOUNG_THRESHOLD, GC_OLDER_THRESHOLD, GC_OLDER_THRESHOLD)


def run(settings: Settings) -> int:
    """Run the daemon until it is stopped; returns its exit code.

    Raises
    ------
    HibiscusdrumError
        If a service could not start, for example ``AddressInUse``.
    """
    log_events.configure(settings.node, settings.log_level, output=NonBlockingOutput(STDERR_FD))
    raise_descriptor_limit()
    app = build(settings)
    tune_garbage_collector()
    started = log_events.Started(
        version=__version__,
        region=settings.region,
        failure_domain=settings.failure_domain,
        service=settings.service,
        peer_address=settings.peer_address,
        http_address=settings.http_address,
    )
    app.on_started.append(lambda: log_events.emit(started))
    app.run()
    if isinstance(app.failure, HibiscusdrumError):
        log_events.emit(log_events.StartFailed(code=app.failure.code, reason=str(app.failure)))
        raise app.failure
    if app.failure is not None:
        log_events.emit(log_events.StartFailed(code="internal_error", reason=type(app.failure).__name__))
        return 1
    return app.exit_code
