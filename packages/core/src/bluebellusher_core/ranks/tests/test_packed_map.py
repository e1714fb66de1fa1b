"""Compact encoding of expert maps."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellusher_core.ranks import pack_map, unpack_map

RANK_EXPERTS = st.lists(st.integers(0, 65_535), max_size=6).map(tuple)


@st.composite
def maps(draw):
    """Draw a map of 1 to 4 layers and 1 to 5 ranks."""
    n_ranks = draw(st.integers(1, 5))
    layer = st.lists(RANK_EXPERTS, min_size=n_ranks, max_size=n_ranks).map(tuple)
    return tuple(draw(st.lists(layer, min_size=1, max_size=4)))


@given(maps())
def test_decoded_map_equals_encoded_map(expert_map):
    """Guards against ranks that load other experts than the leader planned."""
    assert unpack_map(pack_map(expert_map)) == expert_map


@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_value_error(data):
    """Guards against an agent that crashes on a malformed order."""
    try:
        unpack_map(data)
    except ValueError:
        return


@pytest.mark.parametrize("n_cut_bytes", [1, 5, 20])
def test_truncated_map_raises_value_error(n_cut_bytes):
    """Guards against a truncated map that is accepted without its last ranks."""
    encoded = pack_map((((0, 1), (2, 3), (4,)),) * 3)
    with pytest.raises(ValueError, match=r"map|bytes"):
        unpack_map(encoded[:-n_cut_bytes])


def test_map_of_a_large_group_is_encoded_in_few_bytes():
    """Guards against orders that are larger than the requests of their group.

    The map has the size of 12 layers of 256 experts on 64 ranks, with 5 replicas on
    each rank. With four bytes per number its encoding took 19 kB.
    """
    layer = tuple(tuple(range(rank, 320, 64)) for rank in range(64))
    assert len(pack_map((layer,) * 12)) < 5_000
