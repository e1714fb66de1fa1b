"""Compact encoding of the counts of expert choices.

Leaders request these counts several times a second, and traffic between failure domains
is expensive. Each count is encoded in one byte, as the square root of its ratio to the
largest count. Counts down to a thousandth of the largest one keep a relative precision
of a few percent.
"""

import struct
import zlib
from collections.abc import Sequence
from math import sqrt

_HEADER = struct.Struct(">Q")
_MAX_ROOT = 255


def pack_counts(counts: Sequence[int]) -> bytes:
    """Encode counts as bytes; negative counts are encoded as 0.

    Examples
    --------
    >>> unpack_counts(pack_counts([100, 0, 25, 1]))
    [100, 0, 25, 1]
    """
    largest = max(counts, default=0)
    if largest <= 0:
        return _HEADER.pack(0)
    roots = bytes(round(sqrt(max(0, n) / largest) * _MAX_ROOT) for n in counts)
    return _HEADER.pack(largest) + zlib.compress(roots, 1)


def unpack_counts(data: bytes) -> list[int]:
    """Decode the result of ``pack_counts``.

    The counts are rounded to the precision of the encoding. The list is empty when all
    counts were 0.

    Raises
    ------
    ValueError
        When the data is not a result of ``pack_counts``.
    """
    if len(data) < _HEADER.size:
        raise ValueError(f"{len(data)} bytes: expected at least {_HEADER.size}")
    (largest,) = _HEADER.unpack_from(data)
    if not largest:
        return []
    try:
        roots = zlib.decompress(data[_HEADER.size :])
    except zlib.error as error:
        raise ValueError(f"counts cannot be decompressed: {error}") from None
    return [round(largest * root * root / (_MAX_ROOT * _MAX_ROOT)) for root in roots]
