"""Counters and latency histograms of the router, served in the Prometheus text format."""

from __future__ import annotations

from bisect import bisect_left

from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.router.quarantine import Quarantine
from hibiscusdrum.internal.router.routes import CONTROL_LIMITS
from hibiscusdrum.internal.router.settings import RouterSettings
from hibiscusdrum.internal.router.traffic import DELAY_BOUNDS_SECONDS, Traffic
from hibiscusdrum.internal.router.unreadable import unreadable_entries
from hibiscusdrum.internal.transport.entry_request import EntryRequest

# Upper bounds of the latency histogram, from one hop within a failure domain to the longest deadline.
LATENCY_BOUNDS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0)
# Age that is reported for a configuration that was never confirmed.
MAX_AGE_SECONDS = 1e6
# Client accounts with counters of their own; the others share one.
MAX_COUNTED_ACCOUNTS = 200
OTHER_ACCOUNTS = "(other)"
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class RouterMetrics(Service):
    """Counts requests by route and outcome, and serves all metrics of the router."""

    service_name = "metrics"

    def __init__(self, settings: RouterSettings) -> None:
        super().__init__()
        self.settings = settings
        self.request_counts: dict[tuple[str, int], int] = {}
        self.latency_buckets: dict[str, list[int]] = {}
        self.latency_sums: dict[str, float] = {}
        self.account_counts: dict[str, dict[int, int]] = {}
        self.decline_counts: dict[tuple[str, str], int] = {}
        self.client_error_counts: dict[tuple[int, str], int] = {}
        self.run_counts: dict[str, int] = {}
        self.run_seconds: dict[str, float] = {}

    def on_start(self) -> None:
        """Look up the measured services, and serve the metrics if an address is configured."""
        self.receiver = self.app.find("receiver")
        self.range_owner = self.app.find("range_owner")
        self.members = self.app.find("members")
        self.traffic = self.app.find("traffic")
        self.entry = self.app.find("entry")
        self.quarantine = self.app.find("quarantine")
        self.config_gossip = self.app.find("config_gossip")
        if self.settings.metrics_address:
            self.entry.listen(self.settings.metrics_address, self.on_scrape, CONTROL_LIMITS)

    def count_ended(self, route: str, status: int, seconds: float) -> None:
        """Count a caller's request that has its final response, and its latency."""
        self.request_counts[route, status] = self.request_counts.get((route, status), 0) + 1
        buckets = self.latency_buckets.get(route)
        if buckets is None:
            buckets = self.latency_buckets[route] = [0] * (len(LATENCY_BOUNDS_SECONDS) + 1)
        buckets[bisect_left(LATENCY_BOUNDS_SECONDS, seconds)] += 1
        self.latency_sums[route] = self.latency_sums.get(route, 0.0) + seconds

    def count_account(self, account: str, status: int) -> None:
        """Count a request of a client account that has its final response."""
        if account not in self.account_counts and len(self.account_counts) >= MAX_COUNTED_ACCOUNTS:
            account = OTHER_ACCOUNTS
        counts = self.account_counts.setdefault(account, {})
        counts[status] = counts.get(status, 0) + 1

    def count_client_error(self, status: int, reason: str) -> None:
        """Count a status of 400 to 499, or rejected input, that the router itself answered."""
        key = (status, reason)
        self.client_error_counts[key] = self.client_error_counts.get(key, 0) + 1

    def count_declined(self, route: str, reason: str) -> None:
        """Count a request that was not sent to this node's target, or not answered by it."""
        self.decline_counts[route, reason] = self.decline_counts.get((route, reason), 0) + 1

    def count_run(self, route: str, seconds: float) -> None:
        """Count a request that this node's target answered, and the time for which it occupied a slot."""
        self.run_counts[route] = self.run_counts.get(route, 0) + 1
        self.run_seconds[route] = self.run_seconds.get(route, 0.0) + seconds

    def on_scrape(self, request: EntryRequest) -> None:
        """Respond to a scrape."""
        request.respond(200, [("content-type", CONTENT_TYPE)], self.render())

    def render(self) -> bytes:
        """Return all metrics as text."""
        lines = ["# TYPE hibiscusdrum_requests_total counter"]
        for (route, status), count in sorted(self.request_counts.items()):
            lines.append(f'hibiscusdrum_requests_total{{route="{route}",status="{status}"}} {count}')
        lines.append("# TYPE hibiscusdrum_request_seconds histogram")
        for route, buckets in sorted(self.latency_buckets.items()):
            total = 0
            for bound, count in zip((*map(str, LATENCY_BOUNDS_SECONDS), "+Inf"), buckets, strict=True):
                total += count
                lines.append(f'hibiscusdrum_request_seconds_bucket{{route="{route}",le="{bound}"}} {total}')
            lines.append(
                f'hibiscusdrum_request_seconds_sum{{route="{route}"}} {self.latency_sums[route]:.6f}'
            )
            lines.append(f'hibiscusdrum_request_seconds_count{{route="{route}"}} {total}')
        lines.append("# TYPE hibiscusdrum_declined_total counter")
        for (route, reason), count in sorted(self.decline_counts.items()):
            lines.append(f'hibiscusdrum_declined_total{{route="{route}",reason="{reason}"}} {count}')
        lines.append("# TYPE hibiscusdrum_client_errors_total counter")
        for (status, reason), count in sorted(self.client_error_counts.items()):
            lines.append(f'hibiscusdrum_client_errors_total{{status="{status}",reason="{reason}"}} {count}')
        lines.append("# TYPE hibiscusdrum_account_requests_total counter")
        for account, counts in sorted(self.account_counts.items()):
            for status, count in sorted(counts.items()):
                labels = f'account="{escape_label(account)}",status="{status}"'
                lines.append(f"hibiscusdrum_account_requests_total{{{labels}}} {count}")
        lines.append("# TYPE hibiscusdrum_slot_seconds summary")
        for route, count in sorted(self.run_counts.items()):
            lines.append(f'hibiscusdrum_slot_seconds_sum{{route="{route}"}} {self.run_seconds[route]:.6f}')
            lines.append(f'hibiscusdrum_slot_seconds_count{{route="{route}"}} {count}')
        lines.append("# TYPE hibiscusdrum_unreadable_total counter")
        lines.append(f"hibiscusdrum_unreadable_total {unreadable_entries.count}")
        lines.append("# TYPE hibiscusdrum_connections_lost_total counter")
        for reason, count in sorted(self.entry.lost_counts.items()):
            lines.append(f'hibiscusdrum_connections_lost_total{{reason="{reason}"}} {count}')
        lines.append("# TYPE hibiscusdrum_accept_failures_total counter")
        lines.append(f"hibiscusdrum_accept_failures_total {self.entry.accept_failures}")
        lines.append("# TYPE hibiscusdrum_idle_connections_closed_total counter")
        lines.append(f"hibiscusdrum_idle_connections_closed_total {self.entry.idle_closed_count}")
        lines.append("# TYPE hibiscusdrum_quarantine_refusals_total counter")
        lines.append(f"hibiscusdrum_quarantine_refusals_total {self.quarantine.refusal_count}")
        lines.append("# TYPE hibiscusdrum_target_crashes_total counter")
        lines.append(f"hibiscusdrum_target_crashes_total {self.quarantine.crash_count}")
        lines += render_quarantine(self.quarantine)
        lines += render_traffic(self.traffic)
        admission = self.receiver.admission
        gauges = {
            "running": admission.running,
            "queued": admission.queued,
            "target_limit_per_second": self.receiver.reported_rate(),
            "service_seconds": round(admission.mean_service_seconds, 4),
            "stripes": len(self.range_owner.granted_stripes),
            "lease_seconds": round(self.range_owner.keeper.remaining_seconds, 3),
            "connections": len(self.entry.connections),
            "caller_connections": self.entry.open_counts[self.settings.caller_address],
            "caller_connections_limit": self.entry.max_connections.get(self.settings.caller_address, 0),
            "nodes": len(self.members.nodes),
            "crash_suspects": len(self.quarantine.suspects),
            "quarantined": len(self.quarantine.held),
            "config_pulls": self.config_gossip.pull_count,
            "config_confirmed_age_seconds": round(min(self.config_gossip.confirmed_age, MAX_AGE_SECONDS), 3),
            "store_reachable": int(self.members.store_reachable),
            "store_era": self.members.table.era,
        }
        for name, value in gauges.items():
            lines += [f"# TYPE hibiscusdrum_{name} gauge", f"hibiscusdrum_{name} {value}"]
        return ("\n".join(lines) + "\n").encode()


def escape_label(text: str) -> str:
    """Return a text as the value of a label."""
    return text.replace("\\", "\\\\").replace('"', '\\"')


def render_quarantine(quarantine: Quarantine) -> list[str]:
    """Return a metric line for each held request: the seconds that are left of its hold."""
    lines = ["# TYPE hibiscusdrum_quarantine_seconds gauge"]
    for identity, record in quarantine.held.items():
        labels = f'identity="{identity.hex()}",node="{record.node}",source="{record.source}"'
        left = max(0.0, record.held_until - quarantine.now)
        lines.append(f"hibiscusdrum_quarantine_seconds{{{labels}}} {left:.0f}")
    return lines


def render_traffic(traffic: Traffic) -> list[str]:
    """Return the metric lines of the traffic counters."""
    lines = []
    for name, sizes in (("sent", traffic.sent_bytes), ("received", traffic.received_bytes)):
        lines.append(f"# TYPE hibiscusdrum_{name}_bytes_total counter")
        for (place, kind), size in sorted(sizes.items()):
            lines.append(f'hibiscusdrum_{name}_bytes_total{{place="{place}",kind="{kind}"}} {size}')
    lines.append("# TYPE hibiscusdrum_store_calls_total counter")
    for operation, count in sorted(traffic.store_calls.items()):
        lines.append(f'hibiscusdrum_store_calls_total{{operation="{operation}"}} {count}')
    lines.append("# TYPE hibiscusdrum_delay_seconds histogram")
    for place, buckets in traffic.delay_counts.items():
        total = 0
        for bound, count in zip((*map(str, DELAY_BOUNDS_SECONDS), "+Inf"), buckets, strict=True):
            total += count
            lines.append(f'hibiscusdrum_delay_seconds_bucket{{place="{place}",le="{bound}"}} {total}')
        lines.append(f'hibiscusdrum_delay_seconds_count{{place="{place}"}} {total}')
    return lines
