"""Compact encoding of the counts of expert choices."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellusher_core.ranks import pack_counts, unpack_counts


@given(st.lists(st.integers(0, 10**9), min_size=1, max_size=300))
def test_decoded_counts_are_close_to_encoded_ones(counts):
    """Guards against decoded counts that differ from the measured ones.

    The planner would then balance loads that the group does not have.
    """
    decoded = unpack_counts(pack_counts(counts))
    largest = max(counts)
    if not largest:
        assert decoded == []
        return
    for count, value in zip(counts, decoded, strict=True):
        # Half a quantization step of the square root, plus the rounding of its square.
        step = (count * largest) ** 0.5 / 255 + largest / 255**2 + 1
        assert abs(count - value) <= 2 * step


@pytest.mark.parametrize("data", [b"", b"123", b"\0" * 7 + b"\1junk"])
def test_damaged_counts_raise_value_error(data):
    """Guards against damaged data that is decoded as counts."""
    with pytest.raises(ValueError):
        unpack_counts(data)
