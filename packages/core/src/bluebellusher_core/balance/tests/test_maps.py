"""Conversion between expert maps and placements."""

from hypothesis import given
from hypothesis import strategies as st

from bluebellusher_core.balance import to_expert_map, to_placement

PLACEMENTS = st.lists(
    st.lists(
        st.sets(st.integers(0, 3), min_size=1).map(lambda s: tuple(sorted(s))),
        min_size=5,
        max_size=5,
    ).map(tuple),
    min_size=1,
    max_size=3,
).map(tuple)


@given(PLACEMENTS)
def test_conversions_are_inverse(placement):
    """Guards against a map that assigns an expert to another rank than planned."""
    layers = to_expert_map(placement, 4)
    experts_by_rank = {rank: [layer[rank] for layer in layers] for rank in range(4)}
    assert to_placement(experts_by_rank, len(placement), 5) == placement


def test_incomplete_map_has_no_placement():
    """Guards against a plan that starts from an incomplete map."""
    assert to_placement({0: [[0, 2]]}, 1, 3) is None
