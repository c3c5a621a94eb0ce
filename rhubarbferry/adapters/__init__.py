"""Implementations of the ports over published protocols."""
