"""Runnable examples and the local deployment that they use."""
