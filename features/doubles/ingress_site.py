"""Test set-up of a caller port in front of a forwarding site."""

from __future__ import annotations

import asyncio
import contextlib
from typing import NamedTuple

from aioprometheus import renderer
from features.doubles import forwarding_site
from features.doubles import scripted_endpoint
from godwitvalve.fleet import routes
from godwitvalve.ingress import handler
from godwitvalve.ingress import servers
from godwitvalve.lifecycle import lifecycle

HOST = 'h.example'
KEY = 'k-1'
ANSWER_LIMIT_S = 6.0
# Longest body that a caller may send.
LIMIT_BYTES = 9999
_METRIC = 'godwitvalve_incomplete_answers_total'


class CallerResult(NamedTuple):
    """What a caller got until its answer or its connection ended."""

    status: int
    content: bytes
    is_complete: bool


def configuration(version, its_routes, keys=()):
    """Return a configuration with the service of a forwarding site."""
    facts = routes.ServiceConfig(
        forwarding_site.SERVICE, '/healthz', routes.EngineConfig(True)
    )
    accounts = {key: routes.AccountConfig('acme', None) for key in keys}
    return routes.Configuration(
        version,
        its_routes,
        [facts],
        accounts,
        routes.CallerLimits(LIMIT_BYTES),
        b'',
    )


class IngressSite:
    """Serves callers on a port of its own.

    :param scripts: scripts of each endpoint.
    """

    def __init__(self, scripts, its_route):
        self._scripts = scripts
        self._route = its_route
        self.scripted = []
        self.site = None
        self.handler = None
        self.runner = None

    @contextlib.asynccontextmanager
    async def running(self):
        """Listen while the context is entered."""
        self.scripted = [
            await scripted_endpoint.ScriptedEndpoint(*scripts).start()
            for scripts in self._scripts
        ]
        self.site = forwarding_site.ForwardingSite(self.scripted)
        self.site.state.install(configuration(2, [self._route], (KEY,)))
        stages = lifecycle.Lifecycle()
        stages.begin_serving()
        self.handler = handler.IngressHandler(self.site.context, stages)
        self.runner = await servers.listen('127.0.0.1:0', self.handler.handle)
        try:
            yield self
        finally:
            await self.runner.cleanup()
            for each in self.scripted:
                await each.stop()

    async def ask(
        self,
        segments='',
        on_event=None,
        body_after_s=0.0,
        body=b'body',
        body_headers='',
        target='',
        host=HOST,
        key_header=f'Api-Key: {KEY}\r\n',
    ):
        """Send one request and return the result of its caller.

        :param body_after_s: time from the head to the body.
        :param on_event: called with the writer once an event arrived.
        :param body: the body as it is sent, with its chunks if it has any.
        :param body_headers: lines that describe the body; its length is
            stated if there are none.
        :param target: target of the request line; a path of the route if it
            is empty.
        :param key_header: line with the key of a client account.
        """
        target = target or f'{self._route.prefix}x'
        described = body_headers or f'Content-Length: {len(body)}\r\n'
        ip, port = self.runner.addresses[0]
        reader, writer = await asyncio.open_connection(ip, port)
        writer.write(
            f'POST {target} HTTP/1.1\r\nHost: {host}\r\n'
            f'Request-Id: req-1\r\n{key_header}Deadline-Ms: 9000\r\n'
            f'Prompt-Prefix: {segments}\r\n{described}\r\n'.encode()
        )
        await asyncio.sleep(body_after_s)
        writer.write(body)
        content = b''
        try:
            async with asyncio.timeout(ANSWER_LIMIT_S):
                while data := await reader.read(65536):
                    content += data
                    if _is_complete(content):
                        break
                    if on_event is not None and b'id: 1' in content:
                        await on_event(writer)
                        on_event = None
        except OSError:
            pass
        finally:
            writer.close()
        head = content.partition(b'\r\n')[0].split()
        return CallerResult(
            int(head[1]) if head else 0, content, _is_complete(content)
        )

    def incomplete_reasons(self):
        """Return the counted reasons of incomplete answers."""
        registry = self.site.context.counters.registry
        content, _ = renderer.render(registry, [])
        return {
            line.partition('reason="')[2].partition('"')[0]: float(
                line.rpartition(' ')[2]
            )
            for line in content.decode().splitlines()
            if line.startswith(_METRIC)
        }


def _is_complete(content):
    head, _, body = content.partition(b'\r\n\r\n')
    if b'chunked' in head.lower():
        return body.endswith(scripted_endpoint.STREAM_END)
    _, found, rest = head.lower().partition(b'content-length: ')
    length = rest.partition(b'\r\n')[0]
    return bool(found) and len(body) >= int(length)
