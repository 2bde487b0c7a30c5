"""Event log: one JSON object a line, with a budget of lines for each importance."""

from __future__ import annotations

import dataclasses
import json
from collections import Counter
from collections.abc import Callable
from typing import Any

import logbook

from fireflyrack.core import SettingsModel

from .events import Importance, LogEvent
from .lines import LineWriter

EVENTS_CHANNEL = "events"
# Seconds between two lines that tell what was left out.
SUMMARY_INTERVAL_S = 5.0


class EventLogSettings(SettingsModel):
    """Declare how many lines a second each importance may write."""

    lifecycle_per_s: float = 50.0
    belief_per_s: float = 50.0
    notable_per_s: float = 60.0
    routine_per_s: float = 20.0
    # Lines that may be written at once after a quiet time, in seconds of the rate.
    burst_s: float = 4.0


@dataclasses.dataclass(slots=True)
class LineBudget:
    """Hold the tokens of one importance; one token pays one line."""

    per_s: float
    burst: float
    tokens: float
    at: float

    def take(self, at: float, lines: int = 1) -> bool:
        """Take the tokens of some lines; return False if there are too few."""
        self.tokens = min(self.burst, self.tokens + (at - self.at) * self.per_s)
        self.at = at
        if self.tokens < lines:
            return False
        self.tokens -= lines
        return True


class JsonLineHandler(logbook.Handler):
    """Write each log record as one JSON object."""

    def __init__(self, writer: LineWriter, instance: str) -> None:
        super().__init__(level=logbook.INFO, bubble=False)
        self.writer = writer
        self.instance = instance

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue the line of a record."""
        line = {
            "time": record.time.isoformat() + "Z",
            "level": record.level_name.lower(),
            "instance": self.instance,
        }
        if record.channel == EVENTS_CHANNEL:
            line |= {"event": record.message, **record.extra}
        else:
            # Packages that other programs use as well log text.
            line |= {
                "event": "message",
                "channel": record.channel,
                "text": record.message,
            }
        text = json.dumps(line, separators=(",", ":"), default=str)
        self.writer.write(text.encode())


class EventLog:
    """Record events; call `record` for each, `close` at the end.

    Events beyond the budget of their importance are counted and told in a summary.
    """

    def __init__(
        self,
        settings: EventLogSettings,
        instance: str,
        writer: LineWriter,
        now: Callable[[], float],
    ) -> None:
        self.now = now
        self.writer = writer
        self.handler = JsonLineHandler(writer, instance)
        self.handler.push_application()
        self.logger = logbook.Logger(EVENTS_CHANNEL)
        at = now()
        rates = {
            Importance.LIFECYCLE: settings.lifecycle_per_s,
            Importance.BELIEF: settings.belief_per_s,
            Importance.NOTABLE: settings.notable_per_s,
            Importance.ROUTINE: settings.routine_per_s,
        }
        self.budgets = {
            importance: LineBudget(
                per_s, per_s * settings.burst_s, per_s * settings.burst_s, at
            )
            for importance, per_s in rates.items()
        }
        self.omitted: Counter[str] = Counter()
        self.omitted_total: Counter[str] = Counter()
        self.summary_at = at

    def record(self, event: LogEvent) -> None:
        """Write an event if the budget of its importance allows it."""
        if self.budgets[event.importance].take(self.now()):
            self.logger.info(event.kind, extra=fields_of(event))
        else:
            self.omit(event)

    def record_all(self, events: tuple[LogEvent, ...], importance: Importance) -> None:
        """Write all decisions on one request, or none if the budget is spent."""
        if self.budgets[importance].take(self.now(), len(events)):
            for event in events:
                self.logger.info(event.kind, extra=fields_of(event))
            return
        for event in events:
            self.omit(event)

    def omit(self, event: LogEvent) -> None:
        """Count a line that is left out."""
        self.omitted[event.kind] += 1
        self.omitted_total[event.kind] += 1
        at = self.now()
        if at >= self.summary_at + SUMMARY_INTERVAL_S:
            self.summarize(at)

    def summarize(self, at: float) -> None:
        """Tell how many lines of each kind were left out since the last summary."""
        self.summary_at = at
        extra = {"omitted": dict(self.omitted), "dropped": self.writer.dropped}
        self.logger.info("log_lines_omitted", extra=extra)
        self.omitted.clear()

    def close(self) -> None:
        """Write what is pending."""
        if self.omitted:
            self.summarize(self.now())
        self.writer.flush()
        self.handler.pop_application()


def fields_of(event: LogEvent) -> dict[str, Any]:
    """Return the fields of an event as plain values."""
    return {
        field.name: plain(getattr(event, field.name))
        for field in dataclasses.fields(event)
    }


def plain(value: Any) -> Any:
    """Return a value in the form that JSON takes."""
    if isinstance(value, float):
        return round(value, 4)
    if dataclasses.is_dataclass(value):
        return fields_of(value)
    if isinstance(value, (tuple, list, frozenset, set)):
        return [plain(item) for item in value]
    return value
