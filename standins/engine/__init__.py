"""Stand-in model engine for tests and measurements."""
