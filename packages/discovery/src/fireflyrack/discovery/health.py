"""Availability of the metadata store, as seen by this process."""

from __future__ import annotations

from collections.abc import Callable

from fireflyrack.telemetry import DependencyLost, DependencyRegained, EventLog


class StoreHealth:
    """Track whether the store is available from the outcomes of all calls.

    Call `succeeded` or `failed` after each call. Listeners get True when the store
    answers again after a failure, and False on each failed call.
    """

    def __init__(self, log: EventLog, now: Callable[[], float]) -> None:
        self.log = log
        self.now = now
        self.answered_at = now()
        self.lost_since: float | None = None
        self.listeners: list[Callable[[bool], None]] = []

    def succeeded(self) -> None:
        """Record a call that the store answered."""
        at = self.now()
        lost_since, self.lost_since = self.lost_since, None
        self.answered_at = at
        if lost_since is not None:
            self.log.record(DependencyRegained("store", at - lost_since))
            for listener in self.listeners:
                listener(True)

    def failed(self, reason: str) -> None:
        """Record a call that the store did not answer."""
        if self.lost_since is None:
            self.lost_since = self.answered_at
            self.log.record(DependencyLost("store", reason))
        for listener in self.listeners:
            listener(False)
