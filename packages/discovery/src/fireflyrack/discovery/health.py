"""Whether the store answers this process."""

from __future__ import annotations

from collections.abc import Callable

from fireflyrack.telemetry import DependencyLost, DependencyRegained, EventLog


class StoreHealth:
    """Follow the outcomes of all calls to the store.

    Call `succeeded` and `failed` after each call; listeners get True when the store
    answers again and False when it stopped.
    """

    def __init__(self, log: EventLog, now: Callable[[], float]) -> None:
        self.log = log
        self.now = now
        self.answered_at = now()
        self.lost_since: float | None = None
        self.listeners: list[Callable[[bool], None]] = []

    def succeeded(self) -> None:
        """Note a call that the store answered."""
        at = self.now()
        lost_since, self.lost_since = self.lost_since, None
        self.answered_at = at
        if lost_since is not None:
            self.log.record(DependencyRegained("store", at - lost_since))
            for listener in self.listeners:
                listener(True)

    def failed(self, reason: str) -> None:
        """Note a call that the store did not answer."""
        if self.lost_since is None:
            self.lost_since = self.answered_at
            self.log.record(DependencyLost("store", reason))
        for listener in self.listeners:
            listener(False)
