"""Apply the operator's and the endpoints' tables to the fleet state."""

from __future__ import annotations

from collections import abc
import time

from godwitvalve.fleet import endpoints
from godwitvalve.fleet import state as states
from godwitvalve.lifecycle import supervision
from godwitvalve.logs import repeats
from godwitvalve.logs import setup as logs
from godwitvalve.platform import configuration as wire_configuration
from godwitvalve.platform import endpoints as wire_endpoints
from godwitvalve.platform import rollouts as wire_rollouts
from godwitvalve.platform import store as stores
from godwitvalve.rollouts import orders

# Of the value of a row that is invalid.
MAX_LOGGED_BYTES = 120

_LOG = logs.get('fleet')
_FAILURES = supervision.FailureLog(_LOG)

OnChange = abc.Callable[[], None]
OnRemoved = abc.Callable[[str], None]


class ConfigurationConsumer:
    """Installs newer configurations.

    :param on_change: called after each installation.
    """

    def __init__(self, state: states.FleetState, on_change: OnChange) -> None:
        self._state = state
        self._on_change = on_change

    def apply_changes(self, rows: list[stores.StoredRow]) -> None:
        """Install the newest configuration among changed rows."""
        for row in rows:
            if row.key == wire_configuration.KEY and row.value is not None:
                with _FAILURES.isolate('apply a configuration'):
                    self.apply_content(row.value, 'store')

    def apply_content(self, content: bytes, source: str) -> bool:
        """Decode and install a configuration.

        :param source: where the content was read, for the log.
        :returns: whether it was installed.
        """
        try:
            configuration = wire_configuration.decode(content)
        except wire_configuration.InvalidConfiguration as error:
            _LOG.error(
                'Configuration is invalid.',
                extra={'reason': str(error), 'source': source},
            )
            return False
        if not self._state.install(configuration):
            return False
        _LOG.info(
            'Installed a configuration.',
            extra={'version': configuration.version, 'source': source},
        )
        self._on_change()
        return True


class OrderConsumer:
    """Decodes the operator's roll-out orders.

    :param on_order: called with each valid order.
    """

    def __init__(
        self, on_order: abc.Callable[[orders.RolloutOrder], None]
    ) -> None:
        self._on_order = on_order

    def apply_changes(self, rows: list[stores.StoredRow]) -> None:
        """Apply the orders among changed rows."""
        for row in rows:
            if not wire_rollouts.is_order(row.key) or row.value is None:
                continue
            try:
                order = wire_rollouts.decode_order(row.value, row.version)
            except wire_rollouts.InvalidRollout as error:
                _LOG.error(
                    'Roll-out order is invalid.',
                    extra={'key': row.key, 'reason': str(error)},
                )
                continue
            with _FAILURES.isolate('apply a roll-out order'):
                self._on_order(order)


class OperatorConsumer:
    """Applies the operator's table: configurations and roll-outs."""

    def __init__(
        self, configuration: ConfigurationConsumer, order: OrderConsumer
    ) -> None:
        self._configuration = configuration
        self._order = order

    def apply_snapshot(
        self, rows: list[stores.StoredRow], revision: stores.StoreRevision
    ) -> None:
        """Apply all rows of the operator's table."""
        self.apply_changes(rows)

    def apply_changes(self, rows: list[stores.StoredRow]) -> None:
        """Apply changed rows in the order of their versions."""
        self._configuration.apply_changes(rows)
        self._order.apply_changes(rows)

    def mark_store_restored(self) -> None:
        """Do nothing: rows of operators are compared by their versions."""

    def mark_store_unavailable(self) -> None:
        """Do nothing: installed configurations outlast an outage."""

    def mark_store_available(self, trusted_from_s: float) -> None:
        """Do nothing: installed configurations outlast an outage."""

    def trusted_from_s(self) -> float:
        """Return minus infinity: rows of operators do not expire."""
        return float('-inf')


class EndpointConsumer:
    """Applies the table of endpoints to the registry.

    :param on_removed: called with the id of each removed endpoint.
    """

    def __init__(
        self, state: states.FleetState, on_removed: OnRemoved
    ) -> None:
        self._registry = state.registry
        self._on_removed = on_removed
        self._logged_rows = repeats.RepeatFilter()

    def apply_snapshot(
        self, rows: list[stores.StoredRow], revision: stores.StoreRevision
    ) -> None:
        """Replace the listed endpoints."""
        version = revision.version
        decoded: dict[str, tuple[endpoints.FleetEndpoint, int]] = {}
        for row in rows:
            endpoint = self._decode(row)
            if endpoint is not None:
                decoded[row.key] = (endpoint, row.version)
        before = set(self._registry.ids())
        self._registry.apply_snapshot(decoded, version, time.monotonic())
        for endpoint_id in before - set(self._registry.ids()):
            with _FAILURES.isolate('apply the removal of an endpoint'):
                self._notify_removed(endpoint_id, version)
        _LOG.info(
            'Read the table of endpoints.',
            extra={
                'count': len(decoded),
                'invalid': len(rows) - len(decoded),
                'row_version': version,
            },
        )

    def apply_changes(self, rows: list[stores.StoredRow]) -> None:
        """Apply changed rows in the order of their versions."""
        for row in rows:
            with _FAILURES.isolate('apply the row of an endpoint'):
                self._apply_change(row)

    def _apply_change(self, row: stores.StoredRow) -> None:
        endpoint = self._decode(row)
        if endpoint is None:
            self._remove(row)
        elif self._registry.update(endpoint, row.version):
            _LOG.info(
                'Endpoint added or changed.',
                extra={
                    'endpoint_id': row.key,
                    'is_leaving': endpoint.is_leaving,
                    'row_version': row.version,
                },
            )

    def _remove(self, row: stores.StoredRow) -> None:
        if self._registry.remove(row.key, row.version, time.monotonic()):
            self._notify_removed(row.key, row.version)

    def _notify_removed(self, endpoint_id: str, version: int) -> None:
        _LOG.info(
            'Endpoint removed.',
            extra={'endpoint_id': endpoint_id, 'row_version': version},
        )
        self._on_removed(endpoint_id)

    def mark_store_restored(self) -> None:
        """Handle a copy that may list endpoints which have left."""
        self._registry.mark_store_restored(time.monotonic())

    def expire(self) -> None:
        """Remove endpoints that did not register again after an outage."""
        for endpoint_id in self._registry.expire(time.monotonic()):
            self._notify_removed(endpoint_id, 0)

    def mark_store_unavailable(self) -> None:
        """Handle an outage, in which rows of live endpoints may expire."""
        self._registry.mark_store_unavailable()

    def mark_store_available(self, trusted_from_s: float) -> None:
        """Handle the return of the store; expired rows are written again.

        :param trusted_from_s: monotonic seconds before which removals are
            not trusted.
        """
        self._registry.mark_store_available(time.monotonic(), trusted_from_s)

    def trusted_from_s(self) -> float:
        """Return the monotonic seconds from which removals are trusted."""
        return self._registry.trusted_from_s

    def _decode(self, row: stores.StoredRow) -> endpoints.FleetEndpoint | None:
        if row.value is None:
            return None
        try:
            return wire_endpoints.decode(row.key, row.value)
        except wire_endpoints.InvalidRow as error:
            if self._logged_rows.admits(row.key, time.monotonic()):
                _LOG.warning(
                    'Endpoint row is invalid.',
                    extra={
                        'endpoint_id': row.key,
                        'reason': str(error),
                        'value': repr(row.value[:MAX_LOGGED_BYTES]),
                    },
                )
            return None
