"""Checks that every new request passes before it is admitted."""

from __future__ import annotations

from aiohttp import web

from godwitvalve.configuration import in_force
from godwitvalve.entry import context as contexts
from godwitvalve.outcomes import codes
from godwitvalve.outcomes import outcome as outcomes

_BEARER = 'Bearer '
# Retry delay for callers while this instance has no usable configuration.
RETRY_AFTER_S = 1.0


def configuration_for_request(
    context: contexts.EntryContext, is_resume: bool = False
) -> in_force.InForceConfiguration | outcomes.NotRun:
    """Return the configuration that applies to a request.

    :param is_resume: whether the request resumes an answer. Such a request
        was admitted before, so it is served also while draining and under
        an unconfirmed configuration.
    """
    now_wall_s = context.clock.wall_s()
    retry_at_wall_s = now_wall_s + RETRY_AFTER_S
    accepts = context.lifecycle.accepts_requests(now_wall_s)
    if not accepts and not is_resume:
        code = codes.ResultCode.DRAINING
        if context.lifecycle.state == 'starting':
            code = codes.ResultCode.NOT_READY
        return outcomes.NotRun(code, '', now_wall_s)
    configuration = context.configuration
    if configuration is None:
        return outcomes.NotRun(codes.ResultCode.NOT_READY, '', retry_at_wall_s)
    tracker = context.refresher.tracker
    if is_resume or tracker.may_admit(context.clock.monotonic_s()):
        return configuration
    return outcomes.NotRun(
        codes.ResultCode.CONFIGURATION_NOT_CONFIRMED, '', retry_at_wall_s
    )


def authenticate(
    configuration: in_force.InForceConfiguration, request: web.Request
) -> in_force.ClientAccountInForce | outcomes.NotRun:
    """Return the client account that the bearer credential belongs to."""
    header = request.headers.get('Authorization', '')
    if not header.startswith(_BEARER):
        return outcomes.NotRun(
            codes.ResultCode.UNAUTHENTICATED, 'no bearer credential'
        )
    account = configuration.account_for_key(header.removeprefix(_BEARER))
    if account is None:
        return outcomes.NotRun(codes.ResultCode.UNAUTHENTICATED)
    return account


async def read_body(request: web.Request) -> bytes | outcomes.NotRun:
    """Return the body of a request unless it is too large."""
    try:
        return await request.read()
    except web.HTTPRequestEntityTooLarge:
        return outcomes.NotRun(codes.ResultCode.BODY_TOO_LARGE)


def find_service(
    context: contexts.EntryContext,
    configuration: in_force.InForceConfiguration,
    name: str,
    kind: str,
) -> in_force.ServiceInForce | outcomes.NotRun:
    """Return the named service if it has the kind and its dependencies."""
    service = configuration.service(name)
    if service is None or service.kind != kind:
        return outcomes.NotRun(
            codes.ResultCode.UNKNOWN_SERVICE, f'no {kind} service "{name}"'
        )
    serving = context.move_tracker.serving(name)
    if serving is not None and not context.move_tracker.is_ready(serving):
        return outcomes.NotRun(
            codes.ResultCode.DEPENDENCY_MISSING,
            '',
            context.clock.wall_s() + RETRY_AFTER_S,
        )
    return service
