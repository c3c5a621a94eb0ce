"""Scheduling logic: pure functions and state, without I/O, clocks or random sources."""
