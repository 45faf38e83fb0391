"""Stand-ins for the platform: metadata store and endpoints."""
