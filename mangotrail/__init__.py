"""Scheduler for multi-accelerator jobs under client account guarantees."""
