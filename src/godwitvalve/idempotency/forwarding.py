"""Forwards calls to the owners of their keys over peer links."""

from __future__ import annotations

from collections import abc
from typing import Any, Protocol

import msgpack

from godwitvalve import clock as clock_model
from godwitvalve.idempotency import executor as executor_model
from godwitvalve.idempotency import keyed_calls
from godwitvalve.idempotency import outcome_codec
from godwitvalve.outcomes import codes
from godwitvalve.peers import calls
from godwitvalve.peers import membership
from godwitvalve.peers import messages
from godwitvalve.services import port as service_port


class PeerCaller(Protocol):
    """Interface of the peer node that forwarding needs."""

    def members(self) -> list[membership.Member]:
        """Return the live and leaving entry instances."""

    async def call(
        self,
        instance_id: str,
        message: messages.Message,
        deadline_s: float | None = None,
    ) -> messages.Message:
        """Send a request and return the answer."""


class PeerForwarder:
    """Forwards a call to the owner of its key over a peer link.

    :param peers: peer node of this entry instance.
    """

    def __init__(self, peers: PeerCaller, clock: clock_model.Clock) -> None:
        self._peers = peers
        self._clock = clock

    async def forward(
        self, owner_id: str, incarnation: int, call: keyed_calls.KeyedCall
    ) -> keyed_calls.CallAnswer:
        """Return the owner's answer.

        :returns: ``Unknown`` with ``OWNER_UNREACHABLE`` or ``OWNER_GONE``
            if the owner did not answer.
        """
        if self._is_replaced(owner_id, incarnation):
            return keyed_calls.failure(codes.ResultCode.OWNER_GONE)
        remaining_s = call.request.deadline_wall_s - self._clock.wall_s()
        if remaining_s <= 0:
            return keyed_calls.failure(codes.ResultCode.DEADLINE_BEFORE_SEND)
        try:
            answer = await self._peers.call(
                owner_id,
                to_message(incarnation, call),
                self._clock.monotonic_s() + remaining_s,
            )
        except (calls.PeerUnreachable, messages.MessageError) as error:
            return keyed_calls.failure(
                codes.ResultCode.OWNER_UNREACHABLE, str(error)
            )
        if not isinstance(answer, messages.ForwardAnswer):
            return keyed_calls.failure(codes.ResultCode.OWNER_UNREACHABLE)
        return read_answer(answer)

    def _is_replaced(self, owner_id: str, incarnation: int) -> bool:
        return any(
            member.instance_id == owner_id and member.incarnation > incarnation
            for member in self._peers.members()
        )


def to_message(
    incarnation: int, call: keyed_calls.KeyedCall
) -> messages.ForwardCall:
    """Return the message that forwards a call to the owner of its key."""
    request = call.request
    return messages.ForwardCall(
        incarnation,
        call.client_account,
        call.key,
        call.service,
        request.method,
        request.target,
        request.headers,
        request.body,
        float(request.deadline_wall_s),
    )


def to_call(message: messages.ForwardCall) -> keyed_calls.KeyedCall:
    """Return the call that a message forwards."""
    return keyed_calls.KeyedCall(
        message.client_account,
        message.key,
        message.service,
        service_port.PlainRequest(
            message.method,
            message.target,
            message.headers,
            message.body,
            False,
            message.deadline_wall_s,
        ),
    )


def read_answer(answer: messages.ForwardAnswer) -> keyed_calls.CallAnswer:
    """Return the answer of an owner.

    A malformed answer is treated like an unreachable owner.
    """
    try:
        plain: Any = msgpack.unpackb(answer.outcome)
        outcome = outcome_codec.from_plain(plain)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        return keyed_calls.failure(
            codes.ResultCode.OWNER_UNREACHABLE, str(error)
        )
    return keyed_calls.CallAnswer(outcome, answer.replayed)


async def answer_forwarded(
    executor: executor_model.AtMostOnceExecutor,
    incarnation: int,
    message: messages.ForwardCall,
    send: abc.Callable[[keyed_calls.KeyedCall], keyed_calls.SendFunction],
) -> messages.ForwardAnswer:
    """Answer a call that another entry forwarded to this one.

    :param incarnation: incarnation of this entry instance.
    :param send: returns the function that sends a given call.
    """
    if message.owner_incarnation != incarnation:
        answer = keyed_calls.failure(codes.ResultCode.OWNER_GONE)
    else:
        call = to_call(message)
        answer = await executor.execute(call, send(call), forwarded=True)
    packed = msgpack.packb(outcome_codec.to_plain(answer.outcome))
    return messages.ForwardAnswer(packed, answer.replayed)
