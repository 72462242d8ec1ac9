"""Fair queue of admitted requests: weighted shares by class and tenant, slot caps by class, load shedding."""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Mapping
from typing import Any

from hibiscusdrum.errors import InvalidArgument

# Fraction of the slots that an internal class may occupy at once. When lineage and conflict checks both
# stall, three of nine slots remain for the other classes.
DEFAULT_CLASS_SHARES: dict[str, float] = {"lineage": 1 / 3, "conflict": 1 / 3}
# Dynamic thresholds: a flow or class may queue at most this multiple of the free capacity, so that a flood by
# one tenant leaves capacity for the others.
FLOW_THRESHOLD_FACTOR = 1.0
CLASS_THRESHOLD_FACTOR = 2.0
POP_INTERVAL_EWMA_WEIGHT = 0.1
# Upper bound of one sample of the average interval between pops. An ongoing stall is measured by its current
# length; bounding the sample keeps a past stall from causing shedding for long.
MAX_POP_INTERVAL_SECONDS = 0.25
# Class names come from requests. Names beyond this number share one queue, which bounds memory.
MAX_CLASSES = 32
OVERFLOW_CLASS = "(other)"
# If the slot cap of a class rounds down to 0, the class may run only after the uncapped classes have had no
# work for this long.
UNCAPPED_IDLE_SECONDS = 1.0
# Number of idle flows kept in addition to twice the active ones before idle flows are dropped.
IDLE_FLOW_ALLOWANCE = 64
# Compensates for floating-point error, so that 1/3 of nine slots is 3.
SLOT_ROUNDING_MARGIN = 1e-9


class Flow:
    """Queued items of one tenant within one class."""

    __slots__ = ("entries", "start_tag", "tenant", "weight")

    def __init__(self, tenant: str, weight: float) -> None:
        self.tenant = tenant
        self.weight = weight
        self.start_tag = 0.0
        # Pairs of an item and the latest time at which starting it is still useful.
        self.entries: deque[tuple[Any, float]] = deque()


class ClassQueue:
    """Flows of one request class, and the number of slots that the class occupies."""

    __slots__ = (
        "active_flows",
        "active_weight",
        "flow_heap",
        "flows",
        "last_popped_at",
        "name",
        "pop_interval",
        "queued",
        "running",
        "slot_share",
        "start_tag",
        "virtual_time",
        "weight",
    )

    def __init__(self, name: str, weight: float, slot_share: float) -> None:
        self.name = name
        self.weight = weight
        self.slot_share = slot_share
        self.running = 0
        self.queued = 0
        self.start_tag = 0.0
        self.virtual_time = 0.0
        self.active_flows = 0
        self.active_weight = 0.0
        self.flows: dict[str, Flow] = {}
        self.flow_heap: list[tuple[float, str]] = []
        self.pop_interval = 0.0
        self.last_popped_at = -math.inf


class FairQueue:
    """Start-time fair queue: weighted shares between classes, and between tenants within a class.

    Parameters
    ----------
    capacity : int
        Maximum number of queued items.
    slots : int
        Concurrency limit of the target; assign ``slots`` when the limit changes.
    tenant_weights, class_weights : mapping of str to float
        Weights; 1 for names that are absent.
    class_shares : mapping of str to float
        Fraction of the slots that a class may occupy at once; 1 for classes that are absent.

    Attributes
    ----------
    service_time_seconds : float
        Expected time that a request runs, 0 if unknown. Items expire this long before their deadline, since
        an answer after the deadline would waste a slot.
    """

    __slots__ = (
        "capacity",
        "class_shares",
        "class_weights",
        "classes",
        "earliest_start_by",
        "expired",
        "last_call_at",
        "queued",
        "service_time_seconds",
        "slots",
        "tenant_weights",
        "uncapped_work_at",
        "virtual_time",
    )

    def __init__(
        self,
        capacity: int,
        slots: int = 9,
        tenant_weights: Mapping[str, float] | None = None,
        class_weights: Mapping[str, float] | None = None,
        class_shares: Mapping[str, float] = DEFAULT_CLASS_SHARES,
    ) -> None:
        if capacity < 1:
            raise InvalidArgument(name="capacity", value=capacity, expected="at least 1")
        self.capacity = capacity
        if slots < 1:
            raise InvalidArgument(name="slots", value=slots, expected="at least 1")
        self.slots = slots
        self.tenant_weights = _validated_weights("tenant_weights", tenant_weights)
        self.class_weights = _validated_weights("class_weights", class_weights)
        self.class_shares = _validated_weights("class_shares", class_shares)
        self.classes: dict[str, ClassQueue] = {}
        self.queued = 0
        self.service_time_seconds = 0.0
        self.virtual_time = 0.0
        self.earliest_start_by = math.inf
        self.last_call_at = -math.inf
        self.uncapped_work_at = -math.inf
        self.expired: list[Any] = []

    def __len__(self) -> int:
        return self.queued

    def push(self, item: Any, tenant: str, request_class: str, deadline: float, now: float) -> bool:
        """Queue an item, or return False if it is shed.

        An item is shed if its tenant or class already queues more than its threshold, or if it is not
        expected to be popped early enough to finish before its deadline.

        Parameters
        ----------
        item : Any
            Object that ``pop`` or ``expire`` returns later.
        tenant, request_class : str
            Flow that the item belongs to.
        deadline, now : float
            Monotonic times in seconds.
        """
        queue = self.classes.get(request_class) or self._add_class(request_class)
        self.last_call_at = now
        if queue.slot_share >= 1.0:
            self.uncapped_work_at = now
        flow = queue.flows.get(tenant)
        waiting = len(flow.entries) if flow is not None else 0
        free_places = self.capacity - self.queued
        if (
            free_places <= 0
            or waiting > FLOW_THRESHOLD_FACTOR * free_places
            or queue.queued > CLASS_THRESHOLD_FACTOR * free_places
        ):
            return False
        start_by = deadline - self.service_time_seconds
        wait = self._expected_wait(queue, flow, waiting, now) if queue.queued else 0.0
        if now + wait >= start_by:
            return False
        if flow is None:
            if len(queue.flows) > 2 * queue.active_flows + IDLE_FLOW_ALLOWANCE:
                self._drop_idle_flows(queue)
            flow = queue.flows[tenant] = Flow(tenant, self.tenant_weights.get(tenant, 1.0))
        if not waiting:
            self._activate(queue, flow, now)
        flow.entries.append((item, start_by))
        queue.queued += 1
        self.queued += 1
        if start_by < self.earliest_start_by:
            self.earliest_start_by = start_by
        return True

    def pop(self, now: float) -> Any | None:
        """Return the next item of a class below its slot cap, or None; expired ones go to ``expire``."""
        self.last_call_at = now
        while True:
            queue = self._next_class()
            if queue is None:
                return None
            item, start_by = self._pop_from_class(queue)
            if start_by > now:
                self._update_pop_interval(queue, now)
                return item
            self.expired.append(item)

    def expire(self, now: float) -> list[Any]:
        """Remove and return all items that can no longer finish before their deadline."""
        if self.earliest_start_by <= now:
            self._collect_expired(now)
        expired, self.expired = self.expired, []
        return expired

    def may_run(self, request_class: str) -> bool:
        """Return whether the class is below its slot cap."""
        queue = self.classes.get(request_class) or self._add_class(request_class)
        return queue.running < self._slot_cap(queue)

    def on_started(self, request_class: str) -> None:
        """Record that a request of the class has been given a slot."""
        queue = self.classes.get(request_class) or self._add_class(request_class)
        queue.running += 1
        if queue.slot_share >= 1.0:
            self.uncapped_work_at = self.last_call_at

    def on_finished(self, request_class: str) -> None:
        """Record that a request of the class has released its slot."""
        queue = self.classes.get(request_class) or self._add_class(request_class)
        if queue.running > 0:
            queue.running -= 1

    def set_weights(self, tenant_weights: Mapping[str, float], class_weights: Mapping[str, float]) -> None:
        """Replace the weights, for example after a configuration change; queued items stay queued."""
        self.tenant_weights = _validated_weights("tenant_weights", tenant_weights)
        self.class_weights = _validated_weights("class_weights", class_weights)
        for queue in self.classes.values():
            queue.weight = self.class_weights.get(queue.name, 1.0)
            for flow in queue.flows.values():
                flow.weight = self.tenant_weights.get(flow.tenant, 1.0)
            queue.active_weight = sum(flow.weight for flow in queue.flows.values() if flow.entries)

    def _slot_cap(self, queue: ClassQueue) -> int:
        if queue.slot_share >= 1.0:
            return self.slots
        cap = int(self.slots * queue.slot_share + SLOT_ROUNDING_MARGIN)
        return cap or int(self.last_call_at - self.uncapped_work_at > UNCAPPED_IDLE_SECONDS)

    def _add_class(self, name: str) -> ClassQueue:
        if len(self.classes) >= MAX_CLASSES:
            name = OVERFLOW_CLASS
            if name in self.classes:
                return self.classes[name]
        queue = ClassQueue(name, self.class_weights.get(name, 1.0), self.class_shares.get(name, 1.0))
        self.classes[name] = queue
        return queue

    def _expected_wait(self, queue: ClassQueue, flow: Flow | None, waiting: int, now: float) -> float:
        weight = flow.weight if flow is not None else 1.0
        competing_weight = queue.active_weight if waiting else queue.active_weight + weight
        ahead = (waiting + 1) * competing_weight / weight
        if ahead > queue.queued + 1:
            ahead = queue.queued + 1
        interval = now - queue.last_popped_at
        return ahead * (interval if interval > queue.pop_interval else queue.pop_interval)

    def _activate(self, queue: ClassQueue, flow: Flow, now: float) -> None:
        if not queue.queued:
            queue.last_popped_at = now
            queue.start_tag = max(queue.start_tag, self.virtual_time)
        flow.start_tag = max(flow.start_tag, queue.virtual_time)
        queue.active_flows += 1
        queue.active_weight += flow.weight
        heapq.heappush(queue.flow_heap, (flow.start_tag, flow.tenant))

    def _next_class(self) -> ClassQueue | None:
        best = None
        for queue in self.classes.values():
            if not queue.queued:
                continue
            if queue.running >= (self.slots if queue.slot_share >= 1.0 else self._slot_cap(queue)):
                # A class at its cap earns no credit while it waits, which it would otherwise use in a burst.
                if queue.start_tag < self.virtual_time:
                    queue.start_tag = self.virtual_time
            elif best is None or queue.start_tag < best.start_tag:
                best = queue
        return best

    def _pop_from_class(self, queue: ClassQueue) -> tuple[Any, float]:
        start_tag, tenant = queue.flow_heap[0]
        flow = queue.flows[tenant]
        entry = flow.entries.popleft()
        queue.virtual_time = start_tag
        flow.start_tag = start_tag + 1.0 / flow.weight
        if flow.entries:
            heapq.heapreplace(queue.flow_heap, (flow.start_tag, tenant))
        else:
            heapq.heappop(queue.flow_heap)
            self._deactivate(queue, flow)
        self.virtual_time = queue.start_tag
        queue.start_tag += 1.0 / queue.weight
        queue.queued -= 1
        self.queued -= 1
        return entry

    def _update_pop_interval(self, queue: ClassQueue, now: float) -> None:
        interval = now - queue.last_popped_at
        if interval > MAX_POP_INTERVAL_SECONDS:
            interval = MAX_POP_INTERVAL_SECONDS
        queue.pop_interval += (interval - queue.pop_interval) * POP_INTERVAL_EWMA_WEIGHT
        queue.last_popped_at = now

    def _deactivate(self, queue: ClassQueue, flow: Flow) -> None:
        queue.active_flows -= 1
        queue.active_weight = queue.active_weight - flow.weight if queue.active_flows else 0.0

    def _drop_idle_flows(self, queue: ClassQueue) -> None:
        # An idle flow whose tag is not ahead of the virtual time would restart there, so no state is lost.
        queue.flows = {
            name: flow
            for name, flow in queue.flows.items()
            if flow.entries or flow.start_tag > queue.virtual_time
        }

    def _collect_expired(self, now: float) -> None:
        self.earliest_start_by = math.inf
        for queue in self.classes.values():
            for flow in [flow for flow in queue.flows.values() if flow.entries]:
                self._collect_expired_in_flow(queue, flow, now)

    def _collect_expired_in_flow(self, queue: ClassQueue, flow: Flow, now: float) -> None:
        kept = deque(entry for entry in flow.entries if entry[1] > now)
        removed = len(flow.entries) - len(kept)
        if removed:
            self.expired.extend(item for item, start_by in flow.entries if start_by <= now)
            flow.entries = kept
            queue.queued -= removed
            self.queued -= removed
        if kept:
            self.earliest_start_by = min(self.earliest_start_by, min(start_by for _, start_by in kept))
        else:
            queue.flow_heap.remove((flow.start_tag, flow.tenant))
            heapq.heapify(queue.flow_heap)
            self._deactivate(queue, flow)


def _validated_weights(name: str, weights: Mapping[str, float] | None) -> dict[str, float]:
    """Return a copy of the weights, all of which must be above 0."""
    for key, weight in (weights or {}).items():
        if not weight > 0.0:
            raise InvalidArgument(name=f"{name}[{key!r}]", value=weight, expected="above 0")
    return dict(weights or {})
