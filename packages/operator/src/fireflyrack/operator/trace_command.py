"""Command `trace`, which follows a request through log files."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterator
from pathlib import Path

from fireflyrack.core import Failed, Ok, Outcome

from .client import ApiClient
from .errors import CallFailed
from .request_trace import build_trace, trace_lines


async def run_trace(client: ApiClient, options: argparse.Namespace) -> Outcome:
    """Trace a request through the logs without calling an instance."""
    try:
        trace = build_trace(options.request, read_logs(options.files))
    except OSError as error:
        return Failed(CallFailed("unreadable_file", str(error)))
    if not trace.lines:
        message = f"no log line for {options.request}; omitted: {trace.omitted or 0}"
        return Failed(CallFailed("no_such_request", message))
    return Ok(trace.as_json())


def read_logs(files: list[str]) -> Iterator[str]:
    """Yield the lines of all files, or of standard input if none is given."""
    if not files:
        yield from sys.stdin
    for name in files:
        with Path(name).open(encoding="utf-8", errors="replace") as log:
            yield from log


def add_trace_command(subparsers: argparse._SubParsersAction, add_command) -> None:
    """Add the `trace` command to the subparsers."""
    trace = add_command(
        subparsers,
        "trace",
        "trace a request through the logs of instances",
        run_trace,
        trace_lines,
    )
    trace.add_argument("request", metavar="ID", help="request id")
    trace.add_argument(
        "files", nargs="*", metavar="FILE", help="log files; standard input by default"
    )
    trace.set_defaults(needs_instance=False)
