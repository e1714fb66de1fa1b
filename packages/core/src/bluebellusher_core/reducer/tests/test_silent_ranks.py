"""Ranks that send nothing while the other ranks of their group advance."""

from itertools import count

import pytest

from bluebellusher_core.effects import AbandonAttempt, BroadcastSilent, Dispatch
from bluebellusher_core.errors import Reason
from bluebellusher_core.events import (
    AttemptBroken,
    AttemptStarted,
    EndpointInfo,
    EndpointProgressed,
    EndpointRegistered,
    LoadReported,
    RequestArrived,
    SilentReceived,
)
from bluebellusher_core.reducer import EntryConfig, EntryState, reduce
from bluebellusher_core.reducer.tests._specs import make_spec

N_RANKS = 4
SILENT_ID = "x0"
GAP_MS = 100
FIRST_OUTPUT_MS = 200
# Time after which callers of a stream without an event leave, in ms.
CALLER_TIMEOUT_MS = 2_000
# Time to first output that a request needs at another rank, in ms.
RESTART_MS = 300


class Group:
    """Entry with one group of ranks, each of which streams one request at first.

    Parameters
    ----------
    gap_ms : int
        Time between two outputs of each stream, in ms.
    n_min_retries : int
        Initial tokens of the retry budget.
    spec_options : dict
        Options of the requests' descriptions.
    """

    def __init__(self, gap_ms=GAP_MS, n_min_retries=20, **spec_options):
        config = EntryConfig("e", n_min_retries=n_min_retries)
        self.state = EntryState.from_config(config)
        self.now_ms = 0
        self.effects = []
        self.dispatch_by_id = {}
        self.gap_ms = gap_ms
        self._numbers = count()
        self._sequence = count(1)
        self._spec_options = {"can_resume_elsewhere": True, **spec_options}
        for rank in range(N_RANKS):
            services = frozenset({"s"})
            info = EndpointInfo(
                f"x{rank}", "d", services, frozenset(), frozenset(), 4, 1
            )
            self.reduce(EndpointRegistered(info))
            self.report(f"x{rank}")

    @property
    def abandoned(self):
        """Abandoned attempts, in order."""
        return [e for e in self.effects if isinstance(e, AbandonAttempt)]

    @property
    def other_ids(self):
        """Ids of the ranks other than the silent one."""
        return [f"x{rank}" for rank in range(1, N_RANKS)]

    def reduce(self, event):
        """Apply an event, and keep its effects and dispatches."""
        effects = reduce(self.state, event, self.now_ms)
        self.effects += effects
        for effect in effects:
            if isinstance(effect, Dispatch):
                self.dispatch_by_id[effect.attempt_id] = effect
        return effects

    def report(self, endpoint_id):
        """Report an idle load of a rank."""
        models = frozenset()
        self.reduce(
            LoadReported(
                endpoint_id,
                next(self._sequence),
                0,
                0,
                0,
                4,
                0.0,
                models,
                models,
                0,
                True,
                "g",
                1,
                self.now_ms,
            )
        )

    def arrive(self):
        """Send a request and return its dispatch."""
        spec = make_spec(
            f"r{next(self._numbers)}",
            deadline_ms=self.now_ms + 60_000,
            **self._spec_options,
        )
        effects = self.reduce(RequestArrived(spec))
        return next(e for e in effects if isinstance(e, Dispatch))

    def start_streams(self):
        """Start a stream on every rank; return the dispatches by endpoint id."""
        dispatches = [self.arrive() for _ in range(N_RANKS)]
        self.now_ms += FIRST_OUTPUT_MS
        for dispatch in dispatches:
            self.start(dispatch)
        return {dispatch.endpoint_id: dispatch for dispatch in dispatches}

    def start(self, dispatch):
        """Produce the first output of an attempt."""
        self.reduce(AttemptStarted(dispatch.attempt_id, dispatch.endpoint_id))

    def break_abandoned(self):
        """End the abandoned attempts, as their relays do; return the effects."""
        effects = []
        for abandoned in self.abandoned:
            event = AttemptBroken(
                abandoned.attempt_id,
                Reason.CONNECTION_LOST,
                10,
                True,
                abandoned.endpoint_id,
            )
            effects += self.reduce(event)
        return effects

    def stream(self, endpoint_ids, duration_ms):
        """Produce outputs of one stream on each of the endpoints for a time."""
        for _ in range(duration_ms // self.gap_ms):
            self.now_ms += self.gap_ms
            for endpoint_id in endpoint_ids:
                self.reduce(EndpointProgressed(endpoint_id, self.gap_ms))

    def stream_all(self, duration_ms):
        """Produce outputs on every rank for a time."""
        self.stream([SILENT_ID, *self.other_ids], duration_ms)


def send_to_silent_rank(group):
    """Send requests until one is dispatched to the silent rank; return its dispatch."""
    for _ in range(4 * N_RANKS):
        dispatch = group.arrive()
        if dispatch.endpoint_id == SILENT_ID:
            return dispatch
        group.start(dispatch)
    raise AssertionError("no request was dispatched to the rank")


def test_stream_on_a_frozen_machine_moves_before_its_caller_leaves():
    """Guards against callers that leave a rank that sends nothing.

    The rank runs their requests when its machine resumes. Until then it does not
    receive that their connections were closed.
    """
    group = Group()
    dispatch_by_id = group.start_streams()
    group.stream_all(1_000)
    group.stream(group.other_ids, CALLER_TIMEOUT_MS - RESTART_MS)
    (abandoned,) = group.abandoned
    assert abandoned.attempt_id == dispatch_by_id[SILENT_ID].attempt_id
    effects = group.break_abandoned()
    (resumed,) = [e for e in effects if isinstance(e, Dispatch)]
    assert resumed.resume_offset == 10
    assert resumed.endpoint_id != SILENT_ID


def test_request_without_first_byte_moves_before_its_caller_leaves():
    """Guards against a request that waits for its first byte until its caller leaves.

    The timeout of a stream's next event does not include the time before the response
    begins.
    """
    group = Group()
    dispatch_by_id = group.start_streams()
    group.stream_all(1_000)
    silent_stream = dispatch_by_id[SILENT_ID]
    group.reduce(
        AttemptBroken(
            silent_stream.attempt_id, Reason.CONNECTION_LOST, 10, True, SILENT_ID
        )
    )
    waiting = send_to_silent_rank(group)
    group.stream(group.other_ids, CALLER_TIMEOUT_MS - RESTART_MS)
    assert waiting.attempt_id in [e.attempt_id for e in group.abandoned]


def test_silent_rank_gets_no_requests_until_it_reports():
    """Guards against new requests for a rank that seems idle since it is silent."""
    group = Group()
    group.start_streams()
    group.stream_all(1_000)
    group.stream(group.other_ids, 1_000)
    assert group.abandoned
    chosen_ids = {group.arrive().endpoint_id for _ in range(8)}
    assert SILENT_ID not in chosen_ids
    group.report(SILENT_ID)
    assert send_to_silent_rank(group)


def test_rank_whose_agent_ended_is_used_again():
    """Guards against a rank that is excluded for good since nobody reports for it."""
    group = Group()
    group.start_streams()
    group.stream_all(1_000)
    group.stream(group.other_ids, 1_000)
    group.break_abandoned()
    group.stream(group.other_ids, 4_000)
    assert send_to_silent_rank(group)


def test_silence_that_a_peer_found_moves_the_requests_of_this_entry():
    """Guards against an entry that has to find each frozen machine by itself.

    A request moved from one frozen machine to another leaves its caller no more time.
    """
    group = Group()
    group.start_streams()
    group.stream_all(1_000)
    group.stream(group.other_ids, 400)
    assert not group.abandoned
    waiting = send_to_silent_rank(group)
    group.reduce(SilentReceived("e2", (SILENT_ID, "unknown")))
    assert waiting.attempt_id in [e.attempt_id for e in group.abandoned]


def test_rank_that_just_sent_output_stays_in_use_whatever_a_peer_says():
    """Guards against work that a peer moves although only its own link is cut."""
    group = Group()
    group.start_streams()
    group.stream_all(1_000)
    group.reduce(SilentReceived("e2", (SILENT_ID,)))
    assert not group.abandoned
    assert send_to_silent_rank(group)


def test_request_does_not_move_to_another_frozen_machine():
    """Guards against a request that moves to a rank that is about to count as silent.

    Several machines may freeze at once, and a rank without own attempts is not known to
    be silent.
    """
    group = Group()
    dispatch_by_id = group.start_streams()
    group.stream_all(1_000)
    frozen_id = group.other_ids[0]
    unused = dispatch_by_id[frozen_id]
    group.reduce(
        AttemptBroken(unused.attempt_id, Reason.CONNECTION_LOST, 10, True, frozen_id)
    )
    group.stream(group.other_ids[1:], 1_000)
    moved = [e for e in group.break_abandoned() if isinstance(e, Dispatch)]
    assert moved
    assert not {e.endpoint_id for e in moved} & {SILENT_ID, frozen_id}


@pytest.mark.parametrize("stall_ms", [1_500, 4_000])
def test_group_that_makes_no_pass_has_no_silent_ranks(stall_ms):
    """Guards against work that starts again elsewhere because a group is stalled.

    After the stall, the ranks send their next outputs one after the other.
    """
    group = Group()
    group.start_streams()
    group.stream_all(1_000)
    group.now_ms += stall_ms
    for _ in range(3):
        for endpoint_id in [*group.other_ids, SILENT_ID]:
            group.reduce(EndpointProgressed(endpoint_id, stall_ms))
            group.now_ms += 5
    assert not group.abandoned


@pytest.mark.parametrize("gap_ms", [20, 100, 400, 800])
def test_slow_group_has_no_silent_ranks(gap_ms):
    """Guards against slow but sound streams that are cut.

    The rank sends each output at the end of a gap, after those of all other ranks.
    """
    group = Group(gap_ms)
    group.start_streams()
    for _ in range(40):
        group.stream(group.other_ids, gap_ms)
        group.now_ms += gap_ms // 2
        group.reduce(EndpointProgressed(SILENT_ID, gap_ms))
    assert not group.abandoned


def test_rank_that_reports_is_not_silent():
    """Guards against a long wait for a slot that counts as silence of the machine."""
    group = Group()
    dispatch_by_id = group.start_streams()
    group.stream_all(1_000)
    silent_stream = dispatch_by_id[SILENT_ID]
    group.reduce(
        AttemptBroken(
            silent_stream.attempt_id, Reason.CONNECTION_LOST, 10, True, SILENT_ID
        )
    )
    waiting = send_to_silent_rank(group)
    for _ in range(5):
        group.stream(group.other_ids, 600)
        group.report(SILENT_ID)
    assert waiting.attempt_id not in [e.attempt_id for e in group.abandoned]


def test_silence_of_an_agent_alone_moves_no_work():
    """Guards against running work that is given up because an agent reports nothing."""
    group = Group()
    group.start_streams()
    group.stream_all(10_000)
    assert not group.abandoned


def test_request_that_must_not_run_twice_stays_at_a_silent_rank():
    """Guards against a second run of a request that is not idempotent."""
    group = Group(is_idempotent=False)
    group.start_streams()
    group.stream_all(1_000)
    group.stream(group.other_ids, 3_000)
    assert not group.abandoned


def test_silent_ranks_share_the_retry_budget():
    """Guards against attempts that end at several ranks although one retry is paid for.

    The requests of the others would be rejected.
    """
    group = Group(n_min_retries=1)
    group.state.retry_budget.percent = 0
    group.start_streams()
    group.stream_all(1_000)
    group.stream([group.other_ids[-1]], 1_000)
    assert len(group.abandoned) == 1


def test_peers_are_not_told_of_a_rank_that_only_makes_requests_wait():
    """Guards against work that all entries move because one request waits for long.

    A rank whose attempts have not begun may be busy with long prompts.
    """
    group = Group()
    dispatch_by_id = group.start_streams()
    group.stream_all(1_000)
    silent_stream = dispatch_by_id[SILENT_ID]
    group.reduce(
        AttemptBroken(
            silent_stream.attempt_id, Reason.CONNECTION_LOST, 10, True, SILENT_ID
        )
    )
    send_to_silent_rank(group)
    group.stream(group.other_ids, CALLER_TIMEOUT_MS)
    assert group.abandoned
    assert not [e for e in group.effects if isinstance(e, BroadcastSilent)]


def test_silent_rank_ends_no_more_attempts_than_the_retry_budget_pays_for():
    """Guards against requests that are rejected although they may still be answered."""
    group = Group(n_min_retries=0)
    group.state.retry_budget.percent = 0
    group.start_streams()
    group.stream_all(1_000)
    group.stream(group.other_ids, 3_000)
    assert not group.abandoned
