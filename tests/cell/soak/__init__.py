"""Randomized test of a cell's processes with hosts that restart and paths that fail.

Many seeds by hand: ``python -m tests.cell.soak --seeds 1-50 --jobs 3``. One seed again, with its
plan: ``python -m tests.cell.soak --seeds 5 --plan``. With ``--fault`` a fault is put into the
program, which some of the seeds must find.
"""
