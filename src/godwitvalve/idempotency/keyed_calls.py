"""Calls that run at most once, and who may run them."""

from __future__ import annotations

from collections import abc
from typing import NamedTuple, Protocol

from godwitvalve.idempotency import keys
from godwitvalve.outcomes import codes
from godwitvalve.outcomes import outcome as outcome_model
from godwitvalve.services import port as service_port

SendFunction = abc.Callable[[], abc.Awaitable[outcome_model.Outcome]]


class KeyedCall(NamedTuple):
    """A request on a route that may not be repeated."""

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
        """Return the digest that tells this request from another."""
        return keys.digest_request(
            self.service,
            self.request.method,
            self.request.target,
            self.request.body,
        )


class CallAnswer(NamedTuple):
    """Outcome of a call; ``replayed`` if another request ran it."""

    outcome: outcome_model.Outcome
    replayed: bool = False


class KeyOwnerForwarder(Protocol):
    """Passes a call to the entry instance that owns its key."""

    async def forward(
        self, owner_id: str, incarnation: int, call: KeyedCall
    ) -> CallAnswer:
        """Return the owner's answer.

        :returns: ``Unknown`` with ``OWNER_UNREACHABLE`` or ``OWNER_GONE``
            if the owner gave none.
        """


def failure(code: codes.ResultCode, detail: str = '') -> CallAnswer:
    """Return a failure of the kind that its code stands for."""
    if codes.CODE_TABLE[code].not_run:
        return CallAnswer(outcome_model.NotRun(code, detail))
    return CallAnswer(outcome_model.Unknown(code, detail))
