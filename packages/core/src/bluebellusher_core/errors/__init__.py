"""Errors and rejections, each with the step and the peer at which it arose."""

from bluebellusher_core.errors._errors import Outcome, Reason, Rejection, StepError

__all__ = ["Outcome", "Reason", "Rejection", "StepError"]
