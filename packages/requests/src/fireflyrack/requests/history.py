"""Checker for histories of calls, outcomes and executions of requests.

Collect the events of all processes, interleaved in any order, and call
`check_history`.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Called:
    """Request that a caller sent; `call` is unique in the history."""

    call: str
    caller: str
    # Ticket identifier without its secret parts.
    ticket: str
    body: str


@dataclass(frozen=True, slots=True)
class Answered:
    """Outcome that a call received: "ran", "not_run" or "unknown"."""

    call: str
    outcome: str
    answer: str = ""
    cause: str = ""


@dataclass(frozen=True, slots=True)
class Executed:
    """Execution of a request on a backend server, with the answer it produced."""

    ticket: str
    body: str
    backend_server: str
    answer: str


HistoryEvent = Called | Answered | Executed


@dataclass(frozen=True, slots=True)
class Violation:
    """Violation of a guarantee in a history."""

    kind: str
    ticket: str
    detail: str


@dataclass(frozen=True, slots=True)
class HistoryReport:
    """Violations found in a history, with counts of its tickets and outcomes."""

    violations: tuple[Violation, ...]
    tickets: int
    executions: int
    outcomes: dict[str, int]
    # Tickets for which every call got "unknown", by cause.
    unknown_causes: dict[str, int]

    def count(self, kind: str) -> int:
        """Return the number of violations of a kind."""
        return sum(violation.kind == kind for violation in self.violations)


def check_history(events: Iterable[HistoryEvent]) -> HistoryReport:
    """Return the violations and counts of a history.

    An execution counts wherever it stands in the history, since "not_run" also means
    that the request never will run. Answers to one ticket are ordered as in `events`.
    """
    calls: dict[str, Called] = {}
    answers: dict[str, list[tuple[Called, Answered]]] = defaultdict(list)
    runs: dict[str, list[Executed]] = defaultdict(list)
    violations: list[Violation] = []
    events = tuple(events)
    for event in events:
        if isinstance(event, Called):
            calls[event.call] = event
        elif isinstance(event, Executed):
            runs[event.ticket].append(event)
    for event in events:
        if isinstance(event, Answered):
            if called := calls.get(event.call):
                answers[called.ticket].append((called, event))
            else:
                violations.append(
                    Violation("answer_without_call", "", f"call {event.call}")
                )
    violations.extend(check_runs(runs, calls))
    for ticket, replies in answers.items():
        violations.extend(check_answers(ticket, replies, runs.get(ticket, [])))
    known = {ticket: best_known_outcome(replies) for ticket, replies in answers.items()}
    unknown = (a.cause for a in known.values() if a.outcome == "unknown")
    return HistoryReport(
        violations=tuple(violations),
        tickets=len({called.ticket for called in calls.values()}),
        executions=sum(len(executed) for executed in runs.values()),
        outcomes=dict(Counter(answer.outcome for answer in known.values())),
        unknown_causes=dict(Counter(unknown)),
    )


def best_known_outcome(replies: list[tuple[Called, Answered]]) -> Answered:
    """Return the first definite answer to a ticket's calls, or else the last one."""
    answered = [answer for _, answer in replies]
    definite = (answer for answer in answered if answer.outcome != "unknown")
    return next(definite, answered[-1])


def check_runs(
    runs: dict[str, list[Executed]], calls: dict[str, Called]
) -> Iterable[Violation]:
    """Yield duplicate executions and executions that no caller requested."""
    requested = {(called.ticket, called.body) for called in calls.values()}
    for ticket, executed in runs.items():
        if len(executed) > 1:
            servers = ", ".join(run.backend_server for run in executed)
            yield Violation("doubled_run", ticket, f"ran on {servers}")
        for run in executed:
            if (ticket, run.body) not in requested:
                yield Violation("run_without_call", ticket, run.backend_server)


def check_answers(
    ticket: str, replies: list[tuple[Called, Answered]], runs: list[Executed]
) -> Iterable[Violation]:
    """Yield false, misdelivered and contradictory outcomes of one ticket."""
    executed_answers = {run.answer for run in runs}
    returned_answers = set()
    for called, answered in replies:
        if answered.outcome == "not_run" and runs:
            yield Violation("false_not_run", ticket, f"call {answered.call}")
        if answered.outcome == "ran":
            returned_answers.add(answered.answer)
            if answered.answer not in executed_answers:
                kind = "crossed_answer" if runs else "false_ran"
                yield Violation(kind, ticket, f"call {answered.call}")
            elif all(run.body != called.body for run in runs):
                yield Violation("crossed_answer", ticket, f"call {answered.call}")
    callers = {called.caller for called, answered in replies if answered.answer}
    if len(callers) > 1:
        yield Violation("crossed_answer", ticket, f"given to {len(callers)} callers")
    if len(returned_answers) > 1:
        yield Violation("changed_answer", ticket, f"{len(returned_answers)} answers")
