"""Steps for calls during which the event loop is held up."""

from __future__ import annotations

import asyncio
import socket
import time
from unittest import mock

import behave
from features.doubles import forwarding_site
from features.doubles import scripted_endpoint
from godwitvalve.fleet import routes
from godwitvalve.forwarding import channel

NON_REPEATABLE = forwarding_site.route(routes.RequestKind.ONCE)


class FullEndpoint:
    """Listens, but accepts nothing, and its accept queue is full."""

    def __init__(self):
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=0)
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'
        self._queued = socket.create_connection((host, port))

    async def stop(self):
        self._queued.close()
        self._listener.close()


class HoldingEndpoint(scripted_endpoint.ScriptedEndpoint):
    """Holds up the event loop as soon as an answer is sent."""

    def __init__(self, content, hold_s):
        super().__init__([content])
        self._hold_s = hold_s

    async def _play(self, *arguments):
        is_kept = await super()._play(*arguments)
        time.sleep(self._hold_s)
        return is_kept


ANSWERS = {
    'answers': scripted_endpoint.answer(),
    'declines': scripted_endpoint.DECLINED,
}


@behave.when(
    'the event loop is held up beyond the deadline once the endpoint {word}'
)
def held_up_after(context, word):
    async def run():
        endpoint = HoldingEndpoint(ANSWERS[word], 0.4)
        await endpoint.start()
        site = forwarding_site.ForwardingSite([endpoint])
        context.reply = await site.call(NON_REPEATABLE, 0.3)
        await endpoint.stop()

    asyncio.run(run())


@behave.given('an endpoint whose accept queue is full')
def full_accept_queue(context):
    context.scripts = None


@behave.when(
    'the event loop is held up for {time_ms:d} ms while a call connects'
)
def held_up(context, time_ms):
    connect = channel.connect
    held_up_ms = [time_ms]

    async def connect_held_up(*arguments):
        task = asyncio.create_task(connect(*arguments))
        # Runs in the same turn as the first step of the task.
        for each_ms in held_up_ms:
            asyncio.get_running_loop().call_soon(time.sleep, each_ms / 1000)
        held_up_ms.clear()
        return await task

    async def run():
        if context.scripts is None:
            endpoint = FullEndpoint()
        else:
            endpoint = await scripted_endpoint.ScriptedEndpoint(
                *context.scripts[0]
            ).start()
        site = forwarding_site.ForwardingSite([endpoint])
        losses = mock.patch.object(
            site.tracker, 'record_loss', wraps=site.tracker.record_loss
        )
        connects = mock.patch.object(channel, 'connect', connect_held_up)
        with losses as context.record_loss, connects:
            context.reply = await site.call(NON_REPEATABLE)
        await endpoint.stop()

    asyncio.run(run())


@behave.then('no endpoint counts as lost')
def none_lost(context):
    assert not context.record_loss.called, context.record_loss.mock_calls


@behave.then('the endpoint counts as lost')
def is_lost(context):
    assert context.record_loss.called
