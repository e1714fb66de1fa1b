"""Tests of the rate limit for log lines."""

from bluebellusher.observability import KeyValueLog
from bluebellusher.observability._log import LineLimiter


def test_burst_of_one_event_is_cut_and_counted():
    """Guards against a burst of one event that crowds out the other events."""
    limiter = LineLimiter(n_per_second=3)
    admitted = [limiter.admit("busy", 10.0 + i / 100)[0] for i in range(8)]
    assert admitted == [True] * 3 + [False] * 5
    assert limiter.admit("rare", 10.5) == (True, {})
    is_admitted, n_left_out_by_event = limiter.admit("busy", 11.0)
    assert is_admitted
    assert n_left_out_by_event == {"busy": 5}


def test_left_out_lines_are_counted_in_the_log():
    """Guards against a log that omits lines and does not count them."""
    lines = []

    class Writer:
        def write(self, text):
            lines.append(text)

    log = KeyValueLog("info", Writer())
    log._limiter = LineLimiter(n_per_second=1)
    for timestamp in (5.0, 5.1, 5.2, 6.0):
        log.write_message({"timestamp": timestamp, "message_type": "busy"})
    assert [line.split()[1] for line in lines] == [
        "event=busy",
        "event=log-limited",
        "event=busy",
    ]
    assert "n_lines=2" in lines[1]
