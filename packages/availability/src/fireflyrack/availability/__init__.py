"""What backend servers state about themselves.

The adapter decodes responses into notices; an AvailabilityTable keeps what they state.
"""

from __future__ import annotations

from .metrics import register_metrics
from .notices import NO_NOTICE, Load, Notice, Source
from .servers import (
    AvailabilityTable,
    NoticeReceived,
    ServerRemoved,
    decide,
)

__all__ = [
    "NO_NOTICE",
    "AvailabilityTable",
    "Load",
    "Notice",
    "NoticeReceived",
    "ServerRemoved",
    "Source",
    "decide",
    "register_metrics",
]
