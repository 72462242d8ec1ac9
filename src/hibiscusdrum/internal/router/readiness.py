"""The platform's question whether callers on this VM may send requests."""

from __future__ import annotations

import msgspec

from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.router.gateway import Gateway
from hibiscusdrum.internal.router.members import Members
from hibiscusdrum.internal.router.settings import RouterSettings
from hibiscusdrum.internal.transport.entry_connection import EntryRequest


class Readiness(Service):
    """Tells the platform whether callers on this VM may send requests.

    Attributes
    ----------
    stopping : bool
        Whether the process ends soon.
    """

    service_name = "readiness"

    def __init__(self, settings: RouterSettings) -> None:
        super().__init__()
        self.settings = settings
        self.stopping = False
        self.closed = False

    def on_start(self) -> None:
        """Listen for the question."""
        self.gateway: Gateway = self.app.find("gateway")
        self.members: Members = self.app.find("members")
        self.app.find("entry").listen(self.settings.ready_address, self.on_request)

    @property
    def ready(self) -> bool:
        """Whether routes and nodes are known and the process does not end."""
        return not self.stopping and self.gateway.route_table.version > 0 and self.members.loaded

    def on_request(self, request: EntryRequest) -> None:
        """Answer 200 or 503."""
        body = msgspec.json.encode({"ready": self.ready, "version": self.gateway.route_table.version})
        headers = [("content-type", "application/json")]
        request.respond(200 if self.ready else 503, headers, body)
