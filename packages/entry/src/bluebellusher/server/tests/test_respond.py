"""Status codes of rejected requests."""

import pytest

from bluebellusher.server._respond import choose_status, to_status_code
from bluebellusher_core.errors import NOT_RUN_STATUSES, Outcome, Reason, Rejection


@pytest.mark.parametrize("reason", Reason)
def test_request_that_may_have_run_is_not_rejected_as_not_run(reason):
    """Guards against a caller that repeats a request which may have run."""
    rejection = Rejection(Outcome.UNKNOWN, reason, "attempt")
    assert choose_status(rejection) not in NOT_RUN_STATUSES
    rejection = Rejection(Outcome.NOT_RUN, reason, "attempt")
    assert choose_status(rejection) == to_status_code(reason)
