"""Guards against metrics that cannot be read or count wrongly."""

from mangotrail.graphs.telemetry import Telemetry


class TestTelemetry:
    """The text that is served."""

    def test_counts(self) -> None:
        """Each value of a label counts by itself."""
        held = Telemetry()
        held.ends.increment('done')
        held.ends.increment('done')
        held.ends.increment('lost')
        assert 'mangotrail_run_ends_total{end="done"} 2' in held.text()
        assert 'mangotrail_run_ends_total{end="lost"} 1' in held.text()

    def test_histogram(self) -> None:
        """Buckets count everything up to their bound."""
        held = Telemetry()
        for seconds in (0.005, 0.015, 9):
            held.commit_s.observe(seconds)
        lines = held.text().splitlines()
        name = 'mangotrail_commit_seconds'
        assert f'{name}_bucket{{le="0.005"}} 1' in lines
        assert f'{name}_bucket{{le="0.02"}} 2' in lines
        assert f'{name}_bucket{{le="+Inf"}} 3' in lines
        assert f'{name}_count 3' in lines

    def test_level(self) -> None:
        """A level shows the newest number."""
        held = Telemetry()
        held.runs.set(4)
        held.runs.set(2)
        assert 'mangotrail_runs 2' in held.text().splitlines()
