"""Generations that the relay delivers, and their endpoints."""

from __future__ import annotations

from collections import abc
import secrets
from typing import NamedTuple, Protocol

from godwitvalve.generations import digest as rolling
from godwitvalve.generations import requests
from godwitvalve.generations import resume
from godwitvalve.outcomes import codes
from godwitvalve.outcomes import outcome
from godwitvalve.routing import endpoint as endpoint_model

# Default deadline and upper bound of the deadline that a caller sets.
DEFAULT_DEADLINE_S = 1800.0


class AssignmentResult(NamedTuple):
    """How an assignment to an endpoint ended.

    :param outcome: ``finished``, ``lost`` or ``abandoned`` (not counted as
        a loss, such as when the caller disconnected).
    :param reason: why the assignment was lost or abandoned, else empty.
    :param sent: whether an order may have reached the endpoint.
    :param first_token_s: seconds to the first token, or None.
    :param duration_s: seconds since the endpoint was picked or claimed.
    :param delivered_tokens: tokens delivered to the caller.
    :param prefill_tokens: prompt and prefix tokens that were computed.
    """

    outcome: str
    reason: str
    sent: bool
    first_token_s: float | None
    duration_s: float
    delivered_tokens: int
    prefill_tokens: int


class EndpointPicker(Protocol):
    """Selects endpoints for one generation.

    Each endpoint that :meth:`pick` or :meth:`claim` returns is released by
    one call of :meth:`release`.
    """

    def pick(
        self, tried: frozenset[str], prefix_hint: str, version: str
    ) -> endpoint_model.Endpoint | codes.ResultCode:
        """Choose an endpoint.

        :param tried: ids of endpoints to exclude.
        :param prefix_hint: equal for prompts with the same beginning.
        :param version: required version, or empty for any.
        """

    def claim(self, endpoint_id: str) -> endpoint_model.Endpoint | None:
        """Acquire the endpoint of a resumed stream, if it still exists."""

    def adapter(self, version: str) -> str:
        """Return the adapter that is configured for a version."""

    def release(
        self, endpoint: endpoint_model.Endpoint, result: AssignmentResult
    ) -> None:
        """Release an endpoint and record the result."""


class Generation(NamedTuple):
    """One answer to deliver."""

    request_id: str
    client_account: str
    service: str
    request: requests.CompletionRequest
    seed: int
    deadline_wall_s: float
    resume_state: resume.ResumeState | None

    @property
    def resume_epoch(self) -> int:
        """Return the epoch of the attempts made by this entry."""
        return self.resume_state.resume_epoch + 1 if self.resume_state else 0


def _deadline_wall_s(
    request: requests.CompletionRequest, now_wall_s: float
) -> float:
    latest_wall_s = now_wall_s + DEFAULT_DEADLINE_S
    return min(request.deadline_wall_s or latest_wall_s, latest_wall_s)


def plan_generation(
    request: requests.CompletionRequest,
    last_event_id: str | None,
    client_account: str,
    keys: abc.Iterable[bytes],
    now_wall_s: float,
) -> Generation | outcome.NotRun:
    """Return the generation to relay for a request.

    :param last_event_id: value of the header ``Last-Event-ID``, if present.
    :param keys: sealing keys, the newest first.
    :param now_wall_s: Unix seconds.
    """
    deadline_wall_s = _deadline_wall_s(request, now_wall_s)
    if last_event_id is None:
        if request.resume_token_ids is not None:
            return outcome.NotRun(
                codes.ResultCode.BAD_REQUEST,
                'resume_token_ids: needs the header Last-Event-ID',
            )
        seed = request.seed
        return Generation(
            secrets.token_hex(12),
            client_account,
            request.model,
            request,
            secrets.randbelow(2**31) if seed is None else seed,
            deadline_wall_s,
            None,
        )
    state = resume.open_sealed(last_event_id, keys)
    if isinstance(state, codes.ResultCode):
        return outcome.NotRun(state)
    code = resume.check_request(
        state, client_account, request.digest(), request.model, now_wall_s
    )
    code = code or _check_prefix(request, state)
    if code is not None:
        return outcome.NotRun(code)
    return Generation(
        state.request_id,
        client_account,
        state.service,
        request,
        state.seed,
        deadline_wall_s,
        state,
    )


def _check_prefix(
    request: requests.CompletionRequest, state: resume.ResumeState
) -> codes.ResultCode | None:
    token_ids = request.resume_token_ids
    if token_ids is None:
        return None
    if len(token_ids) != state.position:
        return codes.ResultCode.RESUME_PREFIX_MISMATCH
    if rolling.digest_of(token_ids) != state.prefix_digest:
        return codes.ResultCode.RESUME_PREFIX_MISMATCH
    return None
