"""``godwitvalve fleet``: print what the users' platform stores for entries.

It is a command by itself, and a group with further ones.
"""

from __future__ import annotations

import asyncio
import collections
from typing import Annotated, NamedTuple

import typer

from godwitvalve.fleet import endpoints
from godwitvalve.fleet import routes
from godwitvalve.operator_cli import options
from godwitvalve.operator_cli import route
from godwitvalve.platform import configuration as wire_configuration
from godwitvalve.platform import endpoints as wire_endpoints
from godwitvalve.platform import store as stores

# Optional here, as the commands below ``fleet`` need no store.
StoreAddress = Annotated[
    str | None,
    typer.Option(
        '--store',
        envvar='GODWITVALVE_STORE',
        help='IP:port of the platform store.',
    ),
]


class _StoredRows(NamedTuple):
    configuration: routes.Configuration | None
    endpoints: list[endpoints.FleetEndpoint]
    damaged_rows: list[str]


async def _read(address: str) -> _StoredRows:
    store = stores.StoreClient(address)
    try:
        operator_rows = await store.rows(wire_configuration.TABLE)
        endpoint_rows = await store.rows(wire_endpoints.TABLE)
    finally:
        await store.close()
    configuration = None
    for row in operator_rows.rows:
        if row.key == wire_configuration.KEY and row.value is not None:
            configuration = wire_configuration.decode(row.value)
    listed: list[endpoints.FleetEndpoint] = []
    damaged_rows: list[str] = []
    for row in endpoint_rows.rows:
        try:
            listed.append(wire_endpoints.decode(row.key, row.value or b''))
        except wire_endpoints.InvalidRow as error:
            damaged_rows.append(f'{row.key}: {error}')
    return _StoredRows(configuration, listed, damaged_rows)


def _summary(stored: _StoredRows) -> dict[str, object]:
    counts = collections.Counter(
        (endpoint.service, endpoint.failure_domain, endpoint.is_leaving)
        for endpoint in stored.endpoints
    )
    configuration = stored.configuration
    return {
        'configuration_version': configuration.version
        if configuration
        else None,
        'services': sorted(configuration.services) if configuration else [],
        'endpoints': [
            {
                'service': service,
                'failure_domain': domain,
                'state': 'leaving' if is_leaving else 'live',
                'count': count,
            }
            for (service, domain, is_leaving), count in sorted(counts.items())
        ],
        'damaged_rows': stored.damaged_rows,
    }


def fleet(
    context: typer.Context,
    store: StoreAddress = None,
    as_json: options.AsJson = False,
) -> None:
    """Print configuration version and endpoints; changes nothing."""
    if context.invoked_subcommand is not None:
        return
    if store is None:
        raise typer.BadParameter(
            'Missing; the environment variable is GODWITVALVE_STORE.',
            param_hint='--store',
        )
    try:
        stored = asyncio.run(_read(store))
    except stores.StoreUnavailable as error:
        options.fail(options.ExitCode.STORE_UNAVAILABLE, str(error))
    except wire_configuration.InvalidConfiguration as error:
        options.fail(options.ExitCode.REJECTED, f'Configuration: {error}')
    summary = _summary(stored)
    if as_json:
        options.print_json(summary)
        return
    version = summary['configuration_version']
    print(f'configuration {version}' if version else 'no configuration')
    for endpoint in stored.endpoints:
        state = 'leaving' if endpoint.is_leaving else 'live'
        print(
            f'{endpoint.service} {endpoint.failure_domain} '
            f'{endpoint.endpoint_id} {endpoint.address} {state}'
        )
    for row in stored.damaged_rows:
        print(f'damaged row {row}')


app = typer.Typer(add_completion=False)
app.callback(invoke_without_command=True)(fleet)
app.command()(route.route)
