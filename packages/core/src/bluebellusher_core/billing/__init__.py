"""Monthly bills: forecast, actual bill, and explanation of a difference."""

from bluebellusher_core.billing._bill import (
    Bill,
    BillLine,
    EngineUsage,
    TokenUsage,
    Usage,
    compute_bill,
)
from bluebellusher_core.billing._engines import find_applicable_rules
from bluebellusher_core.billing._explain import (
    Explanation,
    Part,
    explain,
    explain_history,
)
from bluebellusher_core.billing._forecast import (
    Contribution,
    Forecast,
    Range,
    forecast,
)
from bluebellusher_core.billing._month import Month, Version

__all__ = [
    "Bill",
    "BillLine",
    "Contribution",
    "EngineUsage",
    "Explanation",
    "Forecast",
    "Month",
    "Part",
    "Range",
    "TokenUsage",
    "Usage",
    "Version",
    "compute_bill",
    "explain",
    "explain_history",
    "find_applicable_rules",
    "forecast",
]
