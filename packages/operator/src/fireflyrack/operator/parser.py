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
EXIT_UNKNOWN = 5
EXIT_CHECK_FAILED = 6
EXIT_INTERRUPTED = 130
EXIT_CODES = {
    "unreachable": EXIT_UNREACHABLE,
    "plan_conflict": EXIT_CONFLICT,
    "confirmation_unknown": EXIT_UNKNOWN,
    "no_answer": EXIT_UNKNOWN,
}
EXIT_TEXT = (
    "Exit codes: 0 done; 1 rejected or failed, nothing was changed; 2 wrong usage; "
    "3 no instance reachable; 4 the plan conflicts with a later change; 5 no answer, "
    "the outcome is unknown; 6 a record, signature or instance does not pass the "
    "check; 130 interrupted."
)


def seconds(text: str) -> float:
    """Read a positive number of seconds."""
    value = float(text)
    if not 0 < value < math.inf:
        raise argparse.ArgumentTypeError("not a positive number of seconds")
    return value


def common_options(parser: argparse.ArgumentParser, top: bool) -> None:
    """Add the options that are taken before and after the command."""
    # Only the top level has defaults, so that a command does not overwrite what was
    # given before it.
    absent = argparse.SUPPRESS
    parser.add_argument(
        "--instance",
        action="append",
        default=[] if top else absent,
        metavar="ADDRESS",
        help="address of an entry instance; may be given several times",
    )
    parser.add_argument(
        "--json",
        action="store_true",
        default=False if top else absent,
        help="print JSON",
    )
    parser.add_argument(
        "--timeout",
        type=seconds,
        default=10.0 if top else absent,
        metavar="SECONDS",
        help="limit of a call",
    )


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="fireflyrack",
        description="Operate fireflyrack: plan and confirm intents, search, inspect.",
        epilog=EXIT_TEXT,
    )
    common_options(parser, top=True)
    adder = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    add_changes(adder)
    add_inspection(adder)
    add_caller_commands(adder)
    add_quarantine_commands(adder, add)
    add_trace_command(adder, add)
    return parser


def add(adder: argparse._SubParsersAction, name: str, text: str, run, lines):
    """Add a command."""
    parser = adder.add_parser(
        name, help=text, description=f"{text[0].upper()}{text[1:]}.", epilog=EXIT_TEXT
    )
    common_options(parser, top=False)
    parser.set_defaults(
        run=run,
        lines=lines,
        error_lines=output.conflict_lines,
        needs_instance=True,
    )
    return parser


def add_changes(adder: argparse._SubParsersAction) -> None:
    """Add the commands that change the configuration."""
    plan = add(
        adder,
        "plan",
        "show what an intent would change",
        commands.run_plan,
        output.plan_lines,
    )
    plan.add_argument("intent", help="intent file in YAML")
    rollback = add(
        adder,
        "rollback",
        "show what a return of a service to an earlier version would change",
        commands.run_rollback,
        output.plan_lines,
    )
    rollback.add_argument("service")
    rollback.add_argument("version", type=int, help="version to return to")
    confirm = add(
        adder,
        "confirm",
        "put a saved plan in force",
        commands.run_confirm,
        output.confirmation_lines,
    )
    confirm.add_argument("plan", help="plan file written with --save")
    for parser in (plan, rollback):
        parser.add_argument("--save", metavar="FILE", help="write the plan to a file")
    confirm.add_argument(
        "--save", metavar="FILE", help="write the new plan of a conflict to a file"
    )
    for parser in (plan, rollback, confirm):
        # The default is found later, so that help texts are the same for all users.
        parser.add_argument("--operator", help="who asks; the user by default")


def add_inspection(adder: argparse._SubParsersAction) -> None:
    """Add the commands that show state and history."""
    add(
        adder,
        "status",
        "show all instances with their versions",
        commands.run_status,
        output.status_lines,
    )
    add(
        adder,
        "services",
        "show the services in force",
        commands.run_services,
        output.service_lines,
    )
    audit = add(
        adder,
        "audit",
        "list the audit trail and verify its chain",
        commands.run_audit,
        output.audit_lines,
    )
    audit.add_argument(
        "--from-version", type=int, default=1, metavar="N", help="first version"
    )
    audit.add_argument("--limit", type=int, metavar="N", help="number of records")
    explain = add(
        adder,
        "explain",
        "explain an answer by the evidence that it carries",
        commands.run_explain,
        output.explanation_lines,
    )
    explain.add_argument("file", help="an answer or its evidence in JSON")


def add_caller_commands(adder: argparse._SubParsersAction) -> None:
    """Add the commands that do what callers do."""
    search = add(
        adder, "search", "search a service", commands.run_search, output.search_lines
    )
    search.add_argument("service")
    search.add_argument("query")
    search.add_argument("-k", type=int, default=10, help="number of results")
    search.add_argument("--offset", type=int, default=0, help="results to skip")
    search.add_argument("--snapshot", help="snapshot of an earlier answer")
    search.add_argument("--deadline-ms", type=int, help="time limit of the search")
    addresses = add(
        adder,
        "addresses",
        "show which addresses to use",
        commands.run_addresses,
        output.address_lines,
    )
    addresses.add_argument("--failure-domain", default="", help="of the caller")
