"""Commands `quarantine list` and `quarantine lift`."""

from __future__ import annotations

import argparse
from collections.abc import Callable, Iterator
from typing import Any
from urllib.parse import quote

from fireflyrack.core import Outcome

from .client import ApiClient


def add_quarantine_commands(subparsers: Any, add_command: Callable[..., Any]) -> None:
    """Add the `quarantine` commands to the subparsers of the command line.

    `add_command` adds one command with the common options.
    """
    summary = "requests that crash backend servers"
    parser = subparsers.add_parser(
        "quarantine",
        help=summary,
        description=f"List or release {summary}.",
    )
    actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")
    add_command(
        actions,
        "list",
        "show suspected and quarantined requests",
        run_list,
        quarantine_lines,
    )
    lift = add_command(
        actions, "lift", "release a request from quarantine", run_lift, lift_lines
    )
    lift.add_argument("fingerprint", help="request fingerprint from `quarantine list`")


async def run_list(client: ApiClient, options: argparse.Namespace) -> Outcome:
    """Read the suspected and quarantined fingerprints."""
    return await client.call("GET", "/v1/quarantine")


async def run_lift(client: ApiClient, options: argparse.Namespace) -> Outcome:
    """Lift the quarantine of a fingerprint."""
    fingerprint = quote(options.fingerprint, safe="")
    return await client.call("DELETE", f"/v1/quarantine/{fingerprint}")


def quarantine_lines(response: dict[str, Any]) -> Iterator[str]:
    """Yield one line for each suspected or quarantined fingerprint."""
    for entry in response["fingerprints"]:
        servers = ", ".join(entry["backend_servers"])
        yield (
            f"{entry['fingerprint']}  {entry['state']}  service {entry['service']}  "
            f"crashed {servers}"
        )
    if not response["fingerprints"]:
        yield "no suspected or quarantined requests"


def lift_lines(response: dict[str, Any]) -> Iterator[str]:
    """Yield the fingerprint whose quarantine was lifted."""
    yield f"{response['lifted']} may run again"
