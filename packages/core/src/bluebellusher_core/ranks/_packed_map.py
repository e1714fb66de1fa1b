"""Compact encoding of expert maps.

Every rank of a group receives the whole map with each change, and traffic between
failure domains is expensive.
"""

import struct
import zlib
from collections.abc import Iterator
from itertools import islice

from bluebellusher_core.ranks._state import ExpertMap

_HEADER = struct.Struct(">HH")
_NUMBER_BYTES = 2
# Limit of the decompressed size, in bytes. A map of 1,024 ranks with 64 experts each in
# 128 layers has this size.
MAX_MAP_BYTES = 16 * 1024 * 1024


def pack_map(expert_map: ExpertMap) -> bytes:
    """Encode a map as bytes.

    Examples
    --------
    >>> unpack_map(pack_map((((0, 2), (1,)),)))
    (((0, 2), (1,)),)
    """
    n_ranks = len(expert_map[0]) if expert_map else 0
    numbers: list[int] = []
    for layer in expert_map:
        for experts in layer:
            numbers += (len(experts), *experts)
    data = struct.pack(f">{len(numbers)}H", *numbers)
    return _HEADER.pack(len(expert_map), n_ranks) + zlib.compress(data)


def unpack_map(data: bytes) -> ExpertMap:
    """Decode the result of ``pack_map``.

    Raises
    ------
    ValueError
        When the data is not a result of ``pack_map``.
    """
    if len(data) < _HEADER.size:
        raise ValueError(f"{len(data)} bytes: expected at least {_HEADER.size}")
    n_layers, n_ranks = _HEADER.unpack_from(data)
    numbers = iter(_unpack_numbers(data[_HEADER.size :]))
    layers = tuple(
        tuple(_read_experts(numbers) for _ in range(n_ranks)) for _ in range(n_layers)
    )
    if next(numbers, None) is not None:
        raise ValueError("map has more numbers than its header declares")
    return layers


def _unpack_numbers(data: bytes) -> tuple[int, ...]:
    """Decompress the 16-bit numbers that follow the header of an encoded map."""
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, MAX_MAP_BYTES)
    except zlib.error as error:
        raise ValueError(f"map cannot be decompressed: {error}") from None
    if not decompressor.eof or len(content) % _NUMBER_BYTES:
        raise ValueError("map is truncated or too long")
    return struct.unpack(f">{len(content) // _NUMBER_BYTES}H", content)


def _read_experts(numbers: Iterator[int]) -> tuple[int, ...]:
    """Read the experts of one rank in one layer: their number, then each index."""
    n_experts = next(numbers, None)
    if n_experts is None:
        raise ValueError("map has fewer numbers than its header declares")
    experts = tuple(islice(numbers, n_experts))
    if len(experts) < n_experts:
        raise ValueError("map has fewer numbers than its header declares")
    return experts
