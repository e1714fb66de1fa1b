"""Spending limits of customers: rates, budgets in granted allowances, usage records."""

from bluebellusher.allowance._grants import GrantWriter
from bluebellusher.allowance._registry import Allowance, AllowanceRegistry
from bluebellusher.allowance._spending import SpendingLimiter
from bluebellusher.allowance._usage import UsageWriter

__all__ = [
    "Allowance",
    "AllowanceRegistry",
    "GrantWriter",
    "SpendingLimiter",
    "UsageWriter",
]
