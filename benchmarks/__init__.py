"""Benchmarks and trace replays; they are not part of the tests."""
