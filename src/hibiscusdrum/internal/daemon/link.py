"""Byte budget of this node for the cross-region link."""

from __future__ import annotations

from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.load.link_budget import CONTROL, DATA, LinkBudget
from hibiscusdrum.internal.settings import Settings

LOG_INTERVAL_SECONDS = 10.0


class CrossRegionLink(Service):
    """Limits the bytes that this node sends to other regions; control traffic has priority over requests.

    The nodes of a region share the link evenly, so that they need no messages to divide it.

    Parameters
    ----------
    settings : Settings
        Region of this node and rate of the whole link.

    Attributes
    ----------
    region_by_address : dict of str to str
        Region of each daemon, by peer address; computed from the map generation ``map_generation``.
    refused_since_log : int
        Number of requests that the budget refused since the last log event.
    """

    service_name = "link"

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self.settings = settings
        self.budget = LinkBudget(settings.cross_region_bytes_per_second)
        self.region_by_address: dict[str, str] = {}
        self.map_generation = -1
        self.refused_since_log = 0

    def on_start(self) -> None:
        """Look up the services used, charge control messages to the budget, and start the log timer."""
        self.membership = self.app.find("membership")
        self.app.find("peers").on_control_sent = self.spend_control
        self.app.scheduler.every(LOG_INTERVAL_SECONDS, self.log_refused)

    def is_cross_region(self, address: str) -> bool:
        """Return whether the daemon at an address is in another region; unknown addresses count as local."""
        ownership_map = self.membership.map
        if ownership_map.generation != self.map_generation:
            self.map_generation = ownership_map.generation
            self.region_by_address = {row.peer_address: row.region for row in ownership_map.owners.values()}
            local_nodes = sum(region == self.settings.region for region in self.region_by_address.values())
            self.update_share(max(1, local_nodes))
        return self.region_by_address.get(address, self.settings.region) != self.settings.region

    def update_share(self, node_count: int) -> None:
        """Set the budget of this node to an even share of the link."""
        rate = self.settings.cross_region_bytes_per_second / node_count
        if rate != self.budget.bytes_per_second:
            self.budget = LinkBudget(rate)

    def try_spend_data(self, address: str, size: int) -> bool:
        """Spend the bytes of a request; return False if the budget does not allow them now."""
        if not self.is_cross_region(address):
            return True
        allowed = self.budget.try_spend_bytes(DATA, size, self.app.clock.monotonic())
        self.refused_since_log += not allowed
        return allowed

    def spend_control(self, address: str, size: int) -> None:
        """Charge a control message to the budget; it is sent even if the budget is spent."""
        if self.is_cross_region(address):
            self.budget.try_spend_bytes(CONTROL, size, self.app.clock.monotonic())

    def log_refused(self) -> None:
        """Log the number of requests refused since the last log event, if there were any."""
        if self.refused_since_log:
            rate = self.budget.bytes_per_second
            log_events.emit(log_events.LinkBudgetSpent(bytes_per_second=rate, shed=self.refused_since_log))
            self.refused_since_log = 0
