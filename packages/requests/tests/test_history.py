from __future__ import annotations

import pytest

from fireflyrack.core import Decision
from fireflyrack.requests import (
    Answered,
    AttemptEnded,
    AttemptOutcomeUnknown,
    Called,
    Executed,
    NotSent,
    Ran,
    ResultRequested,
    ReturnResult,
    SendReply,
    check_history,
    decide_issuer,
    decide_owner,
)
from fireflyrack.testbed.request_simulation import Simulation
from fireflyrack.testbed.simulated_process import Faults

SEEDS = range(3)
BOOKINGS = 1000


def retry_after_unknown_outcome(event, state):
    """Start another attempt after an unknown result, as if nothing had been sent."""
    if isinstance(event, AttemptEnded) and isinstance(
        event.result, AttemptOutcomeUnknown
    ):
        event = AttemptEnded(event.at, event.sequence, NotSent("lost"))
    return decide_issuer(event, state)


def cancel_without_recording(event, state):
    """Confirm a cancellation without recording it; the attempt may still arrive."""
    if isinstance(event, ResultRequested) and event.id not in state.runs:
        return Decision(state, (ReturnResult(event.call, NotSent("cancelled")),))
    return decide_owner(event, state)


def misdeliver_answers():
    """Return an issuer that replies with the answer to the previous request."""
    last = [Ran("")]

    def decide(event, state):
        decision = decide_issuer(event, state)
        actions = []
        for action in decision.actions:
            if isinstance(action, SendReply) and isinstance(action.reply, Ran):
                last.append(action.reply)
                action = SendReply(action.call, last[-2])
            actions.append(action)
        return Decision(decision.state, tuple(actions))

    return decide


@pytest.mark.parametrize("seed", SEEDS)
def test_guarantees_hold_under_message_and_process_faults(seed):
    # Guards against duplicate executions, false "not_run" and misdelivered answers.
    simulation = Simulation(seed, BOOKINGS, Faults())
    report = simulation.run()
    assert report.violations == ()
    assert report.outcomes["ran"] > BOOKINGS / 2
    assert simulation.faults_seen["lost_message"] > 0


@pytest.mark.parametrize("seed", SEEDS)
def test_guarantees_hold_while_instances_are_replaced(seed):
    # Guards against a successor that reports a false outcome, also when it stops too.
    simulation = Simulation(seed, BOOKINGS, Faults(crashes=0.1, handovers=0.5))
    report = simulation.run()
    assert report.violations == ()
    assert simulation.faults_seen["handovers"] > 1
    assert report.executions > 0


# Guards against a checker that misses the faults that the tests above rule out.
@pytest.mark.parametrize(
    "broken,kind",
    [
        ({"issuer_decide": retry_after_unknown_outcome}, "doubled_run"),
        ({"issuer_decide": retry_after_unknown_outcome}, "false_not_run"),
        ({"owner_decide": cancel_without_recording}, "false_not_run"),
        ({"issuer_decide": misdeliver_answers()}, "crossed_answer"),
    ],
)
def test_checker_detects_injected_faults(broken, kind):
    faults = Faults(lost_message=0.05, delayed_message=0.2)
    reports = [Simulation(seed, BOOKINGS, faults, **broken).run() for seed in SEEDS]
    assert sum(report.count(kind) for report in reports) > 0


def test_checker_detects_an_execution_after_a_not_run_reply():
    # Guards against a checker that ignores executions after the reply.
    events = [
        Called("c1", "a", "t", "body"),
        Answered("c1", "not_run"),
        Executed("t", "body", "b0", "x"),
    ]
    assert check_history(events).count("false_not_run") == 1


def test_checker_detects_an_answer_returned_to_two_callers():
    # Guards against a checker that misses use of a ticket by a second caller.
    events = [
        Called("c1", "a", "t", "body"),
        Called("c2", "b", "t", "body"),
        Executed("t", "body", "b0", "x"),
        Answered("c1", "ran", "x"),
        Answered("c2", "ran", "x"),
    ]
    assert check_history(events).count("crossed_answer") == 1
