"""Membership, partition ownership and configuration of a cell, coordinated through its store."""

from rhubarbferry.coordination.node import Node
from rhubarbferry.coordination.tenure import HeldTenure, TenureLost, TenureWon

__all__ = ["HeldTenure", "TenureLost", "Node", "TenureWon"]
