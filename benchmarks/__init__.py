"""Benchmarks, kept apart from the tests."""
