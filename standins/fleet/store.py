"""Metadata store stand-in: ``python -m standins.fleet.store``."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import time
from typing import Annotated, Any, NamedTuple

from aiohttp import web
import typer

from standins.fleet import serving

MAX_ROWS = 500
HISTORY_ROWS = 10_000
ERA_HEADER = 'Store-Era'
# Copies are kept for this long; drills go back by some seconds.
COPIES_KEPT_S = 60.0
# Three heartbeats without a write, after which an endpoint's row is removed.
SILENCE_LIMIT_S = 3.6


class Copy(NamedTuple):
    """State of the store after a write.

    :param taken_s: monotonic seconds of that write.
    """

    taken_s: float
    version: int
    rows: dict[tuple[str, str, str], dict[str, Any]]


class Store:
    """Rows by table and key, and the change history of all tables."""

    def __init__(self) -> None:
        self.version = 1
        self.rows: dict[tuple[str, str, str], dict[str, Any]] = {}
        self.changes: list[dict[str, Any]] = []
        self.oldest = 0
        # 'up', 'silent', 'busy', 'deaf' (no changes are reported) or 'lossy'
        # (calls are performed and their answers lost).
        self.mode = 'up'
        # Tables that are not read until they are released.
        self.held_tables: list[str] = []
        # While it is away: how it treats calls, 'away' or 'hung'.
        self.absence = ''
        self.era = 1
        # Rows that operators and endpoints wrote since the last return.
        self.written_again: set[tuple[str, str, str]] = set()
        self.changed = asyncio.Condition()
        self._copies = [Copy(time.monotonic(), self.version, {})]

    async def write(
        self, writes: list[dict[str, Any]], removed: list[dict[str, Any]]
    ) -> None:
        """Apply writes and removals as one change."""
        self.version += 1
        for row in writes:
            self._put({**row, 'ver': self.version})
        for row in removed:
            self.rows.pop(_key(row), None)
            self.changes.append({**row, 'ver': self.version, 'deleted': True})
        del self.changes[:-HISTORY_ROWS]
        self._keep_copy()
        await self.notify()

    async def notify(self) -> None:
        """Let waiting feeds check the state again."""
        async with self.changed:
            self.changed.notify_all()

    def _keep_copy(self) -> None:
        now_s = time.monotonic()
        self._copies.append(Copy(now_s, self.version, dict(self.rows)))
        while self._copies[1].taken_s < now_s - COPIES_KEPT_S:
            del self._copies[0]

    def copy_of(self, moment_s: float) -> Copy:
        """Return the copy of a moment, or the oldest one.

        :param moment_s: monotonic seconds.
        """
        taken = [each for each in self._copies if each.taken_s <= moment_s]
        return taken[-1] if taken else self._copies[0]

    def restore(self, copy: Copy) -> list[dict[str, Any]]:
        """Go back to a copy and begin the next era.

        :returns: the lost rows of operators, in the order of their versions.
        """
        lost = [
            row
            for key, row in self.rows.items()
            if row['table'] == 'op' and copy.rows.get(key) != row
        ]
        self.era += 1
        self.version = copy.version
        self.rows = dict(copy.rows)
        self.changes = [
            row for row in self.changes if row['ver'] <= copy.version
        ]
        self.oldest = min(self.oldest, copy.version)
        self.written_again = set()
        self._copies = [
            each for each in self._copies if each.taken_s <= copy.taken_s
        ] or [copy]
        self._keep_copy()
        return sorted(lost, key=lambda row: row['ver'])

    def silent_endpoints(self) -> list[dict[str, Any]]:
        """Return the rows of endpoints not written since the last return."""
        return [
            {'table': table, 'part': part, 'key': key}
            for table, part, key in self.rows
            if table == 'servers'
            and (table, part, key) not in self.written_again
        ]

    def _put(self, row: dict[str, Any]) -> None:
        self.rows[_key(row)] = row
        self.changes.append(row)

    def conflicts(self, expected: list[dict[str, Any]]) -> bool:
        """Return whether a row has another version than expected."""
        return any(
            self.rows.get(_key(each), {}).get('ver', 0) != each['ver']
            for each in expected
        )

    def since(self, table: str, after: int) -> list[dict[str, Any]]:
        """Return the changes of a table that are newer than a version."""
        return [
            row
            for row in self.changes
            if row['ver'] > after and row['table'] == table
        ]


def _key(row: dict[str, Any]) -> tuple[str, str, str]:
    return row['table'], row.get('part', ''), row['key']


def _cut(request: web.Request) -> web.Response:
    """Reset the connection of a call, which gets no answer."""
    assert request.transport is not None
    request.transport.abort()
    return web.Response(status=503)


class StoreServer:
    """HTTP interface of the store, with faults under ``/standin``."""

    def __init__(self) -> None:
        self.store = Store()
        # Sent instead of the era; an empty text omits the header.
        self._era_text: str | None = None
        self._keeps_equal_rows = False
        self._restoring = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()

    def app(self) -> web.Application:
        """Return the application with all routes."""
        app = web.Application(middlewares=[self._apply_faults])
        app.add_routes(
            [
                web.get('/rows-get', self._get_rows),
                web.get('/rows-feed', self._get_changes),
                web.post('/rows-tx', self._transact),
                web.post('/standin/rows', self._write_row),
                web.post('/standin/faults', self._set_mode),
                web.post('/standin/restore', self._restore),
                web.get('/standin/rows', self._get_all_rows),
            ]
        )
        return app

    @web.middleware
    async def _apply_faults(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        if request.path.startswith('/standin'):
            control_response: web.StreamResponse = await handler(request)
            return control_response
        if self.store.mode == 'silent':
            await asyncio.sleep(3600)
        if self.store.absence == 'hung':
            async with self.store.changed:
                await self.store.changed.wait_for(
                    lambda: not self.store.absence
                )
            return _cut(request)
        if self.store.absence:
            return _cut(request)
        response = (
            web.Response(status=503)
            if self.store.mode == 'busy'
            else await self._handle(request, handler)
        )
        if self.store.mode == 'lossy':
            # Nothing more arrives on this connection, which stays open.
            await asyncio.sleep(3600)
        era = self._era_text
        if era is None:
            era = str(self.store.era)
        if era:
            response.headers[ERA_HEADER] = era
        return response

    async def _handle(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        """Return the answer of a handler, also to an unknown path."""
        try:
            response: web.StreamResponse = await handler(request)
        except web.HTTPException as error:
            return web.Response(status=error.status, text=error.text)
        return response

    def _rows_response(
        self,
        rows: list[dict[str, Any]],
        has_more: bool,
        version: int | None = None,
    ) -> web.Response:
        return web.json_response(
            {
                'rows': rows,
                'has_more': has_more,
                'ver': version or self.store.version,
                'now_ms': int(time.monotonic() * 1000),
            }
        )

    async def _get_rows(self, request: web.Request) -> web.Response:
        query = request.query
        table, part = query['table'], query.get('part', '')
        async with self.store.changed:
            await self.store.changed.wait_for(
                lambda: table not in self.store.held_tables
            )
        rows = sorted(
            (
                row
                for (row_table, row_part, key), row in self.store.rows.items()
                if (row_table, row_part) == (table, part)
                and key >= query.get('from', '')
            ),
            key=lambda row: row['key'].encode(),
        )
        return self._rows_response(rows[:MAX_ROWS], len(rows) > MAX_ROWS)

    async def _get_changes(self, request: web.Request) -> web.Response:
        table = request.query['table']
        after = int(request.query['after'])
        if not self.store.oldest <= after <= self.store.version:
            return web.Response(status=410)
        era = self.store.era
        wait_s = int(request.query.get('wait_ms', '0')) / 1000
        is_deaf = self.store.mode == 'deaf'
        try:
            async with asyncio.timeout(wait_s), self.store.changed:
                await self.store.changed.wait_for(
                    lambda: (
                        self.store.era != era
                        or bool(self.store.absence)
                        or not is_deaf
                        and bool(self.store.since(table, after))
                    )
                )
        except asyncio.TimeoutError:
            pass
        if self.store.era != era or self.store.absence:
            return _cut(request)
        if is_deaf:
            return self._rows_response([], False, after)
        if self.store.mode not in ('up', 'lossy'):
            return web.Response(status=503)
        return self._rows_response(self.store.since(table, after), False)

    async def _transact(self, request: web.Request) -> web.Response:
        body = await request.json()
        tables = {row['table'] for row in body['writes'] + body['remove']}
        if tables & {'op', 'servers'}:
            return web.Response(status=403)
        if self.store.conflicts(body['expected_rev']):
            return web.json_response({'rows': []}, status=412)
        await self.store.write(body['writes'], body['remove'])
        return web.json_response({'ver': self.store.version})

    async def _write_row(self, request: web.Request) -> web.Response:
        """Write or remove rows of any table; values are sent as text."""
        if self.store.absence:
            return web.Response(status=503)
        await self._write_text(await request.json())
        return web.json_response({'ver': self.store.version})

    async def _write_text(self, body: dict[str, Any]) -> None:
        row = {**body}
        value = row.pop('value', None)
        self.store.written_again.add(_key(row))
        if value is None:
            await self.store.write([], [row])
            return
        row['value'] = base64.b64encode(value.encode()).decode()
        known = self.store.rows.get(_key(row), {})
        if self._keeps_equal_rows and known.get('value') == row['value']:
            return
        await self.store.write([row], [])

    async def _set_mode(self, request: web.Request) -> web.Response:
        """Set faults; ``era_header`` is sent instead of the era.

        ``keeps_equal_rows`` tells whether a row that is written again with
        the same value keeps its version. ``other_writes`` transactions of
        other writers raise the version.
        """
        body = await request.json()
        self.store.mode = body.get('mode', self.store.mode)
        self.store.held_tables = body.get(
            'held_tables', self.store.held_tables
        )
        self.store.era = body.get('era', self.store.era)
        self._era_text = body.get('era_header', self._era_text)
        self._keeps_equal_rows = body.get(
            'keeps_equal_rows', self._keeps_equal_rows
        )
        self.store.version += body.get('other_writes', 0)
        if body.get('forget'):
            self.store.oldest = self.store.version + 1
        await self.store.notify()
        return web.json_response({})

    async def _restore(self, request: web.Request) -> web.Response:
        """Go away, come back from an older copy and answer after that.

        The body has ``age_s``, the age of the copy when the store goes away,
        ``away_s``, and optionally ``absence``: ``away`` resets calls then,
        ``hung`` keeps them waiting until the return. Before the first call
        after the return, ``rows`` are written and ``other_writes``
        transactions of other writers raise the version.
        """
        body = await request.json()
        async with self._restoring:
            copy = self.store.copy_of(time.monotonic() - body['age_s'])
            self.store.absence = body.get('absence', 'away')
            await self.store.notify()
            # The store also returns if the caller disconnects.
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(body['away_s'])
            lost = self.store.restore(copy)
            for row in body.get('rows', []):
                await self._write_text(row)
            self.store.version += body.get('other_writes', 0)
            self.store.absence = ''
            await self.store.notify()
        task = asyncio.create_task(self._remove_silent(self.store.era))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return web.json_response(
            {
                'era': self.store.era,
                'ver': self.store.version,
                'copy_ver': copy.version,
                'lost': [
                    {**row, 'value': base64.b64decode(row['value']).decode()}
                    for row in lost
                ],
            }
        )

    async def _remove_silent(self, era: int) -> None:
        """Remove endpoints that the copy lists and that write no more."""
        await asyncio.sleep(SILENCE_LIMIT_S)
        if self.store.era != era:
            return
        for row in self.store.silent_endpoints():
            await self.store.write([], [row])

    async def _get_all_rows(self, request: web.Request) -> web.Response:
        return web.json_response(list(self.store.rows.values()))


def main(port: Annotated[int, typer.Option(min=0, max=65535)] = 0) -> None:
    """Serve the store on a loopback port.

    :param port: TCP port; 0 picks a free one.
    """
    asyncio.run(serving.serve(lambda: StoreServer().app(), port))


if __name__ == '__main__':
    typer.run(main)
