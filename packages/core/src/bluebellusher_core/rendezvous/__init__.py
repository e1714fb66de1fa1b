"""Rendezvous hashing: all processes with the same member list choose the same member.

The choice depends only on the key and the ids of the members.
"""

from collections.abc import Iterable
from hashlib import blake2b

__all__ = ["choose", "score"]


def score(key: str, member_id: str) -> bytes:
    """Return the score of a member for a key; the member with the lowest is chosen."""
    return blake2b(f"{key}\0{member_id}".encode(), digest_size=8).digest()


def choose(key: str, member_ids: Iterable[str]) -> str | None:
    """Return the member that a key is assigned to, or None without members.

    Examples
    --------
    >>> choose("k", ["a", "b"]) == choose("k", ["b", "a"])
    True
    """
    return min(member_ids, key=lambda member_id: score(key, member_id), default=None)
