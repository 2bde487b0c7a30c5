"""Sets of shard numbers as bit masks."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from .errors import ShardSetError

MAX_SHARDS = 1 << 16


@dataclass(frozen=True, slots=True)
class ShardSet:
    """Set of shard numbers, stored as the bits of one integer.

    Build one with `of`, `span` or `parse`; combine sets with `|`, `&` and `-`. Each
    of these is one integer operation, even for thousands of shards.
    """

    bits: int = 0

    @classmethod
    def of(cls, numbers: Iterable[int]) -> ShardSet:
        """Return the set of the given shard numbers."""
        bits = 0
        for number in numbers:
            bits |= 1 << number
        return cls(bits)

    @classmethod
    def span(cls, start: int, stop: int) -> ShardSet:
        """Return the set of the shards from start up to, not including, stop."""
        return cls((1 << stop) - (1 << start))

    @classmethod
    def parse(cls, text: str) -> ShardSet:
        """Parse the form `0-9,12`; raise ShardSetError if it is malformed."""
        bits = 0
        for part in filter(None, text.split(",")):
            first, dash, last = part.partition("-")
            last = last if dash else first
            if not (first.isdecimal() and last.isdecimal()):
                raise ShardSetError(f"malformed shard range: {part[:40]!r}")
            if not int(first) <= int(last) < MAX_SHARDS:
                raise ShardSetError(f"shard range out of bounds: {part[:40]!r}")
            bits |= (1 << (int(last) + 1)) - (1 << int(first))
        return cls(bits)

    def ranges(self) -> Iterator[tuple[int, int]]:
        """Yield the first and last shard of each run of consecutive shards."""
        bits, offset = self.bits, 0
        while bits:
            skipped = (bits & -bits).bit_length() - 1
            bits >>= skipped
            start = offset + skipped
            # The lowest zero bit above the run is the lowest set bit of bits + 1.
            length = ((bits + 1) & -(bits + 1)).bit_length() - 1
            yield start, start + length - 1
            bits >>= length
            offset = start + length

    def __str__(self) -> str:
        return ",".join(
            str(first) if first == last else f"{first}-{last}"
            for first, last in self.ranges()
        )

    def __iter__(self) -> Iterator[int]:
        for first, last in self.ranges():
            yield from range(first, last + 1)

    def __len__(self) -> int:
        return self.bits.bit_count()

    def __bool__(self) -> bool:
        return self.bits != 0

    def __contains__(self, number: int) -> bool:
        return bool(self.bits >> number & 1)

    def __or__(self, other: ShardSet) -> ShardSet:
        return ShardSet(self.bits | other.bits)

    def __and__(self, other: ShardSet) -> ShardSet:
        return ShardSet(self.bits & other.bits)

    def __sub__(self, other: ShardSet) -> ShardSet:
        return ShardSet(self.bits & ~other.bits)

    def __le__(self, other: ShardSet) -> bool:
        return self.bits & ~other.bits == 0


EMPTY = ShardSet()
