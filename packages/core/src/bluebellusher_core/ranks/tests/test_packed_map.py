"""Expert maps in their compact form."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellusher_core.ranks import pack_map, unpack_map

HELD = st.lists(st.integers(0, 65_535), max_size=6).map(tuple)


@st.composite
def maps(draw):
    """Return a map of some layers and ranks."""
    n_ranks = draw(st.integers(1, 5))
    layer = st.lists(HELD, min_size=n_ranks, max_size=n_ranks).map(tuple)
    return tuple(draw(st.lists(layer, min_size=1, max_size=4)))


@given(maps())
def test_map_comes_back_unchanged(experts):
    """Guards against ranks that hold other experts than the leader planned."""
    assert unpack_map(pack_map(experts)) == experts


@given(st.binary(max_size=200))
def test_foreign_bytes_raise_a_value_error(data):
    """Guards against one malformed order that takes an agent down."""
    try:
        unpack_map(data)
    except ValueError:
        return


@pytest.mark.parametrize("cut", [1, 5, 20])
def test_cut_map_is_refused(cut):
    """Guards against a map that loses its last ranks on the way."""
    packed = pack_map((((0, 1), (2, 3), (4,)),) * 3)
    with pytest.raises(ValueError, match=r"map|bytes"):
        unpack_map(packed[:-cut])


def test_map_of_a_large_group_takes_few_bytes():
    """Guards against orders that are larger than the requests of their group.

    12 layers of 256 experts on 64 ranks; four bytes a number took 19 kB.
    """
    layer = tuple(tuple(range(rank, 320, 64)) for rank in range(64))
    assert len(pack_map((layer,) * 12)) < 5_000
