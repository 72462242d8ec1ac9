"""Adds the router's services to an application, in their order of start."""

from __future__ import annotations

import random

from hibiscusdrum.internal.kernel import Application, Service
from hibiscusdrum.internal.router.gateway import Gateway
from hibiscusdrum.internal.router.hop import Forwarder
from hibiscusdrum.internal.router.lease_keeper import LeaseKeeper
from hibiscusdrum.internal.router.local_target import LocalTarget
from hibiscusdrum.internal.router.members import Members
from hibiscusdrum.internal.router.metrics import RouterMetrics
from hibiscusdrum.internal.router.range_owner import RangeOwner
from hibiscusdrum.internal.router.readiness import Readiness
from hibiscusdrum.internal.router.receiver import Receiver
from hibiscusdrum.internal.router.rings import Rings
from hibiscusdrum.internal.router.routes import HeaderNames
from hibiscusdrum.internal.router.selection import NodeSelector
from hibiscusdrum.internal.router.settings import RouterSettings
from hibiscusdrum.internal.router.stopping import RouterStopping
from hibiscusdrum.internal.router.traffic import Traffic
from hibiscusdrum.internal.transport.http_client import HttpClient
from hibiscusdrum.internal.transport.http_entry import HttpEntry
from hibiscusdrum.internal.transport.peers import PeerTransport


def add_router(
    app: Application, settings: RouterSettings, names: HeaderNames, table: Service, rng: random.Random
) -> Forwarder:
    """Add all services of a router.

    Parameters
    ----------
    names : HeaderNames
        Headers of callers and targets.
    table : Service
        The platform's table under the service name ``table``.

    Returns
    -------
    Forwarder
        The service that names this process's incarnation.
    """
    selection = NodeSelector(settings.region, settings.failure_domain, rng)
    app.add(HttpClient(names.attempt_id, skips_other_answers=True, accepts_unframed=True))
    app.add(table)
    app.add(PeerTransport(settings.peer_address, b""))
    app.add(HttpEntry())
    app.add(Traffic(settings))
    app.add(LocalTarget(settings))
    members = app.add(Members(settings))
    hop = app.add(Forwarder(settings, selection))
    app.add(Rings(settings))
    app.add(LeaseKeeper(settings))
    app.add(RangeOwner(settings))
    app.add(RouterMetrics(settings))
    app.add(Receiver(settings, names))
    app.add(Gateway(settings, names, selection))
    app.add(Readiness(settings))
    app.add(RouterStopping(settings))
    app.on_started.append(members.notify_rows_changed)
    return hop
