"""Runs every feature file and prints ``N passed, N failed`` last.

A scenario listed in KNOWN-RED.txt may fail: it is printed and not counted.
An entry starts with ``test:`` and the scenario's name on that line.
"""

from __future__ import annotations

from concurrent import futures
import json
import pathlib
import subprocess
import sys
import tempfile
from typing import NamedTuple

ROOT = pathlib.Path(__file__).resolve().parent.parent
FEATURES = ROOT / 'features'
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
# Suites that start processes wait on deadlines, so few run side by side.
MAX_SUITES_AT_ONCE = 4
SUITE_LIMIT_S = 900


class Result(NamedTuple):
    """Verdict on one scenario."""

    suite: str
    scenario: str
    passed: bool


class SuiteReport(NamedTuple):
    """Results of one suite with what it printed."""

    results: list[Result]
    output: str


def known_red() -> set[str]:
    """Return the names of scenarios that may fail."""
    if not KNOWN_RED.exists():
        return set()
    return {
        line.removeprefix('test:').strip()
        for line in KNOWN_RED.read_text().splitlines()
        if line.startswith('test:')
    }


def suites() -> list[str]:
    """Return the feature files, those with whole sites first.

    They take longest, so that the others run beside them.
    """
    found = [
        str(path.relative_to(FEATURES)) for path in FEATURES.rglob('*.feature')
    ]
    return sorted(
        found, key=lambda name: (not name.startswith('system/'), name)
    )


def _scenarios(suite: str, report: pathlib.Path) -> list[Result]:
    features = json.loads(report.read_text() or '[]')
    return [
        Result(suite, element['name'], element.get('status') == 'passed')
        for feature in features
        for element in feature.get('elements', [])
        if element['type'] == 'scenario'
    ]


def run_suite(suite: str) -> SuiteReport:
    """Run one suite in a process of its own."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / 'report.json'
        command = [
            sys.executable,
            '-m',
            'behave',
            f'features/{suite}',
            '--format=json',
            f'--outfile={report}',
            '--format=progress',
            '--no-color',
        ]
        try:
            done = subprocess.run(
                command,
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=SUITE_LIMIT_S,
            )
        except subprocess.TimeoutExpired:
            failed = Result(suite, f'{suite}: time limit', False)
            return SuiteReport([failed], 'time limit passed')
        results = _scenarios(suite, report) if report.exists() else []
    if done.returncode and all(result.passed for result in results):
        results.append(Result(suite, f'{suite}: suite did not run', False))
    return SuiteReport(results, done.stdout + done.stderr)


def main() -> int:
    """Run all suites, or those named on the command line."""
    names = sys.argv[1:] or suites()
    with futures.ThreadPoolExecutor(MAX_SUITES_AT_ONCE) as pool:
        reports = dict(zip(names, pool.map(run_suite, names)))
    allowed = known_red()
    passed = failed = 0
    for name, report in reports.items():
        for result in report.results:
            if result.passed:
                passed += 1
            elif result.scenario in allowed:
                print(f'known red: {name}: {result.scenario}')
            else:
                failed += 1
                print(f'FAILED: {name}: {result.scenario}')
        if not all(result.passed for result in report.results):
            print(report.output)
    print(f'{passed} passed, {failed} failed')
    return 1 if failed or not passed else 0


if __name__ == '__main__':
    sys.exit(main())
