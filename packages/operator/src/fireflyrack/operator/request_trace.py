"""Trace of one request, built from the logs of several instances."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass, field
from typing import Any

# State changes of an instance that affect how it handles requests.
STATE_EVENTS = frozenset(
    {
        "configuration_adopted",
        "dependency_lost",
        "dependency_regained",
        "instances_changed",
        "process_paused",
        "readiness_changed",
        "started",
        "strain_changed",
    }
)
# Events about one backend server or one entry in the store.
SERVER_EVENTS = frozenset(
    {"backend_server_changed", "entry_changed", "entry_unreadable"}
)
COMMON_FIELDS = ("time", "level", "instance", "event")


@dataclass(frozen=True, slots=True)
class LogLine:
    """A parsed line of the event log."""

    time: str
    instance: str
    event: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class RequestTrace:
    """Log lines of a request and the state of its instances while it ran."""

    request: str
    lines: tuple[LogLine, ...]
    # Latest state changes before the request ended.
    beliefs: tuple[LogLine, ...] = ()
    # Number of truncated or malformed lines.
    unreadable: int = 0
    # Number of lines that the instances omitted, by event.
    omitted: dict[str, int] = field(default_factory=dict)

    def as_json(self) -> dict[str, Any]:
        """Return the trace as JSON-compatible values."""
        return asdict(self)


def parse_line(text: str) -> LogLine | None:
    """Parse a log line; return None if it is malformed."""
    # A log collector may have added a prefix before the JSON object.
    start = text.find("{")
    if start < 0:
        return None
    try:
        value = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(value, dict):
        return None
    time, instance, event = (value.get(k) for k in ("time", "instance", "event"))
    if not all(isinstance(part, str) for part in (time, instance, event)):
        return None
    fields = {key: item for key, item in value.items() if key not in COMMON_FIELDS}
    return LogLine(time, instance, event, fields)


def build_trace(request: str, texts: Iterable[str]) -> RequestTrace:
    """Build the trace of a request from the lines of any number of logs."""
    request_lines: list[LogLine] = []
    state_lines: list[LogLine] = []
    omitted: dict[str, int] = {}
    unreadable = 0
    for text in texts:
        if not text.strip():
            continue
        line = parse_line(text)
        if line is None:
            unreadable += 1
        elif line.fields.get("request") == request:
            request_lines.append(line)
        elif line.event in STATE_EVENTS or line.event in SERVER_EVENTS:
            state_lines.append(line)
        elif line.event == "log_lines_omitted":
            add_omitted(omitted, line.fields.get("omitted"))
    request_lines.sort(key=lambda line: line.time)
    return RequestTrace(
        request,
        tuple(request_lines),
        latest_state_changes(request_lines, state_lines),
        unreadable,
        omitted,
    )


def add_omitted(total: dict[str, int], counts: Any) -> None:
    """Add the counts of a `log_lines_omitted` event to the totals."""
    if not isinstance(counts, dict):
        return
    for event, count in counts.items():
        if isinstance(count, int):
            total[event] = total.get(event, 0) + count


def latest_state_changes(
    request_lines: list[LogLine], state_lines: list[LogLine]
) -> tuple[LogLine, ...]:
    """Return each instance's latest event of each kind up to the end of the request.

    Include only instances that logged the request. Events of backend servers count
    separately for each server, and only for servers that the request was sent to.
    """
    if not request_lines:
        return ()
    end = request_lines[-1].time
    instances = {line.instance for line in request_lines}
    servers = {line.fields.get("server") for line in request_lines} - {None}
    latest: dict[tuple[str, str, str], LogLine] = {}
    for line in sorted(state_lines, key=lambda line: line.time):
        if line.time > end or line.instance not in instances:
            continue
        subject = ""
        if line.event in SERVER_EVENTS:
            subject_field = line.fields.get("server") or line.fields.get("key", "")
            subject = str(subject_field).rpartition("/")[2]
            if subject not in servers:
                continue
        latest[line.instance, line.event, subject] = line
    return tuple(sorted(latest.values(), key=lambda line: line.time))


def trace_lines(trace: dict[str, Any]) -> Iterator[str]:
    """Yield the state events and the log lines of a request."""
    yield f"request {trace['request']}"
    yield "believed:"
    for line in trace["beliefs"]:
        yield "  " + format_line(line)
    yield "happened:"
    for line in trace["lines"]:
        yield "  " + format_line(line)
    if trace["omitted"]:
        counts = ", ".join(f"{n} {e}" for e, n in sorted(trace["omitted"].items()))
        yield f"omitted from the logs: {counts}"
    if trace["unreadable"]:
        yield f"unreadable lines: {trace['unreadable']}"


def format_line(line: dict[str, Any]) -> str:
    """Format a log line without the request id."""
    fields = " ".join(
        f"{key}={json.dumps(value)}"
        for key, value in line["fields"].items()
        if key != "request"
    )
    return f"{line['time']} {line['instance']} {line['event']} {fields}".rstrip()
