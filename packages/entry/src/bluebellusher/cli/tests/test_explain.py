"""Tests of the command ``explain``."""

import pytest
from cleo.testers.application_tester import ApplicationTester

from bluebellusher.cli._main import build_application
from bluebellusher.cli.explain import explain, parse_line

ENTRY_LOG = """\
ts=100.000 event=started instance=e1
ts=100.100 event=configuration-in-force version=7 row_version=9
ts=100.200 event=endpoint-ready endpoint=x1 service=s
ts=100.300 event=endpoint-ready endpoint=x2 service=s
ts=101.000 event=request-arrived request=e1.r1 caller_attempt=9c41 service=s
ts=101.001 event=attempt-sent request=e1.r1 endpoint=x1 n_taken=3 report_age_ms=80
ts=101.002 event=request-arrived request=e1.r2 caller_attempt=77 service=s
ts=101.500 event=store-lost table=op reason="status 503"
ts=102.000 event=attempt-broken request=e1.r1 endpoint=x1 error=ClientPayloadError
ts=102.001 event=request-ended request=e1.r1 outcome=unknown status=502 reason=lost
ts=103.000 event=configuration-in-force version=8 row_version=20
"""


def parse_log(text):
    """Return the parsed lines of a log."""
    return [parse_line("a.log", line) for line in text.splitlines()]


@pytest.mark.parametrize("searched_id", ["e1.r1", "9c41"])
def test_request_is_found_by_its_id_and_by_the_attempt_id(searched_id):
    """Guards against a request that is not found by the caller's attempt id."""
    timeline = explain(searched_id, parse_log(ENTRY_LOG))
    events = [line.split("event=")[1].split()[0] for line in timeline[:4]]
    assert events == [
        "request-arrived",
        "attempt-sent",
        "attempt-broken",
        "request-ended",
    ]
    assert not any("e1.r2" in line for line in timeline)


def test_state_recorded_after_the_request_is_left_out():
    """Guards against events after the end of a request shown as its cause."""
    text = "\n".join(explain("e1.r1", parse_log(ENTRY_LOG)))
    assert "version=7" in text
    assert "version=8" not in text
    assert "store-lost" in text
    assert "recorded 0.501 s before" in text
    assert "endpoint=x2" not in text, "not an endpoint of this request"


RESTARTED_ENTRY_LOG = """\
ts=10.000 event=agent-lost peer=a0 error=shutdown
ts=20.000 event=started instance=e1
ts=20.100 event=agent-lost peer=a1 error=silent
ts=20.101 event=agent-lost peer=a2 error=silent
ts=20.150 event=agent-lost peer=a3 error=silent
ts=21.000 event=request-arrived request=e1.r1
ts=21.001 event=attempt-sent request=e1.r1 endpoint=x1
ts=23.000 event=request-ended request=e1.r1 outcome=caller_left
"""
OTHER_PROCESS_LOG = """\
ts=18.000 event=attempt-broken request=e2.r5 endpoint=x1
ts=20.500 event=map-order rank=x1 action=hold step=7
ts=20.600 event=map-order rank=x2 action=arm step=7
ts=20.700 event=map-order rank=x3 action=go step=6
ts=21.500 event=attempt-broken request=e2.r8 endpoint=x1
ts=21.600 event=attempt-finished request=e2.r9 endpoint=x2
ts=23.500 event=map-order rank=x1 action=go step=7
"""


def test_state_recorded_before_a_restart_is_left_out():
    """Guards against connections lost before a restart shown as a cause."""
    text = "\n".join(explain("e1.r1", parse_log(RESTARTED_ENTRY_LOG)))
    assert "peer=a0" not in text
    assert "event=started" in text


def test_adjacent_lines_of_one_event_are_merged():
    """Guards against many lost agents that crowd out the other recorded state."""
    timeline = explain("e1.r1", parse_log(RESTARTED_ENTRY_LOG))
    lines = [line for line in timeline if "agent-lost" in line]
    assert len(lines) == 1
    assert "peer=a1" in lines[0]
    assert lines[0].endswith("(also a2, a3)")


def test_events_of_other_processes_at_the_endpoint_are_counted():
    """Guards against a missed cause that only logs of other processes contain."""
    timeline = explain("e1.r1", parse_log(RESTARTED_ENTRY_LOG + OTHER_PROCESS_LOG))
    assert "x1: 1 attempt-broken, 1 attempt-sent" in timeline
    assert [line for line in timeline if "map-order" in line] == [
        "20.500 ts=20.500 event=map-order rank=x1 action=hold step=7",
        "20.700 ts=20.700 event=map-order rank=x3 action=go step=6",
    ]


def test_lines_that_are_not_log_lines_are_skipped():
    """Guards against a failure of the command on a traceback in a log."""
    for text in ("", "Traceback (most", 'a="open', "event=x", "ts=soon event=x"):
        assert parse_line("a.log", text) is None


def test_exit_code_shows_whether_the_request_was_found(tmp_path):
    """Guards against exit code 0 for an unknown request or an unreadable file."""
    path = tmp_path / "a.log"
    path.write_text(ENTRY_LOG)
    tester = ApplicationTester(build_application())
    assert tester.execute(f"explain e1.r1 {path}") == 0
    assert tester.execute(f"explain e1.r9 {path}") == 1
    assert tester.execute(f"explain e1.r1 {tmp_path}/missing.log") == 2


EVACUATION_LOG = """\
ts=10.000 event=started instance=e1 domain=d1
ts=20.000 event=domain-evacuated domain=d1 row_version=7 took_ms=1
ts=20.001 event=domain-evacuated domain=d2 row_version=8 took_ms=1
ts=20.500 event=domain-restored domain=d2 row_version=9 took_ms=1
ts=21.000 event=request-arrived request=e1.r1
ts=21.001 event=request-ended request=e1.r1 outcome=not_run reason=domain_evacuated
ts=22.000 event=domain-evacuated domain=d3 row_version=11 took_ms=1
"""


def test_evacuated_domains_are_shown():
    """Guards against a rejection whose cause is not in the timeline."""
    text = "\n".join(explain("e1.r1", parse_log(EVACUATION_LOG)))
    assert "reason=domain_evacuated" in text
    assert "domain-evacuated domain=d1 row_version=7" in text
    assert "domain-restored domain=d2 row_version=9" in text
    assert "d3" not in text
