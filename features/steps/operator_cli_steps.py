"""Steps for the operator commands."""

from __future__ import annotations

import asyncio
import functools
import http.server
import json
import pathlib
import tempfile
import threading
from unittest import mock

import behave
from features.doubles import memory_platform
from features.doubles import platform_standin
from features.doubles import texts
from godwitvalve.moves import move
from godwitvalve.moves import verdict_rows
from godwitvalve.operator_cli import main
from godwitvalve.operator_cli import publish
from godwitvalve.operator_cli import stored
from godwitvalve.store import http_adapter
from godwitvalve.store import port
from godwitvalve.text import check
from godwitvalve.text import head as text_head
import orjson
from typer import testing


def _save(context):
    context.path.write_bytes(texts.to_bytes(context.raw))


@behave.given('an operator with the example text')
def operator_with_text(context):
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    context.path = pathlib.Path(folder.name) / 'text.json5'
    context.raw = texts.example()
    context.env = {}
    _save(context)


@behave.given('an operator with the example text and a platform')
def operator_with_platform(context):
    operator_with_text(context)
    context.standin = platform_standin.start(context)
    context.env = {'GODWITVALVE_PLATFORM': context.standin.url}


@behave.given('the operator sets "{path}" to {value}')
def operator_sets(context, path, value):
    texts.set_key(context.raw, path, json.loads(value))
    _save(context)


@behave.given("the operator's platform fault {name} is {value}")
def operator_platform_fault(context, name, value):
    context.standin.set_faults(**{name: json.loads(value)})


def _run(context, line):
    words = [
        str(context.path) if word == 'TEXT' else word for word in line.split()
    ]
    context.result = testing.CliRunner().invoke(
        main.app, words, env=context.env
    )


@behave.given('the operator runs "{line}"')
@behave.when('the operator runs "{line}"')
def operator_runs(context, line):
    _run(context, line)


@behave.when('the operator saves the output as the text')
def operator_saves(context):
    context.path.write_text(context.result.stdout)


@behave.when('a colleague applies "{path}" set to {value} on base {base:d}')
def colleague_applies(context, path, value, base):
    own_text = context.raw
    context.raw = texts.example()
    operator_sets(context, path, value)
    _run(context, f'apply TEXT --base {base}')
    assert context.result.exit_code == 0, context.result.output
    context.raw = own_text
    _save(context)


@behave.then('the command exits with {code:d} and prints "{message}"')
def command_exits(context, code, message):
    result = context.result.exit_code, context.result.output
    assert result[0] == code and message in result[1], result


@behave.then('the command printed "{message}"')
def command_printed(context, message):
    assert message in context.result.output, context.result.output


@behave.then(
    'the command exits with {code:d} and prints JSON with "{path}" '
    'equal to {value}'
)
def command_prints_json(context, code, path, value):
    assert context.result.exit_code == code, context.result.output
    raw = json.loads(context.result.stdout)
    for key in path.split('.'):
        raw = raw[int(key)] if isinstance(raw, list) else raw[key]
    assert raw == json.loads(value), raw


def _with_platform(context, use):
    async def run():
        async with http_adapter.HttpPlatform(context.standin.url) as platform:
            return await use(platform)

    return asyncio.run(run())


@behave.then('the accepted revision is {revision:d}')
def accepted_revision(context, revision):
    head = _with_platform(context, stored.read_head)
    assert (head.revision if head else 0) == revision


# Lost answers to the head write.


class _LossyPlatform(memory_platform.MemoryPlatform):
    """Platform whose first head write fails in a given way."""

    def __init__(self, fault):
        super().__init__()
        self._fault = fault
        self._is_first = True

    async def compare_and_set(self, table, key, expected_version, value):
        write = functools.partial(
            super().compare_and_set, table, key, expected_version, value
        )
        if not self._is_first:
            outcome = await write()
            if 'arrives after the second one' in self._fault:
                assert isinstance(await write(), port.Conflict)
            return outcome
        self._is_first = False
        if self._fault == 'is refused':
            return port.WriteRefused('down')
        if self._fault.startswith('is applied'):
            await write()
        followers = {'a text follows': 1, '20 texts follow': 20}
        count = next(
            (n for words, n in followers.items() if words in self._fault),
            'another text is accepted' in self._fault,
        )
        for _ in range(count):
            memory_platform.accept(self, _example(), 5.0)
        self.is_down = 'goes down' in self._fault
        return port.WriteUnknown('lost')


def _example():
    return check.check(texts.to_bytes(texts.example())).text


@behave.given('a platform in memory whose head write {what}')
def lossy_platform(context, what):
    context.memory = _LossyPlatform(what)


@behave.when('the example text is published in memory')
def publish_in_memory(context):
    with (
        mock.patch.object(publish, 'RESOLVE_LIMIT_S', 0.5),
        mock.patch.object(publish, 'RESOLVE_INTERVAL_S', 0.01),
    ):
        context.outcome = asyncio.run(
            publish.publish(
                context.memory,
                _example(),
                0,
                'own',
                memory_platform.ManualClock(),
            )
        )


@behave.then('the publish outcome is {name}')
def publish_outcome(context, name):
    assert type(context.outcome).__name__ == name, context.outcome


@behave.then('{count:d} head revisions were written')
def head_revisions(context, count):
    row = context.memory.rows.get((text_head.TABLE, text_head.KEY))
    assert (row.version if row else 0) == count


@behave.when('{count:d} operators publish against base 0 at once')
def operators_race(context, count):
    async def race(platform):
        return await asyncio.gather(
            *(
                publish.publish(
                    platform,
                    _example(),
                    0,
                    f'operator-{index}',
                    memory_platform.ManualClock(),
                )
                for index in range(count)
            )
        )

    context.outcomes = _with_platform(context, race)


@behave.then(
    'exactly {accepted:d} publish was accepted and {outdated:d} were outdated'
)
def race_outcomes(context, accepted, outdated):
    kinds = [type(outcome) for outcome in context.outcomes]
    assert kinds.count(publish.Accepted) == accepted, kinds
    assert kinds.count(publish.Outdated) == outdated, kinds


# Status.


def _serve_entry(context, instance_id, body):
    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self):
            found = self.path == '/v1/status'
            self.send_response(200 if found else 404)
            self.send_header('Content-Length', str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *args):
            pass

    server = http.server.ThreadingHTTPServer(('127.0.0.1', 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.cleanups.append(server.server_close)
    context.cleanups.append(server.shutdown)
    address = f'127.0.0.1:{server.server_port}'
    context.standin.put_instance(instance_id, address=address)


@behave.given(
    'the entry "{instance_id}" answers with revision {revision:d} '
    'and a move "{state}" because "{reason}"'
)
@behave.given(
    'the entry "{instance_id}" answers with revision {revision:d} '
    'and a move "{state}" because ""'
)
def entry_answers(context, instance_id, revision, state, reason=''):
    move = {
        'service': 'summaries',
        'version': 'v2',
        'state': state,
        'share': 0.0,
        'reason': reason,
    }
    status = {
        'instance_id': instance_id,
        'revision': revision,
        'state': 'serving',
        'moves': [move],
    }
    _serve_entry(context, instance_id, orjson.dumps(status))


@behave.given('the entry "{instance_id}" does not answer')
def entry_unreachable(context, instance_id):
    context.standin.put_instance(instance_id, address='127.0.0.1:1')


@behave.given('the entry "{instance_id}" answers malformed')
def entry_malformed(context, instance_id):
    _serve_entry(context, instance_id, b'{"revision": 1}')


@behave.given('the verdict row "{key}" says "{verdict}" because "{reason}"')
def verdict_row(context, key, verdict, reason):
    row = verdict_rows.VerdictRow(
        key, move.Verdict[verdict.upper()], reason, 'entry-1', 1.0
    )
    value = row.encode()
    _with_platform(
        context,
        lambda platform: platform.compare_and_set('moves', key, 0, value),
    )
