"""Model engine stand-in for tests and measurements."""
