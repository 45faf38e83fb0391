"""Runs every feature file and prints ``N passed, N failed`` last.

Failures of scenarios listed in KNOWN-RED.txt are printed but not counted. The
first line of an entry is ``test:`` followed by the name of the scenario.
"""

from __future__ import annotations

from concurrent import futures
import itertools
import json
import pathlib
import re
import subprocess
import sys
import tempfile
from typing import NamedTuple

ROOT = pathlib.Path(__file__).resolve().parent.parent
FEATURES = ROOT / 'features'
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
# Bounds the load, since suites that start processes depend on deadlines.
MAX_SUITES_AT_ONCE = 4
SUITE_LIMIT_S = 900
# Of a scenario that failed: its steps and error come before captured logs.
MAX_SCENARIO_LINES = 80


class Result(NamedTuple):
    """Result of one scenario."""

    suite: str
    scenario: str
    passed: bool


class SuiteReport(NamedTuple):
    """Results and output of one suite."""

    results: list[Result]
    output: str


def known_red() -> set[str]:
    """Return the names of the scenarios that are allowed to fail."""
    if not KNOWN_RED.exists():
        return set()
    return {
        line.removeprefix('test:').strip()
        for line in KNOWN_RED.read_text().splitlines()
        if line.startswith('test:')
    }


def suites() -> list[str]:
    """Return the feature files, system tests first.

    System tests take longest, so the others run in parallel with them.
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


def failed_scenarios(output: str) -> str:
    """Return the scenarios that failed, each with its steps and its error.

    :param output: that of the plain formatter of behave.
    :returns: the whole output if it shows no such scenario.
    """
    failed = [
        block.splitlines()[:MAX_SCENARIO_LINES]
        for block in re.split(r'\n(?=  Scenario)', output)
        if re.search(r' \.\.\. (failed|error) in ', block)
    ]
    return '\n'.join(itertools.chain.from_iterable(failed)) or output


def run_suite(suite: str) -> SuiteReport:
    """Run one suite in a separate process."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / 'report.json'
        command = [
            sys.executable,
            '-m',
            'behave',
            f'features/{suite}',
            '--format=json',
            f'--outfile={report}',
            '--format=plain',
            '--no-color',
        ]
        try:
            process = subprocess.run(
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
    if process.returncode and all(result.passed for result in results):
        results.append(Result(suite, f'{suite}: suite did not run', False))
    error_lines = process.stderr.splitlines()[-MAX_SCENARIO_LINES:]
    output = '\n'.join([failed_scenarios(process.stdout), *error_lines])
    return SuiteReport(results, output)


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
