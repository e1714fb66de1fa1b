"""Errors and rejections, each with the step and the peer at which it arose."""

from bluebellusher_core.errors._errors import (
    NOT_RUN_STATUSES,
    Outcome,
    Reason,
    Rejection,
    StepError,
)

__all__ = ["NOT_RUN_STATUSES", "Outcome", "Reason", "Rejection", "StepError"]
