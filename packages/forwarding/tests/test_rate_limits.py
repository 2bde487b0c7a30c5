from __future__ import annotations

from forwarding_cases import Case, completed

from fireflyrack.availability import Notice, NoticeReceived, decide
from fireflyrack.forwarding import (
    Cause,
    Completed,
    Interrupted,
    Merged,
    NotConnected,
    NotRun,
    Refusal,
    Refused,
    decisions,
)
from fireflyrack.forwarding.state import AttemptEnded, RecordNotice

# So low that no permit falls into the time of a test.
TINY_RATE = 0.01


def limit(case: Case, *servers, rate: float = TINY_RATE) -> None:
    """Let servers name a rate limit before the request."""
    for known in servers:
        event = NoticeReceived(-0.001, known, Notice(rate_limit=rate))
        decide(event, case.availability)


def permit(case: Case, known, count: int) -> None:
    """Leave a limited server some permits."""
    quota = case.availability.quota(known, 0.0)
    quota.next_at = -(count - 0.5) * quota.interval_s
    quota.record_unmet_demand(0.0)


def test_a_server_without_permits_gets_no_first_attempt():
    """Guards against a limited server that is sent its usual share."""
    case = Case()
    limit(case, case.servers["s"][0])
    (first,) = case.start()
    assert first.server.id != "s-0"


def test_retries_and_hedges_use_permits_too():
    """Guards against extra attempts that exceed a limit which first ones keep."""
    case = Case(replicas=2)
    limit(case, case.servers["s"][1])
    (first,) = case.start()
    assert case.end(first, Interrupted("reset")) == []
    case = Case(replicas=2)
    limit(case, case.servers["s"][1])
    case.start()
    assert case.fire_timer(0.08) == []


def test_an_attempt_that_reached_no_server_returns_its_permit():
    """Guards against permits lost to connections that were never opened."""
    case = Case(replicas=1)
    (known,) = case.servers["s"]
    limit(case, known)
    permit(case, known, 1)
    (first,) = case.start()
    assert case.availability.obstacle(known, 0.01) is not None
    case.end(first, NotConnected("refused"), at=0.01)
    assert case.availability.obstacle(known, 0.01) is None


def test_a_request_is_refused_at_once_until_the_next_permit():
    """Guards against callers that wait for, or return before, a server takes them."""
    case = Case(replicas=2)
    limit(case, *case.servers["s"], rate=2.0)
    case.availability.quota(case.servers["s"][0], 0.0).next_at = 0.9
    case.availability.quota(case.servers["s"][1], 0.0).next_at = 0.4
    assert case.start() == []
    assert isinstance(case.answer, NotRun)
    assert case.answer.cause is Cause.RATE_LIMITED
    assert 0.4 <= case.answer.retry_after_s <= 0.6


def test_a_search_goes_on_without_a_limited_shard():
    """Guards against a search that fails although its coverage suffices."""
    case = Case(shards=5)
    limit(case, *case.servers["s0"])
    attempts = case.start()
    assert len(attempts) == 4
    for attempt in attempts:
        case.end(attempt, completed(str(attempt.id)))
    assert isinstance(case.answer, Merged)
    assert case.answer.missing == 1


def test_a_refused_search_uses_no_permit():
    """Guards against permits spent on searches that cannot reach their coverage."""
    case = Case(shards=4, coverage=1.0, replicas=1)
    for servers in case.servers.values():
        limit(case, *servers)
    for number in range(3):
        permit(case, *case.servers[f"s{number}"], 1)
    assert case.start() == []
    assert isinstance(case.answer, NotRun)
    for number in range(3):
        (known,) = case.servers[f"s{number}"]
        assert case.availability.obstacle(known, 0.0) is None


def test_the_notice_of_a_response_is_applied():
    """Guards against a limit that is read only from successful responses."""
    for outcome in (
        Completed(200, (), b"", "sig", Notice(rate_limit=3.0)),
        Refused(Refusal.FULL, 503, Notice(rate_limit=3.0)),
    ):
        case = Case()
        (first,) = case.start()
        notices = record_end(case, first, outcome)
        assert [n.event.notice.rate_limit for n in notices] == [3.0]


def test_another_server_at_the_address_says_nothing_about_the_first():
    """Guards against the limit of a server that took over an address."""
    case = Case()
    (first,) = case.start()
    outcome = Refused(Refusal.REPLACED, 421, Notice(rate_limit=3.0))
    assert record_end(case, first, outcome) == []


def record_end(case: Case, attempt, outcome) -> list[RecordNotice]:
    """End an attempt and return the notices to apply."""
    event = AttemptEnded(0.02, attempt.id, outcome)
    actions = decisions.decide(event, case.state).actions
    return [action for action in actions if isinstance(action, RecordNotice)]
