"""Budgets and rate limits that all entries share.

The table row of a budget holds the units granted to each entry. An entry spends only
from its own grants, so that the sum over all entries stays within the limit even when
entries are suspended, killed or disconnected. Rate limits are divided into fixed shares
and need no table.
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
