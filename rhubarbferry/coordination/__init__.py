"""Membership, partition ownership and configuration of a cell, coordinated through its store."""

from rhubarbferry.coordination.node import Node
from rhubarbferry.coordination.tenure import HeldTenure, Lost, Won

__all__ = ["HeldTenure", "Lost", "Node", "Won"]
