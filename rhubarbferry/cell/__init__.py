"""The active parts of a cell that keeps all its state in the store: one program per host."""
