"""Guard against wrong traces and tracebacks on malformed logs."""

from __future__ import annotations

import json

import pytest

from fireflyrack.operator import main as command_line
from fireflyrack.operator.request_trace import build_trace, parse_line


def log_line(time: str, event: str, instance: str = "e1", **fields) -> str:
    common = {"time": time, "level": "info", "instance": instance, "event": event}
    return json.dumps({**common, **fields})


LOG_LINES = (
    log_line("10:00:00", "configuration_adopted", version=3),
    log_line("10:00:01", "configuration_adopted", version=4),
    log_line("10:00:02", "configuration_adopted", instance="e2", version=9),
    log_line("10:00:05", "entry_changed", key="servers/s1", change="gone"),
    log_line("10:00:05", "entry_changed", key="servers/s7", change="gone"),
    log_line("10:00:04", "attempt_sent", request="a", server="s1"),
    log_line("10:00:06", "request_finished", request="a", outcome="Unknown"),
    log_line("10:00:06", "request_finished", request="b", outcome="Relayed"),
    log_line("10:00:09", "strain_changed", strained=True),
    log_line("10:00:09", "log_lines_omitted", omitted={"attempt_sent": 5}),
)


def test_trace_holds_the_request_and_the_state_changes_that_apply_to_it():
    """Guards against state of other instances, other servers or later times."""
    trace = build_trace("a", reversed(LOG_LINES))
    assert [e.event for e in trace.lines] == ["attempt_sent", "request_finished"]
    assert [(e.event, e.fields) for e in trace.beliefs] == [
        ("configuration_adopted", {"version": 4}),
        ("entry_changed", {"key": "servers/s1", "change": "gone"}),
    ]
    assert trace.omitted == {"attempt_sent": 5}


@pytest.mark.parametrize("text", ["", "cut off", '{"time": "10', "[1]", '{"time": 3}'])
def test_malformed_log_lines_are_counted(text):
    """Guards against a traceback on rotated or truncated logs."""
    assert parse_line(text) is None
    trace = build_trace("a", (text, *LOG_LINES))
    assert len(trace.lines) == 2
    assert trace.unreadable == (1 if text else 0)


def test_prefix_added_by_a_log_collector_is_skipped():
    """Guards against dropping log lines that a collector prefixed."""
    assert parse_line("  9.1 host " + LOG_LINES[0]).fields == {"version": 3}


def test_trace_command_prints_text_or_json(tmp_path, capsys):
    """Guards against reading only one of several log files, in either format."""
    first, second = tmp_path / "e1.log", tmp_path / "e2.log"
    first.write_text("\n".join(LOG_LINES[:5]))
    second.write_text("\n".join(LOG_LINES[5:]))
    assert command_line.main(["trace", "a", str(first), str(second)]) == 0
    output = capsys.readouterr().out
    assert "request a" in output
    assert 'e1 attempt_sent server="s1"' in output
    code = command_line.main(["--json", "trace", "a", str(first), str(second)])
    assert code == 0
    assert json.loads(capsys.readouterr().out)["lines"][0]["event"] == "attempt_sent"


def test_unknown_request_id_and_missing_file_are_reported(tmp_path, capsys):
    """Guards against a traceback for a mistyped request id or file name."""
    log = tmp_path / "e1.log"
    log.write_text("\n".join(LOG_LINES))
    assert command_line.main(["trace", "zz", str(log)]) == 1
    assert "no log line for zz" in capsys.readouterr().err
    assert command_line.main(["trace", "a", str(tmp_path / "none")]) == 1
    assert "none" in capsys.readouterr().err
