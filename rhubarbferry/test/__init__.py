"""Stand-ins for external systems and fault injectors, for use in any test suite."""
