"""Variant of the HTTP adapter without its guard against second writes.

It lets aiohttp send a request again on another connection. A test uses it to
show that a call may then be executed twice.
"""

from __future__ import annotations

from godwitvalve.outcomes import outcome
from godwitvalve.services import http


class ResendingService(http.HttpPlainService):
    """Adapter that keeps connections and counts each write as an attempt."""

    def _new_session(self, force_close):
        return super()._new_session(force_close=False)

    async def _before_write(self, session, context, params):
        context.trace_request_ctx.attempt = outcome.SendAttempt()
        await super()._before_write(session, context, params)
