"""Engine of the caller's library."""
