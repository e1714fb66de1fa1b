"""Monthly bills: forecast, actual bill, and explanation of a difference."""

from bluebellusher_core.billing._bill import (
    Bill,
    BillLine,
    EngineUsage,
    TokenUsage,
    Usage,
    bill,
)
from bluebellusher_core.billing._engines import run_seconds
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
    "bill",
    "explain",
    "explain_history",
    "forecast",
    "run_seconds",
]
