"""Decide where the tasks of jobs run: pure code without I/O or a clock of its own."""
