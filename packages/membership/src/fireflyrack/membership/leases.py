"""Quorum lease of an owner, measured from the sending of its heartbeats."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from .roster import Voters


@dataclass(slots=True)
class OwnerLease:
    """Lease that a quorum of voters extends by acknowledging heartbeats.

    Only the incarnation of a voter that the roster names counts: one that restarted
    has lost its verdicts. While `previous` voters are set, a quorum of both sets is
    needed (joint consensus).
    """

    lease_s: float
    voters: Voters = field(default_factory=dict)
    previous_voters: Voters = field(default_factory=dict)
    # Sending time of the newest acknowledged heartbeat, by voter and incarnation.
    acknowledged_at: dict[tuple[str, int], float] = field(default_factory=dict)
    # Computed at each acknowledgement, because `is_held` is called before each send.
    expires_at: float = float("-inf")

    def set_voters(self, voters: Voters, previous_voters: Voters) -> None:
        """Set the voters whose acknowledgements count."""
        self.voters, self.previous_voters = voters, previous_voters
        self.expires_at = self.expiry()

    def record_acknowledgement(
        self, voter: str, joined_version: int, sent_at: float
    ) -> None:
        """Record that a voter acknowledged the heartbeat sent at `sent_at`."""
        key = (voter, joined_version)
        self.acknowledged_at[key] = max(self.acknowledged_at.get(key, sent_at), sent_at)
        self.expires_at = self.expiry()

    def expiry(self) -> float:
        """Return when the lease expires without further acknowledgements."""
        expiry = self.quorum_acknowledged_at(self.voters)
        if self.previous_voters:
            expiry = min(expiry, self.quorum_acknowledged_at(self.previous_voters))
        return expiry + self.lease_s

    def quorum_acknowledged_at(self, voters: Mapping[str, int]) -> float:
        """Return the newest sending time that a quorum has acknowledged."""
        times = sorted(
            (self.acknowledged_at.get(item, float("-inf")) for item in voters.items()),
            reverse=True,
        )
        return times[len(voters) // 2] if times else float("-inf")

    def would_be_held(self, voters: Voters, at: float) -> bool:
        """Return whether the lease would be held if these were the voters."""
        return at < self.quorum_acknowledged_at(voters) + self.lease_s

    def is_held(self, at: float) -> bool:
        """Return whether the lease is valid; check it before each send."""
        return at < self.expires_at
