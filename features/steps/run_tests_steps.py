"""Steps for the reports of the test runner."""

from __future__ import annotations

import pathlib
import tempfile
import textwrap
from unittest import mock

import behave
from scripts import run_tests

STEPS = """
import behave


@behave.given('a step that passes')
def passes(context):
    pass


@behave.then('a step fails because of "{reason}"')
def fails(context, reason):
    assert not reason, reason


@behave.then('a step raises "{reason}"')
def raises(context, reason):
    raise TimeoutError(reason)
"""


@behave.when('a suite runs with these scenarios')
def suite_runs(context):
    with tempfile.TemporaryDirectory() as folder:
        features = pathlib.Path(folder) / 'features'
        (features / 'steps').mkdir(parents=True)
        (features / 'steps' / 'steps.py').write_text(STEPS)
        suite = features / 'three.feature'
        suite.write_text(textwrap.dedent(context.text))
        with mock.patch.object(run_tests, 'ROOT', features.parent):
            context.report = run_tests.run_suite(suite.name)


@behave.then('the runner counts {passed:d} passed and {failed:d} failed')
def counts(context, passed, failed):
    found = [result.passed for result in context.report.results]
    assert (found.count(True), found.count(False)) == (passed, failed)


@behave.then('its report contains "{first}" and "{second}"')
def report_contains(context, first, second):
    for text in (first, second):
        assert text in context.report.output, context.report.output


@behave.then('its report does not contain "{text}"')
def report_lacks(context, text):
    assert text not in context.report.output, context.report.output
