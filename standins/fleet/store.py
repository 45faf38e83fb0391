"""Metadata store stand-in: ``python -m standins.fleet.store``."""

from __future__ import annotations

import asyncio
import base64
import time
from typing import Annotated, Any

from aiohttp import web
import typer

from standins.fleet import serving

MAX_ROWS = 500
HISTORY_ROWS = 10_000


class Store:
    """Rows by table and key, and the change history of all tables."""

    def __init__(self) -> None:
        self.version = 1
        self.rows: dict[tuple[str, str, str], dict[str, Any]] = {}
        self.changes: list[dict[str, Any]] = []
        self.oldest = 0
        self.mode = 'up'
        self.changed = asyncio.Condition()

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
        async with self.changed:
            self.changed.notify_all()

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


class StoreServer:
    """HTTP interface of the store, with faults under ``/standin``."""

    def __init__(self) -> None:
        self.store = Store()

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
                web.get('/standin/rows', self._get_all_rows),
            ]
        )
        return app

    @web.middleware
    async def _apply_faults(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        if not request.path.startswith('/standin'):
            if self.store.mode == 'busy':
                return web.Response(status=503)
            if self.store.mode == 'silent':
                await asyncio.sleep(3600)
        response: web.StreamResponse = await handler(request)
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
        if after < self.store.oldest:
            return web.Response(status=410)
        wait_s = int(request.query.get('wait_ms', '0')) / 1000
        is_deaf = self.store.mode == 'deaf'
        try:
            async with asyncio.timeout(wait_s), self.store.changed:
                await self.store.changed.wait_for(
                    lambda: (
                        not is_deaf and bool(self.store.since(table, after))
                    )
                )
        except asyncio.TimeoutError:
            pass
        if is_deaf:
            return self._rows_response([], False, after)
        if self.store.mode != 'up':
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
        body = await request.json()
        value = body.pop('value', None)
        if value is None:
            await self.store.write([], [body])
        else:
            encoded = base64.b64encode(value.encode()).decode()
            await self.store.write([{**body, 'value': encoded}], [])
        return web.json_response({'ver': self.store.version})

    async def _set_mode(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.store.mode = body.get('mode', self.store.mode)
        if body.get('forget'):
            self.store.oldest = self.store.version + 1
        async with self.store.changed:
            self.store.changed.notify_all()
        return web.json_response({})

    async def _get_all_rows(self, request: web.Request) -> web.Response:
        return web.json_response(list(self.store.rows.values()))


def main(port: Annotated[int, typer.Option(min=0, max=65535)] = 0) -> None:
    """Serve the store on a loopback port.

    :param port: TCP port; 0 picks a free one.
    """
    asyncio.run(serving.serve(lambda: StoreServer().app(), port))


if __name__ == '__main__':
    typer.run(main)
