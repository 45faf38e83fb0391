"""Take the operator's and the endpoints' tables into the fleet state."""

from __future__ import annotations

from collections import abc
import time

from godwitvalve.fleet import endpoints
from godwitvalve.fleet import state as states
from godwitvalve.logs import setup as logs
from godwitvalve.platform import configuration as wire_configuration
from godwitvalve.platform import endpoints as wire_endpoints
from godwitvalve.platform import rollouts as wire_rollouts
from godwitvalve.platform import store as stores
from godwitvalve.rollouts import orders

_LOG = logs.get('fleet')

OnChange = abc.Callable[[], None]
OnGone = abc.Callable[[str], None]


class ConfigurationReader:
    """Puts newer configurations in force.

    :param on_change: called after each one.
    """

    def __init__(self, state: states.FleetState, on_change: OnChange) -> None:
        self._state = state
        self._on_change = on_change

    def take_changes(self, rows: list[stores.StoredRow]) -> None:
        """Take the newest configuration among changed rows."""
        for row in rows:
            if row.key == wire_configuration.KEY and row.value is not None:
                self.take_content(row.value, 'store')

    def take_content(self, content: bytes, source: str) -> bool:
        """Take the bytes of a configuration.

        :param source: where they were read, for the log.
        :returns: whether it is newly in force.
        """
        try:
            configuration = wire_configuration.decode(content)
        except wire_configuration.DamagedConfiguration as error:
            _LOG.error(
                'A configuration cannot be read.',
                extra={'reason': str(error), 'source': source},
            )
            return False
        if not self._state.install(configuration):
            return False
        _LOG.info(
            'A configuration is in force.',
            extra={'version': configuration.version, 'source': source},
        )
        self._on_change()
        return True


class OrderReader:
    """Takes the operator's roll-outs.

    :param on_order: called with each order that is read.
    """

    def __init__(
        self, on_order: abc.Callable[[orders.RolloutOrder], None]
    ) -> None:
        self._on_order = on_order

    def take_changes(self, rows: list[stores.StoredRow]) -> None:
        """Take the orders among changed rows."""
        for row in rows:
            if not wire_rollouts.is_order(row.key) or row.value is None:
                continue
            try:
                order = wire_rollouts.decode_order(row.value, row.version)
            except wire_rollouts.DamagedRollout as error:
                _LOG.error(
                    'An order cannot be read.',
                    extra={'key': row.key, 'reason': str(error)},
                )
                continue
            self._on_order(order)


class OperatorReader:
    """Takes the operator's table: configurations and roll-outs."""

    def __init__(
        self, configuration: ConfigurationReader, order: OrderReader
    ) -> None:
        self._configuration = configuration
        self._order = order

    def take_all(self, rows: list[stores.StoredRow], version: int) -> None:
        """Take all rows of the operator's table."""
        self.take_changes(rows)

    def take_changes(self, rows: list[stores.StoredRow]) -> None:
        """Take changed rows in order."""
        self._configuration.take_changes(rows)
        self._order.take_changes(rows)

    def lost(self) -> None:
        """Nothing depends on the store for what is in force."""

    def regained(self, trusted_from_s: float) -> None:
        """Nothing depends on the store for what is in force."""

    def trusted_from_s(self) -> float:
        """Return a time that has passed: rows of operators do not lapse."""
        return float('-inf')


class EndpointReader:
    """Keeps the registry of endpoints.

    :param on_gone: called with the id of an endpoint that is gone.
    """

    def __init__(self, state: states.FleetState, on_gone: OnGone) -> None:
        self._registry = state.registry
        self._on_gone = on_gone

    def take_all(self, rows: list[stores.StoredRow], version: int) -> None:
        """Replace what is listed."""
        decoded: dict[str, tuple[endpoints.FleetEndpoint, int]] = {}
        for row in rows:
            endpoint = _decode(row)
            if endpoint is not None:
                decoded[row.key] = (endpoint, row.version)
        before = set(self._registry.ids())
        self._registry.replace(decoded, version, time.monotonic())
        for endpoint_id in before - set(self._registry.ids()):
            self._note_gone(endpoint_id, version)
        _LOG.info(
            'Endpoints were read.',
            extra={'count': len(decoded), 'row_version': version},
        )

    def take_changes(self, rows: list[stores.StoredRow]) -> None:
        """Take changed rows in order."""
        for row in rows:
            endpoint = _decode(row)
            if endpoint is None:
                self._remove(row)
            elif self._registry.update(endpoint, row.version):
                _LOG.info(
                    'An endpoint is listed.',
                    extra={
                        'endpoint_id': row.key,
                        'is_leaving': endpoint.is_leaving,
                        'row_version': row.version,
                    },
                )

    def _remove(self, row: stores.StoredRow) -> None:
        if self._registry.remove(row.key, row.version, time.monotonic()):
            self._note_gone(row.key, row.version)

    def _note_gone(self, endpoint_id: str, version: int) -> None:
        _LOG.info(
            'An endpoint is no longer listed.',
            extra={'endpoint_id': endpoint_id, 'row_version': version},
        )
        self._on_gone(endpoint_id)

    def expire(self) -> None:
        """Drop endpoints that did not come back after an outage."""
        for endpoint_id in self._registry.expire(time.monotonic()):
            self._note_gone(endpoint_id, 0)

    def lost(self) -> None:
        """Note that rows may lapse without their endpoints being gone."""
        self._registry.store_lost()

    def regained(self, trusted_from_s: float) -> None:
        """Note that lapsed rows are about to come back.

        :param trusted_from_s: removals are not trusted before this.
        """
        self._registry.store_regained(time.monotonic(), trusted_from_s)

    def trusted_from_s(self) -> float:
        """Return from when on removals are trusted."""
        return self._registry.trusted_from_s


def _decode(row: stores.StoredRow) -> endpoints.FleetEndpoint | None:
    if row.value is None:
        return None
    try:
        return wire_endpoints.decode(row.key, row.value)
    except wire_endpoints.DamagedRow as error:
        _LOG.warning(
            'A row names no endpoint.',
            extra={'endpoint_id': row.key, 'reason': str(error)},
        )
        return None
