from __future__ import annotations

import pytest
from forwarding_cases import Case

from fireflyrack.availability import Notice, NoticeReceived, decide
from fireflyrack.forwarding import Cause, Interrupted, NotRun


def leave(case: Case, *servers) -> None:
    """Let servers state that they leave, before the request."""
    for known in servers:
        decide(NoticeReceived(-1.0, known, Notice(leaving=True)), case.availability)


def test_a_server_that_leaves_gets_no_first_attempt_retry_or_hedge():
    """Guards against a statement that only some of the decisions follow."""
    case = Case(replicas=2)
    leave(case, case.servers["s"][0])
    (first,) = case.start()
    assert first.server.id == "s-1"
    assert case.fire_timer(0.08) == []
    assert case.end(first, Interrupted("reset"), at=0.09) == []


@pytest.mark.parametrize("shards", [0, 3])
def test_a_request_is_refused_at_once_when_all_servers_leave(shards):
    """Guards against a caller that waits for servers which take nothing more."""
    case = Case(shards=shards)
    for servers in case.servers.values():
        leave(case, *servers)
    assert case.start() == []
    assert isinstance(case.answer, NotRun)
    assert case.answer.cause is Cause.ALL_DRAINING


def test_a_search_goes_on_without_a_shard_whose_servers_leave():
    """Guards against a search that fails although its coverage suffices."""
    case = Case(shards=5)
    leave(case, *case.servers["s0"])
    assert len(case.start()) == 4
