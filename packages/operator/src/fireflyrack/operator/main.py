"""Entry point of the `fireflyrack` command."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
from typing import Any

from fireflyrack.core import Failed, Ok

from .client import ApiClient
from .commands import CheckFailed
from .errors import CallFailed
from .parser import (
    EXIT_CHECK_FAILED,
    EXIT_CODE_BY_KIND,
    EXIT_FAILED,
    EXIT_INTERRUPTED,
    EXIT_OK,
    EXIT_USAGE,
    build_parser,
)


def main(arguments: list[str] | None = None) -> int:
    """Run the command line; return the exit code."""
    options = build_parser().parse_args(arguments)
    if options.needs_instance and not options.instance:
        print("fireflyrack: at least one --instance is required", file=sys.stderr)
        return EXIT_USAGE
    try:
        code = asyncio.run(run(options))
        sys.stdout.flush()
        return code
    except KeyboardInterrupt:
        print("fireflyrack: interrupted", file=sys.stderr)
        return EXIT_INTERRUPTED
    except BrokenPipeError:
        # The reader closed the pipe; without the redirect, the flush at exit would
        # raise the error again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_OK


async def run(options: argparse.Namespace) -> int:
    """Run one command and print its response; return the exit code."""
    async with ApiClient(tuple(options.instance), options.timeout) as client:
        outcome = await options.run(client, options)
    match outcome:
        case Ok(response):
            print_response(response, options)
            return EXIT_OK
        case Failed(CheckFailed(response, message)):
            print_response(response, options)
            print(f"fireflyrack: {message}", file=sys.stderr)
            return EXIT_CHECK_FAILED
        case Failed(error):
            print_error(error, options)
            return EXIT_CODE_BY_KIND.get(error.kind, EXIT_FAILED)


def print_response(response: Any, options: argparse.Namespace) -> None:
    """Print a response as JSON or as text."""
    if options.json:
        print(json.dumps(response, indent=2))
        return
    for line in options.lines(response):
        print(line)


def print_error(error: CallFailed, options: argparse.Namespace) -> None:
    """Print an error to standard error, as JSON or as text."""
    if options.json:
        body = {"kind": error.kind, "message": error.message}
        if error.detail is not None:
            body["detail"] = error.detail
        print(json.dumps({"error": body}), file=sys.stderr)
        return
    print(f"fireflyrack: {error.kind}: {error.message}", file=sys.stderr)
    for line in options.error_lines(error.detail) if error.detail else ():
        print(line, file=sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
