"""Steps for a store whose connections become silent."""

from __future__ import annotations

import asyncio
import json
import time

import behave
from godwitvalve.platform import store as stores


class _Store:
    """Answers with pages; its present connections can become silent."""

    def __init__(self):
        self.silent = set()
        self.writers = set()
        self.pages = [1]
        self.read_count = 0

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await reader.readuntil(b'\r\n\r\n'):
                # Lets a second call open a connection of its own.
                await asyncio.sleep(0.02)
                if writer not in self.silent:
                    writer.write(self._answer())
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def _answer(self):
        number = min(self.read_count, len(self.pages) - 1)
        self.read_count += 1
        content = {
            'rows': [{'key': f'k{number}', 'ver': 1, 'value': ''}],
            'ver': self.pages[number],
            'has_more': number < len(self.pages) - 1,
        }
        body = json.dumps(content).encode()
        return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s' % (
            len(body),
            body,
        )


class _Site:
    """The store and its client in one event loop."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.reports = []
        self.store = _Store()
        self.run(self._start())

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    async def _start(self):
        self._server = await asyncio.start_server(
            self.store.serve, '127.0.0.1', 0
        )
        port = self._server.sockets[0].getsockname()[1]
        self.client = stores.StoreClient(
            f'127.0.0.1:{port}', on_silence=lambda: self.reports.append(1)
        )

    async def open_connections(self):
        await asyncio.gather(*(self.client.rows('t') for _ in range(2)))
        assert len(self.store.writers) == 2

    async def lose_answer(self, timeout_s):
        self.store.silent |= self.store.writers
        try:
            await self.client.rows('t', timeout_s=timeout_s)
        except stores.StoreUnavailable:
            return
        raise AssertionError('a silent connection answered')

    async def end_poll(self):
        self.store.silent |= self.store.writers
        poll = asyncio.ensure_future(self.client.changes('t', 1, 8.0))
        await asyncio.sleep(0.05)
        poll.cancel()
        await asyncio.gather(poll, return_exceptions=True)

    def close(self):
        async def stop():
            await self.client.close()
            self._server.close()
            for writer in self.store.writers:
                writer.close()
            await asyncio.sleep(0.05)

        self.run(stop())
        self.loop.close()


@behave.given('a store client')
def client(context):
    context.site = _Site()
    context.add_cleanup(context.site.close)


@behave.given('a store client with two idle connections')
def idle_connections(context):
    client(context)
    context.site.run(context.site.open_connections())


@behave.when('the connections become silent and a call gets no answer')
def call_lost(context):
    context.site.run(context.site.lose_answer(stores.CALL_TIMEOUT_S))


@behave.when(
    'the connections become silent and a probe of {limit_s:g} s gets no answer'
)
def probe_lost(context, limit_s):
    context.site.run(context.site.lose_answer(limit_s))


@behave.when(
    'the connections become silent and a poll is ended before its limit'
)
def poll_ended(context):
    context.site.run(context.site.end_poll())


@behave.then('the next call is answered within {limit_s:g} s')
def answered(context, limit_s):
    began_s = time.monotonic()
    context.site.run(context.site.client.rows('t'))
    assert time.monotonic() - began_s < limit_s


@behave.then('the silence was reported once')
def reported_once(context):
    assert len(context.site.reports) == 1, context.site.reports


@behave.then('the silence was not reported')
def not_reported(context):
    assert not context.site.reports


@behave.when('a table is read in pages of the versions "{versions}"')
def read_pages(context, versions):
    context.site.store.pages = [int(each) for each in versions.split(', ')]
    context.answer = context.site.run(context.site.client.rows('t'))
    assert len(context.answer.rows) == len(context.site.store.pages)


@behave.then('its changes are followed from version {version:d}')
def followed_from(context, version):
    assert context.answer.version == version, context.answer
