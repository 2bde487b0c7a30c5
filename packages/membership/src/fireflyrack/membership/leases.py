"""Liveness lease of an owner, counted from the sending of its heartbeats."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from .roster import Voters


@dataclass(slots=True)
class OwnerLease:
    """Hold the newest acknowledged heartbeat of each voter; call `is_held` to ask.

    A voter counts only as the incarnation that the roster names: one that restarted
    has forgotten its statements. While `previous` voters are set, a quorum of both sets
    is needed.
    """

    lease_s: float
    voters: Voters = field(default_factory=dict)
    previous: Voters = field(default_factory=dict)
    # Sending time of the newest acknowledged heartbeat, by voter and its incarnation.
    acknowledged_at: dict[tuple[str, int], float] = field(default_factory=dict)
    # Computed on each acknowledgement, because `is_held` is asked before each send.
    expires_at: float = float("-inf")

    def set_voters(self, voters: Voters, previous: Voters) -> None:
        """Take the voters whose acknowledgements count."""
        self.voters, self.previous = voters, previous
        self.expires_at = self.expiry()

    def record_acknowledgement(self, voter: str, entered: int, sent_at: float) -> None:
        """Count the acknowledgement of a heartbeat that was sent at a time."""
        key = (voter, entered)
        self.acknowledged_at[key] = max(self.acknowledged_at.get(key, sent_at), sent_at)
        self.expires_at = self.expiry()

    def expiry(self) -> float:
        """Return the time at which the lease lapses without more acknowledgements."""
        expiry = self.quorum_since(self.voters)
        if self.previous:
            expiry = min(expiry, self.quorum_since(self.previous))
        return expiry + self.lease_s

    def quorum_since(self, voters: Mapping[str, int]) -> float:
        """Return since when a quorum of voters has acknowledged."""
        times = sorted(
            (self.acknowledged_at.get(item, float("-inf")) for item in voters.items()),
            reverse=True,
        )
        return times[len(voters) // 2] if times else float("-inf")

    def would_be_held(self, voters: Voters, at: float) -> bool:
        """Return whether a quorum of other voters has acknowledged as well."""
        return at < self.quorum_since(voters) + self.lease_s

    def is_held(self, at: float) -> bool:
        """Return whether the owner may act; call it before each send."""
        return at < self.expires_at
