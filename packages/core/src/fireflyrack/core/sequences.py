"""Generator of numbers that are unique within a process."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class SequenceGenerator:
    """Generate increasing numbers; call `next` for each."""

    last: int = 0

    def next(self) -> int:
        """Return the next number, starting at 1."""
        self.last += 1
        return self.last
