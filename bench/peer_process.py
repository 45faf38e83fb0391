"""Runs one peer node that reads commands as JSON lines from its input.

Commands: ``{"members": [[id, address], ...]}``, ``{"broadcast": n}``,
``{"every_s": s, "report_bytes": n}`` (starts periodic flooded reports) and
``{"stats": true}``. Events are printed as JSON lines.
"""

from __future__ import annotations

import asyncio
import json
import resource
import sys
import time
from typing import Annotated, Any

import typer

from godwitvalve import clock as clock_model
from godwitvalve.peers import membership
from godwitvalve.peers import messages
from godwitvalve.peers import node as node_model
from godwitvalve.store import port as store_port

KEY = b'key of a measurement, not secret'


def _print_event(event: dict[str, Any]) -> None:
    print(json.dumps(event), flush=True)


class PeerProcess:
    """A peer node controlled by commands."""

    def __init__(self, instance_id: str, key: bytes) -> None:
        self._clock = clock_model.SystemClock()
        self._node = node_model.PeerNode(
            instance_id,
            membership.new_incarnation(self._clock.wall_s()),
            'fd-1',
            '127.0.0.1:0',
            key,
            self._clock,
        )
        self._node.on(messages.HeadAnnounced, self._handle_head)
        self._reporting: asyncio.Task[None] | None = None
        self._reports = 0
        self._node.on(messages.DemandReport, self._count_report)

    def _handle_head(self, origin: str, message: messages.Message) -> None:
        if isinstance(message, messages.HeadAnnounced):
            _print_event({'heard': message.revision, 'at_s': time.monotonic()})

    def _count_report(self, origin: str, message: messages.Message) -> None:
        self._reports += 1

    async def run(self) -> None:
        """Execute commands until the input ends."""
        await self._node.start()
        port = self._node.peer_address.rpartition(':')[2]
        print(f'listening on {port}', flush=True)
        reader = asyncio.StreamReader()
        await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
        )
        while line := await reader.readline():
            self._execute(json.loads(line))
        await self._node.close()

    def _execute(self, command: dict[str, Any]) -> None:
        if 'members' in command:
            self._node.update_members(
                [
                    _listed(name, address)
                    for name, address in command['members']
                ]
            )
        if 'broadcast' in command:
            revision = command['broadcast']
            _print_event({'sent': revision, 'at_s': time.monotonic()})
            self._node.broadcast(messages.HeadAnnounced(revision, b''))
        if 'every_s' in command:
            self._reporting = asyncio.create_task(
                self._send_reports(command['every_s'], command['report_bytes'])
            )
        if 'stats' in command:
            self._print_stats()

    async def _send_reports(
        self, interval_s: float, report_bytes: int
    ) -> None:
        sequence = 0
        while True:
            sequence += 1
            self._node.broadcast(
                messages.DemandReport(
                    self._node.instance_id,
                    self._node.incarnation,
                    sequence,
                    bytes(report_bytes),
                )
            )
            await asyncio.sleep(interval_s)

    def _print_stats(self) -> None:
        used = resource.getrusage(resource.RUSAGE_SELF)
        traffic = self._node.traffic
        _print_event(
            {
                'connected': self._node.connected_instances(),
                'known': sum(
                    each.incarnation > 0 for each in self._node.members()
                ),
                'reports': self._reports,
                'bytes_in': traffic.bytes_in,
                'bytes_out': traffic.bytes_out,
                'cpu_s': used.ru_utime + used.ru_stime,
                'peak_rss_bytes': used.ru_maxrss * 1024,
                'at_s': time.monotonic(),
            }
        )


def _listed(name: str, address: str) -> store_port.ListedInstance:
    return store_port.ListedInstance(
        name, 'entry', '', address, 'fd-1', '', '', 'live'
    )


def main(
    instance_id: Annotated[str, typer.Option()],
    key: Annotated[str, typer.Option()] = KEY.decode(),
) -> None:
    """Run one peer node."""
    asyncio.run(PeerProcess(instance_id, key.encode()).run())


if __name__ == '__main__':
    typer.run(main)
