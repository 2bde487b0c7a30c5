from __future__ import annotations

from fireflyrack.requests import (
    AttemptOutcomeUnknown,
    NotSent,
    OwnerState,
    OwnerStopping,
    Ran,
    RequestSettings,
    ResultRequested,
    ReturnResult,
    RunEnded,
    RunId,
    RunReceived,
    RunSweepTimerFired,
    SendRun,
    decide_owner,
)

RUN = RunId("i1", 5)


def feed(state, event):
    return decide_owner(event, state).actions


def received(at=0.0, call=1, run=RUN, alone=False, owner="o1"):
    return RunReceived(at, call, run, owner, "b0", at + 2.0, alone)


def owner():
    return OwnerState("o1", RequestSettings(owner_keep_s=10))


def test_duplicate_message_is_sent_once_and_both_calls_get_the_result():
    # Guards against a second execution for a duplicate message.
    state = owner()
    assert feed(state, received()) == (SendRun(RUN, "b0"),)
    assert feed(state, received(call=2)) == ()
    actions = feed(state, RunEnded(1.0, RUN, Ran("yes")))
    assert actions == (ReturnResult(1, Ran("yes")), ReturnResult(2, Ran("yes")))


def test_result_query_before_the_run_message_cancels_the_run():
    # Guards against an owner that sends a run after reporting it as cancelled.
    state = owner()
    (answer,) = feed(state, ResultRequested(0.0, 1, RUN, "o1"))
    assert answer.result == NotSent("cancelled")
    assert feed(state, received(call=2)) == (ReturnResult(2, NotSent("cancelled")),)


def test_dropped_run_is_neither_resent_nor_reported_as_not_sent():
    # Guards against a duplicate that arrives after the result was dropped.
    state = owner()
    feed(state, received())
    feed(state, RunEnded(1.0, RUN, Ran("yes")))
    feed(state, RunSweepTimerFired(11.5))
    assert state.runs == {}
    for event in (received(12.0), ResultRequested(12.0, 1, RUN, "o1")):
        (answer,) = feed(state, event)
        assert isinstance(answer.result, AttemptOutcomeUnknown)


def test_restarted_owner_does_not_report_a_run_as_not_sent():
    # Guards against "not_sent" from an owner that restarted with empty memory.
    (answer,) = feed(owner(), ResultRequested(0.0, 1, RUN, "o0"))
    assert isinstance(answer.result, AttemptOutcomeUnknown)
    assert answer.result.final


def test_suspected_request_runs_alone():
    # Guards against harmless requests that fail when a suspect crashes the server.
    state = owner()
    suspect, later = RunId("i1", 6), RunId("i1", 7)
    feed(state, received())
    assert feed(state, received(call=2, run=suspect, alone=True)) == ()
    assert feed(state, received(call=3, run=later)) == ()
    _, send = feed(state, RunEnded(0.5, RUN, Ran("")))
    assert send == SendRun(suspect, "b0")
    _, send = feed(state, RunEnded(0.6, suspect, Ran("")))
    assert send == SendRun(later, "b0")


def test_run_that_waited_past_its_deadline_is_not_sent():
    # Guards against an owner that pauses and sends after the deadline.
    state = owner()
    feed(state, received(alone=True))
    feed(state, received(call=2, run=RunId("i1", 6)))
    _, late = feed(state, RunEnded(5.0, RUN, Ran("")))
    assert late == ReturnResult(2, NotSent("deadline"))


def test_stopping_owner_refuses_new_and_waiting_runs():
    # Guards against a planned stop that leaves outcomes unknown.
    state = owner()
    suspect = RunId("i1", 6)
    feed(state, received())
    feed(state, received(call=2, run=suspect, alone=True))
    refused = NotSent("owner_stopping")
    assert feed(state, OwnerStopping(0.1)) == (ReturnResult(2, refused),)
    assert feed(state, received(call=3, run=RunId("i1", 7))) == (
        ReturnResult(3, refused),
    )
    assert feed(state, RunEnded(0.2, RUN, Ran(""))) == (ReturnResult(1, Ran("")),)
