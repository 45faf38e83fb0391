"""State of the fleet as this entry instance knows it."""

from __future__ import annotations

from godwitvalve.fleet import registry
from godwitvalve.fleet import routes
from godwitvalve.platform import store as stores

# Of a configuration of which it is not known where the store has it.
UNKNOWN_ROW = stores.StoreRevision(0, 0)


class FleetState:
    """The installed configuration and the registry of endpoints."""

    def __init__(self) -> None:
        self.configuration: routes.Configuration | None = None
        # Era of the store in which the configuration was written at least.
        self.configuration_era = 0
        # Its row in the newest table of the store that is known to have it.
        self.configuration_row = UNKNOWN_ROW
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

    @property
    def configuration_row_version(self) -> int:
        """Return the row version in the era of the configuration, or 0."""
        row = self.configuration_row
        return row.version if row.era == self.configuration_era else 0

    def confirm_row(self, known: stores.StoreRevision) -> None:
        """Compare the installed configuration with that of another entry.

        Load pattern: an entry starts, or reads the store again after others
        did, and the first table that it reads holds a newer configuration
        than theirs. Where both rows are known in the same era, the later one
        was written in that era, whatever was read first.

        :param known: row of the other configuration in its era; its version
            is 0 if it is not known.
        """
        row = self.configuration_row
        if row.era == known.era and 0 < known.version <= row.version:
            self.confirm_era(known.era)

    def install(
        self,
        configuration: routes.Configuration,
        era: int = 0,
        row: stores.StoreRevision = UNKNOWN_ROW,
    ) -> bool:
        """Install a configuration if it is newer than the installed one.

        :param era: era of the store in which it was written at least.
        :param row: its row in the table of an era, if it is known.
        :returns: whether another configuration is in force now.
        """
        is_same = (
            self.configuration is not None
            and configuration.version == self.configuration.version
            and configuration.source == self.configuration.source
        )
        if is_same:
            self.configuration_row = max(self.configuration_row, row)
        if not self.supersedes(configuration, era):
            return False
        self.configuration_era = era
        if is_same:
            return False
        self.configuration = configuration
        self.configuration_row = row
        return True
