"""Assembles the router: adds its services to an application in the order in which they start."""

from __future__ import annotations

import random

from hibiscusdrum.internal.kernel import Application, Service
from hibiscusdrum.internal.router.answer_sizes import LinkForecast
from hibiscusdrum.internal.router.config_gossip import ConfigGossip
from hibiscusdrum.internal.router.crash_detector import CrashDetector
from hibiscusdrum.internal.router.gateway import Gateway
from hibiscusdrum.internal.router.hop import Forwarder
from hibiscusdrum.internal.router.lease_keeper import LeaseKeeper
from hibiscusdrum.internal.router.local_target import LocalTarget
from hibiscusdrum.internal.router.members import Members
from hibiscusdrum.internal.router.metrics import RouterMetrics
from hibiscusdrum.internal.router.quarantine import Quarantine
from hibiscusdrum.internal.router.quarantine_rows import QuarantineRows
from hibiscusdrum.internal.router.quota_service import QuotaService
from hibiscusdrum.internal.router.range_owner import RangeOwner
from hibiscusdrum.internal.router.readiness import Readiness
from hibiscusdrum.internal.router.receiver import Receiver
from hibiscusdrum.internal.router.ring_replication import RingReplication
from hibiscusdrum.internal.router.rings import Rings
from hibiscusdrum.internal.router.routes import HeaderNames
from hibiscusdrum.internal.router.selection import NodeSelector
from hibiscusdrum.internal.router.settings import RouterSettings
from hibiscusdrum.internal.router.shared_clock import SharedClock
from hibiscusdrum.internal.router.stopping import RouterStopping
from hibiscusdrum.internal.router.store_era import StoreEra
from hibiscusdrum.internal.router.target_signals import is_refusal
from hibiscusdrum.internal.router.traffic import Traffic
from hibiscusdrum.internal.transport.body_memory import BodyMemory
from hibiscusdrum.internal.transport.connect_probe import ConnectProbe
from hibiscusdrum.internal.transport.http_client import HttpClient
from hibiscusdrum.internal.transport.http_entry import EntryPolicy, HttpEntry
from hibiscusdrum.internal.transport.peers import PeerTransport


def target_client(names: HeaderNames, memory: BodyMemory | None = None) -> HttpClient:
    """Return the HTTP client for the target and the platform."""
    return HttpClient(
        names.attempt_id,
        skips_unmatched_responses=True,
        accepts_close_delimited=True,
        requires_request_id=True,
        head_encoding="latin-1",
        is_refusal=lambda response: is_refusal(response.status, response.headers, names),
        memory=memory,
    )


def add_router(
    app: Application, settings: RouterSettings, names: HeaderNames, table: Service, rng: random.Random
) -> Forwarder:
    """Add all services of the router to an application.

    Parameters
    ----------
    app : Application
    settings : RouterSettings
    names : HeaderNames
        Names of the headers exchanged with callers and targets.
    table : Service
        Client of the platform's store, with the service name ``table``.
    rng : random.Random
        Source of randomness for the choice of targets.

    Returns
    -------
    Forwarder
        The service with the incarnation of this process.
    """
    selection = NodeSelector(settings.region, settings.failure_domain, rng, cost_aware=settings.cost_aware)
    memory = BodyMemory(settings.memory_bytes)
    app.add(target_client(names, memory))
    app.add(ConnectProbe())
    app.add(table)
    app.add(PeerTransport(settings.peer_address, b"", requires_handshake=True))
    policy = EntryPolicy(
        settings.parse_turn_seconds,
        settings.processor_share,
        settings.stalled_seconds,
        int(settings.control_connections),
    )
    entry = app.add(HttpEntry(memory, policy))
    app.add(Traffic(settings))
    app.add(LocalTarget(settings))
    members = app.add(Members(settings))
    shared_clock = app.add(SharedClock())
    hop = app.add(Forwarder(settings, selection))
    hop.shared_clock = shared_clock
    hop.memory = memory
    if settings.link_bytes_per_second:
        entry.pacer = hop
    app.add(ConfigGossip(settings, rng))
    app.add(StoreEra())
    app.add(Rings(settings))
    app.add(LeaseKeeper(settings))
    app.add(RangeOwner(settings))
    app.add(RingReplication(settings))
    app.add(RouterMetrics(settings))
    app.add(CrashDetector(settings))
    app.add(Quarantine(settings))
    app.add(QuarantineRows(settings))
    receiver = app.add(Receiver(settings, names))
    receiver.link_forecast = LinkForecast(hop.egress)
    app.add(Gateway(settings, names, selection))
    app.add(QuotaService(settings))
    app.add(Readiness(settings))
    app.add(RouterStopping(settings))
    app.on_started.append(members.notify_rows_changed)
    return hop
