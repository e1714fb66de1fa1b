"""Budgets and rate limits shared by all entries as granted allowances.

The table row of a budget holds what was granted to each entry. An entry spends only
from its own grants, so that the sum over all entries stays within the limit whatever
is paused, killed or cut off.
"""

from bluebellusher_core.allowance._holder import (
    IDLE_RETURN_MS,
    AllowanceHolder,
    AllowanceWrite,
)
from bluebellusher_core.allowance._rate import RateShare
from bluebellusher_core.allowance._row import AllowanceRow, Grant

__all__ = [
    "IDLE_RETURN_MS",
    "AllowanceHolder",
    "AllowanceRow",
    "AllowanceWrite",
    "Grant",
    "RateShare",
]
