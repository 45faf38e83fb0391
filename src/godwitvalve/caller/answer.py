"""Checks a streamed answer for missing, repeated and changed tokens."""

from __future__ import annotations

from typing import Any, NamedTuple

import orjson

from godwitvalve.caller import errors
from godwitvalve.generations import digest as rolling


class Chunk(NamedTuple):
    """New tokens of an answer."""

    first_index: int
    token_ids: tuple[int, ...]
    text: str


class Answer(NamedTuple):
    """A complete, verified answer."""

    request_id: str
    text: str
    token_ids: tuple[int, ...]
    finish_reason: str
    version: str
    reconnects: int


def _object(data: bytes) -> dict[str, Any]:
    try:
        body = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise errors.CorruptAnswer('malformed event') from error
    if not isinstance(body, dict):
        raise errors.CorruptAnswer('malformed event')
    return body


class AnswerCheck:
    """Collects and checks an answer that arrives on several connections.

    A repeated token is an error and is not skipped, because the system
    guarantees that none is sent twice.
    """

    def __init__(self) -> None:
        self.request_id = ''
        self.resume_id = ''
        self.token_ids: list[int] = []
        self.texts: list[str] = []
        self.version = ''
        self.finish_reason: str | None = None
        self.is_done = False
        self._digest = rolling.EMPTY

    def start_reconnect(self) -> None:
        """Expect the final event again, which each connection ends with."""
        self.finish_reason = None

    def accept(self, event_id: str, data: bytes) -> Chunk | None:
        """Check and add the data of one event.

        :raises CorruptAnswer: if the event does not continue the answer.
        """
        if data == b'[DONE]':
            if self.finish_reason is None:
                raise errors.CorruptAnswer('end mark without a final event')
            self.is_done = True
            return None
        if self.finish_reason is not None:
            raise errors.CorruptAnswer('event after the final event')
        try:
            return self._accept(event_id, _object(data))
        except (
            KeyError,
            IndexError,
            TypeError,
            ValueError,
            AttributeError,
            OverflowError,
        ) as error:
            raise errors.CorruptAnswer('malformed event') from error

    def _accept(self, event_id: str, body: dict[str, Any]) -> Chunk | None:
        request_id = body['id']
        if self.request_id not in ('', request_id):
            raise errors.CorruptAnswer('event of another request')
        extension = body['godwitvalve']
        if self.version not in ('', extension['version']):
            raise errors.CorruptAnswer('event of another version')
        choice = body['choices'][0]
        chunk = None
        if 'token_count' not in extension:
            chunk = self._tokens(extension, choice['text'])
            self.resume_id = event_id or self.resume_id
        else:
            self._finish(extension, choice['finish_reason'])
        self.request_id = request_id
        self.version = extension['version']
        return chunk

    def _tokens(self, extension: dict[str, Any], text: str) -> Chunk:
        first_index = extension['first_index']
        expected = len(self.token_ids)
        if first_index != expected:
            raise errors.CorruptAnswer(
                f'token {first_index} came, token {expected} was due'
            )
        token_ids = tuple(extension['token_ids'])
        self._digest = rolling.extend(self._digest, token_ids)
        self.token_ids.extend(token_ids)
        self.texts.append(text)
        return Chunk(first_index, token_ids, text)

    def _finish(self, extension: dict[str, Any], reason: str) -> None:
        if extension['token_count'] != len(self.token_ids):
            raise errors.CorruptAnswer(
                f'{len(self.token_ids)} of {extension["token_count"]} '
                'tokens came'
            )
        if extension['digest'] != self._digest.hex():
            raise errors.CorruptAnswer('the digest of the answer differs')
        self.finish_reason = str(reason)

    def result(self, reconnects: int) -> Answer:
        """Return the complete answer.

        :raises CorruptAnswer: if ``[DONE]`` has not arrived.
        """
        if not self.is_done or self.finish_reason is None:
            raise errors.CorruptAnswer('the answer is not whole')
        return Answer(
            self.request_id,
            ''.join(self.texts),
            tuple(self.token_ids),
            self.finish_reason,
            self.version,
            reconnects,
        )
