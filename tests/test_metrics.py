"""Guards against metrics that block, flood the network or are ambiguous."""

import socket
from collections.abc import Iterator

import pytest

from mangotrail import metrics
from mangotrail._settings import Address
from mangotrail.clock import ManualClock
from mangotrail.ids import InstanceId


@pytest.fixture
def server() -> Iterator[socket.socket]:
    """Return a UDP socket that receives like a statsd server."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as listener:
        listener.bind(('127.0.0.1', 0))
        listener.settimeout(5)
        yield listener


def client_of(server: socket.socket) -> metrics.StatsdMetrics:
    """Return a client whose clock stands still."""
    address = Address(host='127.0.0.1', port=server.getsockname()[1])
    return metrics.StatsdMetrics(address, prefix='p', clock=ManualClock())


class TestCatalogue:
    """Declared metrics."""

    def test_names_are_unique(self) -> None:
        """The values of two metrics with the same name would be mixed."""
        names = [metric.name for metric in metrics.catalogue()]
        assert len(names) == len(set(names)) > 20

    def test_label_must_fit(self) -> None:
        """A forgotten label would mix the values of all accounts."""
        with pytest.raises(ValueError, match='jobs_queued'):
            metrics.full_name(metrics.JOBS_QUEUED, '')


class TestStatsd:
    """The UDP client."""

    def test_sums_between_flushes(self, server: socket.socket) -> None:
        """One packet for each event would cause too much traffic."""
        client = client_of(server)
        for _ in range(5):
            client.count(metrics.JOBS_ACCEPTED, label='a:1|c')
        client.put(metrics.VOTERS, 3)
        client.time(metrics.SYNC_TIME, 0.25)
        client.flush()
        lines = server.recv(512).decode().split('\n')
        assert lines == [
            'p.jobs_accepted.a_1_c:5|c',
            'p.voters:3|g',
            'p.sync_time:250.000000|ms',
        ]

    def test_bounds_timings(self, server: socket.socket) -> None:
        """A burst must neither exhaust memory nor lose timings unnoticed."""
        client = client_of(server)
        for _ in range(metrics.MAX_TIMINGS + 2):
            client.time(metrics.SYNC_TIME, 1)
        assert len(client.timings) == metrics.MAX_TIMINGS
        assert client.totals[metrics.TIMINGS_DROPPED.name] == 2

    def test_flushes_when_due(self, server: socket.socket) -> None:
        """Values are sent even if a daemon never calls flush."""
        client = client_of(server)
        assert isinstance(client.clock, ManualClock)
        client.clock.advance(metrics.FLUSH_PERIOD_S)
        client.count(metrics.ENTRIES)
        assert server.recv(512) == b'p.entries:1|c'

    def test_absent_server(self, server: socket.socket) -> None:
        """A stopped statsd server must not cause errors in the daemon."""
        client = client_of(server)
        server.close()
        for _ in range(3):
            client.count(metrics.ENTRIES)
            client.flush()

    def test_unset_address(self) -> None:
        """Without an address nothing is opened or sent."""
        instance = InstanceId('one')
        client = metrics.open_metrics(None, instance=instance, process='x')
        client.count(metrics.ENTRIES)
        assert isinstance(client, metrics.NullMetrics)
