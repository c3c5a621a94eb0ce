"""Cell processes, one per host, which keep all shared state in the store."""
