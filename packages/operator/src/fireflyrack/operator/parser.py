"""Arguments and exit codes of the command line."""

from __future__ import annotations

import argparse
import math

from . import commands, output
from .quarantine_commands import add_quarantine_commands
from .trace_command import add_trace_command

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_CONFLICT = 4
EXIT_OUTCOME_UNKNOWN = 5
EXIT_CHECK_FAILED = 6
EXIT_INTERRUPTED = 130
EXIT_CODE_BY_KIND = {
    "unreachable": EXIT_UNREACHABLE,
    "plan_conflict": EXIT_CONFLICT,
    "confirmation_unknown": EXIT_OUTCOME_UNKNOWN,
    "no_answer": EXIT_OUTCOME_UNKNOWN,
}
EXIT_CODE_HELP = (
    "Exit codes: 0 success; 1 rejected or failed, nothing was changed; 2 usage error; "
    "3 no instance reachable; 4 the plan conflicts with a later change; 5 no response, "
    "the outcome is unknown; 6 a record, signature or instance failed a check; "
    "130 interrupted."
)


def seconds(text: str) -> float:
    """Parse a finite, positive number of seconds.

    The function name appears in the error that argparse prints for other values.
    """
    value = float(text)
    if not 0 < value < math.inf:
        raise argparse.ArgumentTypeError("must be a positive number of seconds")
    return value


def add_common_options(parser: argparse.ArgumentParser, top_level: bool) -> None:
    """Add the options accepted both before and after the command."""
    # Only the top level has defaults: a default of the subparser would overwrite a
    # value given before the command.
    no_default = argparse.SUPPRESS
    parser.add_argument(
        "--instance",
        action="append",
        default=[] if top_level else no_default,
        metavar="ADDRESS",
        help="address of an entry instance; may be given several times",
    )
    parser.add_argument(
        "--json",
        action="store_true",
        default=False if top_level else no_default,
        help="print JSON",
    )
    parser.add_argument(
        "--timeout",
        type=seconds,
        default=10.0 if top_level else no_default,
        metavar="SECONDS",
        help="timeout of each call",
    )


def build_parser() -> argparse.ArgumentParser:
    """Build the parser with all commands."""
    parser = argparse.ArgumentParser(
        prog="fireflyrack",
        description="Operate fireflyrack: plan and confirm changes, search, inspect.",
        epilog=EXIT_CODE_HELP,
    )
    add_common_options(parser, top_level=True)
    subparsers = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    add_change_commands(subparsers)
    add_inspection_commands(subparsers)
    add_caller_commands(subparsers)
    add_quarantine_commands(subparsers, add_command)
    add_trace_command(subparsers, add_command)
    return parser


def add_command(
    subparsers: argparse._SubParsersAction, name: str, summary: str, run, lines
):
    """Add a command with the common options and the functions that handle it.

    `run` returns the outcome of the command, `lines` formats its response.
    """
    parser = subparsers.add_parser(
        name,
        help=summary,
        description=f"{summary[0].upper()}{summary[1:]}.",
        epilog=EXIT_CODE_HELP,
    )
    add_common_options(parser, top_level=False)
    parser.set_defaults(
        run=run,
        lines=lines,
        error_lines=output.conflict_lines,
        needs_instance=True,
    )
    return parser


def add_change_commands(subparsers: argparse._SubParsersAction) -> None:
    """Add the commands that change the configuration."""
    plan = add_command(
        subparsers,
        "plan",
        "show what an intent would change",
        commands.run_plan,
        output.plan_lines,
    )
    plan.add_argument("intent", help="intent file in YAML")
    rollback = add_command(
        subparsers,
        "rollback",
        "show what a rollback of a service would change",
        commands.run_rollback,
        output.plan_lines,
    )
    rollback.add_argument("service")
    rollback.add_argument("version", type=int, help="version to roll back to")
    confirm = add_command(
        subparsers,
        "confirm",
        "confirm a saved plan and activate it",
        commands.run_confirm,
        output.confirmation_lines,
    )
    confirm.add_argument("plan", help="plan file written with --save")
    for parser in (plan, rollback):
        parser.add_argument("--save", metavar="FILE", help="write the plan to a file")
    confirm.add_argument(
        "--save", metavar="FILE", help="on a conflict, write the new plan to a file"
    )
    for parser in (plan, rollback, confirm):
        # The current user is looked up when the command runs, so that the help text
        # is the same for all users.
        parser.add_argument(
            "--operator",
            help="name for the audit trail; current user by default",
        )


def add_inspection_commands(subparsers: argparse._SubParsersAction) -> None:
    """Add the commands that show state and history."""
    add_command(
        subparsers,
        "status",
        "show the state and configuration version of all instances",
        commands.run_status,
        output.status_lines,
    )
    add_command(
        subparsers,
        "services",
        "show the services of the active configuration",
        commands.run_services,
        output.service_lines,
    )
    audit = add_command(
        subparsers,
        "audit",
        "list the audit trail and verify its hash chain",
        commands.run_audit,
        output.audit_lines,
    )
    audit.add_argument(
        "--from-version", type=int, default=1, metavar="N", help="first version to list"
    )
    audit.add_argument("--limit", type=int, metavar="N", help="maximum record count")
    explain = add_command(
        subparsers,
        "explain",
        "explain a search answer from the evidence in it",
        commands.run_explain,
        output.explanation_lines,
    )
    explain.add_argument("file", help="search answer or its evidence, in JSON")


def add_caller_commands(subparsers: argparse._SubParsersAction) -> None:
    """Add the commands that send the requests of callers."""
    search = add_command(
        subparsers,
        "search",
        "search a service",
        commands.run_search,
        output.search_lines,
    )
    search.add_argument("service")
    search.add_argument("query")
    search.add_argument("-k", type=int, default=10, help="number of results")
    search.add_argument("--offset", type=int, default=0, help="results to skip")
    search.add_argument("--snapshot", help="index snapshot of an earlier search answer")
    search.add_argument("--deadline-ms", type=int, help="time limit of the search")
    addresses = add_command(
        subparsers,
        "addresses",
        "list the entry instances that a caller should use",
        commands.run_addresses,
        output.address_lines,
    )
    addresses.add_argument(
        "--failure-domain", default="", help="failure domain of the caller"
    )
