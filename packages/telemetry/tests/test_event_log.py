from __future__ import annotations

import json
from dataclasses import dataclass
from typing import ClassVar

from fireflyrack.telemetry import EventLog, EventLogSettings, Importance, LogEvent
from fireflyrack.telemetry.event_log import SUMMARY_INTERVAL_S


class LineCollector:
    """Line writer stub that stores decoded lines in memory."""

    def __init__(self) -> None:
        self.lines: list[dict] = []
        self.dropped = 0

    def write(self, line: bytes) -> None:
        self.lines.append(json.loads(line))

    def flush(self) -> None:
        pass


@dataclass(frozen=True, slots=True)
class ExampleEvent(LogEvent):
    kind: ClassVar[str] = "happened"
    importance: ClassVar[Importance] = Importance.ROUTINE
    number: int
    share: float = 0.123456
    names: tuple[str, ...] = ("a",)


def create_log(now, **rates) -> tuple[EventLog, LineCollector]:
    lines = LineCollector()
    return EventLog(EventLogSettings(**rates), "e1", lines, now), lines


def test_event_is_written_as_one_json_object():
    """Guards against missing fields and values that JSON cannot represent."""
    log, lines = create_log(lambda: 0.0)
    log.record(ExampleEvent(3))
    log.close()
    (line,) = lines.lines
    assert (line["event"], line["instance"], line["number"]) == ("happened", "e1", 3)
    assert (line["share"], line["names"]) == (0.1235, ["a"])


def test_lines_over_the_rate_limit_are_counted_in_summaries():
    """Guards against log volume that grows with the load and unreported omissions."""
    clock = [0.0]
    log, lines = create_log(lambda: clock[0], routine_per_s=5, burst_s=2)
    for number in range(100):
        log.record(ExampleEvent(number))
    assert len(lines.lines) == 10
    clock[0] = SUMMARY_INTERVAL_S + 1
    for number in range(100):
        log.record(ExampleEvent(number))
    log.close()
    summaries = [e for e in lines.lines if e["event"] == "log_lines_omitted"]
    assert sum(e["omitted"]["happened"] for e in summaries) == 180


def test_each_importance_has_its_own_rate_limit():
    """Guards against successful requests using up the rate limit of failed ones."""
    log, lines = create_log(lambda: 0.0, routine_per_s=1, notable_per_s=5, burst_s=1)
    log.record_all((ExampleEvent(1),), Importance.ROUTINE)
    log.record_all((ExampleEvent(2),), Importance.ROUTINE)
    log.record_all((ExampleEvent(3), ExampleEvent(4)), Importance.NOTABLE)
    log.close()
    numbers = [e["number"] for e in lines.lines if e["event"] == "happened"]
    assert numbers == [1, 3, 4]


def test_record_all_writes_all_events_or_none():
    """Guards against a partial event sequence, which does not show the cause."""
    log, lines = create_log(lambda: 0.0, notable_per_s=3, burst_s=1)
    log.record_all(tuple(ExampleEvent(n) for n in range(4)), Importance.NOTABLE)
    log.close()
    assert [e["event"] for e in lines.lines] == ["log_lines_omitted"]
