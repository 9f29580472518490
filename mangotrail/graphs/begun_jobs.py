"""Jobs of which a worker has begun a task, as committed by the leader.

A committed start does not show that its task has begun: the order may never
reach the worker. Callers are told that a job waits until a worker confirms a
run, and the next leader must give the same answer, so this is committed once
for each job.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from loguru import logger

from mangotrail.graphs.session_owner import RETRY_PAUSE_S
from mangotrail.graphs.state import GraphState
from mangotrail.ids import JobId

# Jobs that begin within this time are committed together. Callers may be told
# a count that is 2 s old.
COLLECT_S = 0.1

CommitBegun = Callable[[Sequence[JobId]], Awaitable[bool]]


class BegunJobs:
    """Jobs whose beginning is to be committed.

    :param commit: commits that jobs have begun; False if that failed.
    """

    def __init__(self, *, state: GraphState, commit: CommitBegun) -> None:
        self.state = state
        self.commit = commit
        self.waiting: set[JobId] = set()
        self.changed = asyncio.Event()

    def add(self, name: JobId) -> None:
        """Note that a worker has confirmed a run of a job."""
        job = self.state.jobs.get(name)
        if job is not None and not job.has_begun:
            self.waiting.add(name)
            self.changed.set()

    async def run(self) -> None:
        """Commit what has been added, until cancelled."""
        while True:
            await self.changed.wait()
            await asyncio.sleep(COLLECT_S)
            self.changed.clear()
            names = sorted(self.waiting)
            try:
                committed = await self.commit(names)
            except Exception:  # A failed commit must not end this task.
                logger.exception('Committing the beginning of jobs failed')
                committed = False
            if committed:
                self.waiting.difference_update(names)
            else:
                await asyncio.sleep(RETRY_PAUSE_S)
                self.changed.set()
