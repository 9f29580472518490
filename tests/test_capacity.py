"""Tests the line fits behind the extrapolations of the capacity page."""

import pytest

from benchmarks.fitting import fit_line


class TestFitLine:
    """Least-squares lines through points of size and value."""

    def test_exact_points(self) -> None:
        """A wrong slope would give a wrong cost at the two-year size."""
        line = fit_line([(0.1, 3.2), (0.5, 4.0), (1.0, 5.0)])
        assert line.slope == pytest.approx(2.0)
        assert line.intercept == pytest.approx(3.0)
        assert line.error == pytest.approx(0.0, abs=1e-12)
        assert line.at(2.0) == pytest.approx(7.0)

    def test_noisy_points(self) -> None:
        """Noise must appear in the error and not in the line."""
        noise = (0.5, -0.5)
        line = fit_line([
            (size, 10 * size + 1 + offset)
            for size in (0.0, 1.0, 2.0)
            for offset in noise
        ])
        assert line.slope == pytest.approx(10.0)
        assert line.intercept == pytest.approx(1.0)
        assert line.error == pytest.approx(0.5)

    def test_one_size(self) -> None:
        """A single size determines no slope, so it must be refused."""
        with pytest.raises(ValueError, match='two different sizes'):
            fit_line([(1.0, 2.0), (1.0, 3.0)])
