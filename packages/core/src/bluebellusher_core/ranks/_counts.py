"""Counts of chosen experts in a compact form.

Leaders ask for counts several times a second, and bytes between failure domains are
dear. Shares are sent as square roots in one byte each, which keeps a relative precision
of some percent down to a thousandth of the largest count.
"""

import struct
import zlib
from collections.abc import Sequence
from math import sqrt

_LARGEST = struct.Struct(">Q")
_SCALE = 255


def pack_counts(counts: Sequence[int]) -> bytes:
    """Return counts in a compact form; negative ones count as 0.

    Examples
    --------
    >>> unpack_counts(pack_counts([100, 0, 25, 1]))
    [100, 0, 25, 1]
    """
    largest = max(counts, default=0)
    if largest <= 0:
        return _LARGEST.pack(0)
    roots = bytes(round(sqrt(max(0, n) / largest) * _SCALE) for n in counts)
    return _LARGEST.pack(largest) + zlib.compress(roots, 1)


def unpack_counts(data: bytes) -> list[int]:
    """Return the counts, rounded as ``pack_counts`` did; empty when all were 0.

    Raises
    ------
    ValueError
        When the data was not made by ``pack_counts``.
    """
    if len(data) < _LARGEST.size:
        raise ValueError(f"{len(data)} bytes: expected at least {_LARGEST.size}")
    (largest,) = _LARGEST.unpack_from(data)
    if not largest:
        return []
    try:
        roots = zlib.decompress(data[_LARGEST.size :])
    except zlib.error as error:
        raise ValueError(f"counts cannot be unpacked: {error}") from None
    return [round(largest * root * root / (_SCALE * _SCALE)) for root in roots]
