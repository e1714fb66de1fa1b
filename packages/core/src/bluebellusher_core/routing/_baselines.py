"""Baseline routing policies."""

from collections.abc import Sequence
from random import Random
from zlib import crc32

from bluebellusher_core.events import RequestSpec
from bluebellusher_core.routing._protocol import EndpointView


def filter_usable(candidates: Sequence[EndpointView]) -> list[EndpointView]:
    """Return the candidates that are neither draining nor isolating a suspect."""
    return [v for v in candidates if not (v.is_draining or v.is_isolating)]


class RoundRobin:
    """Policy that chooses the endpoints in turn, ordered by id."""

    def __init__(self) -> None:
        self._last_endpoint_id = ""

    def choose(
        self,
        request: RequestSpec,
        candidates: Sequence[EndpointView],
        now_ms: int,
        random_state: Random,
    ) -> str | None:
        """Return the next id after the last chosen one, or the first id."""
        ids = [view.info.endpoint_id for view in filter_usable(candidates)]
        if not ids:
            return None
        later_ids = [
            endpoint_id for endpoint_id in ids if endpoint_id > self._last_endpoint_id
        ]
        self._last_endpoint_id = min(later_ids or ids)
        return self._last_endpoint_id


class LeastInFlight:
    """Policy that chooses the endpoint with the fewest own attempts in flight."""

    def choose(
        self,
        request: RequestSpec,
        candidates: Sequence[EndpointView],
        now_ms: int,
        random_state: Random,
    ) -> str | None:
        """Return the endpoint with the fewest own attempts; break ties at random."""
        views = filter_usable(candidates)
        if not views:
            return None
        fewest = min(view.n_own_in_flight for view in views)
        tied = [view for view in views if view.n_own_in_flight == fewest]
        return random_state.choice(tied).info.endpoint_id


class TwoChoices:
    """Policy that draws two endpoints at random and chooses the less loaded one."""

    def choose(
        self,
        request: RequestSpec,
        candidates: Sequence[EndpointView],
        now_ms: int,
        random_state: Random,
    ) -> str | None:
        """Return the endpoint that reports fewer requests.

        When one of the two has no report, the own attempts are compared instead.
        """
        views = filter_usable(candidates)
        if not views:
            return None
        drawn = random_state.sample(views, min(2, len(views)))
        if any(view.report is None for view in drawn):
            return min(drawn, key=_own_load).info.endpoint_id
        return min(drawn, key=_reported_load).info.endpoint_id


class PrefixHash:
    """Policy that chooses by rendezvous hash of the first blocks of a prompt.

    Parameters
    ----------
    n_blocks : int
        Number of leading blocks that identify the shared part of a prompt.
    """

    def __init__(self, n_blocks: int = 2) -> None:
        if n_blocks < 1:
            raise ValueError(f"n_blocks={n_blocks}: expected at least 1")
        self.n_blocks = n_blocks

    def choose(
        self,
        request: RequestSpec,
        candidates: Sequence[EndpointView],
        now_ms: int,
        random_state: Random,
    ) -> str | None:
        """Return the endpoint with the highest hash, or any without a prefix."""
        views = filter_usable(candidates)
        if not views:
            return None
        if not request.prefix_hashes:
            return random_state.choice(views).info.endpoint_id
        index = min(self.n_blocks, len(request.prefix_hashes)) - 1
        key = request.prefix_hashes[index]
        ids = [view.info.endpoint_id for view in views]
        return max(
            ids, key=lambda endpoint_id: (_rendezvous(key, endpoint_id), endpoint_id)
        )


def _own_load(view: EndpointView) -> int:
    return view.n_own_in_flight


def _reported_load(view: EndpointView) -> int:
    report = view.report
    return report.n_running + report.n_queued if report else 0


def _rendezvous(key: int, endpoint_id: str) -> int:
    # CRC-32 alone is linear, so two ids would keep their order for most keys. The
    # multiplications and shifts mix the high bits into the low ones.
    mixed = (crc32(endpoint_id.encode()) ^ (key & 0xFFFFFFFF)) * 0x9E3779B97F4A7C15
    mixed &= 0xFFFFFFFFFFFFFFFF
    mixed = (mixed ^ (mixed >> 29)) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
    return mixed ^ (mixed >> 32)
