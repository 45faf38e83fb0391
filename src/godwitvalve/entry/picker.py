"""Chooses version and endpoint for the attempts of one generation."""

from __future__ import annotations

from godwitvalve.entry import attempts
from godwitvalve.entry import context as contexts
from godwitvalve.generations import plan
from godwitvalve.moves import tracker as move_trackers
from godwitvalve.outcomes import codes
from godwitvalve.routing import choose
from godwitvalve.routing import endpoint as endpoint_model

# Tokens after which the time per token of a running generation is recorded
# as evidence.
SPEED_SAMPLE_TOKENS = 16


class GenerationPicker:
    """Selects the endpoints for the relay and records their results.

    :param request_hash: the same for each retry of the request.
    :ivar version: version of the last selected endpoint; empty before the
        first one.
    """

    def __init__(
        self,
        context: contexts.EntryContext,
        service: str,
        priority: int,
        request_hash: int,
    ) -> None:
        self._context = context
        self._service = service
        self._priority = priority
        self._request_hash = request_hash
        self._recorder = attempts.AttemptRecorder(context)
        self.version = ''
        self._attempts = 0
        self._load_at_start = 0
        self._share_class = context.move_tracker.share_class(service)
        self._endpoint: endpoint_model.Endpoint | None = None
        self._sampled_tokens = 0
        self._sample_started_s = 0.0
        self._speed_recorded = False

    def pick(
        self, tried: frozenset[str], prefix_hint: str, version: str
    ) -> endpoint_model.Endpoint | codes.ResultCode:
        """Select an endpoint within the retry budget.

        :param version: version to resume on; empty before the first token.
        """
        for_resume = version != ''
        if not self._may_attempt(for_resume):
            return codes.ResultCode.RETRY_BUDGET_EXHAUSTED
        if for_resume:
            return self._acquire(version, None, tried, prefix_hint, True)
        chosen = self._choose_version()
        if chosen is None:
            return codes.ResultCode.NO_ENDPOINT
        picked = self._acquire(
            chosen.version, chosen.allowed, tried, prefix_hint, False
        )
        if isinstance(picked, codes.ResultCode) and chosen.fallback:
            return self._acquire(
                chosen.fallback, None, tried, prefix_hint, False
            )
        return picked

    def claim(self, endpoint_id: str) -> endpoint_model.Endpoint | None:
        """Claim the endpoint of a resumed stream, if it still exists."""
        endpoint = self._context.router.claim(endpoint_id)
        if endpoint is not None:
            self._start_attempt(endpoint)
        return endpoint

    def adapter(self, version: str) -> str:
        """Return the adapter that the text names for a version, or ''."""
        configuration = self._context.configuration
        service = configuration and configuration.service(self._service)
        found = service.version(version) if service else None
        return found.text.adapter if found else ''

    def release(
        self, endpoint: endpoint_model.Endpoint, result: plan.AssignmentResult
    ) -> None:
        """Release an endpoint and record the result of its attempt."""
        counters = self._context.counters
        if result.outcome == 'lost':
            counters.count_loss(result.reason)
        counters.count_tokens('delivered', result.delivered_tokens)
        counters.count_tokens('prefill', result.prefill_tokens)
        self._recorder.record(
            endpoint,
            attempts.classify_generation(result),
            attempts.COMPLETIONS_ROUTE,
            self._load_at_start,
            self._share_class,
            None if self._speed_recorded else _time_per_token_s(result),
        )
        self._endpoint = None

    def record_tokens(self, count: int) -> None:
        """Count output tokens and record the time per token once.

        Generations run for minutes, so the evidence must not wait until
        they end.

        :param count: tokens received since the last call.
        """
        if self._speed_recorded or self._endpoint is None:
            return
        now_s = self._context.clock.monotonic_s()
        if not self._sampled_tokens:
            self._sample_started_s = now_s
            count = 1
        self._sampled_tokens += count
        if self._sampled_tokens <= SPEED_SAMPLE_TOKENS:
            return
        self._speed_recorded = True
        self._context.move_tracker.evidence.record_time(
            attempts.evidence_key(
                self._endpoint, attempts.COMPLETIONS_ROUTE, self._share_class
            ),
            self._context.clock.wall_s(),
            (now_s - self._sample_started_s) / (self._sampled_tokens - 1),
        )

    def _may_attempt(self, for_resume: bool) -> bool:
        budget = self._context.retry_budget
        self._attempts += 1
        if self._attempts == 1 and not for_resume:
            budget.record_first_attempt(self._service)
            return True
        reason = 'resume' if for_resume else 'before_first_token'
        if not budget.try_retry(self._service, for_resume):
            self._context.counters.count_retry(f'{reason}_refused')
            return False
        self._context.counters.count_retry(reason)
        return True

    def _choose_version(self) -> move_trackers.VersionChoice | None:
        tracker = self._context.move_tracker
        now_s = self._context.clock.monotonic_s()
        chosen = tracker.choose(self._service, self._request_hash, now_s)
        if chosen is None:
            return None
        self._share_class = chosen.share_class
        if self._attempts == 1 or not chosen.fallback:
            return chosen
        # Retries use the old version, so that a faulty new version fails a
        # request at most once.
        return chosen._replace(
            version=chosen.fallback, allowed=None, fallback=''
        )

    def _acquire(
        self,
        version: str,
        allowed: frozenset[str] | None,
        tried: frozenset[str],
        prefix_hint: str,
        for_resume: bool,
    ) -> endpoint_model.Endpoint | codes.ResultCode:
        request = choose.RouteRequest(
            self._service,
            version,
            allowed,
            tried,
            prefix_hint,
            self._priority,
            for_resume,
        )
        now_s = self._context.clock.monotonic_s()
        picked = self._context.router.acquire(request, now_s)
        if isinstance(picked, endpoint_model.Endpoint):
            self._start_attempt(picked)
        return picked

    def _start_attempt(self, endpoint: endpoint_model.Endpoint) -> None:
        self._endpoint = endpoint
        self.version = endpoint.version
        self._load_at_start = self._context.router.outstanding(
            endpoint.endpoint_id
        )
        self._sampled_tokens = 0
        self._speed_recorded = False


def _time_per_token_s(result: plan.AssignmentResult) -> float | None:
    """Return the seconds per output token after the first one."""
    if result.first_token_s is None or result.delivered_tokens < 2:
        return None
    running_s = result.duration_s - result.first_token_s
    return running_s / (result.delivered_tokens - 1)
