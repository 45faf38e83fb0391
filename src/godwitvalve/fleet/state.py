"""State of the fleet as this entry instance knows it."""

from __future__ import annotations

from godwitvalve.fleet import registry
from godwitvalve.fleet import routes


class FleetState:
    """The installed configuration and the registry of endpoints."""

    def __init__(self) -> None:
        self.configuration: routes.Configuration | None = None
        # Era of the store in which the configuration was written at least.
        self.configuration_era = 0
        self.registry = registry.EndpointRegistry(self._is_known_service)

    def _is_known_service(self, service: str) -> bool:
        return (
            self.configuration is not None
            and service in self.configuration.services
        )

    @property
    def version(self) -> int:
        """Return the version of the installed configuration, or 0."""
        return self.configuration.version if self.configuration else 0

    def supersedes(
        self, configuration: routes.Configuration, era: int
    ) -> bool:
        """Tell whether a configuration is newer than the installed one.

        One that was written in a later era is newer whatever its version, as
        operators may continue from an older copy of the store.
        """
        return (era, configuration.version) > (
            self.configuration_era,
            self.version,
        )

    def confirm_era(self, era: int) -> None:
        """Record that the installed configuration was valid in an era."""
        if self.configuration is not None:
            self.configuration_era = max(self.configuration_era, era)

    def install(
        self, configuration: routes.Configuration, era: int = 0
    ) -> bool:
        """Install a configuration if it is newer than the installed one.

        :param era: era of the store in which it was written at least.
        :returns: whether another configuration is in force now.
        """
        if not self.supersedes(configuration, era):
            return False
        self.configuration_era = era
        if (
            self.configuration is not None
            and configuration.version == self.configuration.version
            and configuration.source == self.configuration.source
        ):
            return False
        self.configuration = configuration
        return True
