"""Merge of the records from the shards of a search."""

from __future__ import annotations

import heapq
from collections.abc import Iterable

RECORD_BYTES = 16


def split_records(body: bytes) -> list[bytes]:
    """Split a response body into records; an incomplete last record is ignored."""
    end = len(body) - len(body) % RECORD_BYTES
    return [body[i : i + RECORD_BYTES] for i in range(0, end, RECORD_BYTES)]


def top_records(bodies: Iterable[bytes], limit: int) -> bytes:
    """Return the top records of all responses, descending and with duplicates."""
    records = [record for body in bodies for record in split_records(body)]
    return b"".join(heapq.nlargest(limit, records))
