"""Budget of the bytes that a process holds for others."""

from bluebellusher_core.memory._budget import (
    Account,
    ByteBudget,
    choose_budget_bytes,
    choose_max_connections,
)

__all__ = ["Account", "ByteBudget", "choose_budget_bytes", "choose_max_connections"]
