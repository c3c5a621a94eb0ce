"""Adapters for the platform's interfaces; only this package uses the platform's wire names."""
