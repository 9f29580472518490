"""Run times and resource usage learned from finished and running jobs.

Declared run times and sizes are wrong by a large factor, so no decision uses a
declared run time.
"""

from collections import deque
from typing import NamedTuple

from mangotrail.ids import AccountId

# With fewer samples the maximum is not representative.
MIN_SAMPLES = 5
MAX_SAMPLES = 32
# Callers choose the names of kinds, so their number is bounded.
MAX_KINDS = 10000
# Expected remaining time of a job whose kind has too few samples.
UNKNOWN_RUNTIME_S = 4 * 3600.0
# Usage above this multiple of the declared size is throttled; samples are
# noisy, so smaller excesses are ignored.
THROTTLE_RATIO = 1.1


class JobKind(NamedTuple):
    """Jobs of one account that are expected to behave alike."""

    account: AccountId
    job_kind: str


class Estimates:
    """Learned run times and usage ratios by kind of job."""

    def __init__(self) -> None:
        self.runtimes: dict[JobKind, deque[float]] = {}
        self.usage_ratios: dict[JobKind, deque[float]] = {}

    def record_runtime(self, kind: JobKind, runtime_s: float) -> None:
        """Add the run time of a finished job."""
        if runtime_s > 0:
            _add_sample(self.runtimes, kind, runtime_s)

    def max_runtime_s(self, kind: JobKind) -> float | None:
        """Return the longest recent run time, None with too few samples."""
        known = self.runtimes.get(kind, ())
        return max(known) if len(known) >= MIN_SAMPLES else None

    def remaining_s(self, kind: JobKind, running_s: float) -> float:
        """Return the expected remaining run time of a running job.

        A job that runs longer than all known ones is expected to run half as
        long again.
        """
        longest = self.max_runtime_s(kind)
        if longest is None:
            return UNKNOWN_RUNTIME_S
        return max(longest - running_s, running_s / 2)

    def record_usage_ratio(self, kind: JobKind, ratio: float) -> None:
        """Add the usage of an attempt as a multiple of its size."""
        _add_sample(self.usage_ratios, kind, ratio)

    def max_usage_ratio(self, kind: JobKind) -> float | None:
        """Return the largest recent usage ratio, None with too few samples."""
        known = self.usage_ratios.get(kind, ())
        return max(known) if len(known) >= MIN_SAMPLES else None


def _add_sample(
    samples: dict[JobKind, deque[float]], kind: JobKind, value: float
) -> None:
    if kind not in samples and len(samples) >= MAX_KINDS:
        del samples[next(iter(samples))]
    samples.setdefault(kind, deque(maxlen=MAX_SAMPLES)).append(value)
