"""Explains from logs what happened to a job made of steps.

Reads the JSON lines of several processes in any order. A line may have a
prefix, such as the name of a machine; text before the first brace is skipped.
"""

import re
from collections import Counter
from collections.abc import Iterable, Sequence
from datetime import datetime
from typing import Any

import msgspec

from mangotrail._struct import FrozenStruct
from mangotrail.errors import InvalidInputError
from mangotrail.ids import JobId

# Lines that concern all jobs while they are in progress.
CONTEXT = re.compile('Leading in term|No longer leading|The disk failed')
FIELD = re.compile(r'(\w+)=(\S+)')
DISPLACED = 'Runs stopped to make room'
ORDERED = 'Ordered runs'
ENDED = 'Ended runs'
LIMIT_TEXT = 200


class LogEvent(FrozenStruct, frozen=True, kw_only=True):
    """One line of a log.

    :param time: time of the line in ISO 8601, as the process logged it.
    """

    time: str
    instance: str
    text: str

    @property
    def seconds(self) -> float:
        """Time of the line in seconds since the epoch."""
        return datetime.fromisoformat(self.time).timestamp()


class Explanation(FrozenStruct, frozen=True, kw_only=True):
    """What the logs say of a job.

    :param waited_s: time from the submission to the first start, None if the
        logs name no start.
    :param took_s: time from the submission to the last event of the job.
    :param tasks_by_run: number of tasks that were ordered, by run number.
    :param ends: number of ends, by kind.
    :param displaced_by: jobs for which runs of the job were stopped.
    :param changes_of_leader: terms that began while the job was in progress.
    """

    job: JobId
    events: Sequence[LogEvent]
    waited_s: float | None
    took_s: float
    tasks_by_run: dict[int, int]
    ends: dict[str, int]
    displaced_by: Sequence[str]
    changes_of_leader: int

    def findings(self) -> list[str]:
        """Return the findings as sentences, the first cause first."""
        found = []
        if self.waited_s is None:
            found.append('The logs name no start of a task.')
        else:
            found.append(f'The first task started after {self.waited_s:.2f} s.')
        if self.changes_of_leader:
            found.append(
                f'{self.changes_of_leader} leaders began a term meanwhile.'
            )
        if self.displaced_by:
            found.append(
                f'Runs were stopped {len(self.displaced_by)} times to make room'
                f' for {", ".join(sorted(set(self.displaced_by)))}.'
            )
        repeated = sum(
            count for run, count in self.tasks_by_run.items() if run > 1
        )
        if repeated:
            found.append(f'{repeated} starts were repeated.')
        ends = ', '.join(f'{count} {kind}' for kind, count in self.ends.items())
        found.append(f'Ends of runs: {ends or "none"}.')
        return found


def read_events(lines: Iterable[str]) -> list[LogEvent]:
    """Return the events of log lines by time; other lines are skipped."""
    events = []
    for line in lines:
        _, brace, rest = line.partition('{')
        try:
            fields: Any = msgspec.json.decode(f'{brace}{rest}'.encode())
        except msgspec.DecodeError:
            continue
        if 'time' in fields and 'message' in fields:
            events.append(
                LogEvent(
                    time=fields['time'],
                    instance=fields.get('instance', ''),
                    text=fields['message'],
                )
            )
    return sorted(events, key=lambda event: event.seconds)


def explain(job: JobId, lines: Iterable[str]) -> Explanation:
    """Explain a job from log lines.

    :raises InvalidInputError: if no line names the job.
    """
    events = read_events(lines)
    own = [event for event in events if job in event.text]
    if not own:
        raise InvalidInputError(
            'No line of the logs names the job.',
            field='job',
            value=job,
            allowed='the id of a job in the logs',
            remedy='Give the logs of all instances for the time of the job.',
        )
    first_s, last_s = own[0].seconds, own[-1].seconds
    shown = [
        event
        for event in events
        if job in event.text
        or (CONTEXT.match(event.text) and first_s <= event.seconds <= last_s)
    ]
    starts = [event for event in own if _is_about(event, ORDERED, job)]
    return Explanation(
        job=job,
        events=shown,
        waited_s=starts[0].seconds - first_s if starts else None,
        took_s=last_s - first_s,
        tasks_by_run=_tasks_by_run(starts),
        ends=_ends(own, job),
        displaced_by=[
            _fields(event)['job']
            for event in own
            if event.text.startswith(DISPLACED)
            and not _is_about(event, DISPLACED, job)
        ],
        changes_of_leader=sum(
            event.text.startswith('Leading') for event in shown
        ),
    )


def report_lines(explanation: Explanation) -> list[str]:
    """Return the timeline and the findings as lines of text."""
    begin_s = explanation.events[0].seconds
    lines = [
        f'{event.time}  +{event.seconds - begin_s:7.3f} s  {event.instance}'
        f'  {event.text[:LIMIT_TEXT]}'
        for event in explanation.events
    ]
    return [*lines, '', *explanation.findings()]


def _fields(event: LogEvent) -> dict[str, str]:
    return dict(FIELD.findall(event.text))


def _is_about(event: LogEvent, start: str, job: JobId) -> bool:
    """Whether a line of a kind has the job as its subject."""
    return event.text.startswith(f'{start} job={job}')


def _tasks_by_run(starts: Iterable[LogEvent]) -> dict[int, int]:
    counts: Counter[int] = Counter()
    for event in starts:
        fields = _fields(event)
        counts[int(fields['run'])] += int(fields['count'])
    return dict(sorted(counts.items()))


def _ends(events: Iterable[LogEvent], job: JobId) -> dict[str, int]:
    counts: Counter[str] = Counter()
    for event in events:
        if _is_about(event, ENDED, job):
            fields = _fields(event)
            indices = fields['tasks'].rpartition(':')[2]
            counts[fields['end']] += len(indices.split(','))
    return dict(counts)
