"""Registry of listed endpoints that survives outages of the store."""

from __future__ import annotations

from collections import abc
import enum

from godwitvalve.fleet import endpoints
from godwitvalve.fleet import leaving

# Rows that expired in an outage are written again within 2 s of the store's
# return; the rest is for the change to arrive here.
REREGISTRATION_S = 2.3
# A store that comes back from a copy lists endpoints that have left. Their
# rows expire after three heartbeats of 1.2 s; the rest is for the change to
# arrive here.
STALE_ROWS_S = 5.0
# Bounds the endpoints that left and are remembered, as a copy may list them.
MAX_DEPARTED = 4096


class EndpointState(enum.Enum):
    """What the registry knows about an endpoint."""

    LISTED = 'listed'
    LEAVING = 'leaving'
    # Its row is missing, and removals are not trusted yet.
    MISSING = 'missing'
    REPLACED = 'replaced'
    UNKNOWN = 'unknown'


class EndpointRegistry:
    """Endpoints by id.

    Load pattern: the store returns after an outage in which leases expired,
    so that all rows of a service are missing for up to 2 s. Removing its
    endpoints at once would refuse every request of the service. If the rows
    of only a few are missing, these have left, and none but this entry may
    have lost the store.
    """

    def __init__(
        self,
        is_known_service: abc.Callable[[str], bool] = lambda service: True,
    ) -> None:
        self._is_known_service = is_known_service
        self._endpoints: dict[str, endpoints.FleetEndpoint] = {}
        self._row_versions: dict[str, int] = {}
        self._missing_until_s: dict[str, float] = {}
        # Endpoint whose row has the address of each replaced one; empty if
        # another one did answer there.
        self._replaced: dict[str, str] = {}
        self._provisional: set[str] = set()
        # Starts of endpoints that leave, as other entries reported them.
        self._reported_leaving: dict[str, int] = {}
        self._stated_leaving = leaving.StatedLeaving()
        # Starts of endpoints that left or announced it, oldest first.
        self._departed: dict[str, int] = {}
        # Starts of those that a copy of the store may list as usable.
        self._not_relisted: dict[str, int] = {}
        self._stale_until_s = float('-inf')
        self.trusted_from_s = 0.0
        self.is_store_unavailable = True
        self._has_seen_outage = False
        # Whether the table, or the list of another entry, was read.
        self.is_loaded = False

    def mark_store_unavailable(self) -> None:
        """Record that the store does not answer."""
        self.is_store_unavailable = True
        self._has_seen_outage = True

    def mark_store_available(
        self, now_s: float, trusted_from_s: float = float('-inf')
    ) -> None:
        """Record that the store answers.

        :param now_s: monotonic seconds.
        :param trusted_from_s: monotonic seconds before which removals are
            not trusted, as reported by another entry that saw an outage.
        """
        self.trusted_from_s = max(self.trusted_from_s, trusted_from_s)
        if not self.is_store_unavailable:
            return
        self.is_store_unavailable = False
        if self._not_relisted:
            # No row could expire here during the outage.
            self._stale_until_s = now_s + STALE_ROWS_S
        if not self._has_seen_outage:
            # The first read after a start: endpoints that another entry
            # listed and the store does not have left.
            return
        self.trusted_from_s = now_s + REREGISTRATION_S
        for endpoint_id in self._provisional:
            self._missing_until_s[endpoint_id] = self.trusted_from_s

    def mark_store_restored(self, now_s: float) -> None:
        """Record that the store came back from an older copy.

        Versions of rows are given out again. Endpoints that registered since
        the copy write their rows again; those that left since are listed.
        """
        self._row_versions = dict.fromkeys(self._row_versions, 0)
        self.trusted_from_s = max(
            self.trusted_from_s, now_s + REREGISTRATION_S
        )
        self._not_relisted = {**self._departed, **self._reported_leaving}
        self._stale_until_s = now_s + STALE_ROWS_S

    def update(
        self, endpoint: endpoints.FleetEndpoint, row_version: int
    ) -> bool:
        """Apply a row that was written now; return whether it changed."""
        if row_version >= self._row_versions.get(endpoint.endpoint_id, 0):
            self._departed.pop(endpoint.endpoint_id, None)
            self._not_relisted.pop(endpoint.endpoint_id, None)
        return self._put(endpoint, row_version)

    def _put(
        self, endpoint: endpoints.FleetEndpoint, row_version: int
    ) -> bool:
        """Add or update an endpoint; return whether it changed."""
        endpoint_id = endpoint.endpoint_id
        if row_version < self._row_versions.get(endpoint_id, 0):
            return False
        before = self._endpoints.get(endpoint_id)
        is_changed = before != endpoint
        if is_changed:
            self._replaced.pop(endpoint_id, None)
        self._row_versions[endpoint_id] = row_version
        self._endpoints[endpoint_id] = endpoint
        if before and before.is_leaving and not endpoint.is_leaving:
            self._stated_leaving.record_row(before)
        if not self._stated_leaving.includes(endpoint):
            self._stated_leaving.forget(endpoint_id)
        if endpoint.is_leaving:
            self._remember_departed(endpoint)
        self._missing_until_s.pop(endpoint_id, None)
        # The row decides; an entry that read a newer one reports it again.
        self._reported_leaving.pop(endpoint_id, None)
        self._provisional.discard(endpoint_id)
        if is_changed:
            self._mark_predecessors_replaced(endpoint)
        return is_changed

    def load_listed(
        self, listed: abc.Iterable[endpoints.FleetEndpoint]
    ) -> None:
        """Add the endpoints that another entry lists.

        No effect once a list or the table was read. Endpoints that are known
        from reports do not count: they are only a few of all.
        """
        if self.is_loaded:
            return
        self.is_loaded = True
        for endpoint in listed:
            self.update(endpoint, 0)

    def add_provisional(self, endpoint: endpoints.FleetEndpoint) -> bool:
        """Add an endpoint that is not listed because of a store outage.

        :returns: whether it was unknown.
        """
        if (
            not self.is_store_unavailable
            or endpoint.endpoint_id in self._endpoints
        ):
            return False
        self._endpoints[endpoint.endpoint_id] = endpoint
        self._row_versions[endpoint.endpoint_id] = 0
        self._provisional.add(endpoint.endpoint_id)
        self._mark_predecessors_replaced(endpoint)
        return True

    def provisional(self) -> list[endpoints.FleetEndpoint]:
        """Return the endpoints that are used but not listed."""
        return [self._endpoints[each] for each in sorted(self._provisional)]

    def _mark_predecessors_replaced(
        self, endpoint: endpoints.FleetEndpoint
    ) -> None:
        """Mark earlier users of an address as replaced; it has only one.

        A row with a service that is not configured names no endpoint.
        """
        if not self._is_known_service(endpoint.service):
            return
        is_provisional = endpoint.endpoint_id in self._provisional
        for other_id, other in self._endpoints.items():
            if (
                other.address == endpoint.address
                and other_id != endpoint.endpoint_id
                and (
                    is_provisional
                    or other.started_wall_ms <= endpoint.started_wall_ms
                )
            ):
                # A provisional endpoint did answer at the address.
                self._replaced[other_id] = (
                    '' if is_provisional else endpoint.endpoint_id
                )

    def _restore_predecessors(self, endpoint_id: str) -> None:
        """Use the endpoints again that a listed one seemed to replace.

        Load pattern: another writer left a row with the address of a live
        endpoint. That one does not answer as the other.
        """
        for other_id, successor_id in list(self._replaced.items()):
            if successor_id == endpoint_id:
                del self._replaced[other_id]

    def remove(self, endpoint_id: str, row_version: int, now_s: float) -> bool:
        """Apply a removal; return whether the endpoint was removed now.

        While removals are not trusted, the endpoint stays until then.
        """
        if row_version < self._row_versions.get(endpoint_id, 0):
            return False
        if endpoint_id not in self._endpoints:
            return False
        if now_s < self.trusted_from_s:
            self._missing_until_s.setdefault(endpoint_id, self.trusted_from_s)
            return False
        self._drop(endpoint_id)
        return True

    def apply_snapshot(
        self,
        rows: abc.Mapping[str, tuple[endpoints.FleetEndpoint, int]],
        version: int,
        now_s: float,
    ) -> None:
        """Replace the endpoints with all rows as of a store version."""
        self.is_loaded = True
        is_copy = now_s < self._stale_until_s
        for endpoint, row_version in rows.values():
            if is_copy:
                self._put(endpoint, row_version)
            else:
                self.update(endpoint, row_version)
        for endpoint_id in [
            each for each in self._endpoints if each not in rows
        ]:
            self.remove(endpoint_id, version, now_s)

    def expire(self, now_s: float) -> list[str]:
        """Remove endpoints whose rows stayed missing; return their ids."""
        if now_s >= self._stale_until_s and not self.is_store_unavailable:
            self._forget_relisted()
        expired = [
            endpoint_id
            for endpoint_id, until_s in self._missing_until_s.items()
            if until_s <= now_s
        ]
        for endpoint_id in expired:
            self._drop(endpoint_id)
        return expired

    def mark_replaced(self, endpoint_id: str, started_wall_ms: int) -> bool:
        """Record that another endpoint answers at an endpoint's address.

        Load pattern: a failure domain restarts while the store is down or
        before its rows expire. Each request would be attempted at one
        replaced endpoint after the other, and every attempt counts against
        the retry budget.

        :param started_wall_ms: start of the replaced incarnation; reports
            about other incarnations are ignored.
        :returns: whether the endpoint was usable until now.
        """
        known = self._endpoints.get(endpoint_id)
        if known is None or known.started_wall_ms != started_wall_ms:
            return False
        if endpoint_id in self._replaced:
            return False
        self._replaced[endpoint_id] = ''
        self._restore_predecessors(endpoint_id)
        return True

    def mark_leaving(self, endpoint_id: str, started_wall_ms: int) -> bool:
        """Record that another entry read an endpoint's announcement.

        Load pattern: the store rejects some entries for seconds, while
        endpoints announce that they leave, and stop.

        :param started_wall_ms: start of the incarnation that leaves; reports
            about other incarnations are ignored.
        :returns: whether the endpoint was usable until now.
        """
        known = self._endpoints.get(endpoint_id)
        if known is None or known.started_wall_ms != started_wall_ms:
            return False
        if self._reported_leaving.get(endpoint_id) == started_wall_ms:
            return False
        was_usable = self.is_usable(endpoint_id)
        self._reported_leaving[endpoint_id] = started_wall_ms
        return was_usable

    def record_stated_leaving(
        self, endpoint: endpoints.FleetEndpoint, now_s: float
    ) -> bool:
        """Record that an endpoint stated in an answer that it leaves.

        :param endpoint: as it was when the request was sent.
        :param now_s: monotonic seconds.
        :returns: whether the endpoint was usable until now.
        """
        known = self._endpoints.get(endpoint.endpoint_id, endpoint)
        if known.started_wall_ms > endpoint.started_wall_ms:
            return False
        was_usable = self.is_usable(endpoint.endpoint_id)
        self._stated_leaving.record(known, now_s)
        return was_usable

    def due_confirmations(self, now_s: float) -> list[endpoints.FleetEndpoint]:
        """Return endpoints to ask whether they still leave.

        :param now_s: monotonic seconds.
        """
        return [
            self._endpoints[endpoint_id]
            for endpoint_id in self._stated_leaving.due(self._endpoints, now_s)
        ]

    def withdraw_leaving(self, endpoint: endpoints.FleetEndpoint) -> None:
        """Use an endpoint again that does not leave any more."""
        if self._stated_leaving.includes(endpoint):
            self._stated_leaving.forget(endpoint.endpoint_id)

    def leaving(self) -> list[tuple[str, int]]:
        """Return id and start of the endpoints that announced it.

        They did so in their rows, or in answers to this entry. Those that
        earlier rows or other entries told, and those that only a copy may
        list, are not reported: the others would avoid a sound one until its
        row changes.
        """
        return [
            (endpoint.endpoint_id, endpoint.started_wall_ms)
            for endpoint in self._endpoints.values()
            if endpoint.is_leaving
            or self._stated_leaving.includes_answer(endpoint)
        ]

    def _is_relisted(self, endpoint: endpoints.FleetEndpoint) -> bool:
        """Tell whether only an older copy of the store lists an endpoint."""
        return (
            self._not_relisted.get(endpoint.endpoint_id)
            == endpoint.started_wall_ms
        )

    def _forget_relisted(self) -> None:
        """Use what is still listed long after a copy was read."""
        for endpoint_id in self._not_relisted:
            endpoint = self._endpoints.get(endpoint_id)
            if endpoint is not None and not endpoint.is_leaving:
                self._departed.pop(endpoint_id, None)
                self._reported_leaving.pop(endpoint_id, None)
                self._stated_leaving.forget_row(endpoint_id)
        self._not_relisted.clear()

    def _remember_departed(self, endpoint: endpoints.FleetEndpoint) -> None:
        self._departed.pop(endpoint.endpoint_id, None)
        self._departed[endpoint.endpoint_id] = endpoint.started_wall_ms
        while len(self._departed) > MAX_DEPARTED:
            self._departed.pop(next(iter(self._departed)))

    def _drop(self, endpoint_id: str) -> None:
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is not None:
            self._remember_departed(endpoint)
            if self.state_of(endpoint_id) is EndpointState.LEAVING:
                self._stated_leaving.record_row(endpoint)
        self._reported_leaving.pop(endpoint_id, None)
        self._replaced.pop(endpoint_id, None)
        self._restore_predecessors(endpoint_id)
        self._provisional.discard(endpoint_id)
        self._endpoints.pop(endpoint_id, None)
        self._row_versions.pop(endpoint_id, None)
        self._missing_until_s.pop(endpoint_id, None)

    def is_replaced(self, endpoint_id: str) -> bool:
        """Return whether another endpoint answers at its address."""
        return endpoint_id in self._replaced

    def is_superseded(self, endpoint: endpoints.FleetEndpoint) -> bool:
        """Return whether an endpoint's address has another one, by the rows.

        Load pattern: an entry reads the row of a restarted endpoint together
        with the removal of the old one. Requests at the old one are lost.
        """
        if endpoint.endpoint_id in self._endpoints:
            return self.is_replaced(endpoint.endpoint_id)
        return any(
            other.address == endpoint.address
            and other.started_wall_ms >= endpoint.started_wall_ms
            and self._is_known_service(other.service)
            for other in self._endpoints.values()
        )

    def replaced(self) -> list[tuple[str, int]]:
        """Return id and start of the replaced endpoints."""
        return [
            (endpoint_id, self._endpoints[endpoint_id].started_wall_ms)
            for endpoint_id in sorted(self._replaced)
        ]

    def get(self, endpoint_id: str) -> endpoints.FleetEndpoint | None:
        """Return a known endpoint."""
        return self._endpoints.get(endpoint_id)

    def state_of(self, endpoint_id: str) -> EndpointState:
        """Return the state of an endpoint."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return EndpointState.UNKNOWN
        reported_ms = self._reported_leaving.get(endpoint_id)
        if (
            endpoint.is_leaving
            or reported_ms == endpoint.started_wall_ms
            or self._stated_leaving.includes(endpoint)
            or self._is_relisted(endpoint)
        ):
            return EndpointState.LEAVING
        if endpoint_id in self._replaced:
            return EndpointState.REPLACED
        if (
            endpoint_id in self._missing_until_s
            and endpoint_id not in self._provisional
        ):
            return EndpointState.MISSING
        return EndpointState.LISTED

    def ids(self) -> abc.Set[str]:
        """Return the ids of all known endpoints."""
        return self._endpoints.keys()

    def all(self) -> abc.Collection[endpoints.FleetEndpoint]:
        """Return all known endpoints."""
        return self._endpoints.values()

    def is_usable(self, endpoint_id: str) -> bool:
        """Tell whether an endpoint may receive requests."""
        endpoint = self._endpoints.get(endpoint_id)
        return endpoint is not None and endpoint in self.usable(
            endpoint.service
        )

    def usable(self, service: str) -> list[endpoints.FleetEndpoint]:
        """Return the endpoints of a service that may receive requests.

        Endpoints whose rows are missing are used while they are at least
        half of the service.
        """
        by_state: dict[EndpointState, list[endpoints.FleetEndpoint]] = {}
        for endpoint in self._endpoints.values():
            if endpoint.service == service:
                state = self.state_of(endpoint.endpoint_id)
                by_state.setdefault(state, []).append(endpoint)
        listed = by_state.get(EndpointState.LISTED, [])
        missing = by_state.get(EndpointState.MISSING, [])
        return listed + missing if len(missing) >= len(listed) else listed
