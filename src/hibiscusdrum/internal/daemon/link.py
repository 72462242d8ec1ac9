"""Share of this node in the byte budget of the link between regions."""

from __future__ import annotations

from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.load.link_budget import CONTROL, DATA, LinkBudget
from hibiscusdrum.internal.settings import Settings

LOG_SECONDS = 10.0


class Link(Service):
    """Lets forwarded requests cross to the other region within the budget; control traffic goes first.

    The nodes of a region share the link evenly, so that no message is needed to divide it.

    Parameters
    ----------
    settings : Settings
        Region of this node and the rate of the whole link.
    """

    service_name = "link"

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self.settings = settings
        self.budget = LinkBudget(settings.cross_region_bytes_per_second)
        self.regions: dict[str, str] = {}
        self.generation = -1
        self.shed = 0

    def on_start(self) -> None:
        """Find the ownership map."""
        self.membership = self.app.find("membership")
        self.app.find("peers").on_control_sent = self.note_control
        self.app.scheduler.every(LOG_SECONDS, self.log_shed)

    def crosses(self, address: str) -> bool:
        """Return whether a daemon's address is in another region."""
        ownership_map = self.membership.map
        if ownership_map.generation != self.generation:
            self.generation = ownership_map.generation
            self.regions = {row.peer_address: row.region for row in ownership_map.owners.values()}
            here = sum(region == self.settings.region for region in self.regions.values())
            self.set_share(max(1, here))
        return self.regions.get(address, self.settings.region) != self.settings.region

    def set_share(self, nodes: int) -> None:
        """Divide the link among the nodes of this region."""
        rate = self.settings.cross_region_bytes_per_second / nodes
        if rate != self.budget.bytes_per_second:
            self.budget = LinkBudget(rate)

    def allow_data(self, address: str, size: int) -> bool:
        """Spend the bytes of a request; False when it has to wait."""
        if not self.crosses(address):
            return True
        allowed = self.budget.try_spend_bytes(DATA, size, self.app.clock.monotonic())
        self.shed += not allowed
        return allowed

    def note_control(self, address: str, size: int) -> None:
        """Spend the bytes of a control message, which is never held back."""
        if self.crosses(address):
            self.budget.try_spend_bytes(CONTROL, size, self.app.clock.monotonic())

    def log_shed(self) -> None:
        """Log that requests were held back since the last look."""
        if self.shed:
            rate = self.budget.bytes_per_second
            log_events.emit(log_events.LinkBudgetSpent(bytes_per_second=rate, shed=self.shed))
            self.shed = 0
