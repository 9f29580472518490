"""Metrics: a catalogue of all of them, and clients that report them."""

from abc import ABC, abstractmethod
from collections import Counter as Totals
from enum import StrEnum
from typing import Any

import msgspec

from mangotrail._settings import Address
from mangotrail.clock import Clock, SystemClock
from mangotrail.ids import InstanceId

FLUSH_PERIOD_S = 1.0
# Bounds memory and traffic when a burst records many times a second.
MAX_TIMINGS = 256


class Unit(StrEnum):
    """Unit of a metric."""

    COUNT = 'count'
    BYTES = 'bytes'
    MILLISECONDS = 'ms'
    ACCELERATORS = 'accelerators'
    RATIO = 'ratio 0 to 1'
    VERSION = 'version'


class Label(StrEnum):
    """What the last part of a metric's name tells apart."""

    NONE = ''
    ACCOUNT = 'account'
    ZONE = 'zone'
    SERVICE = 'service'
    OUTCOME = 'outcome'
    CODE = 'error code'
    STATUS = 'HTTP status'
    PURPOSE = 'purpose'


class Metric(msgspec.Struct, frozen=True):
    """Declaration of a metric.

    :param name: last part of the name, before the label.
    :param unit: unit of its values.
    :param meaning: one sentence for operators.
    :param label: what the name's suffix tells apart, if it has one.
    """

    name: str
    unit: Unit
    meaning: str
    label: Label = Label.NONE


class Counter(Metric, frozen=True):
    """A sum of events or amounts."""


class Gauge(Metric, frozen=True):
    """A value that is valid until the next one."""


class Timing(Metric, frozen=True):
    """Durations of single events, in milliseconds."""


LEADER = Gauge('leader', Unit.COUNT, '1 on the leader, otherwise 0.')
VOTERS = Gauge('voters', Unit.COUNT, 'Voters of the agreement group.')
ENTRIES = Counter('entries', Unit.COUNT, 'Log entries applied.')
SNAPSHOTS = Counter('snapshots', Unit.COUNT, 'Snapshots written.')
SYNC_TIME = Timing('sync_time', Unit.MILLISECONDS, 'Time to sync the journal.')
COMMIT_TIME = Timing(
    'commit_time', Unit.MILLISECONDS, 'Time from proposal to commit.'
)
DECISION_TIME = Timing(
    'decision_time', Unit.MILLISECONDS, 'Time of one scheduler decision.'
)
LINK_BYTES = Counter(
    'link_bytes',
    Unit.BYTES,
    'Bytes sent to other control processes, by purpose.',
    Label.PURPOSE,
)
FRAMES_DROPPED = Counter(
    'frames_dropped', Unit.COUNT, 'Frames for a peer that was away for long.'
)
FRAMES_REFUSED = Counter(
    'frames_refused',
    Unit.COUNT,
    'Malformed frames and frames of other deployments or versions.',
)
BUNDLE_VERSION = Gauge(
    'bundle_version', Unit.VERSION, 'Bundle version in force here.'
)
JOBS_ACCEPTED = Counter(
    'jobs_accepted', Unit.COUNT, 'Jobs accepted, by account.', Label.ACCOUNT
)
JOBS_REFUSED = Counter(
    'jobs_refused', Unit.COUNT, 'Jobs refused as not run.', Label.CODE
)
JOBS_FINISHED = Counter(
    'jobs_finished', Unit.COUNT, 'Jobs that ended, by outcome.', Label.OUTCOME
)
JOBS_QUEUED = Gauge(
    'jobs_queued', Unit.COUNT, 'Jobs that wait, by account.', Label.ACCOUNT
)
JOBS_RUNNING = Gauge(
    'jobs_running', Unit.COUNT, 'Jobs that run, by account.', Label.ACCOUNT
)
WAIT_TIME = Timing(
    'wait_time', Unit.MILLISECONDS, 'Time from acceptance to the first grant.'
)
RECLAIMS = Counter(
    'reclaims',
    Unit.COUNT,
    'Jobs asked for a checkpoint because they must give way, by account.',
    Label.ACCOUNT,
)
WORKERS_QUARANTINED = Gauge(
    'workers_quarantined', Unit.COUNT, 'Workers that receive probes only.'
)
ENDPOINTS = Gauge(
    'endpoints',
    Unit.COUNT,
    'Endpoints that receive work, by service.',
    Label.SERVICE,
)
REQUESTS = Counter('requests', Unit.COUNT, 'HTTP requests that were answered.')
REQUEST_ERRORS = Counter(
    'request_errors',
    Unit.COUNT,
    'HTTP requests answered with an error.',
    Label.STATUS,
)
REQUEST_TIME = Timing(
    'request_time', Unit.MILLISECONDS, 'Time from request to response.'
)
ATTEMPTS_STARTED = Counter(
    'attempts_started', Unit.COUNT, 'Attempts whose gang began.'
)
ATTEMPTS_ADOPTED = Counter(
    'attempts_adopted', Unit.COUNT, 'Attempts taken over from a lost gateway.'
)
ATTEMPTS_HELD = Gauge(
    'attempts_held', Unit.COUNT, 'Attempts that this gateway dispatches.'
)
RENEWALS_FAILED = Counter(
    'renewals_failed', Unit.COUNT, 'Lease renewals that the platform refused.'
)
ANSWER_BYTES = Gauge(
    'answer_bytes', Unit.BYTES, 'Answers kept in memory for retries.'
)
TIMINGS_DROPPED = Counter(
    'timings_dropped', Unit.COUNT, 'Timings over the bound of one flush.'
)


def catalogue() -> tuple[Metric, ...]:
    """Return every declared metric, sorted by name."""
    declared = [one for one in globals().values() if isinstance(one, Metric)]
    return tuple(sorted(declared, key=lambda metric: metric.name))


class Metrics(ABC):
    """Reports metrics; never fails and never blocks its caller."""

    @abstractmethod
    def count(self, metric: Counter, amount: int = 1, label: str = '') -> None:
        """Add to a counter."""

    @abstractmethod
    def put(self, metric: Gauge, value: float, label: str = '') -> None:
        """Set a gauge."""

    @abstractmethod
    def time(self, metric: Timing, seconds: float, label: str = '') -> None:
        """Record a duration in seconds."""

    @abstractmethod
    def flush(self) -> None:
        """Send what was recorded; daemons call it about once a second."""


class NullMetrics(Metrics):
    """Drops every value; used when no statsd address is set."""

    def count(self, metric: Counter, amount: int = 1, label: str = '') -> None:
        """Drop the amount."""

    def put(self, metric: Gauge, value: float, label: str = '') -> None:
        """Drop the value."""

    def time(self, metric: Timing, seconds: float, label: str = '') -> None:
        """Drop the duration."""

    def flush(self) -> None:
        """Send nothing."""


class StatsdMetrics(Metrics):
    """Sends values to a statsd server over UDP, at most once a second.

    Counters are summed and gauges overwritten between two flushes, so that a
    burst of events costs no burst of packets.

    :param address: IP number and port of the server.
    :param prefix: first part of every name.
    :param clock: source of the time between flushes.
    """

    def __init__(
        self, address: Address, *, prefix: str, clock: Clock | None = None
    ) -> None:
        # Instances without a statsd address do not pay for the library.
        from statsd import StatsClient

        self.clock = clock or SystemClock()
        self.client: Any = StatsClient(
            address.host,
            address.port,
            prefix=prefix,
            ipv6=':' in address.host,
        )
        self.totals: Totals[str] = Totals()
        self.gauges: dict[str, float] = {}
        self.timings: list[tuple[str, float]] = []
        self.flushed_s = self.clock.monotonic_s()

    def count(self, metric: Counter, amount: int = 1, label: str = '') -> None:
        """Add to a counter."""
        self.totals[full_name(metric, label)] += amount
        self._flush_when_due()

    def put(self, metric: Gauge, value: float, label: str = '') -> None:
        """Set a gauge."""
        self.gauges[full_name(metric, label)] = value
        self._flush_when_due()

    def time(self, metric: Timing, seconds: float, label: str = '') -> None:
        """Record a duration in seconds."""
        if len(self.timings) < MAX_TIMINGS:
            self.timings.append((full_name(metric, label), seconds * 1000))
        else:
            self.totals[TIMINGS_DROPPED.name] += 1
        self._flush_when_due()

    def flush(self) -> None:
        """Send what was recorded, in packets of at most 512 bytes."""
        pipe = self.client.pipeline()
        for name, amount in self.totals.items():
            pipe.incr(name, amount)
        for name, value in self.gauges.items():
            # A negative number would be read as a difference.
            pipe.gauge(name, max(value, 0))
        for name, milliseconds in self.timings:
            pipe.timing(name, milliseconds)
        pipe.send()
        self.totals.clear()
        self.gauges.clear()
        self.timings.clear()
        self.flushed_s = self.clock.monotonic_s()

    def _flush_when_due(self) -> None:
        if self.clock.monotonic_s() - self.flushed_s >= FLUSH_PERIOD_S:
            self.flush()


def full_name(metric: Metric, label: str) -> str:
    """Return the name of a metric with its label, safe for statsd.

    :raises ValueError: if a label is missing or not declared.
    """
    if bool(label) != bool(metric.label):
        raise ValueError(f'label {label!r} does not fit {metric.name}')
    return f'{metric.name}.{_sanitize(label)}' if label else metric.name


def open_metrics(
    address: Address | None, *, instance: InstanceId, process: str
) -> Metrics:
    """Return the client for the settings of this process.

    :param address: statsd server, absent to drop every value.
    """
    if address is None:
        return NullMetrics()
    prefix = f'mangotrail.{process}.{_sanitize(instance)}'
    return StatsdMetrics(address, prefix=prefix)


def _sanitize(name: str) -> str:
    # statsd gives ":", "|", "@" and "#" a meaning, and dots part a name.
    return ''.join(
        letter if letter.isalnum() or letter in '-_' else '_' for letter in name
    )
