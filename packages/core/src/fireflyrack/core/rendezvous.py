"""Rendezvous (highest random weight) hashing."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def weight(key: str, member: str) -> int:
    """Return the 64-bit weight of a member for a key."""
    # Without the separator, ("a", "bc") and ("ab", "c") would have the same weight.
    data = f"{key}\x00{member}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def rank(key: str, members: Iterable[str]) -> tuple[str, ...]:
    """Return the members from highest to lowest weight for a key."""
    return tuple(sorted(members, key=lambda m: (weight(key, m), m), reverse=True))


def highest_ranked(key: str, members: Iterable[str]) -> str | None:
    """Return the member with the highest weight, or None without members."""
    return max(members, key=lambda m: (weight(key, m), m), default=None)
