"""Calls with an idempotency key and their answers."""

from __future__ import annotations

from collections import abc
from typing import NamedTuple, Protocol

from godwitvalve.idempotency import keys
from godwitvalve.outcomes import codes
from godwitvalve.outcomes import outcome as outcome_model
from godwitvalve.services import port as service_port

SendFunction = abc.Callable[[], abc.Awaitable[outcome_model.Outcome]]


class KeyedCall(NamedTuple):
    """A request, with its key, on a route that is not repeatable."""

    client_account: str
    key: str
    service: str
    request: service_port.PlainRequest

    @property
    def scope(self) -> keys.KeyScope:
        """Return the key within its client account."""
        return keys.KeyScope(self.client_account, self.key)

    @property
    def body_digest(self) -> str:
        """Return the digest that identifies the content of the request."""
        return keys.digest_request(
            self.service,
            self.request.method,
            self.request.target,
            self.request.body,
        )


class CallAnswer(NamedTuple):
    """Outcome of a call.

    ``replayed`` is set if the call ran for an earlier request.
    """

    outcome: outcome_model.Outcome
    replayed: bool = False


class KeyOwnerForwarder(Protocol):
    """Forwards a call to the entry instance that owns its key."""

    async def forward(
        self, owner_id: str, incarnation: int, call: KeyedCall
    ) -> CallAnswer:
        """Return the owner's answer.

        :returns: ``Unknown`` with ``OWNER_UNREACHABLE`` or ``OWNER_GONE``
            if the owner did not answer.
        """


def failure(code: codes.ResultCode, detail: str = '') -> CallAnswer:
    """Return ``NotRun`` or ``Unknown``, whichever the code stands for."""
    if codes.CODE_TABLE[code].not_run:
        return CallAnswer(outcome_model.NotRun(code, detail))
    return CallAnswer(outcome_model.Unknown(code, detail))
