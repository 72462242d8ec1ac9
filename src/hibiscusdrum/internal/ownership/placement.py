"""Plans moves of slices that balance a ring by capacity, and estimates their cost.

The plan depends only on the inputs, so each node computes it independently and carries out its own moves. The
table rejects moves that were computed from outdated rows.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable, Mapping, Sequence

import msgspec

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal.ownership.rows import OwnerRow

# Largest load per unit of capacity, as a multiple of the mean.
MAX_LOAD_RATIO = 1.10
# Nodes below this multiple of the mean receive slices; otherwise a node that joins would stay empty.
MIN_LOAD_RATIO = 0.90
# Limits the slices that change owner in one handover, so that the handover pauses them only briefly.
DEFAULT_MAX_MOVED_SLICES = 256


class Move(msgspec.Struct, frozen=True):
    """Slices and hot keys that one node hands over to another; hot keys are given by hash."""

    source: str
    receiver: str
    slices: tuple[int, ...]
    hot_keys: tuple[int, ...] = ()


class MoveCost(msgspec.Struct, frozen=True):
    """Estimated cost of moves, shown in the plan that an operator confirms.

    Attributes
    ----------
    slices : int
        Number of slices that change owner.
    keys : int
        Number of keys that change owner.
    link_bytes : int
        Bytes transferred between regions; zero for moves within a region.
    seconds : float
        Duration: the handovers of the node with the most handovers, or the transfer if it takes longer.
    """

    slices: int
    keys: int
    link_bytes: int
    seconds: float


class NodeLoad:
    """Load of a node while moves are planned.

    Attributes
    ----------
    node : str
        Name of the node.
    slices : list of int
        Slices of the node that have not been moved.
    capacity : float
        Relative capacity of the node.
    load : float
        Load after the moves planned so far.
    slice_load : float
        Load of each of the node's original slices, assumed to be equal.
    eligible : bool
        Whether the node may own slices.
    """

    __slots__ = ("capacity", "eligible", "load", "node", "slice_load", "slices")

    def __init__(self, row: OwnerRow, capacity: float, load: float, eligible: bool) -> None:
        self.node = row.node
        self.slices = list(row.slices)
        self.capacity = capacity
        self.load = load
        self.slice_load = load / len(row.slices) if row.slices else 0.0
        self.eligible = eligible

    def load_per_capacity(self) -> float:
        """Return the load per unit of capacity."""
        return self.load / self.capacity


def plan_moves(
    owners: Iterable[OwnerRow],
    capacities: Mapping[str, float],
    loads: Mapping[str, float],
    max_moves: int = DEFAULT_MAX_MOVED_SLICES,
    eligible: Callable[[OwnerRow], bool] = lambda row: True,
) -> list[Move]:
    """Return the moves that bring a ring into balance.

    Parameters
    ----------
    owners : iterable of OwnerRow
        All nodes of one ring.
    capacities : mapping
        Relative capacities by node; a missing one is taken from the row.
    loads : mapping
        Loads by node, for example in requests/s. If the load of any node is missing, the number of slices is
        used as the load of all nodes.
    max_moves : int
        Largest number of slices to move.
    eligible : callable
        Returns whether a node may own slices. Slices of ineligible nodes are moved first.

    Returns
    -------
    list of Move
        One move for each pair of source and receiver, sorted.

    Raises
    ------
    InvalidArgument
        If a capacity or load is out of range, or ``max_moves`` is negative.

    Notes
    -----
    Overloaded nodes hand over just enough to fall to ``MAX_LOAD_RATIO``, and nodes below ``MIN_LOAD_RATIO``
    receive just enough to reach it, so the number of moves is close to the minimum.
    """
    if max_moves < 0:
        raise InvalidArgument(name="max_moves", value=max_moves, expected="a number from 0")
    nodes = _node_loads(owners, capacities, loads, eligible)
    receivers = [node for node in nodes if node.eligible]
    if not receivers:
        return []
    mean = sum(node.load for node in nodes) / sum(node.capacity for node in receivers)
    slices_by_pair: dict[tuple[str, str], list[int]] = {}
    remaining = max_moves
    remaining -= _empty_ineligible(
        [node for node in nodes if not node.eligible], receivers, remaining, slices_by_pair
    )
    if mean > 0:
        remaining -= _relieve_overloaded(receivers, mean, remaining, slices_by_pair)
        _fill_underloaded(receivers, mean, remaining, slices_by_pair)
    return [
        Move(source=source, receiver=receiver, slices=tuple(sorted(slices)))
        for (source, receiver), slices in sorted(slices_by_pair.items())
    ]


def imbalance(
    owners: Iterable[OwnerRow], capacities: Mapping[str, float], loads: Mapping[str, float]
) -> float:
    """Return the largest load per unit of capacity divided by the mean."""
    nodes = _node_loads(owners, capacities, loads, lambda row: True)
    mean = sum(node.load for node in nodes) / sum(node.capacity for node in nodes)
    return max(node.load_per_capacity() for node in nodes) / mean if mean > 0 else 1.0


def isolate_hot_key(
    owners: Iterable[OwnerRow],
    capacities: Mapping[str, float],
    loads: Mapping[str, float],
    source: str,
    hash_value: int,
    key_load: float,
    eligible: Callable[[OwnerRow], bool] = lambda row: True,
) -> Move | None:
    """Return the move of a hot key to a less loaded node, or None if that would not help.

    The receiver is the least loaded other node, provided that with the key its load per unit of capacity is
    below the current one of the source.

    Raises
    ------
    InvalidArgument
        If the source is not among the owners.
    """
    nodes = {node.node: node for node in _node_loads(owners, capacities, loads, eligible)}
    if source not in nodes:
        raise InvalidArgument(name="source", value=source, expected="a node of the ring")
    others = [node for name, node in nodes.items() if name != source and node.eligible]
    if not others:
        return None
    receiver = min(others, key=lambda node: (node.load_per_capacity(), node.node))
    if (receiver.load + key_load) / receiver.capacity >= nodes[source].load_per_capacity():
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
    """Return the estimated cost of moves.

    Parameters
    ----------
    planned : sequence of Move
        The moves.
    regions : mapping
        Regions by node.
    keys_per_slice, bytes_per_key : float
        Estimated number of keys in a slice, and estimated size of the state of a key.
    link_bytes_per_second : float
        Part of the bandwidth between regions that the moves may use.
    handover_seconds : float
        Duration of one handover; a node carries out its handovers one after another.

    Raises
    ------
    InvalidArgument
        If ``link_bytes_per_second`` is not above 0.
    """
    if not link_bytes_per_second > 0:
        raise InvalidArgument(
            name="link_bytes_per_second", value=link_bytes_per_second, expected="bytes/s above 0"
        )
    slices = keys = link_bytes = 0.0
    handovers: dict[str, int] = {}
    for move in planned:
        moved = len(move.slices) * keys_per_slice + len(move.hot_keys)
        slices += len(move.slices)
        keys += moved
        if regions.get(move.source) != regions.get(move.receiver):
            link_bytes += moved * bytes_per_key
        handovers[move.source] = handovers.get(move.source, 0) + 1
    seconds = max(max(handovers.values(), default=0) * handover_seconds, link_bytes / link_bytes_per_second)
    return MoveCost(slices=int(slices), keys=round(keys), link_bytes=round(link_bytes), seconds=seconds)


def _node_loads(
    owners: Iterable[OwnerRow],
    capacities: Mapping[str, float],
    loads: Mapping[str, float],
    eligible: Callable[[OwnerRow], bool],
) -> list[NodeLoad]:
    rows = sorted(owners, key=lambda row: row.node)
    use_slice_counts = any(row.node not in loads for row in rows)
    nodes = []
    for row in rows:
        capacity = capacities.get(row.node, row.capacity)
        if not 0 < capacity < math.inf:
            raise InvalidArgument(name=f"capacity of {row.node}", value=capacity, expected="a number above 0")
        load = float(len(row.slices)) if use_slice_counts else loads[row.node]
        if not 0 <= load < math.inf:
            raise InvalidArgument(name=f"load of {row.node}", value=load, expected="a number from 0")
        nodes.append(NodeLoad(row, capacity, load, eligible(row)))
    return nodes


def _move_slice(
    source: NodeLoad, receiver: NodeLoad, slices_by_pair: dict[tuple[str, str], list[int]]
) -> None:
    source.load -= source.slice_load
    receiver.load += source.slice_load
    slices_by_pair.setdefault((source.node, receiver.node), []).append(source.slices.pop())


def _empty_ineligible(
    sources: list[NodeLoad],
    receivers: list[NodeLoad],
    limit: int,
    slices_by_pair: dict[tuple[str, str], list[int]],
) -> int:
    """Move all slices away from ineligible nodes, and return how many were moved."""
    moved = 0
    heap = [(node.load_per_capacity(), node.node, node) for node in receivers]
    heapq.heapify(heap)
    for source in sources:
        while source.slices and moved < limit:
            receiver = heap[0][2]
            _move_slice(source, receiver, slices_by_pair)
            heapq.heapreplace(heap, (receiver.load_per_capacity(), receiver.node, receiver))
            moved += 1
    return moved


def _relieve_overloaded(
    nodes: list[NodeLoad], mean: float, limit: int, slices_by_pair: dict[tuple[str, str], list[int]]
) -> int:
    """Move slices from overloaded nodes to the least loaded nodes, and return how many were moved."""
    moved = 0
    heap = [(node.load_per_capacity(), node.node, node) for node in nodes]
    heapq.heapify(heap)
    for source in sorted(nodes, key=lambda node: (-node.load_per_capacity(), node.node)):
        while source.load_per_capacity() > MAX_LOAD_RATIO * mean and source.slices and moved < limit:
            receiver = heap[0][2]
            receiver_load = (receiver.load + source.slice_load) / receiver.capacity
            if receiver is source or source.slice_load <= 0 or receiver_load >= source.load_per_capacity():
                break
            _move_slice(source, receiver, slices_by_pair)
            heapq.heapreplace(heap, (receiver.load_per_capacity(), receiver.node, receiver))
            moved += 1
    return moved


def _fill_underloaded(
    nodes: list[NodeLoad], mean: float, limit: int, slices_by_pair: dict[tuple[str, str], list[int]]
) -> int:
    """Move slices from the most loaded nodes to underloaded nodes, and return how many were moved."""
    moved = 0
    heap = [(-node.load_per_capacity(), node.node, node) for node in nodes]
    heapq.heapify(heap)
    for receiver in sorted(nodes, key=lambda node: (node.load_per_capacity(), node.node)):
        while receiver.load_per_capacity() < MIN_LOAD_RATIO * mean and moved < limit and heap:
            source = heap[0][2]
            if source is receiver or not source.slices or source.slice_load <= 0:
                heapq.heappop(heap)
                continue
            if (receiver.load + source.slice_load) / receiver.capacity >= source.load_per_capacity():
                break
            _move_slice(source, receiver, slices_by_pair)
            heapq.heapreplace(heap, (-source.load_per_capacity(), source.node, source))
            moved += 1
    return moved
