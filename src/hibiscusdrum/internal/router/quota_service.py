"""Quotas of client accounts: messages between nodes and keepers, and timers; ``quota`` has the decisions."""

from __future__ import annotations

import os
from collections.abc import Callable

from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.messages import QuotaAsk, QuotaGrant
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.accounts import Account, AccountTable
from hibiscusdrum.internal.router.hop import Forwarder
from hibiscusdrum.internal.router.members import Members
from hibiscusdrum.internal.router.quota import (
    GROUPS,
    GroupClient,
    Keeper,
    Tolerance,
    Waiter,
    candidates,
    group_of,
    limited_accounts,
)
from hibiscusdrum.internal.router.settings import RouterSettings

TICK_SECONDS = 0.05
# Requests that arrive within this time share a message.
BATCH_SECONDS = 0.004
PROCESS_BYTES = 8


class QuotaService(Service):
    """Gives tokens to the requests of this node, and keeps the buckets of the groups that nodes ask it for.

    Attributes
    ----------
    accounts : dict of str to Account
        Accounts of the active configuration that have a quota, by name.
    groups : dict of str to int
        Group of each of them.
    retired : bool
        Whether the process is about to end, so that it keeps no group any more.
    """

    service_name = "quota"

    def __init__(self, settings: RouterSettings) -> None:
        super().__init__()
        self.settings = settings
        self.accounts: dict[str, Account] = {}
        self.groups: dict[str, int] = {}
        self.clients: list[GroupClient] = []
        self.keepers: list[Keeper] = []
        self.flush_planned = False
        self.retired = False

    def on_start(self) -> None:
        """Register for messages, and for changes of the configuration and of the nodes."""
        self.members: Members = self.app.find("members")
        self.hop: Forwarder = self.app.find("hop")
        self.hop.message_handlers[QuotaAsk] = self.on_ask
        self.hop.message_handlers[QuotaGrant] = self.on_grant
        self.hop.before_end.append(self.retire)
        self.hop.on_peer_closing.append(self.on_closing)
        self.members.on_change.append(self.update_candidates)
        settings = self.settings
        tolerance = Tolerance(settings.quota_window, settings.quota_over, settings.quota_slack)
        process, now = os.urandom(PROCESS_BYTES), self.now
        self.clients = [GroupClient(group, settings.node, now) for group in range(GROUPS)]
        self.keepers = [Keeper(settings.node, process, tolerance, now) for _group in range(GROUPS)]
        self.timer = self.app.scheduler.create_work_timer(TICK_SECONDS, self.tick)
        gateway = self.app.find("gateway")
        gateway.quota = self
        self.set_accounts(gateway.route_table.accounts)

    @property
    def now(self) -> float:
        """Monotonic time in seconds."""
        return self.app.clock.monotonic()

    @property
    def node_count(self) -> int:
        """Number of known nodes, at least this one."""
        return max(1, len(self.members.nodes))

    def set_accounts(self, table: AccountTable | None) -> None:
        """Apply the quotas of a configuration."""
        self.accounts = limited_accounts(table)
        self.groups = {name: group_of(name) for name in self.accounts}
        for group, (client, keeper) in enumerate(zip(self.clients, self.keepers, strict=True)):
            keeper.set_accounts(
                {name: account for name, account in self.accounts.items() if self.groups[name] == group}
            )
            self.decide(client.forget(self.accounts))
        if self.accounts:
            self.update_candidates()
            self.timer.wake()

    def update_candidates(self) -> None:
        """Set the nodes that may be the keepers."""
        if not self.accounts:
            return
        regions = {row.node: row.region for row in self.members.nodes.values()}
        regions.setdefault(self.settings.node, self.settings.region)
        for client in self.clients:
            former = client.keeper
            client.set_candidates(candidates(client.group, regions, self.settings.node))
            self.log_change(client, former)

    def acquire(self, account: str, returning: bool, decide: Callable[[float], None]) -> bool:
        """Take a token; see ``GroupClient.acquire``."""
        taken = self.clients[self.groups[account]].acquire(account, returning, decide, self.now)
        self.plan_flush()
        return taken

    def give_back(self, account: str) -> None:
        """Return the token of a request that has not run and never will."""
        if account in self.groups:
            self.clients[self.groups[account]].give_back(account)
            self.plan_flush()

    def retire(self) -> None:
        """Keep no group any more, since the process is about to end and tells its peers so."""
        self.retired = True
        for client in self.clients:
            client.retire()

    def on_closing(self, node: str) -> None:
        """Turn to another keeper than a node that has retired."""
        for client in self.clients:
            former = client.keeper
            client.on_retired(node, self.now)
            self.log_change(client, former)

    def plan_flush(self) -> None:
        """Send what is to be asked in a moment, together with what follows until then."""
        if not self.flush_planned and any(client.unsent for client in self.clients):
            self.flush_planned = True
            self.app.scheduler.call_later(BATCH_SECONDS, self.flush)

    def flush(self) -> None:
        """Send the messages that are due."""
        self.flush_planned = False
        for client in self.clients:
            for keeper, ask in client.due_asks(self.now):
                self.send(client, keeper, ask)

    def send(self, client: GroupClient, keeper: str, ask: QuotaAsk) -> None:
        """Send a message to a keeper, which may be this node."""
        if keeper == self.settings.node and not self.retired:
            self.on_grant(self.keepers[ask.group].on_ask(ask, self.node_count, self.now))
        elif keeper == self.settings.node or not self.hop.send_message(keeper, ask):
            former = client.keeper
            self.decide(client.on_unsent(ask.number, self.now))
            self.log_change(client, former)

    def on_ask(self, ask: QuotaAsk) -> None:
        """Answer a node."""
        if ask.group < GROUPS and not self.retired:
            self.hop.send_message(ask.node, self.keepers[ask.group].on_ask(ask, self.node_count, self.now))

    def on_grant(self, grant: QuotaGrant) -> None:
        """Take the answer of a keeper."""
        if grant.group < GROUPS:
            client = self.clients[grant.group]
            former = client.keeper
            self.decide(client.on_grant(grant, self.now))
            self.log_change(client, former)

    def decide(self, decided: list[tuple[Waiter, float]]) -> None:
        """Tell waiting requests what was decided."""
        for waiter, wait in decided:
            waiter.decide(wait)

    def tick(self) -> bool:
        """Send what is due, and give up messages without an answer; return whether there are quotas."""
        for client in self.clients:
            former = client.keeper
            self.decide(client.expire(self.now, self.app.scheduler.resumed_at))
            self.log_change(client, former)
        self.flush()
        return bool(self.accounts)

    def log_change(self, client: GroupClient, former: str) -> None:
        """Log that another node keeps the quotas of a group."""
        if client.keeper != former:
            log_events.emit(
                events.QuotaKeeperChanged(
                    group=client.group,
                    keeper=client.keeper,
                    former=former,
                    silent=tuple(sorted(client.silent)),
                )
            )
