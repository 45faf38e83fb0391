"""Randomized soak of the entries: real processes, faults from outside."""
