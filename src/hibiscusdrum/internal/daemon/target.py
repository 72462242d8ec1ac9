"""Target of this node: its announcements and its availability."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.decoding import decode_json
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.settings import Settings

# Targets announce themselves each second; two lost announcements are tolerated.
ANNOUNCEMENT_TIMEOUT_SECONDS = 3.5
CHECK_INTERVAL_SECONDS = 0.25


class Announcement(msgspec.Struct, frozen=True):
    """Announcement that a target sends to its daemon each second."""

    service: str
    address: str
    slots: int = 9
    connections: int = 120
    checks_epoch: bool = False


class Target(Service):
    """Tracks the availability of this node's target.

    Parameters
    ----------
    settings : Settings
        Service and address that the target must announce.
    """

    service_name = "target"

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self.settings = settings
        self.announcement: Announcement | None = None
        self.last_announced_at = 0.0
        self.available_listeners: list[Callable[[], None]] = []
        self.lost_listeners: list[Callable[[], None]] = []

    def on_start(self) -> None:
        """Start the timer that checks for missing announcements."""
        self.app.scheduler.every(CHECK_INTERVAL_SECONDS, self.check_timeout)

    @property
    def available(self) -> bool:
        """Whether the target has announced itself and has not been lost since then."""
        return self.announcement is not None

    def announce(self, body: bytes) -> None:
        """Process an announcement.

        Raises
        ------
        InvalidArgument
            If it is malformed or is not from this node's target.
        """
        announcement = decode_json(body, Announcement, "announcement")
        self.check_announcement(announcement)
        self.last_announced_at = self.app.clock.monotonic()
        if self.announcement is None:
            self.announcement = announcement
            log_events.emit(log_events.TargetAnnounced(target=announcement.address, incarnation=""))
            for listener in self.available_listeners:
                listener()

    def check_announcement(self, announcement: Announcement) -> None:
        """Raise ``InvalidArgument`` if the announcement is not from this node's target."""
        settings = self.settings
        if announcement.service != settings.service:
            raise InvalidArgument(name="service", value=announcement.service, expected=settings.service)
        if announcement.address != settings.target_address:
            raise InvalidArgument(
                name="address", value=announcement.address, expected=settings.target_address
            )

    def check_timeout(self) -> None:
        """Mark the target as lost if its announcements have stopped."""
        silence = self.app.scheduler.silence_seconds(self.last_announced_at)
        if self.available and silence > ANNOUNCEMENT_TIMEOUT_SECONDS:
            self.mark_lost("silent")

    def mark_lost(self, reason: str) -> None:
        """Mark the target as lost, for example after a refused connection."""
        if not self.available:
            return
        self.announcement = None
        log_events.emit(log_events.TargetLost(target=self.settings.target_address, reason=reason))
        for listener in self.lost_listeners:
            listener()
