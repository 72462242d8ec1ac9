"""Detection of hot keys in bounded memory, and which of them should have a slice of their own.

Counters are replaced by random admission: an unknown key takes the smallest counter with probability
``weight / (smallest + weight)``. With plain space-saving every unknown key takes one, and among hundreds of
millions of keys the tail would overwrite each key whose share is below ``1 / capacity``.
"""

from __future__ import annotations

import random
from collections.abc import Collection

import msgspec

from hibiscusdrum.errors import InvalidArgument

# Observations between two updates of the decay weight.
WEIGHT_UPDATE_SAMPLES = 64
# Counters are scaled down before the weight loses precision.
MAX_DECAY_WEIGHT = 1e9
# Share of a node's requests from which a key gets a slice of its own. With 16,384 slices on 490 nodes a slice
# holds about 3% of its node's requests; a key below that gains little by leaving its slice.
ENTER_SHARE = 0.03
# Half of the share above, so that noise and short pauses of a key don't move it back and forth.
EXIT_SHARE = 0.015
# Half-lives for which a key that has just arrived is held before its share is judged: its new owner has seen
# none of its requests before, and would otherwise return it at once.
MIN_ISOLATION_HALF_LIVES = 2.0


class HotKeyChanges(msgspec.Struct, frozen=True):
    """Keys that should get a slice of their own, and keys that should return to their slice."""

    isolate: tuple[int, ...]
    merge: tuple[int, ...]


class HotKeyDetector:
    """Bounded top-k of key hashes with exponential decay.

    Parameters
    ----------
    capacity : int
        Number of counters.
    half_life : float
        Seconds after which an observation counts half.
    rng : random.Random
        Source of the random admission.
    enter_share, exit_share : float
        Share of the observed requests from which a key is isolated, and below which it is merged again.
    largest_number : int
        Most keys isolated at once.
    minimum_samples : float
        Decayed observations needed before ``changes`` isolates any key.
    """

    __slots__ = (
        "capacity",
        "counts",
        "decay_weight",
        "enter_share",
        "exit_share",
        "half_life",
        "isolated_since",
        "max_isolated",
        "min_count",
        "min_samples",
        "overestimates",
        "random",
        "samples_until_update",
        "total",
        "weight_origin",
    )

    def __init__(
        self,
        capacity: int = 64,
        half_life: float = 10.0,
        rng: random.Random | None = None,
        enter_share: float = ENTER_SHARE,
        exit_share: float = EXIT_SHARE,
        max_isolated: int = 10,
        min_samples: float = 500.0,
    ) -> None:
        if capacity < 1:
            raise InvalidArgument(name="capacity", value=capacity, expected="at least 1")
        if half_life <= 0.0:
            raise InvalidArgument(name="half_life", value=half_life, expected="above 0 seconds")
        if not 0.0 <= exit_share < enter_share:
            raise InvalidArgument(name="exit_share", value=exit_share, expected="below enter_share")
        self.capacity = capacity
        self.half_life = half_life
        self.random = (rng or random.Random(0)).random
        self.enter_share = enter_share
        self.exit_share = exit_share
        self.max_isolated = max_isolated
        self.min_samples = min_samples
        self.counts: dict[int, float] = {}
        self.overestimates: dict[int, float] = {}
        self.isolated_since: dict[int, float] = {}
        self.total = 0.0
        self.min_count = 0.0
        self.weight_origin: float | None = None
        self.decay_weight = 1.0
        self.samples_until_update = 0

    def observe(self, key_hash: int, now: float) -> None:
        """Count one request for a key."""
        self.samples_until_update -= 1
        if self.samples_until_update < 0:
            self._update_weight(now)
        decay_weight = self.decay_weight
        self.total += decay_weight
        counts = self.counts
        if key_hash in counts:
            counts[key_hash] += decay_weight
        elif len(counts) < self.capacity:
            counts[key_hash] = decay_weight
            self.overestimates[key_hash] = 0.0
        # ``smallest`` is a lower bound, because counters only grow between two scalings; most unknown keys
        # are turned away here without a search for the smallest counter.
        elif self.random() * (self.min_count + decay_weight) < decay_weight:
            self._try_replace_min(key_hash, decay_weight)

    def hottest(self, n: int, now: float) -> list[tuple[int, float]]:
        """Return up to ``n`` keys with their estimated share of all requests, hottest first.

        The share is a lower estimate: what a key's counter held when the key took it is left out.
        """
        if not self.total:
            return []
        overestimates = self.overestimates
        shares = [(key, (count - overestimates[key]) / self.total) for key, count in self.counts.items()]
        shares.sort(key=lambda entry: (-entry[1], entry[0]))
        return shares[:n]

    def changes(self, isolated: Collection[int], now: float) -> HotKeyChanges:
        """Return which keys should get a slice of their own and which of ``held`` lose it again.

        Parameters
        ----------
        held : collection of int
            Hashes of the keys that have a slice of their own here.
        now : float
            Monotonic time in seconds.
        """
        self._update_weight(now)
        shares = dict(self.hottest(self.capacity, now))
        since = self.isolated_since = {key: self.isolated_since.get(key, now) for key in isolated}
        judged_before = now - MIN_ISOLATION_HALF_LIVES * self.half_life
        merge = [
            key for key in isolated if shares.get(key, 0.0) < self.exit_share and since[key] <= judged_before
        ]
        isolate: list[int] = []
        if self.total >= self.min_samples * self.decay_weight:
            room = max(0, self.max_isolated - (len(since) - len(merge)))
            hot = [key for key, share in shares.items() if share >= self.enter_share and key not in since]
            isolate = hot[:room]
        return HotKeyChanges(isolate=tuple(isolate), merge=tuple(merge))

    def forget(self, key_hash: int) -> None:
        """Drop a key that has moved to another node, with its requests.

        Without this the key stays among the hottest here for several half-lives, and ``changes`` asks for
        it to be isolated although another node already serves it.
        """
        count = self.counts.pop(key_hash, None)
        if count is not None:
            self.total = max(0.0, self.total - (count - self.overestimates.pop(key_hash)))
            # The free counter will start lower than the others.
            self.min_count = 0.0

    def _try_replace_min(self, key_hash: int, decay_weight: float) -> None:
        counts = self.counts
        victim = min(counts, key=counts.__getitem__)
        min_count = counts[victim]
        bound, self.min_count = self.min_count, min_count
        # The first draw used the lower bound; this one makes up the difference.
        if self.random() * (min_count + decay_weight) >= bound + decay_weight:
            return
        del counts[victim]
        del self.overestimates[victim]
        counts[key_hash] = min_count + decay_weight
        self.overestimates[key_hash] = min_count

    def _update_weight(self, now: float) -> None:
        self.samples_until_update = WEIGHT_UPDATE_SAMPLES
        if self.weight_origin is None:
            self.weight_origin = now
        self.decay_weight = 2.0 ** min(1000.0, max(0.0, (now - self.weight_origin) / self.half_life))
        if self.decay_weight > MAX_DECAY_WEIGHT:
            self._scale_counts(1.0 / self.decay_weight)
            self.weight_origin = now
            self.decay_weight = 1.0

    def _scale_counts(self, factor: float) -> None:
        self.counts = {key: count * factor for key, count in self.counts.items()}
        self.overestimates = {key: error * factor for key, error in self.overestimates.items()}
        self.total *= factor
        self.min_count *= factor
