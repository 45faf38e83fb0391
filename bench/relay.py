"""Measures the relay of generations: ``python -m bench.relay``."""

from __future__ import annotations

import asyncio
from collections import abc

import typer

from bench import relay_faults
from bench import relay_load
from bench import rows


async def _print(measured: abc.AsyncIterator[rows.Row]) -> None:
    async for row in measured:
        rows.print_rows((row,))


def main(only: str = '') -> None:
    """Run all measurements, or those whose case name contains a text."""
    for load in relay_load.LOADS:
        if only in load.case:
            asyncio.run(_print(relay_load.measure_load(load)))
    for fault in relay_faults.FAULTS:
        if only in fault.case:
            asyncio.run(_print(relay_faults.measure_fault(fault)))


if __name__ == '__main__':
    app = typer.Typer(pretty_exceptions_enable=False)
    app.command()(main)
    app()
