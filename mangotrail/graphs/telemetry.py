"""Metrics in the Prometheus text exposition format.

The Prometheus client library is not used because it takes 3.7 MB more memory
per process, which the small instances cannot spare.
"""

from bisect import bisect_left
from collections.abc import Iterator
from http import HTTPStatus

from mangotrail.lean_http import (
    HttpRequest,
    HttpResponse,
    LeanServer,
    ServerLimits,
)

METRICS_PATH = '/metrics'
# Upper bounds. A commit takes 0.02 s, and a caller waits for up to 3 s.
BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


class Metric:
    """A metric with at most one label.

    :param name: name, including the unit.
    :param label: name of the label, empty for none.
    """

    kind = ''

    def __init__(self, name: str, description: str, label: str = '') -> None:
        self.name = name
        self.description = description
        self.label = label
        self.values: dict[str, float] = {}

    def lines(self) -> Iterator[str]:
        """Yield the lines of the text format."""
        yield f'# HELP {self.name} {self.description}'
        yield f'# TYPE {self.name} {self.kind}'
        for value in sorted(self.values):
            yield f'{self.name}{self.label_text(value)} {self.values[value]:g}'

    def label_text(self, value: str, extra_label: str = '') -> str:
        """Return the labels of a sample in braces."""
        parts = [f'{self.label}="{value}"'] if self.label else []
        if extra_label:
            parts.append(extra_label)
        return f'{{{",".join(parts)}}}' if parts else ''


class Counter(Metric):
    """A value that only increases."""

    kind = 'counter'

    def increment(self, value: str = '', amount: float = 1) -> None:
        """Increment the value for a label value."""
        self.values[value] = self.values.get(value, 0) + amount


class Gauge(Metric):
    """A value that can go up and down."""

    kind = 'gauge'

    def set(self, amount: float, value: str = '') -> None:
        """Set the value for a label value."""
        self.values[value] = amount


class Histogram(Metric):
    """A histogram of durations in seconds."""

    kind = 'histogram'

    def __init__(self, name: str, description: str, label: str = '') -> None:
        super().__init__(name, description, label)
        self.counts: dict[str, list[int]] = {}

    def observe(self, seconds: float, value: str = '') -> None:
        """Record one duration."""
        counts = self.counts.setdefault(value, [0] * (len(BUCKETS_S) + 1))
        counts[bisect_left(BUCKETS_S, seconds)] += 1
        self.values[value] = self.values.get(value, 0) + seconds

    def lines(self) -> Iterator[str]:
        """Yield buckets, sum and count."""
        yield f'# HELP {self.name} {self.description}'
        yield f'# TYPE {self.name} {self.kind}'
        for value, counts in sorted(self.counts.items()):
            total = 0
            for bound, count in zip((*BUCKETS_S, '+Inf'), counts, strict=True):
                total += count
                tags = self.label_text(value, f'le="{bound}"')
                yield f'{self.name}_bucket{tags} {total}'
            tags = self.label_text(value)
            yield f'{self.name}_sum{tags} {self.values[value]:g}'
            yield f'{self.name}_count{tags} {total}'


class Telemetry:
    """All metrics of one control or entry process."""

    def __init__(self) -> None:
        self.calls = Counter(
            'mangotrail_calls_total', 'Calls by kind and verdict.', 'call'
        )
        self.configuration_bytes = Counter(
            'mangotrail_configuration_bytes_total',
            'Compressed bytes of configurations sent to entry instances.',
            'form',
        )
        self.call_s = Histogram(
            'mangotrail_call_seconds', 'Time until a call is settled.', 'call'
        )
        self.commit_s = Histogram(
            'mangotrail_commit_seconds', 'Time until a command is applied.'
        )
        self.ends = Counter(
            'mangotrail_run_ends_total', 'Ends of runs by kind.', 'end'
        )
        self.orders = Counter(
            'mangotrail_orders_total', 'Starts ordered, by answer.', 'answer'
        )
        self.start_wait_s = Histogram(
            'mangotrail_start_wait_seconds',
            'Time from acceptance of a job to the order of each first run.',
        )
        self.terms = Counter(
            'mangotrail_terms_led_total', 'Times that this member led.'
        )
        self.workers = Gauge(
            'mangotrail_workers', 'Workers by whether runs may start.', 'state'
        )
        self.session_faults = Counter(
            'mangotrail_session_faults_total',
            'Sessions with workers that failed by a fault of their own.',
        )
        self.step_faults = Counter(
            'mangotrail_step_faults_total',
            'Steps of a leader that failed by a fault of their own.',
        )
        self.runs = Gauge('mangotrail_runs', 'Runs that occupy workers.')
        self.version = Gauge(
            'mangotrail_configuration_version', 'Configuration in force.'
        )

    def text(self) -> str:
        """Return all metrics as text."""
        lines: list[str] = []
        for metric in vars(self).values():
            lines.extend(metric.lines())
        return '\n'.join([*lines, ''])


class TelemetryServer:
    """HTTP server for the metrics of a process.

    :param address: host and port; empty to serve nothing.
    """

    def __init__(self, telemetry: Telemetry, address: str) -> None:
        self.telemetry = telemetry
        self.address = address
        self.server = LeanServer(self.answer, ServerLimits())

    async def open(self) -> None:
        """Start listening.

        :raises OSError: if the address is in use.
        """
        if self.address:
            host, _, port = self.address.rpartition(':')
            await self.server.open(host, int(port))

    def close(self) -> None:
        """Stop listening."""
        self.server.close()

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Answer a request for the metrics page."""
        if request.path != METRICS_PATH:
            return HttpResponse(status=HTTPStatus.NOT_FOUND)
        return HttpResponse(
            status=HTTPStatus.OK,
            body=self.telemetry.text().encode(),
            content_type='text/plain; version=0.0.4',
        )
