"""Simple policies that others are measured against."""

from collections.abc import Sequence
from random import Random

from bluebellusher_core.events import RequestSpec
from bluebellusher_core.routing._protocol import EndpointView


class LeastInFlight:
    """Choose the endpoint with the fewest attempts of this entry in flight."""

    def choose(
        self,
        request: RequestSpec,
        candidates: Sequence[EndpointView],
        now_ms: int,
        random_state: Random,
    ) -> str | None:
        """Return the least used endpoint; ties are broken at random."""
        if not candidates:
            return None
        fewest = min(view.n_own_in_flight for view in candidates)
        tied = [view for view in candidates if view.n_own_in_flight == fewest]
        return random_state.choice(tied).info.endpoint_id
