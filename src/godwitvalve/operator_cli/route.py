"""``godwitvalve fleet route``: explain where a request would go now."""

from __future__ import annotations

import asyncio
from typing import Annotated

import aiohttp
import msgspec
import typer

from godwitvalve.decoding import bounds
from godwitvalve.explanation import model
from godwitvalve.operator_cli import options
from godwitvalve.platform import headers

# Timeout of the question.
ENTRY_TIMEOUT_S = 2.0

_EXIT_CODES = {
    'host': options.ExitCode.UNKNOWN_HOST,
    'route': options.ExitCode.UNKNOWN_ROUTE,
    'account': options.ExitCode.UNKNOWN_ACCOUNT,
    'invalid': options.ExitCode.REJECTED,
}
_COLUMNS = (
    'endpoint',
    'address',
    'failure domain',
    'cost',
    'load',
    'work',
    'domain',
    'limit',
    'saving',
    'factor',
    'first event',
    'remark',
)


async def _ask(
    entry: str, question: model.Question
) -> model.Explanation | model.Problem:
    """Ask an entry.

    :raises msgspec.DecodeError: if the answer is no explanation.
    """
    async with (
        aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=ENTRY_TIMEOUT_S)
        ) as session,
        session.post(
            f'http://{entry}{model.PATH}', data=msgspec.json.encode(question)
        ) as answer,
    ):
        content = await answer.read()
        if answer.status == 200:
            return msgspec.json.decode(content, type=model.Explanation)
        return msgspec.json.decode(content, type=model.Problem)


def _segments(text: str) -> tuple[model.Segment, ...]:
    if not text:
        return ()
    segments = headers.parse_segments(text)
    if not segments:
        raise typer.BadParameter('Segments have the form ID:TOKENS,...')
    return tuple(model.Segment(*each) for each in segments)


def _describe(outcome: model.Outcome) -> str:
    match outcome.action:
        case 'refuse':
            reason = f' ({outcome.reason})' if outcome.reason else ''
            return (
                f'would be refused: {outcome.code}{reason}, '
                f'Retry-After {outcome.retry_after_s:g} s'
            )
        case 'wait' | 'queue':
            where = 'for room' if outcome.action == 'wait' else 'in the queue'
            return f'would wait {where}, about {outcome.expected_s:g} s'
        case _:
            return 'would be sent now'


def _row(candidate: model.Candidate) -> tuple[str, ...]:
    cost = candidate.cost
    first_s = candidate.first_event_s
    return (
        candidate.endpoint_id,
        candidate.address,
        candidate.failure_domain,
        *(
            f'{each:.2f}'
            for each in (
                cost.total,
                cost.load,
                cost.work,
                cost.domain,
                cost.limit,
                -cost.saving + 0.0,
                candidate.work_factor,
            )
        ),
        f'{first_s:.2f} s' if first_s is not None else '-',
        'choice' if candidate.is_choice else candidate.obstacle,
    )


def _print_table(rows: list[tuple[str, ...]]) -> None:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = zip(row, widths, strict=True)
        line = '  '.join(cell.ljust(width) for cell, width in cells)
        typer.echo(f'  {line.rstrip()}')


def _print(explanation: model.Explanation) -> None:
    account = explanation.account or 'none'
    typer.echo(
        f'Route {explanation.route} ({explanation.kind}), account {account}, '
        f'objective {explanation.objective_s:g} s, '
        f'configuration {explanation.configuration_version}.'
    )
    for each in explanation.services:
        typer.echo(
            f'Service {each.service} ({each.weight:.0%} of the route): '
            f'{_describe(each.outcome)}.'
        )
        if each.candidates:
            _print_table([_COLUMNS, *map(_row, each.candidates)])
        for excluded in each.excluded:
            typer.echo(
                f'  excluded: {excluded.endpoint_id} {excluded.address} '
                f'{excluded.failure_domain}: {excluded.reason}'
            )


def route(
    entry: Annotated[
        str, typer.Option('--entry', help='IP:port of its control address.')
    ],
    host: Annotated[str, typer.Option('--host')],
    path: Annotated[str, typer.Option('--path')],
    account: Annotated[
        str, typer.Option('--account', help='Name of the client account.')
    ] = '',
    prompt_tokens: Annotated[
        int,
        typer.Option(
            '--prompt-tokens',
            min=0,
            max=bounds.MAX_TOKENS,
            help='0: those of the segments.',
        ),
    ] = 0,
    output_tokens: Annotated[
        int, typer.Option('--output-tokens', min=0, max=bounds.MAX_TOKENS)
    ] = 0,
    segments: Annotated[
        str, typer.Option('--segments', help='ID:TOKENS,... of the prompt.')
    ] = '',
    as_json: options.AsJson = False,
) -> None:
    """Explain where a request would go now; sends and changes nothing."""
    try:
        msgspec.convert(entry, bounds.IpPort)
    except msgspec.ValidationError as error:
        raise typer.BadParameter(
            'IP:PORT is needed.', param_hint='--entry'
        ) from error
    parts = _segments(segments)
    question = model.Question(
        host,
        path,
        account,
        prompt_tokens or sum(each.tokens for each in parts),
        output_tokens,
        parts,
    )
    try:
        answer = asyncio.run(_ask(entry, question))
    except (aiohttp.ClientError, OSError, asyncio.TimeoutError) as error:
        options.fail(
            options.ExitCode.ENTRY_UNAVAILABLE,
            f'The entry at {entry} does not answer: {type(error).__name__}.',
        )
    except msgspec.DecodeError:
        options.fail(
            options.ExitCode.ENTRY_UNAVAILABLE,
            f'{entry} gives no explanation; is it a control address of an '
            'entry of this version?',
        )
    match answer:
        case model.Problem(problem, message):
            options.fail(
                _EXIT_CODES.get(problem, options.ExitCode.ENTRY_UNAVAILABLE),
                message,
            )
        case model.Explanation() if as_json:
            options.print_json(msgspec.to_builtins(answer))
        case model.Explanation():
            _print(answer)
