"""Stand-ins for the users' platform: its store and its endpoints."""
