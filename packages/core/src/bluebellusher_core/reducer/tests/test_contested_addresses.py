"""Endpoints whose address another endpoint has registered as well."""

import pytest

from bluebellusher_core.effects import CancelAttempt, Dispatch, LogEvent
from bluebellusher_core.errors import Reason
from bluebellusher_core.events import (
    AttemptBroken,
    AttemptFinished,
    AttemptRefused,
    AttemptStarted,
    EndpointConfirmed,
    EndpointDraining,
    EndpointInfo,
    EndpointLost,
    EndpointProgressed,
    EndpointRegistered,
    LoadReported,
    RequestArrived,
    Usage,
)
from bluebellusher_core.reducer import EntryConfig, EntryState, reduce
from bluebellusher_core.reducer.tests._specs import make_spec


def make_info(endpoint_id, incarnation, service="s"):
    """Return the registration of an endpoint with 4 slots."""
    services = frozenset({service})
    return EndpointInfo(
        endpoint_id, "d", services, frozenset(), frozenset(), 4, incarnation
    )


class Contest:
    """Entry with the endpoint ``x``, whose address ``y`` registers later."""

    def __init__(self, n_running=0, service="s", **options):
        self.state = EntryState.from_config(EntryConfig("e", **options))
        self.now_ms = 0
        self.events = []
        self.n_sent = 0
        self.handle(EndpointRegistered(make_info("x", 100)))
        self.running = [self.send() for _ in range(n_running)]
        self.now_ms = 10
        self.claim("x", make_info("y", 200, service))

    def handle(self, event):
        """Apply an event a ms later; return its effects."""
        self.now_ms += 1
        effects = reduce(self.state, event, self.now_ms)
        self.events += [e.name for e in effects if isinstance(e, LogEvent)]
        return effects

    def claim(self, endpoint_id, info):
        """Register an endpoint at the address of another one."""
        self.handle(EndpointRegistered(info, claimed_id=endpoint_id))

    def send(self):
        """Send a request; return its dispatch, or None."""
        self.n_sent += 1
        effects = self.handle(RequestArrived(make_spec(f"r{self.n_sent}")))
        return next((e for e in effects if isinstance(e, Dispatch)), None)

    def refuse(self, dispatch, reason=Reason.ENDPOINT_DRAINING):
        """Answer an attempt with a refusal; return where its request goes next."""
        effects = self.handle(
            AttemptRefused(dispatch.attempt_id, reason, 0, dispatch.endpoint_id, True)
        )
        return next((e.endpoint_id for e in effects if isinstance(e, Dispatch)), None)

    def answer(self, dispatch, status=200):
        """Answer an attempt; return the effects."""
        usage = Usage()
        return self.handle(
            AttemptFinished(dispatch.attempt_id, status, 1, usage, dispatch.endpoint_id)
        )

    def find_used(self):
        """Return the endpoints that the next 8 requests are sent to at once."""
        dispatches = [self.send() for _ in range(8)]
        return sorted(d.endpoint_id for d in dispatches if d is not None)


def test_registration_alone_ends_no_attempt():
    """Guards against runs that are cut because of a row of another writer."""
    contest = Contest(n_running=2)
    assert len(contest.state.attempt_by_id) == 2
    effects = contest.answer(contest.running[0])
    assert not any(isinstance(e, CancelAttempt) for e in effects)
    assert contest.events == ["address-contested", "endpoint-confirmed"]


def test_claimant_gets_the_attempts_until_it_answers():
    """Guards against requests to an endpoint that has been replaced."""
    contest = Contest()
    first = contest.send()
    assert first.endpoint_id == "y"
    assert contest.find_used() == []
    contest.answer(first)
    assert len(contest.state.attempt_by_id) == 4
    assert "x" not in contest.state.endpoints.view_by_id


def test_claimant_that_reports_its_load_gets_all_attempts():
    """Guards against a service that waits after all its endpoints have restarted."""
    contest = Contest()
    report = LoadReported("y", 1, 0, 0, 0, 4, 0.0, frozenset(), frozenset(), 0)
    contest.handle(report)
    assert contest.find_used() == ["y"] * 4


def test_claimants_that_do_not_exist_cost_no_more_retries_than_allowed():
    """Guards against requests that are rejected because of rows of another writer.

    The rows name the addresses of all endpoints, and the budget pays for one retry.
    """
    contest = Contest(n_min_retries=1, retry_percent=0)
    contest.handle(EndpointRegistered(make_info("x2", 100)))
    contest.claim("x2", make_info("y2", 200))
    first = contest.send()
    assert contest.find_used() == []
    running_id = contest.refuse(first)
    assert running_id == f"x{first.endpoint_id[1:]}"
    endpoint_ids = {a.endpoint_id for a in contest.state.attempt_by_id.values()}
    assert endpoint_ids == {running_id}


def test_endpoint_is_used_again_when_the_claimant_does_not_run():
    """Guards against a service that is lost to a row of another writer."""
    contest = Contest()
    first = contest.send()
    assert first.endpoint_id == "y"
    assert contest.refuse(first) == "x"
    assert contest.find_used() == ["x"] * 3


@pytest.mark.parametrize(
    "make_event",
    [
        lambda contest: EndpointConfirmed("x"),
        lambda contest: EndpointDraining("y"),
        lambda contest: EndpointLost("y"),
        lambda contest: EndpointProgressed("x", 20),
        lambda contest: AttemptStarted(contest.running[0].attempt_id, "x"),
        lambda contest: LoadReported(
            "x", 1, 1, 0, 0, 4, 0.0, frozenset(), frozenset(), 0
        ),
    ],
    ids=["registration", "drained", "lost", "progress", "output", "report"],
)
def test_evidence_that_the_endpoint_runs_ends_the_contest(make_event):
    """Guards against an endpoint that stays unused although it is known to run."""
    contest = Contest(n_running=1)
    contest.handle(make_event(contest))
    used = contest.find_used()
    # The claimant gets no more than one attempt, because it may not exist.
    assert used.count("x") == 3
    assert used.count("y") <= 1


def test_answer_of_the_claimant_shows_that_the_endpoint_was_replaced():
    """Guards against callers that wait for an endpoint that has ended."""
    contest = Contest(n_running=1)
    effects = contest.answer(contest.send())
    running = contest.running[0]
    assert CancelAttempt(running.attempt_id, "x") in effects
    assert [e.endpoint_id for e in effects if isinstance(e, Dispatch)] == ["y"]
    assert "x" not in contest.state.endpoints.view_by_id
    assert contest.events[:2] == ["address-contested", "endpoint-replaced"]


@pytest.mark.parametrize("status", [400, 500])
def test_error_of_the_claimant_shows_nothing(status):
    """Guards against attempts that are cut because of an unspecific error."""
    contest = Contest(n_running=1)
    contest.answer(contest.send(), status)
    assert contest.running[0].attempt_id in contest.state.attempt_by_id


def test_refusal_because_of_load_shows_nothing():
    """Guards against attempts that are cut when a full endpoint refuses another one.

    It may do so before it looks at the endpoint that the attempt is meant for.
    """
    contest = Contest(n_running=1)
    contest.refuse(contest.send(), Reason.ENDPOINT_FULL)
    assert contest.running[0].attempt_id in contest.state.attempt_by_id
    assert contest.events == ["address-contested"]


def test_later_claimant_replaces_all_earlier_ones():
    """Guards against use of an endpoint whose successor was replaced as well."""
    contest = Contest(n_running=1)
    contest.claim("y", make_info("z", 300))
    contest.answer(contest.send())
    assert list(contest.state.endpoints.view_by_id) == ["z"]


def test_endpoint_whose_claimant_serves_another_service_gets_one_attempt():
    """Guards against a service that waits for an answer that nothing asks for.

    Without an answer of the endpoint, at most one request is sent to it at a time.
    """
    contest = Contest(service="other")
    assert contest.find_used() == ["x"]
    contest.handle(AttemptStarted(next(iter(contest.state.attempt_by_id)), "x"))
    assert len(contest.state.attempt_by_id) == 4


def test_broken_attempt_at_a_contested_endpoint_is_followed_by_one_other():
    """Guards against many requests to an endpoint that does not answer."""
    contest = Contest(service="other")
    first = contest.send()
    assert contest.find_used() == []
    contest.handle(
        AttemptBroken(first.attempt_id, Reason.CONNECTION_LOST, 0, False, "x")
    )
    assert len(contest.state.attempt_by_id) == 1


def test_replaced_endpoint_is_given_up_after_its_refusal():
    """Guards against more than one request to an endpoint that no longer runs."""
    contest = Contest(n_running=1, service="other")
    contest.refuse(contest.send())
    assert list(contest.state.endpoints.view_by_id) == ["y"]
    assert not contest.state.attempt_by_id
    assert contest.events[:2] == ["address-contested", "endpoint-replaced"]


@pytest.mark.parametrize("is_refused", [False, True])
def test_claimant_that_was_refuted_contests_no_address_again(is_refused):
    """Guards against a service that is lost while another writer repeats its rows.

    The budget pays for one retry.
    """
    contest = Contest(n_running=1, n_min_retries=1, retry_percent=0)
    if is_refused:
        contest.refuse(contest.send())
    else:
        contest.handle(EndpointProgressed("x", 20))
    for incarnation in range(300, 310):
        contest.claim("x", make_info("y", incarnation))
        contest.find_used()
        attempts = list(contest.state.attempt_by_id.values())
        used = [attempt.endpoint_id for attempt in attempts]
        assert used.count("x") == 4
        assert used.count("y") <= (0 if is_refused else 1)
        for attempt in attempts:
            if attempt.endpoint_id == "x":
                contest.answer(attempt)
    assert contest.events.count("address-contested") == 1, "logged without a contest"


def test_claim_to_the_address_of_an_unknown_endpoint_contests_nothing():
    """Guards against a limit on an endpoint whose predecessor has left long ago."""
    contest = Contest()
    contest.refuse(contest.send())
    contest.claim("unknown", make_info("z", 300))
    assert contest.find_used() == ["x"] * 3 + ["z"] * 4


def test_claimant_gets_one_of_the_waiting_requests():
    """Guards against many refusals at once when requests wait for an endpoint."""
    contest = Contest(service="other")
    contest.find_used()
    contest.claim("x", make_info("z", 300))
    used = [a.endpoint_id for a in contest.state.attempt_by_id.values()]
    assert used == ["x", "z"]
