"""State of the fleet as this entry instance knows it."""

from __future__ import annotations

from godwitvalve.fleet import registry
from godwitvalve.fleet import revisions
from godwitvalve.fleet import routes


class FleetState:
    """The installed configuration and the registry of endpoints."""

    def __init__(self) -> None:
        self.configuration: routes.Configuration | None = None
        # Eras of the store in which it may have been written.
        self.configuration_eras = revisions.UNKNOWN_ERAS
        self.registry = registry.EndpointRegistry(self._is_known_service)

    def _is_known_service(self, service: str) -> bool:
        return (
            self.configuration is not None
            and service in self.configuration.services
        )

    def health_path(self, service: str) -> str:
        """Return the path of a service's health probe."""
        configuration = self.configuration
        facts = configuration.services.get(service) if configuration else None
        return facts.health_path if facts else '/'

    @property
    def version(self) -> int:
        """Return the version of the installed configuration, or 0."""
        return self.configuration.version if self.configuration else 0

    @property
    def revision(self) -> revisions.ConfigurationRevision:
        """Return the revision of the installed configuration."""
        return revisions.ConfigurationRevision(
            self.version, self.configuration_eras
        )

    def has_content(self, configuration: routes.Configuration) -> bool:
        """Tell whether the installed configuration has the same content."""
        return (
            self.configuration is not None
            and configuration.source == self.configuration.source
        )

    def confirm(self, eras: revisions.EraSpan) -> None:
        """Record when the installed configuration was written, once more."""
        known = self.configuration_eras
        if eras.first > known.first:
            self.configuration_eras = eras
        elif eras.first == known.first:
            self.configuration_eras = min(known, eras)

    def install(
        self,
        configuration: routes.Configuration,
        eras: revisions.EraSpan = revisions.UNKNOWN_ERAS,
    ) -> None:
        """Put a configuration in force in place of the installed one.

        :param eras: eras of the store in which it may have been written.
        """
        self.configuration = configuration
        self.configuration_eras = eras
