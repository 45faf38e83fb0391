"""Measures the cost of control traffic by number of entry instances.

Starts sites of real entry processes on loopback, one size after another, and
measures each entry without requests from callers.
``python -m bench.control [SIZES]``
"""

from __future__ import annotations

import base64
from collections import abc
import concurrent.futures
import statistics
import sys
import tempfile
import time
from typing import Any, NamedTuple

from bench import rows
from godwitvalve.text import head as text_head
import psutil  # type: ignore[import-untyped]
from standins import local_site
from standins import small_site

SIZES = (3, 6, 9, 20, 40, 60)
# Time for peers to connect and for the flood of updates after the start.
SETTLE_S = 5.0
WINDOW_S = 10.0
START_LIMIT_S = 60.0
IN_FORCE_LIMIT_S = 20.0
_MEBIBYTE = 1024 * 1024


class Sample(NamedTuple):
    """Counters of one entry at one time."""

    at_s: float
    cpu_s: float
    rss_bytes: int
    bytes_in: int
    bytes_out: int


def run(sizes: abc.Sequence[int] = SIZES) -> abc.Iterator[rows.Row]:
    """Yield the rows for each number of entries."""
    for size in sizes:
        with tempfile.TemporaryDirectory() as folder:
            site = small_site.new_site(folder)
            try:
                yield from _measure(site, size)
            finally:
                site.stop()


def _measure(site: small_site.SmallSite, size: int) -> list[rows.Row]:
    site.start(size, 2)
    text = small_site.build_text({'v1': small_site.version()})
    _apply(site, text, 0)
    names = site.entry_ids()
    local_site.wait_until(
        lambda: all(_admits(site, name) for name in names),
        f'{size} entries admit',
        START_LIMIT_S,
    )
    time.sleep(SETTLE_S)
    started_s, reads = time.monotonic(), -_store_reads(site)
    before = [_sample(site, name) for name in names]
    time.sleep(WINDOW_S)
    after = [_sample(site, name) for name in names]
    reads += _store_reads(site)
    reads_per_s = reads / (time.monotonic() - started_s)
    case = f'{size} entries'
    return [
        *_per_entry(before, after, case),
        _row('control_store_reads', reads_per_s, '1/s', case),
        _row('control_in_force', _in_force_s(site, text), 's', case),
    ]


def _row(measure: str, value: float, unit: str, case: str) -> rows.Row:
    return rows.Row(measure, value, unit, '', None, case)


def _per_entry(
    before: list[Sample], after: list[Sample], case: str
) -> list[rows.Row]:
    pairs = [
        (new.at_s - old.at_s, old, new) for old, new in zip(before, after)
    ]
    cpu = [100 * (new.cpu_s - old.cpu_s) / s for s, old, new in pairs]
    received = [(new.bytes_in - old.bytes_in) / s for s, old, new in pairs]
    sent = [(new.bytes_out - old.bytes_out) / s for s, old, new in pairs]
    rss = [new.rss_bytes / _MEBIBYTE for new in after]
    return [
        _row('control_cpu', statistics.mean(cpu), '% of a core', case),
        _row('control_rss', max(rss), 'MiB', case),
        _row('control_bytes_in', statistics.mean(received), 'B/s', case),
        _row('control_bytes_out', statistics.mean(sent), 'B/s', case),
        _row('control_bytes_out_max', max(sent), 'B/s', case),
    ]


def _status(site: small_site.SmallSite, name: str) -> Any:
    return local_site.http_json('GET', f'{site.url(name)}/v1/status')


def _admits(site: small_site.SmallSite, name: str) -> bool:
    member = site.members[name]
    if member.process.poll() is not None:
        raise RuntimeError(f'{name} ended: {member.log_path.read_text()}')
    return bool(_status(site, name)['may_admit'])


def _sample(site: small_site.SmallSite, name: str) -> Sample:
    control = _status(site, name)['control']
    process = psutil.Process(site.members[name].process.pid)
    times = process.cpu_times()
    return Sample(
        time.monotonic(),
        times.user + times.system,
        process.memory_info().rss,
        control['bytes_in'],
        control['bytes_out'],
    )


def _store_reads(site: small_site.SmallSite) -> int:
    """Return the total reads of tables, objects and lists."""
    counts = local_site.http_json('GET', f'{site.platform_url}/counts')
    return int(counts['reads'])


def _apply(
    site: small_site.SmallSite, text: dict[str, Any], base: int
) -> None:
    applied = site.apply(text, base)
    if applied.returncode:
        raise RuntimeError(f'apply failed: {applied.stderr}')


def _in_force_s(site: small_site.SmallSite, text: dict[str, Any]) -> float:
    """Return the time until all entries have installed an accepted revision.

    The time is in seconds; its resolution is one round of status requests.
    """
    account = text['client_accounts'][small_site.ACCOUNT]
    account['requests_per_s'] += 1
    pending = set(site.entry_ids())
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        applied = pool.submit(_apply, site, text, 1)
        deadline_s = time.monotonic() + IN_FORCE_LIMIT_S
        while pending:
            if time.monotonic() >= deadline_s:
                raise TimeoutError(
                    f'{len(pending)} entries have no revision 2'
                )
            for name in list(pending):
                if _status(site, name)['revision'] >= 2:
                    pending.discard(name)
            last_wall_s = time.time()
        applied.result()
    return max(0.0, last_wall_s - _accepted_wall_s(site))


def _accepted_wall_s(site: small_site.SmallSite) -> float:
    url = f'{site.platform_url}/tables/{text_head.TABLE}/{text_head.KEY}'
    row = local_site.http_json('GET', url)
    head = text_head.decode(base64.b64decode(row['value']))
    return head.accepted_wall_s


def main() -> None:
    """Print the rows of the sizes given as arguments, or of all sizes."""
    rows.print_rows(run([int(each) for each in sys.argv[1:]] or SIZES))


if __name__ == '__main__':
    main()
