from __future__ import annotations

import json

import pytest

from fireflyrack.operator import main as command_line
from fireflyrack.operator.stories import read_line, tell_story


def line(time: str, event: str, instance: str = "e1", **fields) -> str:
    shared = {"time": time, "level": "info", "instance": instance, "event": event}
    return json.dumps({**shared, **fields})


LOG = (
    line("10:00:00", "configuration_adopted", version=3),
    line("10:00:01", "configuration_adopted", version=4),
    line("10:00:02", "configuration_adopted", instance="e2", version=9),
    line("10:00:05", "entry_changed", key="servers/s1", change="gone"),
    line("10:00:05", "entry_changed", key="servers/s7", change="gone"),
    line("10:00:04", "attempt_sent", request="a", server="s1"),
    line("10:00:06", "request_finished", request="a", outcome="Unknown"),
    line("10:00:06", "request_finished", request="b", outcome="Relayed"),
    line("10:00:09", "strain_changed", strained=True),
    line("10:00:09", "log_lines_omitted", omitted={"attempt_sent": 5}),
)


def test_a_story_holds_the_request_and_what_its_instance_believed():
    """Guards against beliefs of other instances, other servers or later times."""
    story = tell_story("a", reversed(LOG))
    assert [e.event for e in story.lines] == ["attempt_sent", "request_finished"]
    assert [(e.event, e.fields) for e in story.beliefs] == [
        ("configuration_adopted", {"version": 4}),
        ("entry_changed", {"key": "servers/s1", "change": "gone"}),
    ]
    assert story.omitted == {"attempt_sent": 5}


@pytest.mark.parametrize("text", ["", "cut off", '{"time": "10', "[1]", '{"time": 3}'])
def test_lines_that_are_no_log_lines_are_counted(text):
    """Guards against a traceback on rotated or cut logs."""
    assert read_line(text) is None
    story = tell_story("a", (text, *LOG))
    assert len(story.lines) == 2
    assert story.unreadable == (1 if text else 0)


def test_words_of_a_collector_before_the_object_are_skipped():
    assert read_line("  9.1 host " + LOG[0]).fields == {"version": 3}


def test_the_command_prints_text_and_json(tmp_path, capsys):
    first, second = tmp_path / "e1.log", tmp_path / "e2.log"
    first.write_text("\n".join(LOG[:5]))
    second.write_text("\n".join(LOG[5:]))
    assert command_line.main(["trace", "a", str(first), str(second)]) == 0
    shown = capsys.readouterr().out
    assert "request a" in shown
    assert 'e1 attempt_sent server="s1"' in shown
    code = command_line.main(["--json", "trace", "a", str(first), str(second)])
    assert code == 0
    assert json.loads(capsys.readouterr().out)["lines"][0]["event"] == "attempt_sent"


def test_a_wrong_id_and_a_missing_file_are_told(tmp_path, capsys):
    """Guards against a traceback for what an engineer types wrongly."""
    log = tmp_path / "e1.log"
    log.write_text("\n".join(LOG))
    assert command_line.main(["trace", "zz", str(log)]) == 1
    assert "no line about zz" in capsys.readouterr().err
    assert command_line.main(["trace", "a", str(tmp_path / "none")]) == 1
    assert "none" in capsys.readouterr().err
