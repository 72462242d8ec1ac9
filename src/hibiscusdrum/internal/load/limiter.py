"""Adaptive limit on the requests in flight to one target, derived from locally measured latency."""

from __future__ import annotations

import msgspec

from hibiscusdrum.errors import InvalidArgument

# Samples per adjustment. The mean of 64 exponentially distributed samples has a relative deviation of 1/8.
WINDOW_SAMPLES = 64
# Completions per step of the ramp. At 2 ms per request a ramp of eight steps takes about 0.7 s, well within
# the 5 s in which a key must be served again. Shorter steps risk exceeding what a target that warms up can
# handle.
RAMP_STEP_COMPLETIONS = 128
# A mean latency above this multiple of the baseline means that requests queue at the target. The ramp uses
# the stricter value because its baseline was measured moments ago; in steady state there must be room for
# changes in the mix of requests and for delays in this process.
RAMP_LATENCY_TOLERANCE = 1.4
STEADY_LATENCY_TOLERANCE = 2.0
# Shorter samples are raised to this value, since most of such a sample is time in this process's event loop,
# which grows with the requests in flight. Without it the limit for a target that answers in 0.1 ms stayed at
# 1.6.
MIN_LATENCY_SECONDS = 0.001
# Samples above this multiple of the baseline count as evidence of a latency jump. An exponentially
# distributed sample exceeds it with probability 0.018, so six in a row happen by chance about once in 3e10
# samples.
LATENCY_JUMP_FACTOR = 4.0
LATENCY_JUMP_SAMPLES = 6
MIN_CUT_FACTOR = 0.5
BASELINE_FALL_EWMA_WEIGHT = 0.5
BASELINE_RISE_EWMA_WEIGHT = 0.01
# A failure adds 1 to the score and a success subtracts this; the limit is cut when the score reaches the
# threshold. Failures of up to a tenth of the requests do not accumulate, so sporadic ones cost no capacity.
FAILURE_SCORE_DECREMENT = 0.125
FAILURE_SCORE_THRESHOLD = 4.0
FAILURE_CUT_FACTOR = 0.7
# If the limit has been cut to the first fraction of its former value and the latency is still above the
# second fraction of its former value, the requests are not queueing: they take longer, which no lower limit
# can change.
SLOWDOWN_LIMIT_RATIO = 0.6
SLOWDOWN_LATENCY_RATIO = 0.85
# Maximum number of windows without growth after repeated cuts at the same limit.
MAX_HOLD_WINDOWS = 8


class ColdStart(msgspec.Struct, frozen=True):
    """Ramp of a target that can handle only a few requests at first.

    Attributes
    ----------
    first_limit : float
        Limit at the start of the ramp.
    completions_per_slot : int
        Completions at the current limit before the limit grows by one.
    """

    first_limit: float = 1.0
    completions_per_slot: int = RAMP_STEP_COMPLETIONS


DEFAULT_COLD_START = ColdStart()


class ConcurrencyLimiter:
    """Adaptive limit on the requests in flight to one target.

    Parameters
    ----------
    slots : int
        Requests that a warm target runs concurrently; upper bound of the limit.
    cold_start : ColdStart
        Ramp for a new target and for one that has become cold.

    Attributes
    ----------
    limit : float
        Current limit; its integer part is enforced.
    in_flight : int
        Requests acquired and neither completed nor released.
    baseline : float
        Latency of the target without queueing, in seconds; 0 until the first window is complete.
    long_term_baseline : float
        Like ``baseline``, but kept when the ramp restarts.
    last_window_latency : float
        Mean latency of the last window in seconds.
    ramping : bool
        Whether the target has yet to show that it can handle the full number of slots.
    ramp_restarts : int
        Number of times the ramp was restarted.
    """

    __slots__ = (
        "baseline",
        "cold_start",
        "failure_score",
        "first_slow_at",
        "hold_windows",
        "in_flight",
        "last_cut_at",
        "last_window_latency",
        "latency_sum",
        "limit",
        "limit_before_cut",
        "long_term_baseline",
        "next_hold_windows",
        "overload_latency",
        "overload_limit",
        "peak_in_flight",
        "ramp_restarts",
        "ramping",
        "sample_count",
        "slots",
        "slow_sample_count",
    )

    def __init__(self, slots: int = 9, cold_start: ColdStart = DEFAULT_COLD_START) -> None:
        if slots < 1:
            raise InvalidArgument(name="slots", value=slots, expected="at least 1")
        if cold_start.completions_per_slot < 1:
            value = cold_start.completions_per_slot
            raise InvalidArgument(name="completions_per_slot", value=value, expected="at least 1")
        if cold_start.first_limit < 1.0:
            raise InvalidArgument(name="first_limit", value=cold_start.first_limit, expected="at least 1")
        self.slots = slots
        self.cold_start = cold_start
        self.in_flight = 0
        self.long_term_baseline = 0.0
        self.last_window_latency = 0.0
        self.ramp_restarts = -1
        self.restart_ramp(0.0)

    def restart_ramp(self, now: float) -> None:
        """Restart the ramp, for a new target or one that has become cold."""
        self.limit = min(self.cold_start.first_limit, float(self.slots))
        self.baseline = 0.0
        self.ramping = True
        self.ramp_restarts += 1
        self.slow_sample_count = 0
        self.first_slow_at = now
        self.last_cut_at = now
        self.limit_before_cut = self.slots + 1.0
        self.hold_windows = 0
        self.next_hold_windows = 1
        self.overload_limit = 0.0
        self.overload_latency = 0.0
        self._clear_window()

    @property
    def slowdown(self) -> float:
        """Return the last window's mean latency relative to the long-term baseline; 1 without samples.

        Samples are clipped at ``LATENCY_JUMP_FACTOR`` times the baseline, so large values are underestimates.
        """
        return self.last_window_latency / self.long_term_baseline if self.long_term_baseline else 1.0

    def can_acquire(self, now: float) -> bool:
        """Return whether ``try_acquire`` would succeed now."""
        return self.in_flight < int(self.limit)

    def try_acquire(self, now: float) -> bool:
        """Acquire a slot if the limit allows it."""
        if self.in_flight >= int(self.limit):
            return False
        self.in_flight += 1
        if self.in_flight > self.peak_in_flight:
            self.peak_in_flight = self.in_flight
        return True

    def release(self) -> None:
        """Release a slot without a latency sample, for a request that was never sent to the target."""
        if self.in_flight > 0:
            self.in_flight -= 1

    def on_complete(self, latency_seconds: float, ok: bool, now: float) -> None:
        """Release a slot and record the request's latency.

        Parameters
        ----------
        latency_seconds : float
            Time from sending the request to receiving its complete answer.
        ok : bool
            False if the target shed the request, failed to answer or timed out. An application error counts
            as ok, because the target handled the request.
        now : float
            Monotonic time in seconds.
        """
        if self.in_flight > 0:
            self.in_flight -= 1
        if not ok:
            self._on_failure(latency_seconds, now)
            return
        # The latency of requests sent before the last cut does not reflect the lower limit.
        if now - latency_seconds < self.last_cut_at:
            return
        if self.failure_score > 0.0:
            self.failure_score -= FAILURE_SCORE_DECREMENT
        latency_seconds = max(latency_seconds, MIN_LATENCY_SECONDS)
        max_sample = LATENCY_JUMP_FACTOR * self.baseline
        if 0.0 < max_sample < latency_seconds:
            self._on_slow_sample(latency_seconds, now)
            # Clipped so that a few stalled requests, such as lineage checks, do not dominate the mean.
            latency_seconds = max_sample
        else:
            self.slow_sample_count = 0
        self.latency_sum += latency_seconds
        self.sample_count += 1
        if self.sample_count >= (self.cold_start.completions_per_slot if self.ramping else WINDOW_SAMPLES):
            self._adjust(now)

    def _on_slow_sample(self, latency: float, now: float) -> None:
        # Only requests sent after the first slow answer count. A pause of this process or a short stall of
        # the target delays everything in flight once, and predicts nothing about later requests.
        if self.slow_sample_count == 0:
            self.first_slow_at = now
            self.slow_sample_count = 1
        elif now - latency >= self.first_slow_at:
            self.slow_sample_count += 1
            if self.slow_sample_count >= LATENCY_JUMP_SAMPLES and self.limit >= 2.0:
                self.restart_ramp(now)

    def _on_failure(self, latency: float, now: float) -> None:
        if now - latency < self.last_cut_at:
            return
        self.failure_score += 1.0
        if self.failure_score >= FAILURE_SCORE_THRESHOLD:
            self._cut(FAILURE_CUT_FACTOR, now)

    def _adjust(self, now: float) -> None:
        mean = self.last_window_latency = self.latency_sum / self.sample_count
        self._update_baseline(mean)
        tolerance = RAMP_LATENCY_TOLERANCE if self.ramping else STEADY_LATENCY_TOLERANCE
        if mean > tolerance * self.baseline:
            if self._is_lasting_slowdown(mean):
                self._adopt_baseline(mean)
            else:
                # The target's capacity has dropped, so growth uses the stricter tolerance of the ramp again.
                self.ramping = True
                self._cut(max(MIN_CUT_FACTOR, self.baseline / mean), now)
            return
        self.overload_limit = 0.0
        if int(self.limit) >= self.limit_before_cut and not self.ramping:
            self.next_hold_windows = 1
        if self.hold_windows > 0:
            self.hold_windows -= 1
        elif self.peak_in_flight >= int(self.limit):
            self._grow()
        self._clear_window()

    def _is_lasting_slowdown(self, mean: float) -> bool:
        if not self.overload_limit:
            if not self.ramping:
                self.overload_limit = self.limit
                self.overload_latency = mean
            return False
        return (
            self.limit <= SLOWDOWN_LIMIT_RATIO * self.overload_limit
            and mean >= SLOWDOWN_LATENCY_RATIO * self.overload_latency
        )

    def _adopt_baseline(self, mean: float) -> None:
        self.baseline = self.long_term_baseline = mean
        self.limit = self.overload_limit
        self.ramping = False
        self.overload_limit = 0.0
        self.hold_windows = 0
        self.next_hold_windows = 1
        self._clear_window()

    def _update_baseline(self, mean: float) -> None:
        # A single request at a time cannot queue behind others, so its latency is the baseline. This also
        # accepts a lasting change, such as heavier requests, which would otherwise hold the limit at 1.
        if self.limit < 2.0 or not self.baseline:
            self.baseline = mean
        else:
            self.baseline = _track_minimum(self.baseline, mean)
        self.long_term_baseline = _track_minimum(self.long_term_baseline or mean, mean)

    def _grow(self) -> None:
        if self.limit >= self.slots:
            self.ramping = False
            self.next_hold_windows = 1
        self.limit = min(float(self.slots), self.limit + 1.0)
        # After a ramp step that came too early, every further step takes longer.
        if self.ramping:
            self.hold_windows = self.next_hold_windows - 1

    def _cut(self, factor: float, now: float) -> None:
        self.limit_before_cut = int(self.limit)
        self.limit = max(1.0, self.limit * factor)
        self.last_cut_at = now
        self.hold_windows = self.next_hold_windows
        self.next_hold_windows = min(MAX_HOLD_WINDOWS, 2 * self.next_hold_windows)
        self._clear_window()

    def _clear_window(self) -> None:
        self.latency_sum = 0.0
        self.sample_count = 0
        self.failure_score = 0.0
        self.peak_in_flight = self.in_flight


def _track_minimum(baseline: float, mean: float) -> float:
    """Move a running minimum quickly down or slowly up towards a window's mean."""
    return baseline + (mean - baseline) * (
        BASELINE_FALL_EWMA_WEIGHT if mean < baseline else BASELINE_RISE_EWMA_WEIGHT
    )
