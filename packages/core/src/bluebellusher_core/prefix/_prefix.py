"""Prompt text of a chat request and the hashes of its blocks."""

import hashlib
from collections.abc import Mapping
from typing import Any

# Default size of a prompt block.
BLOCK_BYTES = 64


def read_prompt(body: Mapping[str, Any]) -> bytes:
    """Return the roles and contents of all messages of a chat request, as UTF-8.

    Raises
    ------
    ValueError
        When ``messages`` is not a list of objects.
    """
    messages = body.get("messages", [])
    if not isinstance(messages, list):
        raise ValueError("messages: expected a list")
    parts = []
    for message in messages:
        if not isinstance(message, Mapping):
            raise ValueError("messages: expected a list of objects")
        parts.append(f"{message.get('role', '')}:{message.get('content', '')}\n")
    return "".join(parts).encode("utf-8", "surrogatepass")


def compute_prefix_hashes(
    model: str, prompt: bytes, block_bytes: int = BLOCK_BYTES
) -> tuple[int, ...]:
    """Return one hash for each full block of ``block_bytes`` bytes of a prompt.

    Each hash covers the model, the block and all blocks before it, because an engine
    can reuse a cached block only for the same model and the same prefix. Hashes are
    non-negative 63-bit numbers, so that they fit a signed i64 field of a message.

    Examples
    --------
    >>> first = compute_prefix_hashes("m", b"a" * 128)
    >>> second = compute_prefix_hashes("m", b"a" * 64 + b"b" * 70)
    >>> (len(first), len(second), first[0] == second[0], first[1] == second[1])
    (2, 2, True, False)
    """
    digest = hashlib.blake2b(model.encode("utf-8", "surrogatepass"), digest_size=8)
    digest.update(b"\0")
    hashes = []
    for end in range(block_bytes, len(prompt) + 1, block_bytes):
        digest.update(prompt[end - block_bytes : end])
        hashes.append(int.from_bytes(digest.digest(), "big") >> 1)
    return tuple(hashes)
