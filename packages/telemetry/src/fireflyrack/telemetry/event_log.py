"""Event log in JSON lines, rate-limited separately for each importance."""

from __future__ import annotations

import dataclasses
import json
from collections import Counter
from collections.abc import Callable
from typing import Any

import logbook

from fireflyrack.core import SettingsModel

from .events import Importance, LogEvent, Severity, severity_of
from .lines import LineWriter

EVENTS_CHANNEL = "events"
# Minimum time between two summaries of omitted lines.
SUMMARY_INTERVAL_S = 5.0


class EventLogSettings(SettingsModel):
    """Line rate limits of the event log, in lines per second for each importance."""

    lifecycle_per_s: float = 50.0
    # Rate of events with the importance STATE_CHANGE.
    belief_per_s: float = 50.0
    notable_per_s: float = 60.0
    routine_per_s: float = 20.0
    # Bucket size in seconds of the rate: the burst allowed after an idle period.
    burst_s: float = 4.0


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Token bucket that limits the lines of one importance; each line costs a token."""

    rate_per_s: float
    burst: float
    tokens: float
    at: float

    def take(self, at: float, lines: int = 1) -> bool:
        """Refill the bucket and take one token for each line, or none if too few."""
        self.tokens = min(self.burst, self.tokens + (at - self.at) * self.rate_per_s)
        self.at = at
        if self.tokens < lines:
            return False
        self.tokens -= lines
        return True


LEVELS = {
    Severity.INFO: logbook.INFO,
    Severity.WARNING: logbook.WARNING,
    Severity.ERROR: logbook.ERROR,
}


class JsonLineHandler(logbook.Handler):
    """Logbook handler that writes each log record as one JSON object."""

    def __init__(self, writer: LineWriter, instance: str) -> None:
        super().__init__(level=logbook.INFO, bubble=False)
        self.writer = writer
        self.instance = instance

    def emit(self, record: logbook.LogRecord) -> None:
        """Encode a record and pass it to the line writer."""
        line = {
            "time": record.time.isoformat() + "Z",
            "level": record.level_name.lower(),
            "instance": self.instance,
        }
        if record.channel == EVENTS_CHANNEL:
            line |= {"event": record.message, **record.extra}
        else:
            # Packages that are also used outside entry instances log free text.
            line |= {
                "event": "message",
                "channel": record.channel,
                "text": record.message,
            }
        text = json.dumps(line, separators=(",", ":"), default=str)
        self.writer.write(text.encode())


class EventLog:
    """Write structured events; call `record` for each and `close` at the end.

    Events over the rate limit of their importance are omitted, counted by kind and
    reported in a periodic `log_lines_omitted` line.
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
            Importance.STATE_CHANGE: settings.belief_per_s,
            Importance.NOTABLE: settings.notable_per_s,
            Importance.ROUTINE: settings.routine_per_s,
        }
        self.buckets = {
            importance: TokenBucket(
                rate, rate * settings.burst_s, rate * settings.burst_s, at
            )
            for importance, rate in rates.items()
        }
        self.omitted: Counter[str] = Counter()
        self.omitted_total: Counter[str] = Counter()
        self.last_summary_at = at

    def record(self, event: LogEvent) -> None:
        """Write an event unless its importance is over its rate limit."""
        if self.buckets[event.importance].take(self.now()):
            self.write(event)
        else:
            self.count_omitted(event)

    def record_all(self, events: tuple[LogEvent, ...], importance: Importance) -> None:
        """Write all events of one request, or none if the rate limit is reached."""
        if self.buckets[importance].take(self.now(), len(events)):
            for event in events:
                self.write(event)
            return
        for event in events:
            self.count_omitted(event)

    def write(self, event: LogEvent) -> None:
        """Write one event at the level of its type."""
        level = LEVELS[severity_of(event)]
        self.logger.log(level, event.kind, extra=event_fields(event))

    def count_omitted(self, event: LogEvent) -> None:
        """Count an omitted event; write a summary if one is due."""
        self.omitted[event.kind] += 1
        self.omitted_total[event.kind] += 1
        at = self.now()
        if at >= self.last_summary_at + SUMMARY_INTERVAL_S:
            self.write_summary(at)

    def write_summary(self, at: float) -> None:
        """Write how many lines of each kind were omitted since the last summary."""
        self.last_summary_at = at
        extra = {"omitted": dict(self.omitted), "dropped": self.writer.dropped}
        self.logger.info("log_lines_omitted", extra=extra)
        self.omitted.clear()

    def close(self) -> None:
        """Write a last summary if needed and flush the line writer."""
        if self.omitted:
            self.write_summary(self.now())
        self.writer.flush()
        self.handler.pop_application()


def event_fields(event: LogEvent) -> dict[str, Any]:
    """Return the fields of an event as values that JSON can represent."""
    return {
        field.name: to_json_value(getattr(event, field.name))
        for field in dataclasses.fields(event)
    }


def to_json_value(value: Any) -> Any:
    """Convert a field to a value for JSON; round floats to 4 decimals."""
    if isinstance(value, float):
        return round(value, 4)
    if dataclasses.is_dataclass(value):
        return event_fields(value)
    if isinstance(value, (tuple, list, frozenset, set)):
        return [to_json_value(item) for item in value]
    return value
