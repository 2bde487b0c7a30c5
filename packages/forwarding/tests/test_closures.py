from __future__ import annotations

from forwarding_cases import Case, completed

from fireflyrack.availability import Notice, NoticeReceived, decide
from fireflyrack.forwarding import Cause, Merged, NotRun


def close(case: Case, known, closed_for_s: float) -> None:
    """Let a server ask for a pause just before the request."""
    notice = Notice(closed_for_s=closed_for_s)
    decide(NoticeReceived(0.0, known, notice, False), case.availability)


def test_a_request_is_refused_until_the_first_server_opens():
    """Guards against callers that wait, or that return while all are closed."""
    case = Case(replicas=2)
    close(case, case.servers["s"][0], 9.0)
    close(case, case.servers["s"][1], 3.0)
    assert case.start() == []
    assert isinstance(case.answer, NotRun)
    assert case.answer.cause is Cause.CLOSED
    assert 3.0 <= case.answer.retry_after_s <= 6.0


def test_a_search_goes_on_without_a_shard_whose_servers_are_all_closed():
    """Guards against a search that fails although its coverage suffices."""
    case = Case(shards=5)
    for known in case.servers["s0"]:
        close(case, known, 5.0)
    attempts = case.start()
    assert len(attempts) == 4
    for attempt in attempts:
        case.end(attempt, completed(str(attempt.id)))
    assert isinstance(case.answer, Merged)
    assert case.answer.missing == 1


def test_a_burst_at_the_end_of_a_closed_time_sends_one_request():
    """Guards against all waiting work at once for a server that has just opened."""
    case = Case(replicas=1)
    (known,) = case.servers["s"]
    close(case, known, 0.0)
    assert len(case.start()) == 1
    other = Case(replicas=1)
    other.state.context = case.state.context
    assert other.start() == []
    assert isinstance(other.answer, NotRun)
