"""Handlers of endpoints whose address another endpoint has registered as well.

A registration alone ends nothing. The first answer from the address decides which of
the two runs there.
"""

from bluebellusher_core.effects import Effect, LogEvent
from bluebellusher_core.events import EndpointRegistered
from bluebellusher_core.requests import _crash_evidence, _links
from bluebellusher_core.state import EntryState


def handle_claimed(
    state: EntryState, event: EndpointRegistered, now_ms: int
) -> list[Effect]:
    """Send new attempts to a claimant instead of the endpoint at its address, if any.

    The attempts in flight continue until an answer shows which of the two runs.
    """
    endpoint_id, claimant_id = event.claimed_id, event.endpoint.endpoint_id
    if not state.endpoints.contest(endpoint_id, claimant_id, now_ms):
        return []
    fields = (("endpoint", endpoint_id), ("claimant", claimant_id))
    return [LogEvent("address-contested", fields)]


def end_contest(state: EntryState, endpoint_id: str, evidence: str) -> list[Effect]:
    """End the contest of an endpoint that runs at its address.

    ``evidence`` states how this was observed, for the log.
    """
    contested = state.endpoints.contested
    claimant_id = contested.find_claimant(endpoint_id)
    if claimant_id is None:
        return []
    contested.refute(claimant_id)
    state.endpoints.end_contest(endpoint_id)
    state.next_placement_ms = 0
    fields = (("endpoint", endpoint_id), ("evidence", evidence))
    return [LogEvent("endpoint-confirmed", fields)]


def record_report(state: EntryState, endpoint_id: str) -> list[Effect]:
    """Record a load report of an endpoint, which therefore runs."""
    if state.endpoints.contested.is_empty:
        return []
    state.endpoints.contested.record_running(endpoint_id)
    return end_contest(state, endpoint_id, "report")


def record_answer(state: EntryState, endpoint_id: str, now_ms: int) -> list[Effect]:
    """Record a successful answer, after which no other endpoint runs at the address.

    Those whose address the endpoint has registered too were replaced by it.
    """
    if state.endpoints.contested.is_empty:
        return []
    state.endpoints.contested.record_running(endpoint_id)
    effects = end_contest(state, endpoint_id, "answer")
    replaced_ids = state.endpoints.contested.find_claimed(endpoint_id)
    for replaced_id in replaced_ids:
        # A replaced endpoint may itself have replaced others.
        replaced_ids += state.endpoints.contested.find_claimed(replaced_id)
    for replaced_id in replaced_ids:
        effects += _replace(state, replaced_id, now_ms)
    return effects


def record_misdirected(
    state: EntryState, endpoint_id: str, now_ms: int
) -> list[Effect]:
    """Record that another endpoint answered an attempt at the address of this one."""
    if state.endpoints.contested.find_claimant(endpoint_id) is not None:
        return _replace(state, endpoint_id, now_ms)
    state.endpoints.contested.refute(endpoint_id)
    state.endpoints.drain(endpoint_id)
    return _crash_evidence.confirm_crashes(state, endpoint_id, "address taken", now_ms)


def _replace(state: EntryState, endpoint_id: str, now_ms: int) -> list[Effect]:
    """Discard an endpoint that was replaced, and break its attempts."""
    claimant_id = state.endpoints.contested.find_claimant(endpoint_id) or ""
    fields = (("endpoint", endpoint_id), ("claimant", claimant_id))
    effects: list[Effect] = [LogEvent("endpoint-replaced", fields)]
    return effects + _links.handle_replaced(state, endpoint_id, now_ms)
