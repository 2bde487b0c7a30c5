"""Detection that the metadata store was restored from a backup."""

from __future__ import annotations

from collections.abc import Callable


class StoreEra:
    """Number of times the store was restored, from all of its replies.

    After a restoration the store lacks its last writes and gives their revisions and
    lease ids out again, so nothing that depends on them may be used any more. The store
    client calls `observe` with each reply; listeners are called at each restoration.
    """

    def __init__(self) -> None:
        # None until a reply states it.
        self.current: int | None = None
        self.listeners: list[Callable[[], None]] = []

    def observe(self, era: int | None) -> None:
        """Record the era of a reply; replies of an earlier one are late."""
        if era is None or (self.current is not None and era <= self.current):
            return
        restored = self.current is not None
        self.current = era
        if restored:
            for listener in self.listeners:
                listener()
