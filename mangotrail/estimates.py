"""Run times and sizes learned from finished and running jobs.

Declared run times and sizes are wrong by a large factor, so no decision uses
a declared run time.
"""

from collections import deque
from typing import NamedTuple

from mangotrail.ids import AccountId

# Fewer run times say too little about the longest one.
MIN_SAMPLES = 5
MAX_SAMPLES = 32
# Kinds are named by callers, so their number needs a bound.
MAX_KINDS = 10000
# A job is expected to need this long when nothing was learned.
UNKNOWN_RUNTIME_S = 4 * 3600.0
# Usage is sampled with noise; less than this excess is no reason to throttle.
THROTTLE_RATIO = 1.1


class JobKind(NamedTuple):
    """Jobs that are expected to behave alike."""

    account: AccountId
    job_kind: str


class Estimates:
    """Learned run times and sizes by account and kind of job."""

    def __init__(self) -> None:
        self.runtimes: dict[JobKind, deque[float]] = {}
        self.usage_ratios: dict[JobKind, deque[float]] = {}

    def record_runtime(self, kind: JobKind, runtime_s: float) -> None:
        """Take in the run time of a finished job."""
        if runtime_s > 0:
            _add_sample(self.runtimes, kind, runtime_s)

    def max_runtime_s(self, kind: JobKind) -> float | None:
        """Return the longest recent run time, None while too few are known."""
        known = self.runtimes.get(kind, ())
        return max(known) if len(known) >= MIN_SAMPLES else None

    def remaining_s(self, kind: JobKind, running_s: float) -> float:
        """Return how long a running job is expected to go on.

        A job that outlives every known one is expected to run half as long
        again.
        """
        longest = self.max_runtime_s(kind)
        if longest is None:
            return UNKNOWN_RUNTIME_S
        return max(longest - running_s, running_s / 2)

    def record_usage_ratio(self, kind: JobKind, ratio: float) -> None:
        """Take in the usage of an attempt as a multiple of its size."""
        _add_sample(self.usage_ratios, kind, ratio)

    def max_usage_ratio(self, kind: JobKind) -> float | None:
        """Return the largest recent usage as a multiple of the size."""
        known = self.usage_ratios.get(kind, ())
        return max(known) if len(known) >= MIN_SAMPLES else None


def _add_sample(
    samples: dict[JobKind, deque[float]], kind: JobKind, value: float
) -> None:
    if kind not in samples and len(samples) >= MAX_KINDS:
        del samples[next(iter(samples))]
    samples.setdefault(kind, deque(maxlen=MAX_SAMPLES)).append(value)
