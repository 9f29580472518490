"""Guards against logs without the job in question.

Lines beyond the limits of the log are truncated or dropped.
"""

from collections.abc import Iterator

import pytest
from loguru import logger

from mangotrail._graphs import EndKind, RunEnd, RunStart, TaskKey
from mangotrail.bounded_log import LINES_PER_S, MAX_LINE_BYTES, kind_of
from mangotrail.graphs.run_log import (
    MAX_WORKERS_PER_LINE,
    log_ended,
    log_ordered,
)
from mangotrail.ids import JobId, LifeId, WorkerId

# Widest step and number of workers of the users' largest deployments.
WIDEST = 72
WORKERS = {
    LifeId(f'i-{number:010x}/1'): WorkerId(f'i-{number:010x}')
    for number in range(176)
}


@pytest.fixture
def lines() -> Iterator[list[str]]:
    """Collect the logged messages."""
    written: list[str] = []
    sink = logger.add(
        lambda text: written.append(str(text)), format='{message}'
    )
    yield written
    logger.remove(sink)


def task(index: int, job: str = 'job') -> TaskKey:
    """Return a task."""
    return TaskKey(job=JobId(job), occurrence=0, step=1, index=index)


def starts(count: int, *, lives: int, job: str = 'job') -> list[RunStart]:
    """Return the starts of a step, spread over workers."""
    names = list(WORKERS)[:lives]
    return [
        RunStart(task=task(index, job), run=2, life=names[index % lives])
        for index in range(count)
    ]


class TestOrdered:
    """Runs that are ordered together."""

    def test_line_for_a_step(self, lines: list[str]) -> None:
        """A line names the job, the run and the worker of each task."""
        log_ordered(starts(3, lives=2), WORKERS)
        assert lines == [
            'Ordered runs job=job step=0.1 run=2 count=3'
            ' tasks=i-0000000000:0,2 i-0000000001:1\n'
        ]

    def test_widest_step(self, lines: list[str]) -> None:
        """The line of the widest step is not truncated.

        A truncated line would not show the workers of the last tasks.
        """
        log_ordered(starts(WIDEST, lives=WIDEST), WORKERS)
        assert len(lines) == 1 and len(lines[0]) < MAX_LINE_BYTES // 2
        assert lines[0].endswith(':71\n')

    def test_more_workers_than_fit(self, lines: list[str]) -> None:
        """The count is complete even if not all workers are named."""
        log_ordered(starts(176, lives=176), WORKERS)
        assert 'count=176' in lines[0] and len(lines[0]) < MAX_LINE_BYTES
        assert lines[0].count('i-') == MAX_WORKERS_PER_LINE

    def test_burst_stays_within_the_bound(self, lines: list[str]) -> None:
        """A burst of 20 wide jobs stays within the rate limit of the log.

        One line per task used to exceed it.
        """
        for number in range(20):
            log_ordered(starts(WIDEST, lives=30, job=f'j{number}'), WORKERS)
        assert len(lines) == 20 < LINES_PER_S


class TestEnded:
    """Runs that end."""

    def test_line_for_each_kind_of_end(self, lines: list[str]) -> None:
        """Ends of a gang on one worker are grouped by kind."""
        ends = [
            RunEnd(task=task(index), run=2, end=kind)
            for index, kind in enumerate([
                EndKind.FAILED,
                EndKind.BROKEN,
                EndKind.BROKEN,
            ])
        ]
        log_ended(ends, WorkerId('w'))
        assert lines == [
            'Ended runs job=job step=0.1 run=2 end=failed tasks=w:0\n',
            'Ended runs job=job step=0.1 run=2 end=broken tasks=w:1,2\n',
        ]

    def test_kinds_are_bounded_apart(self, lines: list[str]) -> None:
        """Lines about starts and ends have separate rate limits."""
        log_ordered(starts(1, lives=1), WORKERS)
        log_ended(
            [RunEnd(task=task(0), run=2, end=EndKind.DONE)], WorkerId('w')
        )
        kinds = {kind_of(f'"module":"m","message":"{line}"') for line in lines}
        assert len(kinds) == 2
