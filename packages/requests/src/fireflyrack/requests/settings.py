"""Settings of the requests package."""

from __future__ import annotations

from pydantic import Field

from fireflyrack.core import SettingsModel


class RequestSettings(SettingsModel):
    """Lifetimes and limits of tickets, records and quarantine."""

    ticket_ttl_s: float = Field(default=600, gt=0, le=86_400)
    # Minimum retention of a finished record, also when its ticket expires sooner.
    keep_finished_s: float = Field(default=120, gt=0, le=86_400)
    max_records: int = Field(default=20_000, ge=1)
    max_record_bytes: int = Field(default=64 * 1024 * 1024, ge=1024)
    max_answer_bytes: int = Field(default=64 * 1024, ge=256)
    # Time after the deadline for which the issuer still waits for the owner: it
    # covers one round trip and a scheduling delay.
    answer_margin_s: float = Field(default=0.5, gt=0, le=60)
    # How long and how often the issuer queries an owner for a missing result.
    settle_for_s: float = Field(default=60, gt=0, le=3600)
    ask_period_s: float = Field(default=0.5, gt=0, le=60)
    # Should exceed settle_for_s, so that results outlast the queries of issuers.
    owner_keep_s: float = Field(default=120, gt=0, le=3600)
    max_owner_runs: int = Field(default=20_000, ge=1)
    quarantine_s: float = Field(default=600, gt=0, le=86_400)
    max_fingerprints: int = Field(default=10_000, ge=1)
