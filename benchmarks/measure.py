"""Replays all traces under the core and two baselines.

The last line of the output is one JSON object with every result.
"""

import argparse
import importlib
import sys
import time
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import ProcessPoolExecutor

import msgspec

from benchmarks.baselines import (
    FirstComePolicy,
    InOrderPolicy,
    StrictQuotaPolicy,
)
from benchmarks.make_traces import TRACES, two_years
from benchmarks.reference import PooledSchedule
from benchmarks.replay import Replay, percentile
from benchmarks.trace import Trace, read_trace
from mangotrail.ids import JobId
from mangotrail.policy import Policy

CORE = 'core'
BASELINES: dict[str, Callable[[], Policy]] = {
    'first_come': FirstComePolicy,
    'strict_quota': StrictQuotaPolicy,
}
SHOWN: dict[str, Callable[[], Policy]] = {'in_order': InOrderPolicy}
# The strict reading of first come first served, beside the quotas.
STRICT = ('in_order', 'strict_quota')
LARGE = 'two-years'
WEEK_SUFFIX = '-week'
MAX_FRAGMENTATION = 0.02
MIN_MOVE_WORK = 0.95
MAX_CALL_MS = 10.0
MAX_URGENT_S = 5.0
MAX_RECLAIM_S = 30.0
MAX_COMPLETION = 0.5
Result = dict[str, object]
# Completion time and its lower bound of each answered job.
Answered = dict[JobId, tuple[float, float]]


def make_policy(name: str) -> Policy:
    """A new policy by its name."""
    if name == CORE:
        module = importlib.import_module('mangotrail.scheduler')
        policy: Policy = module.Scheduler()
        return policy
    return (BASELINES | SHOWN)[name]()


def load(name: str) -> Trace:
    """A trace by its name."""
    if name == LARGE:
        return two_years()
    return read_trace(TRACES / f'{name}.jsonl')


def replay(trace_name: str, policy_name: str) -> tuple[Result, Answered]:
    """Replay a trace.

    :return: the result, and the times of each answered job.
    """
    started = time.perf_counter()
    driver = Replay(trace=load(trace_name), policy=make_policy(policy_name))
    tallies = driver.run()
    runs = driver.counted_runs()
    times = [driver.completion_s(run) for run in runs]
    bounds = [driver.bound_s(run) for run in runs]
    urgent = driver.urgent_waits()
    no_wait = (0.0, 0.0, '')
    result: Result = {
        'completion_s': spread(times),
        'completion_over_bound': {
            name: round(value / spread(bounds)[name], 3)
            for name, value in spread(times).items()
        },
        'bound_s': spread(bounds),
        'jobs': len(runs),
        'unanswered': Counter(
            run.outcome.value if run.outcome else run.state.value
            for run in runs
            if run.outcome != 'answered'
        ),
        'fragmentation': ratio(tallies.fragmented, tallies.capacity),
        'fragmentation_zone': ratio(tallies.fragmented_zone, tallies.capacity),
        'move_work': (
            ratio(tallies.move_work, tallies.move_possible)
            if tallies.move_possible
            else None
        ),
        'reclaim_s': max(tallies.reclaim_waits, default=no_wait),
        'reclaim_p99_s': percentile(
            [wait for wait, _, _ in tallies.reclaim_waits], 0.99
        ),
        'move_reclaim_s': max(tallies.move_reclaim_waits, default=no_wait),
        'urgent_s': max(urgent, default=no_wait),
        'urgent_p95_s': percentile([wait for wait, _, _ in urgent], 0.95),
        'call_ms': milliseconds(tallies.call_ns),
        'tick_ms': milliseconds(tallies.tick_ns),
        'peak_state_bytes': tallies.peak_state_bytes,
        'violations': sum(tallies.violations.values()),
        'violated': dict(tallies.violations),
        'messages': tallies.messages,
        'lost_hours': round(tallies.lost_work / 3600, 1),
        'useful_hours': round(tallies.useful_work / 3600, 1),
        'checkpoints': tallies.checkpoints,
        'stops': tallies.stops,
        'killed_by_zone': tallies.killed_by_zone,
        'worker_faults': tallies.worker_faults,
        'quarantines': tallies.quarantines,
        'throttles': tallies.throttles,
        'wrong_refusals': tallies.wrong_refusals,
        'replay_s': round(time.perf_counter() - started, 1),
    }
    answered = {
        run.line.job: (driver.completion_s(run), driver.bound_s(run))
        for run in runs
        if run.outcome == 'answered'
    }
    return result, answered


def spread(values: Sequence[float]) -> dict[str, float]:
    """Median and 95th percentile."""
    return {
        'median': round(percentile(values, 0.5), 1),
        'p95': round(percentile(values, 0.95), 1),
    }


def ratio(part: float, whole: float) -> float:
    """A share, 0 of nothing."""
    return round(part / whole, 4) if whole else 0


def milliseconds(spent_ns: Sequence[int]) -> dict[str, float]:
    """Median, 99th percentile and largest of decision times."""
    return {
        'calls': len(spent_ns),
        'median': round(percentile(spent_ns, 0.5) / 1e6, 4),
        'p99': round(percentile(spent_ns, 0.99) / 1e6, 4),
        'max': round(max(spent_ns, default=0) / 1e6, 4),
    }


def add_common(
    results: dict[str, Result], answered: Mapping[str, Answered]
) -> None:
    """Add completion times over the jobs that every policy answered."""
    common = set.intersection(*(set(times) for times in answered.values()))
    for policy, times in answered.items():
        common_times = [times[job] for job in common]
        results[policy] |= {
            'common_completion_s': spread([time for time, _ in common_times]),
            'common_bound_s': spread([bound for _, bound in common_times]),
        }


def verdict(name: str, value: float, limit: float, *, most: bool) -> Result:
    """A result beside its target."""
    met = value <= limit if most else value >= limit
    return {
        'measure': name,
        'value': value,
        'target': f'{"at most" if most else "at least"} {limit:g}',
        'met': met,
    }


def judge(name: str, results: Mapping[str, Result]) -> list[Result]:
    """Compare the core with the targets of the design page."""
    core = msgspec.convert(results[CORE], dict[str, object])
    pooled: dict[str, float] = {}
    if name.endswith(WEEK_SUFFIX):
        pooled = spread(PooledSchedule(load(name)).completion_s())
    checks = [verdict('violations', as_float(core['violations']), 0, most=True)]
    if name.endswith(WEEK_SUFFIX):
        for group in ('', 'common_'):
            for rank in ('median', 'p95'):
                checks.extend(
                    completion_check(results, group, rank, policies)
                    | reference(results, pooled, rank, policies, group)
                    for policies in (tuple(BASELINES), STRICT)
                )
    if name.endswith(WEEK_SUFFIX) or name == LARGE:
        checks.extend((
            verdict(
                'fragmentation',
                as_float(core['fragmentation']),
                MAX_FRAGMENTATION,
                most=True,
            ),
            verdict(
                'move_work',
                as_float(core['move_work']),
                MIN_MOVE_WORK,
                most=False,
            ),
        ))
    checks.append(
        verdict(
            'reclaim_s',
            msgspec.convert(core['reclaim_s'], tuple[float, float, str])[0],
            MAX_RECLAIM_S,
            most=True,
        )
    )
    checks.append(
        verdict(
            'urgent_s',
            msgspec.convert(core['urgent_s'], tuple[float, float, str])[0],
            MAX_URGENT_S,
            most=True,
        )
    )
    if name == LARGE:
        checks.extend(
            verdict(
                f'{group}.p99',
                as_float(core[group], 'p99'),
                MAX_CALL_MS,
                most=True,
            )
            for group in ('call_ms', 'tick_ms')
        )
    return checks


def completion_check(
    results: Mapping[str, Result],
    jobs: str,
    rank: str,
    policies: Sequence[str],
) -> Result:
    """Compare completion times with the better of some policies.

    The floor is the same ratio for the lower bound: no policy gets below it.
    """
    group = f'{jobs}completion_s'
    best = min(as_float(results[policy][group], rank) for policy in policies)
    names = ' and '.join(policies)
    check = verdict(
        f'{group}.{rank} over the better of {names}',
        ratio(as_float(results[CORE][group], rank), best),
        MAX_COMPLETION,
        most=True,
    )
    bound = as_float(results[CORE][f'{jobs}bound_s'], rank)
    return check | {'floor': ratio(bound, best)}


def reference(
    results: Mapping[str, Result],
    pooled: Mapping[str, float],
    rank: str,
    policies: Sequence[str],
    jobs: str,
) -> Result:
    """The same ratio for the pooled schedule, over all jobs."""
    if jobs:
        return {}
    best = min(
        as_float(results[policy]['completion_s'], rank) for policy in policies
    )
    return {'pooled': ratio(pooled[rank], best)}


def as_float(value: object, key: str | None = None) -> float:
    """A number of a result, or of a group in it."""
    if key is not None:
        return msgspec.convert(value, dict[str, float])[key]
    return msgspec.convert(value, float)


def main() -> None:
    """Replay, print each result, and print all of them as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--trace', action='append', help='only these traces')
    parser.add_argument('--policy', action='append', help='only these policies')
    parser.add_argument('--jobs', type=int, default=3, help='processes')
    options = parser.parse_args()
    names = options.trace or [
        *sorted(path.stem for path in TRACES.glob('*.jsonl')),
        LARGE,
    ]
    policies = options.policy or [CORE, *BASELINES, *SHOWN]
    output: dict[str, object] = {}
    with ProcessPoolExecutor(max_workers=options.jobs) as pool:
        # The longest replays start first.
        pending = {
            (name, policy): pool.submit(replay, name, policy)
            for name in sorted(names, key=lambda it: it.startswith('small'))
            for policy in policies
        }
        for name in names:
            results: dict[str, Result] = {}
            answered: dict[str, Answered] = {}
            for policy in policies:
                results[policy], answered[policy] = pending[
                    name, policy
                ].result()
            add_common(results, answered)
            checks = []
            if {CORE, *BASELINES, *SHOWN} <= set(policies):
                checks = judge(name, results)
            output[name] = {'policies': results, 'targets': checks}
            show(name, results, checks)
    sys.stdout.write(f'{msgspec.json.encode(output).decode()}\n')


def show(
    name: str, results: Mapping[str, Result], checks: Sequence[Result]
) -> None:
    """Print the results of one trace for people."""
    for policy, result in results.items():
        sys.stdout.write(f'{name} {policy}\n')
        for key, value in result.items():
            sys.stdout.write(f'  {key}: {msgspec.to_builtins(value)}\n')
    for check in checks:
        met = 'met' if check['met'] else 'missed'
        sys.stdout.write(
            f'  {met}: {check["measure"]} {check["value"]}'
            f' (target {check["target"]}'
            f'{floor_text(check)})\n'
        )


def floor_text(check: Result) -> str:
    """The ratios of the lower bound and of the pooled schedule, if known."""
    return ''.join(
        f', {name} {check[name]}'
        for name in ('floor', 'pooled')
        if name in check
    )


if __name__ == '__main__':
    main()
