"""Handlers for addresses, issued keys, status and health."""

from __future__ import annotations

import dataclasses

from aiohttp import web

from godwitvalve.entry import answers
from godwitvalve.entry import context as contexts
from godwitvalve.entry import request_checks
from godwitvalve.idempotency import keys
from godwitvalve.outcomes import codes
from godwitvalve.outcomes import outcome as outcomes
from godwitvalve.peers import addresses as address_choice

# Enough that a caller still finds a live entry after the loss of a failure
# domain; few enough that at full size its demand reaches few entries.
MAX_ADDRESSES = 9


class InformationHandler:
    """Serves the information about this instance and its peers."""

    def __init__(self, context: contexts.EntryContext) -> None:
        self._context = context

    async def addresses(self, request: web.Request) -> web.Response:
        """Return the entry addresses for the caller and their validity.

        The lifecycle records an answer that includes this instance, since
        the instance must accept requests until that answer expires.
        """
        context = self._context
        account = request.remote or ''
        configuration = context.configuration
        if configuration is not None:
            found = request_checks.authenticate(configuration, request)
            if not isinstance(found, outcomes.NotRun):
                account = found.name
        members = [
            member
            for member in context.node.members()
            if member.instance_id != context.instance_id
            or context.lifecycle.is_advertised()
        ]
        answer = address_choice.addresses_for(
            account,
            members,
            MAX_ADDRESSES,
            context.clock.wall_s(),
            context.loaded.settings.address_validity_s,
        )
        by_address = {member.address: member for member in members}
        returned = [by_address[address] for address in answer.addresses]
        if any(each.instance_id == context.instance_id for each in returned):
            context.lifecycle.record_address_answer(answer.valid_until_wall_s)
        return answers.json_answer(
            {
                'addresses': [
                    {
                        'instance_id': member.instance_id,
                        'address': member.address,
                        'failure_domain': member.failure_domain,
                    }
                    for member in returned
                ],
                'valid_until_wall_s': answer.valid_until_wall_s,
            }
        )

    async def issue_key(self, request: web.Request) -> web.Response:
        """Issue an idempotency key owned by this incarnation."""
        context = self._context
        configuration = request_checks.configuration_for_request(context)
        if isinstance(configuration, outcomes.NotRun):
            return answers.problem_answer(context, configuration)
        account = request_checks.authenticate(configuration, request)
        if isinstance(account, outcomes.NotRun):
            return answers.problem_answer(context, account)
        return answers.json_answer(
            {
                'key': context.executor.issue_key(account.name),
                'expires_wall_s': context.clock.wall_s()
                + keys.ISSUED_VALIDITY_S,
            }
        )

    async def status(self, request: web.Request) -> web.Response:
        """Return the revision in force and the state of moves and peers."""
        context = self._context
        tracker = context.refresher.tracker
        return answers.json_answer(
            {
                'instance_id': context.instance_id,
                'revision': tracker.revision,
                'state': context.lifecycle.state,
                'moves': [
                    status._asdict()
                    for status in context.move_tracker.status()
                ],
                'may_admit': tracker.may_admit(context.clock.monotonic_s()),
                'in_flight': context.lifecycle.requests_in_flight,
                'peers': len(context.node.connected_instances()),
                'control': dataclasses.asdict(context.node.traffic),
                'members': [
                    [member.instance_id, member.state]
                    for member in context.node.members()
                ],
                'endpoints': [
                    {
                        'endpoint_id': view.endpoint.endpoint_id,
                        'service': view.endpoint.service,
                        'version': view.endpoint.version,
                        'standing': view.standing.name.lower(),
                        'outstanding': view.outstanding,
                        'leaving': view.is_leaving,
                    }
                    for view in context.router.views()
                ],
            }
        )

    async def healthz(self, request: web.Request) -> web.Response:
        """Answer a liveness check."""
        return answers.json_answer({'alive': True})

    async def readyz(self, request: web.Request) -> web.Response:
        """Answer a readiness check: whether new requests are served."""
        if self._context.is_ready:
            return answers.json_answer({'ready': True})
        state = self._context.lifecycle.state
        code = codes.ResultCode.NOT_READY
        if state not in ('starting', 'serving'):
            code = codes.ResultCode.DRAINING
        return answers.code_answer(self._context, code, f'state {state}')
