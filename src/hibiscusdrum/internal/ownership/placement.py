"""Weighted placement of slices with bounded moves, and the cost of a plan.

The result depends only on the inputs, so each node computes it alone and carries out its own moves; the
table refuses moves that were computed from older rows.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable, Mapping, Sequence

import msgspec

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal.ownership.rows import OwnerRow

# Largest load for each unit of capacity, as a multiple of the mean.
MAX_LOAD_RATIO = 1.10
# A node below this multiple of the mean receives slices, or a node that joins would stay empty.
MIN_LOAD_RATIO = 0.90
# Slices that change owner in one handover stay few, so that the pause of each is short.
DEFAULT_MAX_MOVES = 256


class Move(msgspec.Struct, frozen=True):
    """Slices, or hot keys by hash, that one node hands to another."""

    source: str
    receiver: str
    slices: tuple[int, ...]
    hot_keys: tuple[int, ...] = ()


class MoveCost(msgspec.Struct, frozen=True):
    """Cost of moves, for the plan that an operator confirms.

    Attributes
    ----------
    slices : int
    keys : int
        Estimated keys that change owner.
    link_bytes : int
        Estimated bytes over the link between regions; zero within a region.
    seconds : float
        Estimated duration: the longer of the handovers of the busiest node and the transfer.
    """

    slices: int
    keys: int
    link_bytes: int
    seconds: float


class NodeLoad:
    """A node while moves are computed.

    Attributes
    ----------
    load : float
        Load after the moves so far.
    slice_load : float
        Load that one of its own slices is taken to carry.
    """

    __slots__ = ("capacity", "load", "node", "receives", "slice_load", "slices")

    def __init__(self, row: OwnerRow, capacity: float, load: float, receives: bool) -> None:
        self.node = row.node
        self.slices = list(row.slices)
        self.capacity = capacity
        self.load = load
        self.slice_load = load / len(row.slices) if row.slices else 0.0
        self.receives = receives

    def level(self) -> float:
        """Return the load for each unit of capacity."""
        return self.load / self.capacity


def plan_moves(
    owners: Iterable[OwnerRow],
    capacities: Mapping[str, float],
    loads: Mapping[str, float],
    max_moves: int = DEFAULT_MAX_MOVES,
    eligible: Callable[[OwnerRow], bool] = lambda row: True,
) -> list[Move]:
    """Return the moves that bring a ring into balance.

    Parameters
    ----------
    owners : iterable of OwnerRow
        All nodes of one ring.
    capacities : mapping
        Relative capacity of nodes; a missing one is taken from the row.
    loads : mapping
        Load of nodes, for example requests/s. If a node's load is missing, all nodes count their slices.
    max_moves : int
        Largest number of slices moved.
    eligible : callable
        Whether a node may own slices; one that may not gives all its slices away first.

    Returns
    -------
    list of Move
        One for each pair of source and receiver, sorted.

    Raises
    ------
    InvalidArgument
        If a capacity or load is not usable, or ``max_moves`` is negative.

    Notes
    -----
    Overloaded nodes give just enough to fall to ``MAX_LOAD_RATIO``, and nodes below ``MIN_LOAD_RATIO``
    receive just enough to reach it, so the number of moves stays close to the least possible.
    """
    if max_moves < 0:
        raise InvalidArgument(name="max_moves", value=max_moves, expected="a number from 0")
    nodes = _node_loads(owners, capacities, loads, eligible)
    receivers = [node for node in nodes if node.receives]
    if not receivers:
        return []
    mean = sum(node.load for node in nodes) / sum(node.capacity for node in receivers)
    found: dict[tuple[str, str], list[int]] = {}
    left = max_moves
    left -= _drain([node for node in nodes if not node.receives], receivers, left, found)
    if mean > 0:
        left -= _shed(receivers, mean, left, found)
        _fill(receivers, mean, left, found)
    return [
        Move(source=source, receiver=receiver, slices=tuple(sorted(slices)))
        for (source, receiver), slices in sorted(found.items())
    ]


def imbalance(
    owners: Iterable[OwnerRow], capacities: Mapping[str, float], loads: Mapping[str, float]
) -> float:
    """Return the largest load for each unit of capacity, divided by the mean."""
    nodes = _node_loads(owners, capacities, loads, lambda row: True)
    mean = sum(node.load for node in nodes) / sum(node.capacity for node in nodes)
    return max(node.level() for node in nodes) / mean if mean > 0 else 1.0


def isolate_hot_key(
    owners: Iterable[OwnerRow],
    capacities: Mapping[str, float],
    loads: Mapping[str, float],
    source: str,
    hash_value: int,
    key_load: float,
    eligible: Callable[[OwnerRow], bool] = lambda row: True,
) -> Move | None:
    """Return the move that gives a hot key an owner of its own, or None when that would not help.

    The receiver is the least loaded other node, provided that it stays below the source's present load.

    Raises
    ------
    InvalidArgument
        If the source is not among the owners.
    """
    nodes = {node.node: node for node in _node_loads(owners, capacities, loads, eligible)}
    if source not in nodes:
        raise InvalidArgument(name="source", value=source, expected="a node of the ring")
    others = [node for name, node in nodes.items() if name != source and node.receives]
    if not others:
        return None
    receiver = min(others, key=lambda node: (node.level(), node.node))
    if (receiver.load + key_load) / receiver.capacity >= nodes[source].level():
        return None
    return Move(source=source, receiver=receiver.node, slices=(), hot_keys=(hash_value,))


def estimate_cost(
    planned: Sequence[Move],
    regions: Mapping[str, str],
    keys_per_slice: float,
    bytes_per_key: float,
    link_bytes_per_second: float,
    handover_seconds: float = 0.2,
) -> MoveCost:
    """Estimate what moves cost.

    Parameters
    ----------
    planned : sequence of Move
    regions : mapping
        Region of each node.
    keys_per_slice, bytes_per_key : float
        Estimates of the state that follows a slice.
    link_bytes_per_second : float
        Share of the link between regions that the plan may use.
    handover_seconds : float
        Duration of one handover; each node makes its handovers one after another.

    Raises
    ------
    InvalidArgument
        If the link's rate is not above 0.
    """
    if not link_bytes_per_second > 0:
        raise InvalidArgument(
            name="link_bytes_per_second", value=link_bytes_per_second, expected="bytes/s above 0"
        )
    slices = keys = crossing = 0.0
    handovers: dict[str, int] = {}
    for move in planned:
        moved = len(move.slices) * keys_per_slice + len(move.hot_keys)
        slices += len(move.slices)
        keys += moved
        if regions.get(move.source) != regions.get(move.receiver):
            crossing += moved * bytes_per_key
        handovers[move.source] = handovers.get(move.source, 0) + 1
    seconds = max(max(handovers.values(), default=0) * handover_seconds, crossing / link_bytes_per_second)
    return MoveCost(slices=int(slices), keys=round(keys), link_bytes=round(crossing), seconds=seconds)


def _node_loads(
    owners: Iterable[OwnerRow],
    capacities: Mapping[str, float],
    loads: Mapping[str, float],
    eligible: Callable[[OwnerRow], bool],
) -> list[NodeLoad]:
    rows = sorted(owners, key=lambda row: row.node)
    by_slices = any(row.node not in loads for row in rows)
    nodes = []
    for row in rows:
        capacity = capacities.get(row.node, row.capacity)
        if not 0 < capacity < math.inf:
            raise InvalidArgument(name=f"capacity of {row.node}", value=capacity, expected="a number above 0")
        load = float(len(row.slices)) if by_slices else loads[row.node]
        if not 0 <= load < math.inf:
            raise InvalidArgument(name=f"load of {row.node}", value=load, expected="a number from 0")
        nodes.append(NodeLoad(row, capacity, load, eligible(row)))
    return nodes


def _move_one(source: NodeLoad, receiver: NodeLoad, found: dict[tuple[str, str], list[int]]) -> None:
    source.load -= source.slice_load
    receiver.load += source.slice_load
    found.setdefault((source.node, receiver.node), []).append(source.slices.pop())


def _drain(
    sources: list[NodeLoad], receivers: list[NodeLoad], limit: int, found: dict[tuple[str, str], list[int]]
) -> int:
    """Move all slices away from nodes that may not own any."""
    moved = 0
    heap = [(node.level(), node.node, node) for node in receivers]
    heapq.heapify(heap)
    for source in sources:
        while source.slices and moved < limit:
            receiver = heap[0][2]
            _move_one(source, receiver, found)
            heapq.heapreplace(heap, (receiver.level(), receiver.node, receiver))
            moved += 1
    return moved


def _shed(nodes: list[NodeLoad], mean: float, limit: int, found: dict[tuple[str, str], list[int]]) -> int:
    """Move slices from overloaded nodes to the least loaded ones."""
    moved = 0
    heap = [(node.level(), node.node, node) for node in nodes]
    heapq.heapify(heap)
    for source in sorted(nodes, key=lambda node: (-node.level(), node.node)):
        while source.level() > MAX_LOAD_RATIO * mean and source.slices and moved < limit:
            receiver = heap[0][2]
            after = (receiver.load + source.slice_load) / receiver.capacity
            if receiver is source or source.slice_load <= 0 or after >= source.level():
                break
            _move_one(source, receiver, found)
            heapq.heapreplace(heap, (receiver.level(), receiver.node, receiver))
            moved += 1
    return moved


def _fill(nodes: list[NodeLoad], mean: float, limit: int, found: dict[tuple[str, str], list[int]]) -> int:
    """Move slices from the most loaded nodes to those that lack load."""
    moved = 0
    heap = [(-node.level(), node.node, node) for node in nodes]
    heapq.heapify(heap)
    for receiver in sorted(nodes, key=lambda node: (node.level(), node.node)):
        while receiver.level() < MIN_LOAD_RATIO * mean and moved < limit and heap:
            source = heap[0][2]
            if source is receiver or not source.slices or source.slice_load <= 0:
                heapq.heappop(heap)
                continue
            if (receiver.load + source.slice_load) / receiver.capacity >= source.level():
                break
            _move_one(source, receiver, found)
            heapq.heapreplace(heap, (-source.level(), source.node, source))
            moved += 1
    return moved
