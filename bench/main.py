"""Prints all measurements as JSON lines, with a summary as the last line.

Arguments name the modules to run; without any, all of them run.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from concurrent import futures
import json
import sys
import time

from bench import configuration
from bench import limits
from bench import moves
from bench import resume
from bench import routing
from bench import rows
from bench import whole_entry

# Functions that return the rows of each measurement, by name.
MEASUREMENTS: dict[str, Callable[[], Iterable[rows.Row]]] = {
    'moves': moves.run,
    'resume': resume.run,
    'whole_entry': whole_entry.run,
    'limits': limits.run,
    'routing': routing.run,
    'configuration': configuration.run,
}

# Measurements that start no processes of their own.
SIMULATED = ('limits', 'routing', 'configuration')


def summary(
    found: list[rows.Row], elapsed_s: float
) -> dict[str, dict[str, object] | list[str] | float]:
    """Return the values by case and the targets that were missed."""
    cases: dict[str, object] = {}
    for row in found:
        figures = cases.setdefault(row.case, {})
        assert isinstance(figures, dict)
        figures[row.measure] = {
            'value': row.value,
            'baseline': row.baseline,
            'target': row.target,
            'met': row.met,
        }
    missed = [
        f'{row.case}: {row.measure}' for row in found if row.met is False
    ]
    return {
        'summary': cases,
        'missed': missed,
        'elapsed_s': round(elapsed_s, 1),
    }


def _collect(name: str) -> list[rows.Row]:
    return list(MEASUREMENTS[name]())


def _run_measurements(names: Iterable[str]) -> Iterator[rows.Row]:
    """Yield the rows of each measurement.

    Simulated measurements run in parallel after the others, whose times they
    would otherwise distort.
    """
    chosen = list(names)
    for name in chosen:
        if name not in SIMULATED:
            yield from MEASUREMENTS[name]()
    with futures.ProcessPoolExecutor(len(SIMULATED)) as pool:
        simulated = [name for name in chosen if name in SIMULATED]
        for found in pool.map(_collect, simulated):
            yield from found


def main(names: list[str]) -> int:
    """Run the named measurements."""
    started_s = time.monotonic()
    found = []
    for row in _run_measurements(names or MEASUREMENTS):
        found.append(row)
        rows.print_rows([row])
    print(json.dumps(summary(found, time.monotonic() - started_s)), flush=True)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
