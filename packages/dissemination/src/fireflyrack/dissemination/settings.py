"""Settings of the dissemination package."""

from __future__ import annotations

from pydantic import Field

from fireflyrack.core import SettingsModel


class DisseminationSettings(SettingsModel):
    """Settings of the gossip between instances."""

    # Number of peers that each instance sends to. With 8, and 5% of the instances
    # failed, one instance in 2,000 is a neighbour of no live peer and only receives
    # registers through the comparisons that it starts.
    neighbours: int = Field(default=8, ge=1, le=64)
    # Interval between announcements of new registers that are not urgent. At 830
    # instances, 0.5 s sent a third more bytes, because of the additional headers.
    round_s: float = Field(default=1.0, gt=0, le=60)
    # Interval between comparisons of the urgent registers with a random neighbour.
    urgent_period_s: float = Field(default=1.0, gt=0, le=60)
    # Interval between comparisons of all registers. Since reports change all the
    # time, each comparison lists most registers, so it must be rare.
    digest_period_s: float = Field(default=30.0, gt=0, le=600)
    # Time after which a register expires unless it is renewed; its writer renews it
    # after a third of this time.
    ttl_s: float = Field(default=1800.0, gt=0)
