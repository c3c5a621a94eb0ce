"""Protocols and messages through which the decision logic uses external services."""
