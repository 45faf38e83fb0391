"""State of the fleet as this entry instance knows it."""

from __future__ import annotations

from godwitvalve.fleet import registry
from godwitvalve.fleet import routes


class FleetState:
    """The installed configuration and the registry of endpoints."""

    def __init__(self) -> None:
        self.configuration: routes.Configuration | None = None
        self.registry = registry.EndpointRegistry()

    @property
    def version(self) -> int:
        """Return the version of the installed configuration, or 0."""
        return self.configuration.version if self.configuration else 0

    def install(self, configuration: routes.Configuration) -> bool:
        """Install a configuration if it is newer than the installed one.

        :returns: whether it was installed.
        """
        if configuration.version <= self.version:
            return False
        self.configuration = configuration
        return True
