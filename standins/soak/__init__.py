"""Randomized soak test of entry processes with injected faults."""
