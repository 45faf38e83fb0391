"""Apply the operator's and the endpoints' tables to the fleet state."""

from __future__ import annotations

from collections import abc
import hashlib
import time
from typing import NamedTuple

from godwitvalve.fleet import endpoints
from godwitvalve.fleet import revisions
from godwitvalve.fleet import routes
from godwitvalve.fleet import row_history
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

# Operators may write several lost configurations again, one after the other.
# A lower version is installed only if none follows it for this long.
LOWER_VERSION_DELAY_S = 1.0
# Bounds the delay while lower versions follow one another.
MAX_LOWER_VERSION_DELAY_S = 1.5
# Copies of the store are some seconds old.
MAX_COPY_AGE_S = 60.0
# Configurations that were in force and are remembered, as operators may write
# lost ones again.
MAX_REPLACED = 64

OnChange = abc.Callable[[], None]
OnRemoved = abc.Callable[[str], None]


class _Decoded(NamedTuple):
    """A configuration, and how long it took to decode."""

    configuration: routes.Configuration
    taken_ms: float


class _Deferred(NamedTuple):
    """A configuration with a lower version than the one it replaces."""

    decoded: _Decoded
    eras: revisions.EraSpan
    replaced: routes.Configuration | None
    due_s: float
    latest_s: float


class ConfigurationConsumer:
    """Installs newer configurations.

    Load pattern: the store comes back from an older copy. Its configuration
    is older than the installed one, until operators write the newest one
    again or the next one, whose version may be lower or the same. They may
    write all lost ones again in their order.

    :param on_change: called after each installation.
    """

    def __init__(self, state: states.FleetState, on_change: OnChange) -> None:
        self._state = state
        self._on_change = on_change
        self._deferred: _Deferred | None = None
        # Digests of configurations that were in force here, oldest first.
        self._replaced: dict[bytes, None] = {}
        # Digest of the row that was read from the store last.
        self._stored: bytes | None = None

    def apply_changes(
        self,
        rows: list[stores.StoredRow],
        eras: revisions.EraSpan,
        may_be_copied: bool,
        now_s: float,
    ) -> None:
        """Install the newest configuration among changed rows.

        :param eras: eras of the store in which they may have been written.
        :param may_be_copied: whether they may be rows of an older copy.
        :param now_s: monotonic seconds.
        """
        for row in rows:
            if row.key == wire_configuration.KEY and row.value is not None:
                with _FAILURES.isolate('apply a configuration'):
                    self._apply_row(row.value, eras, may_be_copied, now_s)

    def _apply_row(
        self,
        content: bytes,
        eras: revisions.EraSpan,
        may_be_copied: bool,
        now_s: float,
    ) -> None:
        decoded = _decode_configuration(content, 'store')
        if decoded is None:
            return
        configuration = decoded.configuration
        deferred, self._deferred = self._deferred, None
        previous, self._stored = self._stored, _digest(content)
        if self._state.has_content(configuration):
            self._state.confirm(eras)
        elif not self._is_newer(configuration, eras, may_be_copied, previous):
            self._log_kept(configuration, eras, 'store')
        elif configuration.version < self._state.version:
            self._defer(decoded, eras, deferred, now_s)
        else:
            self._install(decoded, eras, 'store')

    def _is_newer(
        self,
        configuration: routes.Configuration,
        eras: revisions.EraSpan,
        may_be_copied: bool,
        previous: bytes | None,
    ) -> bool:
        """Tell whether the store holds a newer one than the installed one.

        :param previous: digest of the row that the store held before.
        """
        installed = self._state.configuration
        is_lower = configuration.version < self._state.version
        if self._stored in self._replaced and (may_be_copied or is_lower):
            return False
        revision = revisions.ConfigurationRevision(configuration.version, eras)
        if revision.supersedes(self._state.revision):
            return True
        if may_be_copied or installed is None:
            return False
        # The store has replaced what is in force, or its content.
        return (
            previous == _digest(installed.source)
            or configuration.version == installed.version
        )

    def _defer(
        self,
        decoded: _Decoded,
        eras: revisions.EraSpan,
        deferred: _Deferred | None,
        now_s: float,
    ) -> None:
        """Install a lower version later, if no other one follows it.

        :param deferred: the one that it follows.
        """
        latest_s = (
            now_s + MAX_LOWER_VERSION_DELAY_S
            if deferred is None
            else deferred.latest_s
        )
        self._deferred = _Deferred(
            decoded,
            eras,
            self._state.configuration,
            min(now_s + LOWER_VERSION_DELAY_S, latest_s),
            latest_s,
        )

    def install_deferred(self, now_s: float) -> None:
        """Install a lower version that no other one followed.

        :param now_s: monotonic seconds.
        """
        if self._deferred is None or now_s < self._deferred.due_s:
            return
        deferred, self._deferred = self._deferred, None
        revision = revisions.ConfigurationRevision(
            deferred.decoded.configuration.version, deferred.eras
        )
        is_still_newer = (
            deferred.replaced is self._state.configuration
            or revision.supersedes(self._state.revision)
        )
        if is_still_newer:
            self._install(deferred.decoded, deferred.eras, 'store')

    def apply_content(
        self, content: bytes, eras: revisions.EraSpan, source: str
    ) -> bool:
        """Decode and install a configuration of another entry.

        One that was in force here and was replaced is not installed again.

        :param eras: eras of the store in which it may have been written.
        :param source: the entry, for the log.
        :returns: whether it is in force now.
        """
        decoded = _decode_configuration(content, source)
        if decoded is None:
            return False
        configuration = decoded.configuration
        if self._state.has_content(configuration):
            self._state.confirm(eras)
            return True
        revision = revisions.ConfigurationRevision(configuration.version, eras)
        if _digest(content) in self._replaced or not revision.supersedes(
            self._state.revision
        ):
            self._log_kept(configuration, eras, source)
            return False
        self._install(decoded, eras, source)
        return True

    def _install(
        self,
        decoded: _Decoded,
        eras: revisions.EraSpan,
        source: str,
    ) -> None:
        configuration = decoded.configuration
        began_s = time.monotonic()
        installed_version = self._state.version
        installed = self._state.configuration
        if installed is not None:
            self._remember_replaced(_digest(installed.source))
        self._replaced.pop(_digest(configuration.source), None)
        self._state.install(configuration, eras)
        self._on_change()
        self._log(
            'Installed a configuration.',
            configuration,
            eras,
            source,
            installed_version=installed_version,
            size_bytes=len(configuration.source),
            decode_ms=decoded.taken_ms,
            install_ms=_since_ms(began_s),
        )

    def _remember_replaced(self, digest: bytes) -> None:
        self._replaced.pop(digest, None)
        self._replaced[digest] = None
        while len(self._replaced) > MAX_REPLACED:
            self._replaced.pop(next(iter(self._replaced)))

    def _log_kept(
        self,
        configuration: routes.Configuration,
        eras: revisions.EraSpan,
        source: str,
    ) -> None:
        self._log(
            'Kept the installed configuration.', configuration, eras, source
        )

    def _log(
        self,
        message: str,
        configuration: routes.Configuration,
        eras: revisions.EraSpan,
        source: str,
        **details: float,
    ) -> None:
        _LOG.info(
            message,
            extra={
                'version': configuration.version,
                'installed_version': self._state.version,
                'eras': eras,
                'source': source,
                **details,
            },
        )


def _digest(content: bytes) -> bytes:
    return hashlib.sha256(content).digest()


def _since_ms(began_s: float) -> float:
    return round((time.monotonic() - began_s) * 1000, 1)


def _decode_configuration(content: bytes, source: str) -> _Decoded | None:
    began_s = time.monotonic()
    try:
        configuration = wire_configuration.decode(content)
        return _Decoded(configuration, _since_ms(began_s))
    except wire_configuration.InvalidConfiguration as error:
        _LOG.error(
            'Configuration is invalid.',
            extra={'reason': str(error), 'source': source},
        )
        return None


class OrderConsumer:
    """Decodes the operator's roll-out orders.

    :param on_order: called with each valid order, and whether it may be that
        of an older copy of the store.
    """

    def __init__(
        self, on_order: abc.Callable[[orders.RolloutOrder, bool], None]
    ) -> None:
        self._on_order = on_order

    def apply_changes(
        self, rows: list[stores.StoredRow], era: int, may_be_copied: bool
    ) -> None:
        """Apply the orders among changed rows.

        :param era: era of the store in which they were written at least.
        """
        for row in rows:
            if not wire_rollouts.is_order(row.key) or row.value is None:
                continue
            try:
                order = wire_rollouts.decode_order(row.value, row.version, era)
            except wire_rollouts.InvalidRollout as error:
                _LOG.error(
                    'Roll-out order is invalid.',
                    extra={'key': row.key, 'reason': str(error)},
                )
                continue
            with _FAILURES.isolate('apply a roll-out order'):
                self._on_order(order, may_be_copied)


class _PastEra(NamedTuple):
    history: row_history.RowHistory
    ended_s: float


class OperatorConsumer:
    """Applies the operator's table: configurations and roll-outs.

    The first table of an era may be that of a copy, which is older than what
    is known. Its rows count as written in the era before, unless the table
    cannot have had them then. Rows that change afterwards count as written
    in the new one.

    :param on_era: called with each new era.
    """

    def __init__(
        self,
        configuration: ConfigurationConsumer,
        order: OrderConsumer,
        on_era: abc.Callable[[int], None] = lambda era: None,
    ) -> None:
        self._configuration = configuration
        self._order = order
        self._on_era = on_era
        # Revision of the first table of the current era.
        self._first: stores.StoreRevision | None = None
        # Greatest era that was read; it does not go back.
        self._era = 0
        # Era in which the rows of the first table were written at least.
        self._first_rows_era = 0
        self._history = row_history.RowHistory([], 0)
        self._past_eras: list[_PastEra] = []

    def apply_snapshot(
        self, rows: list[stores.StoredRow], revision: stores.StoreRevision
    ) -> None:
        """Apply all rows of the operator's table."""
        if self._first is None or self._first.era != revision.era:
            self._begin_era(revision)
            self._first = revision
            self._history = row_history.RowHistory(rows, revision.version)
        else:
            self._history.replace(rows, revision.version)
        copied = {
            row.key
            for row in rows
            if row.version <= self._first.version and self._may_be_copied(row)
        }
        self._apply(
            [row for row in rows if row.key in copied],
            self._first_rows_era,
            True,
        )
        self._apply(
            [row for row in rows if row.key not in copied], self._era, False
        )

    def _may_be_copied(self, row: stores.StoredRow) -> bool:
        return not self._past_eras or any(
            past.history.may_contain(row) for past in self._past_eras
        )

    def _begin_era(self, revision: stores.StoreRevision) -> None:
        if self._first is None:
            # Entries that read more of the current era know better.
            self._first_rows_era = max(revision.era - 1, 0)
        else:
            self._first_rows_era = self._era
            now_s = time.monotonic()
            self._past_eras = [
                past
                for past in self._past_eras
                if now_s - past.ended_s < MAX_COPY_AGE_S
            ]
            self._past_eras.append(_PastEra(self._history, now_s))
        self._era = max(self._era, revision.era)
        self._on_era(self._era)

    def apply_changes(self, rows: list[stores.StoredRow]) -> None:
        """Apply changed rows in the order of their versions."""
        self._history.apply(rows)
        self._apply(rows, self._era, False)

    def mark_current(self, revision: stores.StoreRevision) -> None:
        """Record that all changes up to a revision were applied."""
        self._history.confirm(revision.version)

    def _apply(
        self, rows: list[stores.StoredRow], era: int, may_be_copied: bool
    ) -> None:
        eras = revisions.EraSpan(0 if may_be_copied else era, self._era)
        self._configuration.apply_changes(
            rows, eras, may_be_copied, time.monotonic()
        )
        self._order.apply_changes(rows, era, may_be_copied)

    def mark_store_restored(self) -> None:
        """Do nothing: the next rows are compared by their era."""

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
    :param on_read: called after the whole table was read.
    """

    def __init__(
        self,
        state: states.FleetState,
        on_removed: OnRemoved,
        on_read: OnChange = lambda: None,
    ) -> None:
        self._registry = state.registry
        self._on_removed = on_removed
        self._on_read = on_read
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
        self._on_read()

    def apply_changes(self, rows: list[stores.StoredRow]) -> None:
        """Apply changed rows in the order of their versions."""
        for row in rows:
            with _FAILURES.isolate('apply the row of an endpoint'):
                self._apply_change(row)

    def mark_current(self, revision: stores.StoreRevision) -> None:
        """Do nothing: rows of a copy are confirmed by heartbeats."""

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
