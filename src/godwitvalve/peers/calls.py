"""Request and answer exchange over the link to a peer."""

from __future__ import annotations

import asyncio
from collections import abc

from godwitvalve import clock as clock_model
from godwitvalve.logs import setup as logs
from godwitvalve.peers import envelopes
from godwitvalve.peers import link as link_model
from godwitvalve.peers import messages

MAX_CONCURRENT_REQUESTS = 512
_LOG = logs.get('peers')

RequestHandler = abc.Callable[
    [str, messages.Message], abc.Awaitable[messages.Message | None]
]


class PeerUnreachable(Exception):
    """No answer from a peer, which may still have received the request."""


class Calls:
    """Sends requests, matches answers to them and serves requests of peers.

    Each request has a number, which its answer repeats.
    """

    def __init__(self, clock: clock_model.Clock) -> None:
        self._clock = clock
        self._number = 0
        self._pending: dict[
            int,
            tuple[
                link_model.PeerLink, asyncio.Future[messages.Message | None]
            ],
        ] = {}
        self._handlers: dict[type[messages.Message], RequestHandler] = {}
        self._serving: set[asyncio.Task[None]] = set()

    def on_request(
        self, kind: type[messages.Message], handler: RequestHandler
    ) -> None:
        """Set the handler for requests of a message type."""
        self._handlers[kind] = handler

    def has_pending(self, link: link_model.PeerLink) -> bool:
        """Return whether a request on a link is still without an answer."""
        return any(used is link for used, _ in self._pending.values())

    async def call(
        self,
        link: link_model.PeerLink,
        message: messages.Message,
        deadline_s: float,
    ) -> messages.Message:
        """Send a request and wait for its answer.

        :param deadline_s: monotonic seconds.
        :raises PeerUnreachable: if no answer arrived before the deadline, the
            link closed or the peer answered without a message.
        """
        self._number += 1
        number = self._number
        future: asyncio.Future[messages.Message | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[number] = (link, future)
        try:
            if not link.send(envelopes.Request(number, message)):
                raise PeerUnreachable('link is closed')
            link.last_used_s = self._clock.monotonic_s()
            async with asyncio.timeout(deadline_s - link.last_used_s):
                answer = await future
        except TimeoutError as error:
            raise PeerUnreachable('no answer in time') from error
        finally:
            del self._pending[number]
        if answer is None:
            raise PeerUnreachable('peer has no answer')
        return answer

    def handle_answer(
        self, link: link_model.PeerLink, answer: envelopes.Answer
    ) -> None:
        """Take an answer; one that nobody awaits is dropped."""
        pending = self._pending.get(answer.number)
        if pending is None or pending[0] is not link or pending[1].done():
            return
        pending[1].set_result(answer.message)

    def link_closed(self, link: link_model.PeerLink) -> None:
        """Fail the requests that are pending on a closed link."""
        for used, future in self._pending.values():
            if used is link and not future.done():
                future.set_result(None)

    def serve(
        self, link: link_model.PeerLink, request: envelopes.Request
    ) -> None:
        """Answer a request of a peer in a new task.

        The answer is empty if there is no handler or too many requests
        are being served.
        """
        link.last_used_s = self._clock.monotonic_s()
        handler = self._handlers.get(type(request.message))
        if handler is None or len(self._serving) >= MAX_CONCURRENT_REQUESTS:
            link.send(envelopes.Answer(request.number, None))
            return
        task = asyncio.create_task(self._serve(link, request, handler))
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)

    async def _serve(
        self,
        link: link_model.PeerLink,
        request: envelopes.Request,
        handler: RequestHandler,
    ) -> None:
        answer = None
        try:
            answer = await handler(link.peer.instance_id, request.message)
            link.send(envelopes.Answer(request.number, answer))
        except messages.MessageError:
            _LOG.exception('Answer to a peer exceeds the size limit.')
            link.send(envelopes.Answer(request.number, None))
        except Exception:
            _LOG.exception('Handler of a peer request failed.')
            link.send(envelopes.Answer(request.number, None))
