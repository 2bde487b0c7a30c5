from __future__ import annotations

import dataclasses

import pytest
from forwarding_cases import CUTOFF_S, DEADLINE_S, Case, completed, record, server

from fireflyrack.discovery import ServerState
from fireflyrack.forwarding import (
    Cause,
    Completed,
    Interrupted,
    Merged,
    NotConnected,
    NotRun,
    Refusal,
    Refused,
    Relayed,
    TimedOut,
    Unknown,
)
from fireflyrack.forwarding.state import CallerDisconnected

FULL = Refused(Refusal.FULL, 503)


def test_a_response_is_relayed_unchanged():
    """Guards against changes to the status, headers or body of a response."""
    case = Case()
    (first,) = case.start()
    case.end(first, completed("sig", b"body"))
    assert case.answer == Relayed(200, (("x-name", "sig"),), b"body")


def test_a_refused_request_is_retried_once_and_then_not_run():
    """Guards against a wrong or delayed answer after refusals by all attempts."""
    case = Case()
    (first,) = case.start()
    (second,) = case.end(first, FULL)
    assert second.server.id != first.server.id
    assert case.end(second, FULL) == []
    assert isinstance(case.answer, NotRun)
    assert case.answer.retry_after_s > 0


@pytest.mark.parametrize("outcome", [Interrupted("reset"), TimedOut()])
def test_a_request_that_may_have_run_is_not_reported_as_not_run(outcome):
    """Guards against a caller that repeats a booking that was executed."""
    case = Case(idempotent=False)
    (first,) = case.start()
    assert case.end(first, outcome) == []
    assert isinstance(case.answer, Unknown)


def test_a_refusal_after_an_interrupted_attempt_is_unknown():
    """Guards against a last outcome that hides that an earlier attempt may have run."""
    case = Case()
    (first,) = case.start()
    (second,) = case.end(first, Interrupted("reset"))
    case.end(second, FULL)
    assert isinstance(case.answer, Unknown)


def test_a_non_idempotent_request_is_retried_only_if_not_run():
    """Guards against a booking that is executed twice."""
    case = Case(idempotent=False)
    (first,) = case.start()
    assert case.fire_timer(0.5) == []
    assert len(case.end(first, FULL, 0.5)) == 1
    case = Case(idempotent=False)
    (first,) = case.start()
    assert case.end(first, completed("sig", status=500)) == []
    assert case.answer.status == 500


def test_attempts_do_not_exceed_the_limit_of_the_route():
    """Guards against a hedge beside a retry, and hedges on routes without any."""
    case = Case(max_attempts=1)
    case.start()
    assert case.fire_timer(0.5) == []
    case = Case(max_attempts=2)
    (first,) = case.start()
    (hedge,) = case.fire_timer(0.06)
    assert case.end(first, FULL, 0.07) == []
    assert case.answer is None
    case.end(hedge, completed(), 0.08)
    assert isinstance(case.answer, Relayed)


def test_a_failed_connection_uses_neither_attempts_nor_budget():
    """Guards against unreachable servers that use up the attempts of a request."""
    case = Case(max_attempts=1)
    remaining = case.fleet.budget("s").remaining(0.0)
    (first,) = case.start()
    (second,) = case.end(first, NotConnected("refused"))
    (third,) = case.end(second, NotConnected("refused"))
    assert len({first.server.id, second.server.id, third.server.id}) == 3
    assert case.end(third, NotConnected("refused")) == []
    assert isinstance(case.answer, NotRun)
    assert case.fleet.budget("s").remaining(0.0) >= remaining


def test_no_hedge_or_retry_without_budget():
    """Guards against extra attempts beyond the fleet-wide allowance."""
    case = Case(burst=0.0)
    (first,) = case.start()
    assert case.fire_timer(0.06) == []
    assert case.end(first, FULL, 0.07) == []
    assert isinstance(case.answer, NotRun)


def test_hedges_are_withheld_while_other_servers_are_busy():
    """Guards against hedges that increase an overload."""
    case = Case()
    case.start()
    for name in ("s-0", "s-1", "s-2"):
        for number in range(3):
            case.fleet.server(name).start((9, number), 0.0, 1.0)
    assert case.fire_timer(0.06) == []
    assert case.state.shards[0].hedge_at > 0.06


def test_the_first_response_wins_and_the_other_attempt_is_cancelled():
    """Guards against wasted work on backend servers after the request was answered."""
    case = Case()
    (first,) = case.start()
    (hedge,) = case.fire_timer(0.06)
    case.end(hedge, completed("hedge"), 0.07)
    assert case.cancelled == [first.id]
    assert case.end(first, completed("late"), 0.08) == []
    assert case.answer.headers == (("x-name", "hedge"),)


def test_a_success_without_a_signature_is_not_relayed():
    """Guards against relaying a response that no backend server has signed."""
    case = Case(max_attempts=1)
    (first,) = case.start()
    case.end(first, Completed(200, (), b"x", ""))
    assert case.answer == Unknown(Cause.SERVER_FAILED)


def test_a_success_without_a_signature_is_retried_if_the_request_may_run_again():
    """Guards against a failure that another server would have prevented."""
    case = Case(max_attempts=2)
    (first,) = case.start()
    (second,) = case.end(first, Completed(200, (), b"x", ""))
    assert second.server.id != first.server.id
    case.end(second, completed("other"), 0.04)
    assert case.answer.headers == (("x-name", "other"),)


def test_a_success_without_a_signature_is_not_retried_if_it_may_run_once():
    """Guards against a second run of a request whose answer cannot be relayed."""
    case = Case(idempotent=False)
    (first,) = case.start()
    assert case.end(first, Completed(200, (), b"x", "")) == []
    assert case.answer == Unknown(Cause.SERVER_FAILED)


def test_a_not_run_status_of_an_executed_request_is_not_relayed():
    """Guards against a 503 for an executed request that reads as 'not run'."""
    case = Case(max_attempts=1)
    (first,) = case.start()
    case.end(first, completed("sig", status=503))
    assert isinstance(case.answer, Unknown)


def test_draining_servers_get_no_attempts():
    """Guards against first attempts, hedges or retries on a draining server."""
    case = Case()
    case.servers["s"] = (
        server("s", 0, state=ServerState.DRAINING),
        server("s", 1),
    )
    (first,) = case.start()
    assert first.server.id == "s-1"
    assert case.fire_timer(0.06) == []
    assert case.end(first, FULL, 0.07) == []


def test_a_request_without_servers_is_answered_at_once():
    """Guards against a request that waits although no server can execute it."""
    case = Case()
    case.servers.clear()
    assert case.start() == []
    assert case.answer == NotRun(Cause.NO_SERVER, case.answer.retry_after_s)


def test_connection_limits_are_enforced():
    """Guards against connections above the limit, which the backend server resets."""
    case = Case()
    case.fleet.set_instance_count(4)
    for name in ("s-0", "s-1", "s-2"):
        for number in range(21):
            case.fleet.server(name).start((9, number), 0.0, 1.0)
    assert case.start() == []
    assert case.answer.cause is Cause.SATURATED


def test_a_search_merges_the_top_records_of_all_shards():
    """Guards against missing, extra or partial records in a merged answer."""
    case = Case(shards=3)
    attempts = case.start()
    for number, attempt in enumerate(attempts):
        body = record(number) + record(10 + number) + b"rest"
        case.end(attempt, completed(f"sig{number}", body))
    assert isinstance(case.answer, Merged)
    assert case.answer.body == record(12) + record(11) + record(10)
    assert set(case.answer.signatures) == {"sig0", "sig1", "sig2"}
    assert case.answer.missing == 0


def test_a_search_waits_for_all_shards_until_the_cutoff():
    """Guards against a partial answer before the cutoff time."""
    case = Case(shards=5, max_attempts=1)
    attempts = case.start()
    for attempt in attempts[:4]:
        case.end(attempt, completed(str(attempt.id)))
    assert case.answer is None
    case.fire_timer(CUTOFF_S)
    assert case.answer.missing == 1
    assert case.cancelled == [attempts[4].id]


def test_a_search_below_minimum_coverage_waits_past_the_cutoff():
    """Guards against an answer below the minimum coverage of the route."""
    case = Case(shards=5, max_attempts=1)
    attempts = case.start()
    for attempt in attempts[:3]:
        case.end(attempt, completed(str(attempt.id)))
    case.fire_timer(CUTOFF_S)
    assert case.answer is None
    case.end(attempts[3], completed("3"), 0.3)
    assert case.answer.missing == 1


def test_a_search_that_cannot_reach_minimum_coverage_ends_at_once():
    """Guards against a search that waits until the deadline although it has failed."""
    case = Case(shards=5, max_attempts=1)
    attempts = case.start()
    case.end(attempts[0], Interrupted("reset"), 0.01)
    case.end(attempts[1], Interrupted("reset"), 0.01)
    assert case.answer == Unknown(Cause.COVERAGE)
    assert len(case.cancelled) == 3


def test_a_search_without_servers_for_enough_shards_is_not_run():
    """Guards against load caused by a search that cannot succeed."""
    case = Case(shards=5)
    del case.servers["s0"], case.servers["s1"]
    assert case.start() == []
    assert isinstance(case.answer, NotRun)


def test_a_search_is_answered_without_an_unavailable_shard():
    """Guards against a failed search although the minimum coverage is reached."""
    case = Case(shards=5)
    del case.servers["s0"]
    for attempt in case.start():
        case.end(attempt, completed(str(attempt.id)))
    assert case.answer.missing == 1


def test_a_failed_shard_is_not_merged():
    """Guards against the signature of an error response in the merged answer."""
    case = Case(shards=5, max_attempts=1)
    attempts = case.start()
    for attempt in attempts[:4]:
        case.end(attempt, completed(f"ok{attempt.id}"))
    case.end(attempts[4], completed("failed", record(9), status=500))
    assert case.answer.missing == 1
    assert "failed" not in case.answer.signatures


def test_the_deadline_ends_a_request():
    """Guards against a caller that waits longer than the route's timeout."""
    case = Case()
    case.start()
    case.fire_timer(DEADLINE_S)
    assert case.answer == Unknown(Cause.TIMED_OUT)


def test_a_caller_disconnect_cancels_all_attempts():
    """Guards against work on backend servers for a closed connection."""
    case = Case(shards=5)
    attempts = case.start()
    case.feed(CallerDisconnected(0.01))
    assert case.cancelled == [attempt.id for attempt in attempts]
    assert all(not health.outstanding for health in case.fleet.servers.values())


def test_an_overloaded_instance_sends_no_hedges():
    """Guards against hedges, and slow server health, caused by the instance itself."""
    case = Case()
    case.overloaded = True
    (first,) = case.start()
    assert case.fire_timer(0.06) == []
    case.end(first, completed(), 0.5)
    assert case.fleet.server(first.server.id).latency_ratio == 1.0
    assert case.fleet.routes["r"].estimate.total == 0


def test_a_hanging_attempt_is_hedged_even_if_others_are_busy():
    """Guards against a request that waits for a hanging server until its deadline."""
    case = Case()
    (first,) = case.start()
    for known in case.servers["s"]:
        if known.id != first.server.id:
            for number in range(known.slots):
                case.fleet.server(known.id).start((1, number), 0.0, 1.0)
    delay_s = case.fleet.route("r", 0.1).hedge_delay_s
    assert case.fire_timer(1.1 * delay_s) == []
    (hedge,) = case.fire_timer(4.1 * delay_s)
    assert hedge.server.id != first.server.id


def test_a_request_with_only_draining_servers_has_its_own_cause():
    """Guards against a log that names the connection limit when all servers drain."""
    case = Case()
    case.servers["s"] = tuple(
        dataclasses.replace(known, state=ServerState.DRAINING)
        for known in case.servers["s"]
    )
    case.start()
    assert case.answer.cause is Cause.ALL_DRAINING
