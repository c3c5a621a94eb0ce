"""Choose hosts for the tasks of jobs; pure code that does no I/O and reads no clock."""
