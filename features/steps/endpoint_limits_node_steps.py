"""Steps for permits over datagrams."""

from __future__ import annotations

import asyncio
import socket
import time

import behave
from godwitvalve.endpoint_limits import messages
from godwitvalve.endpoint_limits import node
from standins import local_site

QUESTION = messages.PermitRequest(0, 'e', 1, 4.0, False)
HOSTS = ('127.0.9.1', '127.0.9.2')
INVALID = (b'', b'\xc1', b'\x93\x00\x01', b'x' * 2000)


class _LossySocket(node.PermitNode):
    """Drops the first datagrams that it receives.

    :param lost: number of datagrams to drop; -1 drops all.
    """

    def __init__(self, port, decide, lost):
        super().__init__(port, decide)
        self._lost = lost

    def datagram_received(self, data, addr):
        if self._lost:
            self._lost -= 1
        else:
            super().datagram_received(data, addr)


@behave.given('two permit sockets, of which the second {behaviour}')
def two_sockets(context, behaviour):
    context.lost = -1 if behaviour == 'answers nothing' else 0
    context.is_disturbed = False


@behave.when('each of them gets invalid datagrams')
def get_invalid(context):
    context.is_disturbed = True


@behave.when(
    'the first asks the second for a permit and the question is lost once'
)
def asks_lost(context):
    context.lost = 1
    asks(context)


@behave.when('the first asks the second for a permit')
def asks(context):
    context.answers = [asyncio.run(_ask(context))]


class _LateAnswers(asyncio.DatagramProtocol):
    """Answers the first question only together with the second one."""

    def __init__(self):
        self._first = None

    def connection_made(self, transport):
        self._transport = transport

    def datagram_received(self, data, addr):
        question = messages.DECODER.decode(data)
        if self._first in (None, question.number):
            self._first = question.number
            return
        for answer in (
            messages.PermitAnswer(self._first, 0),
            messages.PermitAnswer(question.number, 70),
        ):
            self._transport.sendto(messages.ENCODER.encode(answer), addr)


@behave.when(
    'the first asks twice for a permit and gets the first answer late'
)
def asks_twice(context):
    async def run():
        port = local_site.free_port()
        first = node.PermitNode(port, lambda question: None)
        loop = asyncio.get_running_loop()
        for host, each in zip(HOSTS, (first, _LateAnswers())):
            await loop.create_datagram_endpoint(
                lambda each=each: each, local_addr=(host, port)
            )
        return [await first.ask(HOSTS[1], QUESTION) for _ in range(2)]

    context.answers = asyncio.run(run())


async def _ask(context):
    """Return the answer to one question."""
    port = local_site.free_port()

    def decide(question):
        return messages.PermitAnswer(question.number, 0)

    nodes = [
        _LossySocket(port, decide, 0),
        _LossySocket(port, decide, context.lost),
    ]
    loop = asyncio.get_running_loop()
    for host, each in zip(HOSTS, nodes):
        await loop.create_datagram_endpoint(
            lambda each=each: each, local_addr=(host, port)
        )
    if context.is_disturbed:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for host in HOSTS:
                for content in INVALID:
                    sender.sendto(content, (host, port))
    began_s = time.monotonic()
    answer = await nodes[0].ask(HOSTS[1], QUESTION)
    context.taken_ms = (time.monotonic() - began_s) * 1000
    for each in nodes:
        each.close()
    return answer


@behave.then('it is granted within {limit_ms:d} ms')
def is_granted(context, limit_ms):
    assert context.answers[0] is not None
    assert context.answers[0].wait_ms == 0
    assert context.taken_ms <= limit_ms, context.taken_ms


@behave.then('there is no answer and it took at most {limit_ms:d} ms')
def no_answer(context, limit_ms):
    assert context.answers == [None], context.answers
    assert context.taken_ms <= limit_ms, context.taken_ms


@behave.then('the first question has no answer and the second one is denied')
def first_unanswered(context):
    first, second = context.answers
    assert first is None, first
    assert second is not None and second.wait_ms == 70, second
