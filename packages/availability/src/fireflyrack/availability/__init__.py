"""What backend servers state about themselves, and when they take requests.

Selection, hedges, retries and searches ask one AvailabilityTable. It knows nothing of
wire formats and sockets; the adapter decodes responses into notices.
"""

from __future__ import annotations

from .decisions import decide
from .events import (
    InstancesCounted,
    NoticeReceived,
    ServerRemoved,
    StatementShared,
)
from .metrics import register_metrics
from .notices import NO_NOTICE, Load, Notice, SharedStatement, Source
from .sharers import SharerCount
from .table import AvailabilityTable, Obstacle

__all__ = [
    "NO_NOTICE",
    "AvailabilityTable",
    "InstancesCounted",
    "Load",
    "Notice",
    "NoticeReceived",
    "Obstacle",
    "ServerRemoved",
    "SharedStatement",
    "SharerCount",
    "Source",
    "StatementShared",
    "decide",
    "register_metrics",
]
