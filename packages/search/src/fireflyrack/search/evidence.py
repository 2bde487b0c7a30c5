"""Compact encoding of which backend server answered which shards."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from fireflyrack.configuration import Partition
from fireflyrack.core import EMPTY, ShardSet

REPLICA_DIGITS = "0123456789abcdefghijklmnopqrstuvwxyz"
# Marks a placement that no backend server answered.
UNANSWERED_MARK = "-"
# Marks a placement answered by several backend servers or by one outside of it.
LISTED_MARK = "*"
# Listed entries; a digest replaces any further ones, so that the record stays under
# a few kilobytes.
MAX_LISTED = 32


@dataclass(frozen=True, slots=True)
class AnsweringServers:
    """Backend servers that answered the shards of a partition.

    `replicas` has one character for each placement of the partition: the index of
    the replica that answered all of its shards, or a mark. `listed` maps backend
    servers to the shards they answered in placements marked `*`.
    """

    replicas: str
    listed: tuple[tuple[str, ShardSet], ...] = ()
    omitted: int = 0
    # SHA-256 of the omitted entries; empty if there are none.
    omitted_digest: str = ""


def encode_answers(
    partition: Partition, answered: Iterable[tuple[str, ShardSet]]
) -> AnsweringServers:
    """Encode which shards each backend server answered."""
    by_server: dict[str, ShardSet] = {}
    for server, shards in answered:
        by_server[server] = by_server.get(server, EMPTY) | shards
    marks = []
    listed_shards = EMPTY
    covered = EMPTY
    for shards in by_server.values():
        covered |= shards
    for placement in partition.placement:
        mark = UNANSWERED_MARK
        if placement.shards & covered:
            mark = LISTED_MARK
            numbered = zip(REPLICA_DIGITS, placement.replicas, strict=False)
            for digit, replica in numbered:
                if placement.shards <= by_server.get(replica, EMPTY):
                    mark = digit
                    break
        if mark == LISTED_MARK:
            listed_shards |= placement.shards
        marks.append(mark)
    entries = [
        (server, by_server[server] & listed_shards)
        for server in sorted(by_server)
        if by_server[server] & listed_shards
    ]
    omitted = entries[MAX_LISTED:]
    return AnsweringServers(
        "".join(marks),
        tuple(entries[:MAX_LISTED]),
        len(omitted),
        digest_entries(omitted) if omitted else "",
    )


def decode_answers(
    partition: Partition, record: AnsweringServers
) -> tuple[tuple[str, ShardSet], ...]:
    """Return the shards that each backend server answered, without omitted entries."""
    by_server = dict(record.listed)
    for mark, placement in zip(record.replicas, partition.placement, strict=True):
        if mark in (UNANSWERED_MARK, LISTED_MARK):
            continue
        server = placement.replicas[REPLICA_DIGITS.index(mark)]
        by_server[server] = by_server.get(server, EMPTY) | placement.shards
    return tuple(sorted(by_server.items()))


def digest_entries(entries: Iterable[tuple[str, ShardSet]]) -> str:
    """Return the hexadecimal SHA-256 of entries, which an auditor can recompute."""
    text = "\n".join(f"{server} {shards}" for server, shards in entries)
    return hashlib.sha256(text.encode()).hexdigest()
