"""Types shared by all packages: shard sets, outcomes, hashing, settings and logs."""

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
from .machine import Decision, StateMachine
from .outcomes import Failed, Ok, Outcome
from .rendezvous import highest_ranked, rank
from .sequences import SequenceGenerator
from .settings import SettingsModel, load_settings, parse_settings
from .shards import EMPTY, ShardSet

__all__ = [
    "EMPTY",
    "Decision",
    "Failed",
    "FireflyrackError",
    "LatencyEstimate",
    "LogSettings",
    "Ok",
    "Outcome",
    "SequenceGenerator",
    "SettingsError",
    "SettingsModel",
    "SettingsProblem",
    "ShardSet",
    "ShardSetError",
    "StateMachine",
    "configure_logging",
    "highest_ranked",
    "load_settings",
    "parse_settings",
    "rank",
    "steady_now",
]
