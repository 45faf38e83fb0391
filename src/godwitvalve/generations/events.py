"""Server-sent events of a completion."""

from __future__ import annotations

from collections import abc

import orjson

from godwitvalve.generations import results
from godwitvalve.outcomes import problem

HEARTBEAT = b': heartbeat\n\n'
DONE = b'data: [DONE]\n\n'
CONTENT_TYPE = 'text/event-stream'
OBJECT_TYPE = 'text_completion'


class EventFormatter:
    """Formats the events of one answer.

    :param version: version that generates, known with the first result.
    """

    def __init__(self, request_id: str, model: str, version: str) -> None:
        self._request_id = request_id
        self._model = model
        self._version = version
        head = orjson.dumps(
            {'id': request_id, 'object': OBJECT_TYPE, 'model': model}
        )
        self._head = (
            b'\ndata: '
            + head[:-1]
            + b',"choices":[{"index":0,"finish_reason":null,"text":'
        )
        self._tail = b',"version":' + orjson.dumps(version) + b'}}\n\n'

    def delivered(self, result: results.Delivered) -> bytes:
        """Return the event that carries tokens."""
        return b''.join(
            (
                b'id: ',
                result.resume_id.encode('ascii'),
                self._head,
                orjson.dumps(result.text),
                b'}],"godwitvalve":{"first_index":%d,"token_ids":'
                % result.first_index,
                orjson.dumps(result.token_ids),
                self._tail,
            )
        )

    def finished(self, result: results.Finished) -> bytes:
        """Return the last data event and the ``[DONE]`` marker."""
        body = self._body('', result)
        return b'data: ' + orjson.dumps(body) + b'\n\n' + DONE

    def failed(self, result: results.Failed) -> bytes:
        """Return the error event that ends an incomplete answer."""
        details = problem.describe(result.code, result.detail)
        return b'event: error\ndata: ' + orjson.dumps(details) + b'\n\n'

    def json_body(
        self,
        parts: abc.Sequence[results.Delivered],
        result: results.Finished,
    ) -> bytes:
        """Return the body of an answer that is not streamed."""
        body = self._body(''.join(part.text for part in parts), result)
        extension = body['godwitvalve']
        assert isinstance(extension, dict)
        extension['first_index'] = parts[0].first_index if parts else 0
        extension['token_ids'] = [
            token for part in parts for token in part.token_ids
        ]
        return orjson.dumps(body)

    def _body(self, text: str, result: results.Finished) -> dict[str, object]:
        return {
            'id': self._request_id,
            'object': OBJECT_TYPE,
            'model': self._model,
            'choices': [
                {
                    'index': 0,
                    'text': text,
                    'finish_reason': result.finish_reason,
                }
            ],
            'godwitvalve': {
                'token_count': result.token_count,
                'digest': result.digest.hex(),
                'version': self._version,
            },
        }
