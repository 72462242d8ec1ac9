"""OpenTelemetry metrics: histograms by tenant and request class, and gauges of ownership and load limits.

Attributes hold tenants, request classes and error codes, never keys or contents of requests, because metrics
leave the region.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import REGISTRY, generate_latest

from hibiscusdrum.internal.histograms import HistogramReader, LatencyHistogram
from hibiscusdrum.internal.kernel import Service

# Upper bounds; 14 ms is the latency limit for the 99th percentile.
LATENCY_BUCKETS_SECONDS = (0.001, 0.002, 0.005, 0.01, 0.014, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)
PROMETHEUS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class Metrics(Service):
    """Holds the metric instruments of the daemon, which are scraped at ``/metrics``.

    Parameters
    ----------
    node : str
        Name of this node, reported as the service instance.
    """

    service_name = "metrics"

    def __init__(self, node: str) -> None:
        super().__init__()
        self.latency = LatencyHistogram("hibiscusdrum.request.latency", LATENCY_BUCKETS_SECONDS)
        self.queue_time = LatencyHistogram("hibiscusdrum.request.queue_time", LATENCY_BUCKETS_SECONDS)
        self.reader = HistogramReader((self.latency, self.queue_time))
        self.provider = MeterProvider(
            metric_readers=[self.reader],
            resource=Resource({"service.name": "hibiscusdrumd", "service.instance.id": node}),
        )
        self.meter = self.provider.get_meter("hibiscusdrum")
        self.refusals = self.meter.create_counter("hibiscusdrum.refusals")

    def on_start(self) -> None:
        """Create the gauges and counters that read other services."""
        find = self.app.find
        owned, requests = find("owned"), find("requests")
        self.add_gauge("slices", lambda: len(owned.row.slices) if owned.row is not None else 0)
        self.add_gauge("epoch", lambda: owned.epoch)
        self.add_gauge("lease_valid", lambda: int(find("leases").valid()))
        self.add_gauge("revision", lambda: find("configuration").revision)
        self.add_gauge("concurrency_limit", lambda: requests.limiter.limit)
        self.add_gauge("in_flight", lambda: requests.limiter.in_flight)
        self.add_gauge("queued", lambda: len(requests.queue))
        peers = find("peers")
        self.add_byte_counter("control_bytes_sent", lambda: peers.control_bytes_sent)
        self.add_byte_counter("control_bytes_received", lambda: peers.control_bytes_received)

    def on_stop(self) -> None:
        """Shut down the meter provider."""
        self.provider.shutdown()

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Create a gauge whose value is read at each scrape."""

        def observe(_options: CallbackOptions) -> Iterable[Observation]:
            return [Observation(read())]

        self.meter.create_observable_gauge(f"hibiscusdrum.{name}", callbacks=[observe])

    def add_byte_counter(self, name: str, read: Callable[[], int]) -> None:
        """Create a byte counter whose total is read at each scrape."""

        def observe(_options: CallbackOptions) -> Iterable[Observation]:
            return [Observation(read())]

        self.meter.create_observable_counter(f"hibiscusdrum.{name}", callbacks=[observe], unit="By")

    def record_success(self, tenant: str, request_class: str, latency: float, queue_time: float) -> None:
        """Record the latency and the queue time, in seconds, of an answered request."""
        self.latency.record(tenant, request_class, latency)
        self.queue_time.record(tenant, request_class, queue_time)

    def count_failure(self, tenant: str, request_class: str, code: str) -> None:
        """Count a request that ended with an error."""
        self.refusals.add(1, {"tenant": tenant, "class": request_class, "code": code})

    def render_prometheus(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(REGISTRY)
