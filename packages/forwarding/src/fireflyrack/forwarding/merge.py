"""Merge of the records of shards."""

from __future__ import annotations

import heapq
from collections.abc import Iterable

RECORD_BYTES = 16


def split_records(body: bytes) -> list[bytes]:
    """Return the records of a response; a remainder is not a record."""
    end = len(body) - len(body) % RECORD_BYTES
    return [body[i : i + RECORD_BYTES] for i in range(0, end, RECORD_BYTES)]


def top_records(bodies: Iterable[bytes], limit: int) -> bytes:
    """Return the greatest records of all responses, falling; equal ones all count."""
    records = [record for body in bodies for record in split_records(body)]
    return b"".join(heapq.nlargest(limit, records))
