"""Life cycle of a request: admission, attempts and the final answer."""

from bluebellusher_core.requests._model import Attempt, Phase, Request

__all__ = ["Attempt", "Phase", "Request"]
