from __future__ import annotations

import json
from dataclasses import dataclass
from typing import ClassVar

from fireflyrack.telemetry import EventLog, EventLogSettings, Importance, LogEvent
from fireflyrack.telemetry.event_log import SUMMARY_INTERVAL_S


class Lines:
    """Keep lines instead of writing them."""

    def __init__(self) -> None:
        self.lines: list[dict] = []
        self.dropped = 0

    def write(self, line: bytes) -> None:
        self.lines.append(json.loads(line))

    def flush(self) -> None:
        pass


@dataclass(frozen=True, slots=True)
class Happened(LogEvent):
    kind: ClassVar[str] = "happened"
    importance: ClassVar[Importance] = Importance.ROUTINE
    number: int
    share: float = 0.123456
    names: tuple[str, ...] = ("a",)


def make(now, **rates) -> tuple[EventLog, Lines]:
    lines = Lines()
    return EventLog(EventLogSettings(**rates), "e1", lines, now), lines


def test_an_event_is_one_object_with_its_fields():
    log, lines = make(lambda: 0.0)
    log.record(Happened(3))
    log.close()
    (line,) = lines.lines
    assert (line["event"], line["instance"], line["number"]) == ("happened", "e1", 3)
    assert (line["share"], line["names"]) == (0.1235, ["a"])


def test_lines_beyond_the_budget_are_counted_and_told():
    """Guards against a log that grows with the load, and against silent gaps."""
    clock = [0.0]
    log, lines = make(lambda: clock[0], routine_per_s=5, burst_s=2)
    for number in range(100):
        log.record(Happened(number))
    assert len(lines.lines) == 10
    clock[0] = SUMMARY_INTERVAL_S + 1
    for number in range(100):
        log.record(Happened(number))
    log.close()
    summaries = [e for e in lines.lines if e["event"] == "log_lines_omitted"]
    assert sum(e["omitted"]["happened"] for e in summaries) == 180


def test_fine_requests_leave_room_for_failed_ones():
    """Guards against a failed request that has no line because others had many."""
    log, lines = make(lambda: 0.0, routine_per_s=1, notable_per_s=5, burst_s=1)
    log.record_all((Happened(1),), Importance.ROUTINE)
    log.record_all((Happened(2),), Importance.ROUTINE)
    log.record_all((Happened(3), Happened(4)), Importance.NOTABLE)
    log.close()
    numbers = [e["number"] for e in lines.lines if e["event"] == "happened"]
    assert numbers == [1, 3, 4]


def test_a_story_is_written_whole_or_not_at_all():
    """Guards against half a story, from which no cause can be told."""
    log, lines = make(lambda: 0.0, notable_per_s=3, burst_s=1)
    log.record_all(tuple(Happened(n) for n in range(4)), Importance.NOTABLE)
    log.close()
    assert [e["event"] for e in lines.lines] == ["log_lines_omitted"]
