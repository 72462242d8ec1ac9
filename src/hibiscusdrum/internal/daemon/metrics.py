"""OpenTelemetry metrics: histograms for each tenant and class, and gauges of ownership and limits.

Attributes name tenants, classes and failure codes, never keys or contents of requests, because metrics leave
the region.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import REGISTRY, generate_latest

from hibiscusdrum.internal.histograms import HistogramReader, LatencyHistogram
from hibiscusdrum.internal.kernel import Service

# Upper bounds in seconds; 14 ms is the limit for 99 in 100 requests.
LATENCY_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.014, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class Metrics(Service):
    """Instruments of the daemon, scraped at ``/metrics``.

    Parameters
    ----------
    node : str
        Name of this node.
    """

    service_name = "metrics"

    def __init__(self, node: str) -> None:
        super().__init__()
        self.latency = LatencyHistogram("hibiscusdrum.request.latency", LATENCY_BUCKETS)
        self.queue_time = LatencyHistogram("hibiscusdrum.request.queue_time", LATENCY_BUCKETS)
        self.reader = HistogramReader((self.latency, self.queue_time))
        self.provider = MeterProvider(
            metric_readers=[self.reader],
            resource=Resource({"service.name": "hibiscusdrumd", "service.instance.id": node}),
        )
        self.meter = self.provider.get_meter("hibiscusdrum")
        self.refusals = self.meter.create_counter("hibiscusdrum.refusals")

    def on_start(self) -> None:
        """Register the gauges."""
        find = self.app.find
        owned, requests = find("owned"), find("requests")
        self.gauge("slices", lambda: len(owned.row.slices) if owned.row is not None else 0)
        self.gauge("epoch", lambda: owned.epoch)
        self.gauge("lease_valid", lambda: int(find("leases").valid()))
        self.gauge("revision", lambda: find("configuration").revision)
        self.gauge("concurrency_limit", lambda: requests.limiter.limit)
        self.gauge("in_flight", lambda: requests.limiter.in_flight)
        self.gauge("queued", lambda: len(requests.queue))
        peers = find("peers")
        self.counter("control_bytes_sent", lambda: peers.control_bytes_sent)
        self.counter("control_bytes_received", lambda: peers.control_bytes_received)

    def on_stop(self) -> None:
        """End the exporter."""
        self.provider.shutdown()

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Create a gauge that is read at each scrape."""

        def observe(_options: CallbackOptions) -> Iterable[Observation]:
            return [Observation(read())]

        self.meter.create_observable_gauge(f"hibiscusdrum.{name}", callbacks=[observe])

    def counter(self, name: str, read: Callable[[], int]) -> None:
        """Create a counter, in bytes, whose total is read at each scrape."""

        def observe(_options: CallbackOptions) -> Iterable[Observation]:
            return [Observation(read())]

        self.meter.create_observable_counter(f"hibiscusdrum.{name}", callbacks=[observe], unit="By")

    def record_success(self, tenant: str, request_class: str, latency: float, queue_time: float) -> None:
        """Record an answered request; times in seconds."""
        self.latency.record(tenant, request_class, latency)
        self.queue_time.record(tenant, request_class, queue_time)

    def count_failure(self, tenant: str, request_class: str, code: str) -> None:
        """Count a request that ended with an error."""
        self.refusals.add(1, {"tenant": tenant, "class": request_class, "code": code})

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(REGISTRY)
