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
    DifferencePart,
    Explanation,
    explain_bill_difference,
    explain_version_difference,
)
from bluebellusher_core.billing._forecast import (
    AmountRange,
    Contribution,
    Forecast,
    compute_forecast,
)
from bluebellusher_core.billing._month import Month, RulesVersion

__all__ = [
    "AmountRange",
    "Bill",
    "BillLine",
    "Contribution",
    "DifferencePart",
    "EngineUsage",
    "Explanation",
    "Forecast",
    "Month",
    "RulesVersion",
    "TokenUsage",
    "Usage",
    "compute_bill",
    "compute_forecast",
    "explain_bill_difference",
    "explain_version_difference",
    "find_applicable_rules",
]
