"""Readiness endpoint: tells the platform whether callers on this VM may send requests."""

from __future__ import annotations

import msgspec

from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.router.gateway import Gateway
from hibiscusdrum.internal.router.members import Members
from hibiscusdrum.internal.router.routes import CONTROL_LIMITS
from hibiscusdrum.internal.router.settings import RouterSettings
from hibiscusdrum.internal.transport.entry_request import EntryRequest


class Readiness(Service):
    """Serves the readiness endpoint.

    Attributes
    ----------
    stopping : bool
        Whether a planned stop of the process has begun.
    """

    service_name = "readiness"

    def __init__(self, settings: RouterSettings) -> None:
        super().__init__()
        self.settings = settings
        self.stopping = False
        self.closed = False

    def on_start(self) -> None:
        """Listen for readiness requests."""
        self.gateway: Gateway = self.app.find("gateway")
        self.members: Members = self.app.find("members")
        self.app.find("entry").listen(self.settings.ready_address, self.on_request, CONTROL_LIMITS)

    @property
    def ready(self) -> bool:
        """Whether routes and nodes are known and no stop has begun."""
        return not self.stopping and self.gateway.route_table.version > 0 and self.members.loaded

    def on_request(self, request: EntryRequest) -> None:
        """Answer 200 if ready, else 503."""
        body = msgspec.json.encode({"ready": self.ready, "version": self.gateway.route_table.version})
        headers = [("content-type", "application/json")]
        request.respond(200 if self.ready else 503, headers, body)
