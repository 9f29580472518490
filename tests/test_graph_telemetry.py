"""Guards against metrics that cannot be parsed or have wrong values."""

from mangotrail.graphs.telemetry import Telemetry


class TestTelemetry:
    """Text format of counters, gauges and histograms."""

    def test_counts(self) -> None:
        """Each label value has its own counter."""
        telemetry = Telemetry()
        telemetry.ends.increment('done')
        telemetry.ends.increment('done')
        telemetry.ends.increment('lost')
        assert 'mangotrail_run_ends_total{end="done"} 2' in telemetry.text()
        assert 'mangotrail_run_ends_total{end="lost"} 1' in telemetry.text()

    def test_histogram(self) -> None:
        """Buckets are cumulative."""
        telemetry = Telemetry()
        for seconds in (0.005, 0.015, 9):
            telemetry.commit_s.observe(seconds)
        lines = telemetry.text().splitlines()
        name = 'mangotrail_commit_seconds'
        assert f'{name}_bucket{{le="0.005"}} 1' in lines
        assert f'{name}_bucket{{le="0.02"}} 2' in lines
        assert f'{name}_bucket{{le="+Inf"}} 3' in lines
        assert f'{name}_count 3' in lines

    def test_level(self) -> None:
        """A gauge shows the last value that was set."""
        telemetry = Telemetry()
        telemetry.runs.set(4)
        telemetry.runs.set(2)
        assert 'mangotrail_runs 2' in telemetry.text().splitlines()
