"""Experiments that drive the decision core with generated work and an injected clock.

The experiments involve no network, store or log, so the reported times cover the decisions alone.
"""
