"""Randomized fault soak: real routers under faults from outside, checked by what callers and targets see."""
