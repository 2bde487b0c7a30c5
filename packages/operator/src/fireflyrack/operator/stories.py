"""Story of one request from the log lines of several instances."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass, field
from typing import Any

# Events that tell what an instance believed while it handled a request.
BELIEFS = frozenset(
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
# Events about one backend server or entry.
SERVER_EVENTS = frozenset(
    {"backend_server_changed", "entry_changed", "entry_unreadable"}
)
SHARED_FIELDS = ("time", "level", "instance", "event")


@dataclass(frozen=True, slots=True)
class LogLine:
    """Hold one log line."""

    time: str
    instance: str
    event: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Story:
    """Hold the lines about a request and what was believed before and meanwhile."""

    request: str
    lines: tuple[LogLine, ...]
    beliefs: tuple[LogLine, ...] = ()
    # Lines that are cut or are no log lines.
    unreadable: int = 0
    # Lines that the instances left out, by event.
    omitted: dict[str, int] = field(default_factory=dict)

    def as_json(self) -> dict[str, Any]:
        """Return the story as plain values."""
        return asdict(self)


def read_line(text: str) -> LogLine | None:
    """Return the log line in a text, None if there is none."""
    # A collector may have put its own words before the object.
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
    rest = {key: item for key, item in value.items() if key not in SHARED_FIELDS}
    return LogLine(time, instance, event, rest)


def tell_story(request: str, texts: Iterable[str]) -> Story:
    """Return the story of a request from the lines of any number of logs."""
    own: list[LogLine] = []
    others: list[LogLine] = []
    omitted: dict[str, int] = {}
    unreadable = 0
    for text in texts:
        if not text.strip():
            continue
        line = read_line(text)
        if line is None:
            unreadable += 1
        elif line.fields.get("request") == request:
            own.append(line)
        elif line.event in BELIEFS or line.event in SERVER_EVENTS:
            others.append(line)
        elif line.event == "log_lines_omitted":
            add_omitted(omitted, line.fields.get("omitted"))
    own.sort(key=lambda line: line.time)
    return Story(request, tuple(own), beliefs_of(own, others), unreadable, omitted)


def add_omitted(total: dict[str, int], counts: Any) -> None:
    """Add the counts of a summary of lines left out."""
    if not isinstance(counts, dict):
        return
    for event, count in counts.items():
        if isinstance(count, int):
            total[event] = total.get(event, 0) + count


def beliefs_of(own: list[LogLine], others: list[LogLine]) -> tuple[LogLine, ...]:
    """Return the last change of each belief of the instances before the request's end.

    Of entries only those of backend servers that the request was sent to count.
    """
    if not own:
        return ()
    end = own[-1].time
    instances = {line.instance for line in own}
    servers = {line.fields.get("server") for line in own} - {None}
    last: dict[tuple[str, str, str], LogLine] = {}
    for line in sorted(others, key=lambda line: line.time):
        if line.time > end or line.instance not in instances:
            continue
        subject = ""
        if line.event in SERVER_EVENTS:
            named = line.fields.get("server") or line.fields.get("key", "")
            subject = str(named).rpartition("/")[2]
            if subject not in servers:
                continue
        last[line.instance, line.event, subject] = line
    return tuple(sorted(last.values(), key=lambda line: line.time))


def story_lines(story: dict[str, Any]) -> Iterator[str]:
    """Yield the lines that show a story."""
    yield f"request {story['request']}"
    yield "believed:"
    for line in story["beliefs"]:
        yield "  " + shown(line)
    yield "happened:"
    for line in story["lines"]:
        yield "  " + shown(line)
    if story["omitted"]:
        counts = ", ".join(f"{n} {e}" for e, n in sorted(story["omitted"].items()))
        yield f"left out of the logs: {counts}"
    if story["unreadable"]:
        yield f"unreadable lines: {story['unreadable']}"


def shown(line: dict[str, Any]) -> str:
    """Return one log line as text."""
    fields = " ".join(
        f"{key}={json.dumps(value)}"
        for key, value in line["fields"].items()
        if key != "request"
    )
    return f"{line['time']} {line['instance']} {line['event']} {fields}".rstrip()
