"""System of real processes whose routers reach the store and their targets through proxies."""

from __future__ import annotations

import itertools
import random
import resource
from pathlib import Path

from tools.router_system import HOST, RouterSystem, reserve_port_block

from soak.links import LinkProxy

# Repeated for systems of more VMs.
VM_PLACEMENTS = [
    ("east", "east-1", "keyed"),
    ("west", "west-1", "keyed"),
    ("east", "east-2", "keyed"),
    ("east", "east-1", "shared"),
    ("west", "west-1", "shared"),
]
# Share of systems whose routers start under a lower soft limit of open descriptors, and that limit, which
# many connections at once reach.
DESCRIPTOR_LIMIT_SHARE = 0.3
DESCRIPTORS, DESCRIPTORS_PER_VM = 64, 8


# Share of systems whose VMs have narrow links, and their rates; the largest answers take 0.3 to 0.7 s.
NARROW_LINK_SHARE = 0.3
NARROW_LINKS_MBPS = (50.0, 100.0)


class ProxiedSystem(RouterSystem):
    """A system with proxies between each router and the store, and between each router and its target."""

    def __init__(self, folder: Path, links: LinkProxy, vm_count: int) -> None:
        ports = iter(reserve_port_block(3 * vm_count))
        self.links = links
        self.ports = {f"vm{index}": [next(ports) for _ in range(3)] for index in range(vm_count)}
        placements = list(itertools.islice(itertools.cycle(VM_PLACEMENTS), vm_count))
        super().__init__(folder, placements, lambda vm, _address: f"{HOST}:{self.ports[vm.name][0]}")
        for vm in self.vms.values():
            store, target, reports = self.ports[vm.name]
            links.add(f"{vm.name} store", store, self.direct_store_address)
            links.add(f"{vm.name} target", target, vm.address(0))
            links.add(f"{vm.name} reports", reports, vm.address(3))
            boot_lines = vm.boot_lines
            vm.boot_lines = lambda address, boot_lines=boot_lines, target=target: [
                f"appAddr={HOST}:{target}" if line.startswith("appAddr=") else line
                for line in boot_lines(address)
            ]
            vm.control_address = f"{HOST}:{reports}"

    def narrow_links_at_random(self, rng: random.Random) -> None:
        """Let the routers pace large answers as on VMs with a narrow link, or send them at once."""
        if rng.random() < NARROW_LINK_SHARE:
            self.boot_settings["limits.linkMbps"] = str(rng.choice(NARROW_LINKS_MBPS))

    def limit_descriptors_at_random(self, rng: random.Random) -> None:
        """Set a lower soft limit of open descriptors for the routers, or leave them that of this process."""
        if rng.random() < DESCRIPTOR_LIMIT_SHARE:
            _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
            self.descriptor_limits = (DESCRIPTORS + DESCRIPTORS_PER_VM * len(self.vms), hard)
