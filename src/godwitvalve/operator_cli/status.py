"""``godwitvalve status``: print where the text is in force, and moves."""

from __future__ import annotations

import collections
import dataclasses
from typing import Any

from godwitvalve.operator_cli import entries
from godwitvalve.operator_cli import options
from godwitvalve.operator_cli import reading
from godwitvalve.operator_cli import stored
from godwitvalve.operator_cli import verdicts
from godwitvalve.store import http_adapter


@dataclasses.dataclass(frozen=True)
class Report:
    """Status collected from the platform and the entry instances.

    :param revision: accepted revision, 0 if none.
    """

    revision: int
    answers: list[entries.EntryStatus | entries.Unreachable]
    verdicts: list[verdicts.VerdictRow]

    def in_force(self) -> list[str]:
        """Return the instances on which the accepted revision is in force."""
        return [
            answer.instance_id
            for answer in self.answers
            if isinstance(answer, entries.EntryStatus)
            and answer.revision >= self.revision
        ]

    def missing(self) -> dict[str, str]:
        """Return the other instances, each with the reason."""
        return {
            answer.instance_id: _describe_missing(answer)
            for answer in self.answers
            if answer.instance_id not in self.in_force()
        }

    def moves(self) -> dict[tuple[str, str, str, str], list[float]]:
        """Return shares by service, version, state and reason."""
        shares = collections.defaultdict(list)
        for answer in self.answers:
            if isinstance(answer, entries.EntryStatus):
                for move in answer.moves:
                    key = move.service, move.version, move.state, move.reason
                    shares[key].append(move.share)
        return dict(sorted(shares.items()))


def _describe_missing(
    answer: entries.EntryStatus | entries.Unreachable,
) -> str:
    match answer:
        case entries.Unreachable(_, reason):
            return f'no answer: {reason}'
        case entries.EntryStatus():
            return f'has revision {answer.revision}, {answer.state}'


async def _collect(platform: http_adapter.HttpPlatform) -> Report:
    head = await stored.read_head(platform)
    listed = [
        instance
        for instance in await platform.instances()
        if instance.kind == 'entry' and instance.state == 'live'
    ]
    return Report(
        revision=head.revision if head else 0,
        answers=await entries.request_all(listed),
        verdicts=await verdicts.read(platform),
    )


def _as_json(report: Report) -> dict[str, Any]:
    return {
        'accepted_revision': report.revision,
        'listed': len(report.answers),
        'in_force': sorted(report.in_force()),
        'missing': report.missing(),
        'moves': [
            {
                'service': service,
                'version': version,
                'state': state,
                'reason': reason,
                'entries': len(shares),
                'share_min': min(shares),
                'share_max': max(shares),
            }
            for (service, version, state, reason), shares in (
                report.moves().items()
            )
        ],
        'verdicts': [verdict._asdict() for verdict in report.verdicts],
    }


def _format_shares(shares: list[float]) -> str:
    low, high = min(shares), max(shares)
    return f'{low:.1%}' if low == high else f'{low:.1%} to {high:.1%}'


def _print(report: Report) -> None:
    print(f'Accepted: revision {report.revision}.')
    in_force = len(report.in_force())
    print(f'In force on {in_force} of {len(report.answers)} entries.')
    for instance_id, reason in sorted(report.missing().items()):
        print(f'  missing: {instance_id} ({reason})')
    for (service, version, state, reason), shares in report.moves().items():
        because = f' because {reason}' if reason else ''
        print(
            f'Move {service}/{version}: {state}{because}, '
            f'share {_format_shares(shares)} on {len(shares)} entries.'
        )
    for verdict in report.verdicts:
        because = f' because {verdict.reason}' if verdict.reason else ''
        print(f'Verdict {verdict.move_id}: {verdict.verdict}{because}.')


def status(
    platform: options.PlatformUrl, as_json: options.AsJson = False
) -> None:
    """Print what is accepted, where it is in force, and every move."""
    report = reading.run(platform, _collect)
    if as_json:
        options.print_json(_as_json(report))
    else:
        _print(report)
