"""Expert maps in a compact form.

Every rank of a group gets the whole map with each change, and bytes between failure
domains are dear.
"""

import struct
import zlib
from collections.abc import Iterator
from itertools import islice

from bluebellusher_core.ranks._state import ExpertMap

_SIZES = struct.Struct(">HH")
_NUMBER_BYTES = 2
# A map of 1,024 ranks with 64 experts in each of 128 layers has this size.
MAX_MAP_BYTES = 16 * 1024 * 1024


def pack_map(experts: ExpertMap) -> bytes:
    """Return a map by layer and rank in a compact form.

    Examples
    --------
    >>> unpack_map(pack_map((((0, 2), (1,)),)))
    (((0, 2), (1,)),)
    """
    n_ranks = len(experts[0]) if experts else 0
    numbers: list[int] = []
    for layer in experts:
        for held in layer:
            numbers += (len(held), *held)
    data = struct.pack(f">{len(numbers)}H", *numbers)
    return _SIZES.pack(len(experts), n_ranks) + zlib.compress(data)


def unpack_map(data: bytes) -> ExpertMap:
    """Return a map that ``pack_map`` has packed.

    Raises
    ------
    ValueError
        When the data was not made by ``pack_map``.
    """
    if len(data) < _SIZES.size:
        raise ValueError(f"{len(data)} bytes: expected at least {_SIZES.size}")
    n_layers, n_ranks = _SIZES.unpack_from(data)
    numbers = iter(_unpack_numbers(data[_SIZES.size :]))
    layers = tuple(
        tuple(_take_held(numbers) for _ in range(n_ranks)) for _ in range(n_layers)
    )
    if next(numbers, None) is not None:
        raise ValueError("map is longer than its sizes say")
    return layers


def _unpack_numbers(data: bytes) -> tuple[int, ...]:
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, MAX_MAP_BYTES)
    except zlib.error as error:
        raise ValueError(f"map cannot be unpacked: {error}") from None
    if not decompressor.eof or len(content) % _NUMBER_BYTES:
        raise ValueError("map is cut or too long")
    return struct.unpack(f">{len(content) // _NUMBER_BYTES}H", content)


def _take_held(numbers: Iterator[int]) -> tuple[int, ...]:
    n_held = next(numbers, None)
    if n_held is None:
        raise ValueError("map is shorter than its sizes say")
    held = tuple(islice(numbers, n_held))
    if len(held) < n_held:
        raise ValueError("map is shorter than its sizes say")
    return held
