"""What this entry instance believes about the fleet."""

from __future__ import annotations

from godwitvalve.fleet import registry
from godwitvalve.fleet import routes


class FleetState:
    """The configuration in force and the listed endpoints."""

    def __init__(self) -> None:
        self.configuration: routes.Configuration | None = None
        self.registry = registry.EndpointRegistry()

    @property
    def version(self) -> int:
        """Return the version in force; 0 if none is."""
        return self.configuration.version if self.configuration else 0

    def install(self, configuration: routes.Configuration) -> bool:
        """Put a configuration in force unless a newer one is.

        :returns: whether it is in force now and was not before.
        """
        if configuration.version <= self.version:
            return False
        self.configuration = configuration
        return True
