"""Variant of the HTTP adapter without one guard.

It lets aiohttp send a request again on another connection. Tests show that
this runs a call twice.
"""

from __future__ import annotations

from godwitvalve.outcomes import outcome
from godwitvalve.services import http


class ResendingService(http.HttpPlainService):
    """Adapter that gives every write an attempt of its own."""

    async def _before_write(self, session, context, params):
        context.trace_request_ctx.attempt = outcome.SendAttempt()
        await super()._before_write(session, context, params)
