"""Change of the queues when a configuration lets priorities compete."""

from bluebellusher_core.admission import ObjectiveQueue, PriorityQueue
from bluebellusher_core.directory import GapObjective
from bluebellusher_core.effects import Dispatch, LogEvent, Reject
from bluebellusher_core.events import (
    EndpointInfo,
    EndpointRegistered,
    ObjectivesChanged,
    RequestArrived,
)
from bluebellusher_core.membership.tests.test_running_limits import ENGINE
from bluebellusher_core.reducer import EntryConfig, EntryState, reduce
from bluebellusher_core.reducer.tests._specs import make_spec

OBJECTIVES = ObjectivesChanged({"s": GapObjective(ENGINE, 150)})


def make_state():
    """Return an entry with one endpoint of five slots."""
    state = EntryState.from_config(EntryConfig("e"), make_queue=ObjectiveQueue)
    none = frozenset()
    info = EndpointInfo("x", "d", frozenset({"s"}), none, none, 5)
    reduce(state, EndpointRegistered(info), 0)
    return state


def arrive(state, n_first, n_last):
    """Let requests arrive at time 10 and return the effects."""
    effects = []
    for number in range(n_first, n_last):
        spec = make_spec(f"r{number}")
        effects += reduce(state, RequestArrived(spec), 10)
    return effects


def count(effects, kind):
    """Return the number of effects of a type."""
    return sum(isinstance(effect, kind) for effect in effects)


def test_waiting_requests_are_answered_once_across_the_change():
    """Guards against requests that a replaced queue loses or runs twice."""
    state = make_state()
    effects = arrive(state, 0, 8)
    assert count(effects, Dispatch) == 5
    effects += reduce(state, OBJECTIVES, 20)
    (queue,) = state.queue_by_pool.values()
    assert isinstance(queue, PriorityQueue)
    assert len(queue) + count(effects, Dispatch) + count(effects, Reject) == 8
    effects += reduce(state, ObjectivesChanged({}), 30)
    (queue,) = state.queue_by_pool.values()
    assert isinstance(queue, ObjectiveQueue)
    assert len(queue) + count(effects, Dispatch) + count(effects, Reject) == 8
    names = [e.name for e in effects if isinstance(e, LogEvent)]
    assert names.count("overload-control-applied") == 1
    assert names.count("overload-control-ended") == 1


def test_other_services_are_served_as_before():
    """Guards against limits on services for which priorities do not compete."""
    state = make_state()
    reduce(state, ObjectivesChanged({"other": GapObjective(ENGINE, 150)}), 0)
    assert count(arrive(state, 0, 8), Dispatch) == 5
    (queue,) = state.queue_by_pool.values()
    assert isinstance(queue, ObjectiveQueue)


def test_limit_leaves_slots_of_an_endpoint_free():
    """Guards against more running requests than keep the gaps of streams."""
    state = make_state()
    reduce(state, ObjectivesChanged({"s": GapObjective(ENGINE, 90)}), 0)
    assert 0 < count(arrive(state, 0, 8), Dispatch) < 5
