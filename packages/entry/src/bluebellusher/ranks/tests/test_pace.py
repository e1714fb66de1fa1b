"""Pace of a rank in the reports of its agent."""

from math import inf, nan

import pytest

from bluebellusher.ranks._links import MAX_PACE, _read_pace


@pytest.mark.parametrize(
    ("reported", "expected"),
    [
        (None, 1.0),
        (nan, 1.0),
        (inf, 1.0),
        (-3.0, 1.0),
        (0.4, 1.0),
        (1.1, 1.0),
        (5.0, 5.0),
        (1e9, MAX_PACE),
    ],
)
def test_invalid_and_usual_paces_are_ignored(reported, expected):
    """Guards against plans and routing that follow noise or an invalid report."""
    assert _read_pace(reported) == expected
