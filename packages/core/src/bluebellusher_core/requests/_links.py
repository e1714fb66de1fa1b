"""Endpoints that connect and are lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellusher_core.effects import Effect
from bluebellusher_core.errors import Reason
from bluebellusher_core.events import EndpointConnected
from bluebellusher_core.requests import _attempts, _placing

if TYPE_CHECKING:
    from bluebellusher_core.reducer import EntryState


def connected(state: EntryState, event: EndpointConnected, now_ms: int) -> list[Effect]:
    """Use a new connection; attempts of an earlier one are over."""
    effects = lost(state, event.endpoint.endpoint_id, now_ms)
    return effects + state.endpoints.connect(event)


def lost(state: EntryState, endpoint_id: str, now_ms: int) -> list[Effect]:
    """Break every attempt of a connection that is gone."""
    state.endpoints.remove(endpoint_id)
    effects: list[Effect] = []
    there = [a for a in state.attempt_by_id.values() if a.endpoint_id == endpoint_id]
    for attempt in there:
        # Without word from the relay an attempt that started counts as relayed.
        n_bytes = 1 if attempt.is_started else 0
        effects += _attempts.break_attempt(
            state, attempt, Reason.ENDPOINT_LOST, n_bytes, now_ms
        )
    return effects + _placing.watch_unserved(state, now_ms)
