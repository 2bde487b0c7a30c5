"""Guard against log lines that an operator cannot select by their level."""

from __future__ import annotations

import json

import pytest

from fireflyrack.discovery.log_events import StoreCallFailed
from fireflyrack.forwarding.log_events import RequestFinished, RequestRejected
from fireflyrack.gateway.log_events import (
    InternalFault,
    OverloadObserved,
    ReadinessChanged,
)
from fireflyrack.peers.log_events import PeerMessageRejected
from fireflyrack.telemetry import (
    DependencyLost,
    DependencyRegained,
    EventLog,
    EventLogSettings,
)


class LineCollector:
    """Line writer stub that stores the written lines."""

    def __init__(self):
        self.lines = []
        self.dropped = 0

    def write(self, line):
        self.lines.append(json.loads(line))

    def flush(self):
        pass


def finished(outcome):
    return RequestFinished(
        "r", "a", "h", "/", outcome, "", 0.1, 0.2, 1.0, 3, (), 1, 1.0, 1.0, 4
    )


@pytest.mark.parametrize(
    ("event", "level"),
    [
        (InternalFault("request r", "error"), "error"),
        (DependencyLost("store", "silent"), "warning"),
        (DependencyRegained("store", 1.0), "info"),
        (StoreCallFailed("watch", "unknown", ""), "warning"),
        (PeerMessageRejected("e1", "update", "invalid"), "warning"),
        (OverloadObserved(True, 0.03), "warning"),
        (OverloadObserved(False, 0.01), "info"),
        (ReadinessChanged(True, "synced"), "info"),
        (RequestRejected("r", "h", "/", "NotRun", "quarantined", 1, 1.0), "warning"),
        (finished("NotRun"), "warning"),
        (finished("Unknown"), "warning"),
        (finished("Merged"), "info"),
    ],
)
def test_level_follows_from_the_event(event, level):
    """Fails if a lost dependency, a refusal or a fault is logged like any other line.

    Events of one request are written together and must have their own levels too.
    """
    lines = LineCollector()
    log = EventLog(EventLogSettings(), "e1", lines, lambda: 0.0)
    log.record(event)
    log.record_all((event, event), event.importance)
    log.close()
    assert [line["level"] for line in lines.lines] == [level] * 3
