"""Shared types: shard sets, outcomes, rendezvous hashing, settings and logs."""

from __future__ import annotations

from .clock import steady_now
from .errors import (
    FireflyrackError,
    SettingsError,
    SettingsProblem,
    ShardSetError,
)
from .latency import LatencyEstimate
from .logs import LogSettings, configure_logging
from .machine import Decision, Machine
from .outcomes import Failed, Ok, Outcome
from .rendezvous import highest_ranked, rank
from .sequences import Sequence
from .settings import SettingsModel, load_settings, parse_settings
from .shards import EMPTY, ShardSet

__all__ = [
    "EMPTY",
    "Decision",
    "Failed",
    "FireflyrackError",
    "LatencyEstimate",
    "LogSettings",
    "Machine",
    "Ok",
    "Outcome",
    "Sequence",
    "SettingsError",
    "SettingsModel",
    "SettingsProblem",
    "ShardSet",
    "ShardSetError",
    "configure_logging",
    "highest_ranked",
    "load_settings",
    "parse_settings",
    "rank",
    "steady_now",
]
