"""Guard against tracebacks, wrong exit codes and unintended changes of the output."""

from __future__ import annotations

import argparse
import json
import socket

import pytest

from fireflyrack.operator import main as command_line, output
from fireflyrack.operator.parser import build_parser

UNREACHABLE = ["--instance", "127.0.0.1:1"]
RECORD = {
    "version": 3,
    "time": 1796371200.0,
    "operator": "ana",
    "kind": "declare",
    "service": "docs",
    "base_version": 2,
    "operation": "0123456789abcdef" * 2,
}
CHANGES = [{"path": "policy.hedge", "before": "True", "after": "False"}]
PLAN = {
    "operation": "ab" * 16,
    "base_version": 3,
    "changes": CHANGES,
    "effects": ["backend server b1 gets no more work"],
}
EVIDENCE = {
    "instance": "e0",
    "time": 1796371201.0,
    "configuration_version": 3,
    "service": "docs",
    "snapshot": "1.1",
    "coverage": {"share": 0.5, "shards": 4, "lacking": {"deadline": "2-3"}},
    "decisions": {"retries": 1},
}
STATUS = {
    "instance": "e0",
    "failure_domain": "lj-a",
    "configuration_version": 3,
    "ready": True,
    "store_reachable": False,
    "configuration_basis": "read from the store",
}


@pytest.fixture(autouse=True)
def fixed_terminal_width(monkeypatch):
    monkeypatch.setenv("COLUMNS", "80")


def parsers_by_command(parser=None, path=""):
    parser = parser or build_parser()
    parsers = {path: parser}
    for action in parser._actions:
        if isinstance(action, argparse._SubParsersAction):
            for name, subparser in action.choices.items():
                parsers |= parsers_by_command(subparser, f"{path} {name}".strip())
    return parsers


@pytest.mark.parametrize("name", sorted(parsers_by_command()))
def test_help_text_matches_snapshot(name, snapshot):
    """Guards against unintended changes of the options and the help text."""
    assert parsers_by_command()[name].format_help() == snapshot


@pytest.mark.parametrize(
    ("lines", "answer"),
    [
        (output.plan_lines, PLAN),
        (output.conflict_lines, {"since": [{**RECORD, "changes": CHANGES}]}),
        (output.conflict_lines, {"since": [], "plan": PLAN}),
        (output.audit_lines, {"records": [RECORD], "defects": [], "head_version": 3}),
        (
            output.status_lines,
            {
                "newest_version": 4,
                "instances": [STATUS, {"instance": "e1", "error": "refused"}],
            },
        ),
        (
            output.explanation_lines,
            {
                "evidence": EVIDENCE,
                "signature": "valid",
                "key_id": "k1",
                "configuration_matches": True,
                "configuration": RECORD,
                "service_confirmed": RECORD,
                "document": {"backend_servers": [{}, {}]},
            },
        ),
    ],
    ids=["plan", "since", "renewed", "audit", "status", "explain"],
)
def test_text_output_matches_snapshot(lines, answer, snapshot):
    """Guards against unintended changes of the text that operators read."""
    assert "\n".join(lines(answer)) == snapshot


@pytest.mark.parametrize(
    ("content", "command"),
    [
        (None, "plan"),
        (b"\xff\xfe", "plan"),
        (b"a: [", "plan"),
        (b"day: 2026-12-04", "plan"),
        (b"&a [*a]", "plan"),
        (b"{", "confirm"),
        (b"[" * 100_000, "confirm"),
        (b"{", "explain"),
    ],
)
def test_invalid_input_file_is_reported(tmp_path, capsys, content, command):
    """Guards against a traceback for a missing, malformed or deeply nested file."""
    path = tmp_path / "file"
    if content is not None:
        path.write_bytes(content)
    assert command_line.main([*UNREACHABLE, command, str(path)]) == 1
    assert capsys.readouterr().err.startswith("fireflyrack: invalid_file: ")


@pytest.mark.parametrize(
    ("command", "code"),
    [
        ([*UNREACHABLE, "status"], 3),
        (["--instance", "no address", "services"], 3),
        (["status"], 2),
        ([*UNREACHABLE, "quarantine", "list"], 3),
        (["quarantine", "lift", "ab", *UNREACHABLE], 3),
    ],
)
def test_exit_code_without_a_reachable_instance(command, code, capsys):
    """Guards against a wrong exit code or a traceback without a reachable instance."""
    assert command_line.main(command) == code
    output_streams = capsys.readouterr()
    assert output_streams.out == "" and output_streams.err.count("\n") == 1


def test_error_is_json_with_json_option(capsys):
    """Guards against error text that a script with `--json` cannot parse."""
    assert command_line.main(["audit", *UNREACHABLE, "--json"]) == 3
    assert json.loads(capsys.readouterr().err)["error"]["kind"] == "unreachable"


@pytest.mark.parametrize("timeout", ["0", "-1", "nan", "inf", "x"])
def test_invalid_timeout_is_a_usage_error(timeout):
    """Guards against a timeout that never or always expires."""
    with pytest.raises(SystemExit) as raised:
        command_line.main([*UNREACHABLE, f"--timeout={timeout}", "status"])
    assert raised.value.code == 2


def test_response_timeout_is_reported_as_unknown_outcome(capsys):
    """Guards against reporting a request as not sent when no response arrived."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        command = ["--instance", address, "--timeout", "0.2", "services"]
        assert command_line.main(command) == 5


def test_interrupt_exits_without_traceback(monkeypatch, capsys):
    """Guards against a traceback after Ctrl-C."""

    async def raise_interrupt(options):
        raise KeyboardInterrupt

    monkeypatch.setattr(command_line, "run", raise_interrupt)
    assert command_line.main([*UNREACHABLE, "status"]) == 130
    assert capsys.readouterr().err == "fireflyrack: interrupted\n"
