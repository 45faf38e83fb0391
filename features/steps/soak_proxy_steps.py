"""Steps for the proxy of the soak test."""

from __future__ import annotations

import asyncio

import behave
from standins.soak import proxy

LIMIT_S = 2.0


async def _has_ended(reader):
    try:
        async with asyncio.timeout(LIMIT_S):
            return await reader.read() == b''
    except ConnectionResetError:
        return True
    except asyncio.TimeoutError:
        return False


async def _stop_with_connection(is_used):
    accepted = asyncio.get_running_loop().create_future()
    server = await asyncio.start_server(
        lambda *streams: accepted.set_result(streams), '127.0.0.1', 0
    )
    port = server.sockets[0].getsockname()[1]
    fault_proxy = await proxy.FaultProxy(f'127.0.0.1:{port}').start()
    host, _, proxy_port = fault_proxy.address.rpartition(':')
    caller, caller_writer = await asyncio.open_connection(host, proxy_port)
    behind, behind_writer = await accepted
    if is_used:
        caller_writer.write(b'x')
        await behind.readexactly(1)
    await fault_proxy.stop()
    ended = [await _has_ended(caller), await _has_ended(behind)]
    caller_writer.close()
    behind_writer.close()
    server.close()
    return ended


@behave.when('a proxy with {state} connection stops')
def proxy_stops(context, state):
    is_used = {'a used': True, 'a new': False}[state]
    context.ended = asyncio.run(_stop_with_connection(is_used))


@behave.then('the caller and the process behind it see the connection end')
def connection_ended(context):
    assert context.ended == [True, True], context.ended
