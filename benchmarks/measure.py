"""Replays all traces under the scheduler core and the baseline policies.

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
ADDITIONAL_POLICIES: dict[str, Callable[[], Policy]] = {
    'in_order': InOrderPolicy
}
# First come first served without backfilling, and the quotas.
STRICT_BASELINES = ('in_order', 'strict_quota')
LARGE_TRACE = 'two-years'
WEEK_SUFFIX = '-week'
# Targets of the design page.
MAX_FRAGMENTATION = 0.02
MIN_MOVE_WORK_RATIO = 0.95
MAX_CALL_MS = 10.0
MAX_URGENT_S = 5.0
MAX_RECLAIM_S = 30.0
MAX_COMPLETION_RATIO = 0.5
Result = dict[str, object]
# Completion time of each answered job, and its lower bound.
AnsweredTimes = dict[JobId, tuple[float, float]]


def make_policy(name: str) -> Policy:
    """Return a new policy by its name."""
    if name == CORE:
        module = importlib.import_module('mangotrail.scheduler')
        policy: Policy = module.Scheduler()
        return policy
    return (BASELINES | ADDITIONAL_POLICIES)[name]()


def load_trace(name: str) -> Trace:
    """Return a trace by its name."""
    if name == LARGE_TRACE:
        return two_years()
    return read_trace(TRACES / f'{name}.jsonl')


def replay(trace_name: str, policy_name: str) -> tuple[Result, AnsweredTimes]:
    """Replay a trace under a policy.

    :return: the result, and the times of each answered job.
    """
    started = time.perf_counter()
    driver = Replay(
        trace=load_trace(trace_name), policy=make_policy(policy_name)
    )
    stats = driver.run()
    runs = driver.counted_runs()
    times = [driver.completion_s(run) for run in runs]
    bounds = [driver.bound_s(run) for run in runs]
    urgent = driver.urgent_waits()
    no_wait = (0.0, 0.0, '')
    result: Result = {
        'completion_s': median_and_p95(times),
        'completion_over_bound': {
            name: round(value / median_and_p95(bounds)[name], 3)
            for name, value in median_and_p95(times).items()
        },
        'bound_s': median_and_p95(bounds),
        'jobs': len(runs),
        'unanswered': Counter(
            run.outcome.value if run.outcome else run.state.value
            for run in runs
            if run.outcome != 'answered'
        ),
        'fragmentation': ratio(stats.fragmented, stats.capacity),
        'fragmentation_zone': ratio(stats.fragmented_zone, stats.capacity),
        'move_work': (
            ratio(stats.move_work, stats.move_possible)
            if stats.move_possible
            else None
        ),
        'reclaim_s': max(stats.reclaim_waits, default=no_wait),
        'reclaim_p99_s': percentile(
            [wait for wait, _, _ in stats.reclaim_waits], 0.99
        ),
        'move_reclaim_s': max(stats.move_reclaim_waits, default=no_wait),
        'urgent_s': max(urgent, default=no_wait),
        'urgent_p95_s': percentile([wait for wait, _, _ in urgent], 0.95),
        'call_ms': summarise_times(stats.call_ns),
        'tick_ms': summarise_times(stats.tick_ns),
        'peak_state_bytes': stats.peak_state_bytes,
        'violations': sum(stats.violations.values()),
        'violated': dict(stats.violations),
        'messages': stats.messages,
        'lost_hours': round(stats.lost_work / 3600, 1),
        'useful_hours': round(stats.useful_work / 3600, 1),
        'checkpoints': stats.checkpoints,
        'stops': stats.stops,
        'killed_by_zone': stats.killed_by_zone,
        'worker_faults': stats.worker_faults,
        'quarantines': stats.quarantines,
        'throttles': stats.throttles,
        'wrong_refusals': stats.wrong_refusals,
        'replay_s': round(time.perf_counter() - started, 1),
    }
    answered = {
        run.line.job: (driver.completion_s(run), driver.bound_s(run))
        for run in runs
        if run.outcome == 'answered'
    }
    return result, answered


def median_and_p95(values: Sequence[float]) -> dict[str, float]:
    """Return the median and the 95th percentile."""
    return {
        'median': round(percentile(values, 0.5), 1),
        'p95': round(percentile(values, 0.95), 1),
    }


def ratio(part: float, whole: float) -> float:
    """Return a share of a whole; 0 if the whole is 0."""
    return round(part / whole, 4) if whole else 0


def summarise_times(spent_ns: Sequence[int]) -> dict[str, float]:
    """Return median, 99th percentile and maximum in milliseconds."""
    return {
        'calls': len(spent_ns),
        'median': round(percentile(spent_ns, 0.5) / 1e6, 4),
        'p99': round(percentile(spent_ns, 0.99) / 1e6, 4),
        'max': round(max(spent_ns, default=0) / 1e6, 4),
    }


def add_common_completion(
    results: dict[str, Result], answered: Mapping[str, AnsweredTimes]
) -> None:
    """Add the completion times of the jobs that every policy answered."""
    common = set.intersection(*(set(times) for times in answered.values()))
    for policy, times in answered.items():
        common_times = [times[job] for job in common]
        results[policy] |= {
            'common_completion_s': median_and_p95([
                time for time, _ in common_times
            ]),
            'common_bound_s': median_and_p95([
                bound for _, bound in common_times
            ]),
        }


def compare_with_target(
    name: str, value: float, limit: float, *, is_maximum: bool
) -> Result:
    """Return a value with its target and whether it meets the target.

    :param is_maximum: whether the limit is an upper bound.
    """
    met = value <= limit if is_maximum else value >= limit
    return {
        'measure': name,
        'value': value,
        'target': f'{"at most" if is_maximum else "at least"} {limit:g}',
        'met': met,
    }


def check_targets(name: str, results: Mapping[str, Result]) -> list[Result]:
    """Compare the results of the core with its targets."""
    core = msgspec.convert(results[CORE], dict[str, object])
    pooled: dict[str, float] = {}
    if name.endswith(WEEK_SUFFIX):
        pooled = median_and_p95(PooledSchedule(load_trace(name)).completion_s())
    checks = [
        compare_with_target(
            'violations', as_float(core['violations']), 0, is_maximum=True
        )
    ]
    if name.endswith(WEEK_SUFFIX):
        for group in ('', 'common_'):
            for rank in ('median', 'p95'):
                checks.extend(
                    completion_check(results, group, rank, policies)
                    | pooled_ratio(results, pooled, rank, policies, group)
                    for policies in (tuple(BASELINES), STRICT_BASELINES)
                )
    if name.endswith(WEEK_SUFFIX) or name == LARGE_TRACE:
        checks.extend((
            compare_with_target(
                'fragmentation',
                as_float(core['fragmentation']),
                MAX_FRAGMENTATION,
                is_maximum=True,
            ),
            compare_with_target(
                'move_work',
                as_float(core['move_work']),
                MIN_MOVE_WORK_RATIO,
                is_maximum=False,
            ),
        ))
    checks.append(
        compare_with_target(
            'reclaim_s',
            msgspec.convert(core['reclaim_s'], tuple[float, float, str])[0],
            MAX_RECLAIM_S,
            is_maximum=True,
        )
    )
    checks.append(
        compare_with_target(
            'urgent_s',
            msgspec.convert(core['urgent_s'], tuple[float, float, str])[0],
            MAX_URGENT_S,
            is_maximum=True,
        )
    )
    if name == LARGE_TRACE:
        checks.extend(
            compare_with_target(
                f'{group}.p99',
                as_float(core[group], 'p99'),
                MAX_CALL_MS,
                is_maximum=True,
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
    """Compare completion times with the best of some policies.

    The floor is the same ratio for the lower bound of the completion times,
    which no policy can get below.
    """
    group = f'{jobs}completion_s'
    best = min(as_float(results[policy][group], rank) for policy in policies)
    names = ' and '.join(policies)
    check = compare_with_target(
        f'{group}.{rank} over the better of {names}',
        ratio(as_float(results[CORE][group], rank), best),
        MAX_COMPLETION_RATIO,
        is_maximum=True,
    )
    bound = as_float(results[CORE][f'{jobs}bound_s'], rank)
    return check | {'floor': ratio(bound, best)}


def pooled_ratio(
    results: Mapping[str, Result],
    pooled: Mapping[str, float],
    rank: str,
    policies: Sequence[str],
    jobs: str,
) -> Result:
    """Return the same ratio for the pooled schedule.

    It is known only over all jobs, not over those that every policy answered.
    """
    if jobs:
        return {}
    best = min(
        as_float(results[policy]['completion_s'], rank) for policy in policies
    )
    return {'pooled': ratio(pooled[rank], best)}


def as_float(value: object, key: str | None = None) -> float:
    """Return a number of a result, or of a group within a result."""
    if key is not None:
        return msgspec.convert(value, dict[str, float])[key]
    return msgspec.convert(value, float)


def main() -> None:
    """Replay the traces and print each result, then all of them as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--trace', action='append', help='only these traces')
    parser.add_argument('--policy', action='append', help='only these policies')
    parser.add_argument('--jobs', type=int, default=3, help='processes')
    options = parser.parse_args()
    names = options.trace or [
        *sorted(path.stem for path in TRACES.glob('*.jsonl')),
        LARGE_TRACE,
    ]
    policies = options.policy or [CORE, *BASELINES, *ADDITIONAL_POLICIES]
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
            answered: dict[str, AnsweredTimes] = {}
            for policy in policies:
                results[policy], answered[policy] = pending[
                    name, policy
                ].result()
            add_common_completion(results, answered)
            checks = []
            if {CORE, *BASELINES, *ADDITIONAL_POLICIES} <= set(policies):
                checks = check_targets(name, results)
            output[name] = {'policies': results, 'targets': checks}
            print_results(name, results, checks)
    sys.stdout.write(f'{msgspec.json.encode(output).decode()}\n')


def print_results(
    name: str, results: Mapping[str, Result], checks: Sequence[Result]
) -> None:
    """Print the results of one trace in readable form."""
    for policy, result in results.items():
        sys.stdout.write(f'{name} {policy}\n')
        for key, value in result.items():
            sys.stdout.write(f'  {key}: {msgspec.to_builtins(value)}\n')
    for check in checks:
        met = 'met' if check['met'] else 'missed'
        sys.stdout.write(
            f'  {met}: {check["measure"]} {check["value"]}'
            f' (target {check["target"]}'
            f'{reference_text(check)})\n'
        )


def reference_text(check: Result) -> str:
    """Return the ratios of lower bound and pooled schedule, where known."""
    return ''.join(
        f', {name} {check[name]}'
        for name in ('floor', 'pooled')
        if name in check
    )


if __name__ == '__main__':
    main()
