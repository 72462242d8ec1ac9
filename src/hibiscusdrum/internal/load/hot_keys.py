"""Hot key detection in bounded memory, and the choice of the keys that get a slice of their own.

Space-saving counters with randomized admission: a key without a counter replaces the key with the smallest
count with probability ``weight / (min_count + weight)``. In plain space-saving each such key replaces one, so
among hundreds of millions of keys the rare ones would evict every key whose share is below ``1 / capacity``.
"""

from __future__ import annotations

import random
from collections.abc import Collection

import msgspec

from hibiscusdrum.errors import InvalidArgument

# Observations between two updates of the decay weight.
WEIGHT_UPDATE_SAMPLES = 64
# Weight at which all counters are scaled down, before floating-point precision is lost.
MAX_DECAY_WEIGHT = 1e9
# Minimum share of a node's requests for a key to be isolated in its own slice. With 16,384 slices on 490
# nodes a slice carries about 3% of its node's requests; isolating a key below that gains little.
ENTER_SHARE = 0.03
# Half of ENTER_SHARE, so that noise and short pauses of a key do not move it back and forth.
EXIT_SHARE = 0.015
# Time, in half-lives, that a newly received hot key stays isolated before its share is evaluated. Its new
# owner has not seen any of its requests yet and would otherwise merge it at once.
MIN_ISOLATION_HALF_LIVES = 2.0


class HotKeyChanges(msgspec.Struct, frozen=True):
    """Keys to isolate in slices of their own, and isolated keys to merge back into their slices."""

    isolate: tuple[int, ...]
    merge: tuple[int, ...]


class HotKeyDetector:
    """Approximate top-k counter of key hashes with exponential decay and bounded memory.

    Parameters
    ----------
    capacity : int
        Number of counters.
    half_life : float
        Seconds after which the weight of an observation has halved.
    rng : random.Random
        Randomness of the admission of new keys.
    enter_share, exit_share : float
        Share of the observed requests from which a key is isolated, and below which it is merged again.
    max_isolated : int
        Maximum number of keys isolated at once.
    min_samples : float
        Decayed number of observations required before ``changes`` isolates any key.
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
        # ``min_count`` is a lower bound, since counters only grow between two scalings. It rejects most keys
        # without a search for the smallest counter.
        elif self.random() * (self.min_count + decay_weight) < decay_weight:
            self._try_replace_min(key_hash, decay_weight)

    def hottest(self, n: int, now: float) -> list[tuple[int, float]]:
        """Return up to ``n`` keys with their estimated share of all requests, hottest first.

        Shares are underestimated: the count that a key took over from its predecessor is subtracted.
        """
        if not self.total:
            return []
        overestimates = self.overestimates
        shares = [(key, (count - overestimates[key]) / self.total) for key, count in self.counts.items()]
        shares.sort(key=lambda entry: (-entry[1], entry[0]))
        return shares[:n]

    def changes(self, isolated: Collection[int], now: float) -> HotKeyChanges:
        """Return which keys to isolate and which of the isolated ones to merge.

        Parameters
        ----------
        isolated : collection of int
            Hashes of the keys that this node holds in slices of their own.
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
        """Remove a key that has moved to another node, together with its observations.

        Otherwise the key would stay among the hottest ones for several half-lives, and ``changes`` would
        isolate it although another node already owns it.
        """
        count = self.counts.pop(key_hash, None)
        if count is not None:
            self.total = max(0.0, self.total - (count - self.overestimates.pop(key_hash)))
            # The counter that is now free starts lower than the others.
            self.min_count = 0.0

    def _try_replace_min(self, key_hash: int, decay_weight: float) -> None:
        counts = self.counts
        victim = min(counts, key=counts.__getitem__)
        min_count = counts[victim]
        bound, self.min_count = self.min_count, min_count
        # ``observe`` admitted the key using the lower bound; this draw corrects for the actual minimum.
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
