"""Request limits that endpoints state, as one entry keeps to them."""

from __future__ import annotations

import asyncio
from collections import abc
import random
from typing import NamedTuple, Protocol

from godwitvalve.endpoint_limits import change_log
from godwitvalve.endpoint_limits import messages
from godwitvalve.endpoint_limits import pauses
from godwitvalve.endpoint_limits import permits
from godwitvalve.endpoint_limits import reports
from godwitvalve.endpoint_limits import returns
from godwitvalve.endpoint_limits import statements
from godwitvalve.endpoint_limits import table
from godwitvalve.endpoint_limits import view as views
from godwitvalve.fleet import endpoints
from godwitvalve.limits import demand
from godwitvalve.routing import subset

# Share of the requests that may be sent to an endpoint only to confirm its
# limit. Otherwise few streams would go to endpoints without a limit while
# most endpoints have one.
CONFIRMATION_SHARE = 0.1
# An entry that does not answer is not asked again for this long. It counts as
# dead 1.1 s after its last heartbeat, and another one answers then.
UNANSWERED_PAUSE_S = 0.3
# Callers that come back together after a pause would be turned away again.
PAUSE_RETURN_SPREAD_S = 0.5


class Coordinators(NamedTuple):
    """Entries that issue permits.

    :param hosts: IP of each serving entry by its id; empty for this one.
    :param share: part of the limits that this entry may issue; below 1 while
        it does not reach most of the others.
    """

    hosts: abc.Mapping[str, str]
    share: float = 1.0


class PermitSource(Protocol):
    """Asks other entries for permits."""

    async def ask(
        self, host: str, question: messages.PermitRequest
    ) -> messages.PermitAnswer | None:
        """Return the answer of the entry at an IP; None if there is none."""


def _alone() -> Coordinators:
    return Coordinators({'': ''})


class EndpointLimiter:
    """Knows limits and pauses of all endpoints and obtains permits.

    One serving entry, chosen by rendezvous hashing, issues the permits for
    an endpoint, so that all entries together keep to its limit.

    Until ``source`` is set, other entries do not answer.

    :param coordinators: returns the entries that issue permits.
    :param on_change: called when other entries should learn at once of a
        limit that an answer stated.
    """

    def __init__(
        self,
        coordinators: abc.Callable[[], Coordinators] = _alone,
        on_change: abc.Callable[[], None] = lambda: None,
        rng: random.Random | None = None,
    ) -> None:
        self.table = table.LimitTable()
        self.pauses = pauses.PauseTable()
        self.source: PermitSource | None = None
        self._coordinators = coordinators
        self._on_change = on_change
        self._change_log = change_log.ChangeLog()
        self._issuer = permits.PermitIssuer()
        self._rng = rng or random.Random()
        # When to ask for a permit again, by endpoint id.
        self._ask_again_s: dict[str, float] = {}
        self._confirm_again_s: dict[str, float] = {}
        # When to ask an entry again that did not answer, by its IP.
        self._silent_until_s: dict[str, float] = {}
        self._granted: dict[str, demand.DemandMeter] = {}
        self._returns: dict[str, returns.ReturnSchedule] = {}

    def is_unlimited(
        self, endpoint: endpoints.FleetEndpoint, now_s: float
    ) -> bool:
        """Tell whether an endpoint neither states a limit nor pauses."""
        return not (
            self.pauses.is_paused(endpoint, now_s)
            or self.table.requests_per_s(endpoint) is not None
        )

    def observe(
        self,
        endpoint: endpoints.FleetEndpoint,
        statement: statements.LimitStatement,
        now_s: float,
    ) -> None:
        """Record what an answer states.

        :param now_s: monotonic seconds.
        """
        self._change_log.record_statement(endpoint, statement, now_s)
        change = self.table.observe(endpoint, statement, now_s)
        self._change_log.record(endpoint, change, '', now_s)
        if change.is_notable:
            self._on_change()

    def merge(
        self,
        origin: str,
        endpoint: endpoints.FleetEndpoint | None,
        report: reports.LimitReport,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Merge the report of another entry.

        :param endpoint: the endpoint as it is listed here; reports about
            others are ignored.
        :param sent_s: monotonic seconds at which the report was sent, by
            the clock of this entry.
        """
        if endpoint is None:
            return
        before_per_s = self.table.requests_per_s(endpoint)
        if self.table.merge(origin, report, sent_s):
            after_per_s = self.table.requests_per_s(endpoint)
            change = table.LimitChange(before_per_s, after_per_s)
            self._change_log.record(endpoint, change, origin, now_s)

    def may_confirm(self) -> bool:
        """Draw whether a request may be sent to confirm a limit."""
        return self._rng.random() < CONFIRMATION_SHARE

    def view(
        self,
        candidates: abc.Iterable[endpoints.FleetEndpoint],
        may_confirm: bool,
        now_s: float,
    ) -> views.LimitView:
        """Return the limits of candidates; those that pause are exhausted.

        :param may_confirm: whether the request may confirm a limit.
        """
        # Asked several times for each request, mostly without either.
        if self.pauses.is_empty() and not self.table.limited_count():
            return views.LimitView()
        listed = list(candidates)
        paused = {
            each.endpoint_id
            for each in listed
            if self.pauses.is_paused(each, now_s)
        }
        if not self.table.limited_count():
            return views.LimitView(paused, paused)
        observations = {
            each.endpoint_id: known
            for each in listed
            if (known := self.table.observation(each)) is not None
            and known.requests_per_s is not None
        }
        exhausted = paused | {
            each
            for each in observations
            if self._ask_again_s.get(each, 0.0) > now_s
        }
        unconfirmed = {
            endpoint_id
            for endpoint_id, known in observations.items()
            if may_confirm
            and endpoint_id not in exhausted
            and now_s - known.observed_s > permits.CONFIRMATION_PERIOD_S
            and self._confirm_again_s.get(endpoint_id, 0.0) <= now_s
        }
        return views.LimitView(
            observations.keys() | paused, exhausted, unconfirmed
        )

    async def acquire(
        self, endpoint: endpoints.FleetEndpoint, is_confirmation: bool
    ) -> bool:
        """Obtain a permit for one request; tell whether it was granted."""
        loop = asyncio.get_running_loop()
        question = self.question(endpoint, is_confirmation)
        if question is None:
            return True
        host = self.coordinator(endpoint)
        answer: messages.PermitAnswer | None = None
        if not host:
            answer = self.decide(question, loop.time())
        elif self.source and loop.time() >= self._silent_until_s.get(host, 0):
            answer = await self.source.ask(host, question)
            if answer is None:
                self._silent_until_s[host] = loop.time() + UNANSWERED_PAUSE_S
        return self.apply_answer(
            endpoint, answer, loop.time(), is_confirmation
        )

    def question(
        self, endpoint: endpoints.FleetEndpoint, is_confirmation: bool
    ) -> messages.PermitRequest | None:
        """Return the question to ask; None if the endpoint has no limit."""
        requests_per_s = self.table.requests_per_s(endpoint)
        if requests_per_s is None:
            return None
        return messages.PermitRequest(
            0,
            endpoint.endpoint_id,
            endpoint.started_wall_ms,
            requests_per_s,
            is_confirmation,
        )

    def coordinator(self, endpoint: endpoints.FleetEndpoint) -> str:
        """Return the IP of the entry to ask; empty for this one."""
        hosts = self._coordinators().hosts
        chosen = max(
            hosts, key=lambda each: subset.score(each, endpoint.endpoint_id)
        )
        return hosts[chosen]

    def apply_answer(
        self,
        endpoint: endpoints.FleetEndpoint,
        answer: messages.PermitAnswer | None,
        now_s: float,
        is_confirmation: bool = False,
    ) -> bool:
        """Record an answer; tell whether it grants the permit."""
        wait_s = answer.wait_ms / 1000 if answer else UNANSWERED_PAUSE_S
        if wait_s <= 0:
            self._meter(endpoint.service, now_s).add(1.0, now_s)
            return True
        # A confirmation that is not needed does not tell whether there is a
        # permit for other requests.
        again_s = (
            self._confirm_again_s if is_confirmation else self._ask_again_s
        )
        again_s[endpoint.endpoint_id] = now_s + wait_s
        return False

    def decide(
        self, question: messages.PermitRequest, now_s: float
    ) -> messages.PermitAnswer:
        """Decide on a request to an endpoint that this entry coordinates.

        Of the limits that this entry and the asking one know, the lower one
        counts.
        """
        incarnation = question.endpoint_id, question.started_wall_ms
        known_per_s = self.table.known_limit(*incarnation)
        requests_per_s = min(
            question.requests_per_s, known_per_s or question.requests_per_s
        )
        decision = self._issuer.request(
            incarnation,
            requests_per_s * self._coordinators().share,
            question.is_confirmation,
            now_s,
        )
        match decision:
            case permits.Granted():
                return messages.PermitAnswer(question.number, 0)
            case permits.Denied(wait_s):
                wait_ms = max(int(wait_s * 1000), 1)
                return messages.PermitAnswer(question.number, wait_ms)

    def permit_in_s(
        self, candidates: abc.Iterable[endpoints.FleetEndpoint], now_s: float
    ) -> float | None:
        """Return seconds until a candidate may take a request again.

        :returns: None if no candidate has a limit or pauses.
        """
        again_s = [
            self._free_at_s(each)
            for each in candidates
            if self.table.requests_per_s(each) is not None
            or self.pauses.is_paused(each, now_s)
        ]
        return max(min(again_s) - now_s, 0.0) if again_s else None

    def _free_at_s(self, endpoint: endpoints.FleetEndpoint) -> float:
        return max(
            self._ask_again_s.get(endpoint.endpoint_id, 0.0),
            self.pauses.until_s(endpoint),
        )

    def retry_after_s(
        self,
        service: str,
        candidates: abc.Collection[endpoints.FleetEndpoint],
        now_s: float,
    ) -> float | None:
        """Return when a request that no candidate may take can come back.

        :returns: seconds, or None if no candidate has a limit or pauses.
        """
        free_in_s = self.permit_in_s(candidates, now_s)
        if free_in_s is None:
            return None
        limits_per_s = {
            each.endpoint_id: limit_per_s
            for each in candidates
            if (limit_per_s := self.table.requests_per_s(each)) is not None
        }
        if not limits_per_s:
            return free_in_s + self._rng.uniform(0.0, PAUSE_RETURN_SPREAD_S)
        equal_share = sum(limits_per_s.values()) / len(
            self._coordinators().hosts
        )
        own_per_s = self._meter(service, now_s).rate_per_s(now_s)
        schedule = self._returns.setdefault(service, returns.ReturnSchedule())
        return schedule.next_wait_s(
            now_s + free_in_s,
            max(equal_share, own_per_s),
            now_s,
            self._rng,
        )

    def _meter(self, service: str, now_s: float) -> demand.DemandMeter:
        return self._granted.setdefault(service, demand.DemandMeter(now_s))

    def expire(self, endpoint_ids: abc.Container[str], now_s: float) -> None:
        """Drop what is known about endpoints that are gone.

        :param endpoint_ids: ids of the endpoints that are known.
        """
        self.table.keep_only(endpoint_ids)
        self._change_log.keep_only(endpoint_ids)
        self._issuer.expire(now_s)
        self.pauses.expire(now_s)
        for until_s in (
            self._ask_again_s,
            self._confirm_again_s,
            self._silent_until_s,
        ):
            for key in [
                each for each, at_s in until_s.items() if at_s <= now_s
            ]:
                del until_s[key]
