"""Expected cost of requests by cost class, learned from service times.

It handles classes whose costs differ by a factor of ten, vary within the class by several times the mean, and
may change abruptly, for example with a release of the target.
"""

from __future__ import annotations

import math

# Number of samples after which a new one has constant weight. With costs that vary as much as their mean, the
# mean of 50 samples is wrong by about 10 %.
MAX_WEIGHT_SAMPLES = 50.0
# Weight of a sample in the fast mean that detects abrupt changes: about ten samples.
FAST_SMOOTHING = 0.2
# The fast mean replaces the slow one when they differ by this many standard errors and by this factor. Costs
# have long tails, so a smaller difference is often due to one expensive request.
CHANGE_STANDARD_ERRORS = 3.0
CHANGE_FACTOR = 1.5
# Samples that the mean counts as after an abrupt change, and that a change needs.
CHANGED_SAMPLES = 5.0
# Time constant with which samples lose weight if no others replace them.
FORGETTING_SECONDS = 300.0
# Costs are kept for this many classes; the names of routes are far fewer. All further classes share one.
MAX_CLASSES = 256
OTHER_CLASS = ""
# Cost assumed before the first sample of any class.
INITIAL_COST_SECONDS = 0.15
MIN_COST_SECONDS = 0.001
# Variance relative to the squared mean that is assumed for a class without samples: that of an exponential
# distribution.
INITIAL_RELATIVE_VARIANCE = 1.0
# Bounds of the speed of a target relative to the others of its service; targets differ by less.
MIN_RELATIVE_COST = 0.1
MAX_RELATIVE_COST = 10.0
# Weight of a reported cost in what is known about a class and about a target. The reports are means already.
REPORT_SMOOTHING = 0.1


class CostEstimate:
    """Mean and variance of one class.

    Attributes
    ----------
    mean, variance : float
        In seconds and squared seconds.
    fast_mean : float
        Mean of about the last ten samples.
    samples : float
        Number of samples, as far as they are not forgotten.
    updated_at : float
        Monotonic time in seconds of the last sample.
    """

    __slots__ = ("fast_mean", "mean", "samples", "updated_at", "variance")

    def __init__(self, mean: float) -> None:
        self.mean = mean
        self.variance = INITIAL_RELATIVE_VARIANCE * mean * mean
        self.fast_mean = mean
        self.samples = 0.0
        self.updated_at = float("-inf")

    def record(self, seconds: float, now: float) -> None:
        """Add a sample."""
        if self.samples:
            self.samples *= math.exp(min(0.0, self.updated_at - now) / FORGETTING_SECONDS)
        self.updated_at = now
        self.samples = min(self.samples + 1.0, MAX_WEIGHT_SAMPLES)
        weight = 1.0 / self.samples if self.samples > 1.0 else 1.0
        difference = seconds - self.mean
        self.mean += difference * weight
        # The first sample tells nothing about the variance, so the assumed one counts as a sample too.
        self.variance += (difference * (seconds - self.mean) - self.variance) / (self.samples + 1.0)
        self.fast_mean += (seconds - self.fast_mean) * max(FAST_SMOOTHING, weight)
        if self.has_changed():
            self.mean = self.fast_mean
            self.variance = min(self.variance, INITIAL_RELATIVE_VARIANCE * self.mean * self.mean)
            self.samples = CHANGED_SAMPLES

    def has_changed(self) -> bool:
        """Return whether the last samples show that the cost of the class has changed abruptly."""
        if self.samples <= 2.0 * CHANGED_SAMPLES:
            return False
        low, high = sorted((self.fast_mean, self.mean))
        standard_error = math.sqrt(max(0.0, self.variance) * FAST_SMOOTHING / (2.0 - FAST_SMOOTHING))
        return high > CHANGE_FACTOR * low and high - low > CHANGE_STANDARD_ERRORS * standard_error

    @property
    def relative_variance(self) -> float:
        """Variance relative to the squared mean: 0 for constant costs, 1 for exponential ones."""
        return self.variance / (self.mean * self.mean) if self.mean > 0.0 else INITIAL_RELATIVE_VARIANCE


class CostModel:
    """Expected cost of the requests to one target, in seconds at its usual speed.

    Attributes
    ----------
    overall : CostEstimate
        Costs of all requests.
    """

    __slots__ = ("classes", "overall")

    def __init__(self) -> None:
        self.overall = CostEstimate(INITIAL_COST_SECONDS)
        self.classes: dict[str, CostEstimate] = {}

    def estimate(self, cost_class: str) -> CostEstimate:
        """Return the costs of a class, or those of all requests if none of the class has ended."""
        return self.classes.get(cost_class) or self.classes.get(OTHER_CLASS) or self.overall

    def expected(self, cost_class: str) -> float:
        """Return the expected cost of a request."""
        return max(MIN_COST_SECONDS, self.estimate(cost_class).mean)

    def remaining(self, cost_class: str, progress: float) -> float:
        """Return the expected further cost of a request on which ``progress`` seconds of work are done.

        Exact for constant and for exponential costs; otherwise an interpolation.
        """
        estimate = self.estimate(cost_class)
        mean = max(MIN_COST_SECONDS, estimate.mean)
        tail = min(1.0, estimate.relative_variance)
        return (1.0 - tail) * max(0.0, mean - progress) + tail * mean

    def record(self, cost_class: str, seconds: float, now: float) -> None:
        """Learn from the service time of a request, in seconds at the usual speed of the target."""
        if not 0.0 <= seconds < math.inf:
            return
        self.overall.record(seconds, now)
        if cost_class not in self.classes and len(self.classes) >= MAX_CLASSES:
            cost_class = OTHER_CLASS
        estimate = self.classes.get(cost_class)
        if estimate is None:
            estimate = self.classes[cost_class] = CostEstimate(seconds)
        estimate.record(seconds, now)


class ClassCosts:
    """Costs of classes and relative costs of targets, learned from the reports of many targets.

    A target of relative cost 2 needs twice as long for each class as one of relative cost 1. Only ratios
    between targets have a meaning: the first target that reports gets 1.

    Attributes
    ----------
    costs : dict of (str, str) to float
        Mean cost in seconds by service and class.
    relative_costs : dict of str to float
        Relative cost by node.
    """

    __slots__ = ("costs", "relative_costs")

    def __init__(self) -> None:
        self.costs: dict[tuple[str, str], float] = {}
        self.relative_costs: dict[str, float] = {}

    def record(self, node: str, key: tuple[str, str], seconds: float) -> None:
        """Learn from the mean cost of a class at a node's target; 0 or an invalid value is ignored."""
        if not 0.0 < seconds < math.inf:
            return
        seconds = max(MIN_COST_SECONDS, seconds)
        cost = self.costs.get(key)
        if cost is None:
            if len(self.costs) >= MAX_CLASSES:
                return
            cost = self.costs[key] = seconds / self.relative_cost(node)
        relative = self.relative_costs.get(node)
        ratio = seconds / cost
        if relative is None:
            relative = ratio
        # Of each difference, the larger part is attributed to the target, of which fewer reports arrive.
        error = math.log(ratio / relative)
        relative *= math.exp(2.0 * REPORT_SMOOTHING * error)
        self.relative_costs[node] = min(MAX_RELATIVE_COST, max(MIN_RELATIVE_COST, relative))
        self.costs[key] = cost * math.exp(REPORT_SMOOTHING * error)

    def relative_cost(self, node: str) -> float:
        """Return the relative cost of requests at a node's target; 1 if unknown."""
        return self.relative_costs.get(node, 1.0)

    def expected(self, node: str, key: tuple[str, str]) -> float | None:
        """Return the expected cost of a class at a node's target; None if either is unknown."""
        cost, relative = self.costs.get(key), self.relative_costs.get(node)
        return cost * relative if cost is not None and relative is not None else None
