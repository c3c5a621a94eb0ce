"""Commands, one module each."""
