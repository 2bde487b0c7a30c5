from __future__ import annotations

import dataclasses
import random

from fireflyrack.availability import (
    AvailabilityTable,
    Notice,
    NoticeReceived,
    Obstacle,
    ServerRemoved,
    SharedStatement,
    SharerCount,
    StatementShared,
    decide,
)
from fireflyrack.availability.closures import TRIAL_TIMEOUT_S
from fireflyrack.availability.decisions import DEPARTED_RETENTION_S
from fireflyrack.availability.log_events import (
    LeavingStated,
    RateLimitChanged,
    ServerClosed,
    ServerReopened,
    StatementIgnored,
)
from fireflyrack.discovery import BackendServer, ServerState

SERVER = BackendServer("s-1", "s", "10.0.0.1:80", "d", 2, ServerState.READY)


def make_table(instances: int = 1) -> AvailabilityTable:
    return AvailabilityTable(random.Random(1), SharerCount(instances))


def receive(table: AvailabilityTable, notice: Notice, at: float = 1.0) -> tuple:
    return decide(NoticeReceived(at, SERVER, notice), table).actions


def test_each_change_of_a_rate_limit_is_logged_once():
    """Guards against a limit that no line explains, and against a line per response."""
    table = make_table()
    (named,) = receive(table, Notice(rate_limit=8.0), 1.0)
    assert isinstance(named, RateLimitChanged)
    assert (named.rate_per_s, named.previous_per_s) == (8.0, None)
    assert receive(table, Notice(rate_limit=8.0), 2.0) == ()
    (changed,) = receive(table, Notice(rate_limit=4.0), 3.0)
    assert (changed.rate_per_s, changed.previous_per_s) == (4.0, 8.0)
    (lifted,) = receive(table, Notice(), 5.0)
    assert (lifted.rate_per_s, lifted.held_s) == (None, 4.0)
    assert not table.servers


def test_a_rate_that_varies_a_little_is_followed_but_not_announced():
    """Guards against a line, and a message to all peers, for each response."""
    table = make_table()
    receive(table, Notice(rate_limit=10.0), 1.0)
    table.take_unshared()
    for number, rate in enumerate((10.4, 9.6, 10.9, 9.2)):
        assert receive(table, Notice(rate_limit=rate), 2.0 + number) == ()
        assert table.find(SERVER).rate_limit.rate_per_s == rate
    assert table.take_unshared() == ()
    (changed,) = receive(table, Notice(rate_limit=8.0), 9.0)
    assert (changed.rate_per_s, changed.previous_per_s) == (8.0, 10.0)


def test_an_unreadable_statement_is_logged_and_changes_nothing():
    """Guards against a malformed value that lifts a limit or raises an error."""
    table = make_table()
    receive(table, Notice(rate_limit=8.0))
    (ignored,) = receive(table, Notice(unreadable=("limit: x",)))
    assert ignored == StatementIgnored("s-1", "limit: x")
    assert table.find(SERVER).rate_limit.rate_per_s == 8.0


def test_an_unusable_leaves_a_rate_limit_in_force():
    """Guards against a limit that one malformed load header lifts or hides."""
    table = make_table()
    notice = Notice(rate_limit=8.0, unusable=("load: x",))
    ignored, changed = receive(table, notice)
    assert ignored == StatementIgnored("s-1", "load: x")
    assert changed.rate_per_s == 8.0


def test_late_response_of_an_earlier_incarnation_changes_nothing():
    """Guards against a leaving server in use again after a late response."""
    table = make_table()
    restarted = dataclasses.replace(SERVER, incarnation=SERVER.incarnation + 1)
    decide(NoticeReceived(1.0, restarted, Notice(leaving=True)), table)
    assert receive(table, Notice(), 2.0) == ()
    assert receive(table, Notice(rate_limit=8.0), 3.0) == ()
    assert table.obstacle(restarted, 4.0) is Obstacle.LEAVING
    assert table.find(SERVER) is None


def test_statements_of_a_removed_server_are_kept_for_its_return_only():
    """Guards against a limit lost with a lapsed entry, and against endless growth."""
    table = make_table(instances=4)
    receive(table, Notice(rate_limit=0.5), 1.0)
    decide(ServerRemoved(2.0, SERVER), table)
    assert table.count(Obstacle.RATE_LIMITED) == 0
    assert table.find(SERVER).rate_limit is not None
    decide(ServerRemoved(2.1 + DEPARTED_RETENTION_S, SERVER), table)
    assert table.servers
    other = dataclasses.replace(SERVER, id="s-2")
    decide(ServerRemoved(2.2 + 2 * DEPARTED_RETENTION_S, other), table)
    assert not table.servers


def test_a_refusal_ends_no_rate_limit():
    """Guards against a limit that a refusal without it lifts for a moment."""
    table = make_table(instances=4)
    receive(table, Notice(rate_limit=0.5), 1.0)
    decide(NoticeReceived(1.5, SERVER, Notice(), accepted=False), table)
    assert table.find(SERVER).rate_limit is not None


def test_a_limited_server_takes_no_burst_at_the_first_notice():
    """Guards against all instances sending at once when a limit begins."""
    table = make_table(instances=4)
    receive(table, Notice(rate_limit=2.0), 1.0)
    assert table.obstacle(SERVER, 1.0) is Obstacle.RATE_LIMITED
    assert 1.0 < table.available_at(SERVER, 1.0) <= 3.0


def test_a_limit_ends_with_the_first_response_without_it():
    """Guards against a server that stays restricted after it has recovered."""
    table = make_table(instances=4)
    receive(table, Notice(rate_limit=0.5), 1.0)
    receive(table, Notice(), 2.0)
    assert table.obstacle(SERVER, 2.0) is None


def test_a_new_incarnation_is_not_bound_by_the_limit_of_the_last():
    """Guards against a restarted server that gets next to nothing."""
    table = make_table(instances=4)
    receive(table, Notice(rate_limit=0.5), 1.0)
    restarted = dataclasses.replace(SERVER, incarnation=1)
    assert table.obstacle(restarted, 1.0) is None


def test_a_limit_of_zero_still_lets_a_request_through_from_time_to_time():
    """Guards against a limit whose end nobody notices."""
    table = make_table()
    receive(table, Notice(rate_limit=0.0), 1.0)
    assert table.available_at(SERVER, 1.0) <= 5.0


def test_a_draining_server_takes_no_request_at_any_time():
    """Guards against callers that are told to come back for a server that leaves."""
    table = make_table()
    draining = dataclasses.replace(SERVER, state=ServerState.DRAINING)
    assert table.obstacle(draining, 1.0) is Obstacle.DRAINING
    assert table.available_at(draining, 1.0) is None


def test_a_server_that_leaves_gets_nothing_more_whatever_it_says_later():
    """Guards against requests to a server that leaves while the store is away."""
    table = make_table()
    (event,) = receive(table, Notice(leaving=True), 1.0)
    assert isinstance(event, LeavingStated)
    assert receive(table, Notice(leaving=True), 1.5) == ()
    receive(table, Notice(), 2.0)
    assert table.obstacle(SERVER, 2.0) is Obstacle.LEAVING
    assert table.available_at(SERVER, 2.0) is None


def test_a_server_that_leaves_is_remembered_when_its_entry_lapses():
    """Guards against an entry that comes back and brings its server back into use."""
    table = make_table()
    receive(table, Notice(leaving=True), 1.0)
    decide(ServerRemoved(2.0, SERVER), table)
    assert table.obstacle(SERVER, 3.0) is Obstacle.LEAVING
    other = dataclasses.replace(SERVER, id="s-2")
    decide(ServerRemoved(2.1 + DEPARTED_RETENTION_S, other), table)
    assert not table.servers


def test_a_new_start_at_the_same_address_is_not_leaving():
    """Guards against a restarted server, or another one there, that gets nothing."""
    table = make_table()
    receive(table, Notice(leaving=True))
    restarted = dataclasses.replace(SERVER, incarnation=1)
    other = dataclasses.replace(SERVER, id="s-2")
    assert table.obstacle(restarted, 1.0) is None
    assert table.obstacle(other, 1.0) is None


def test_a_closed_server_gets_nothing_until_its_time_is_over():
    """Guards against requests to a server that asked for a pause."""
    table = make_table()
    (closed,) = receive(table, Notice(closed_for_s=4.0), 1.0)
    assert isinstance(closed, ServerClosed)
    assert 4.0 <= closed.reopens_in_s <= 5.0
    # Responses to requests that were sent before do not open it.
    assert receive(table, Notice(), 2.0) == ()
    for at in (1.0, 3.0, 4.99):
        assert table.obstacle(SERVER, at) is Obstacle.CLOSED
    assert table.obstacle(SERVER, 6.0) is None


def test_the_later_end_of_two_refusals_that_overlap_counts():
    """Guards against a second refusal with a shorter time that opens a server early."""
    table = make_table()
    receive(table, Notice(closed_for_s=5.0), 1.0)
    assert receive(table, Notice(closed_for_s=1.0), 2.0) == ()
    assert table.obstacle(SERVER, 5.9) is Obstacle.CLOSED
    (extended,) = receive(table, Notice(closed_for_s=8.0), 3.0)
    assert extended.closed_for_s == 8.0
    assert table.obstacle(SERVER, 10.9) is Obstacle.CLOSED


def test_work_returns_with_one_trial_at_a_time():
    """Guards against a burst at the moment at which a closed time ends."""
    table = make_table()
    receive(table, Notice(closed_for_s=1.0), 1.0)
    assert table.obstacle(SERVER, 3.0) is None
    table.record_sent(SERVER, 3.0)
    assert table.obstacle(SERVER, 3.1) is Obstacle.CLOSED
    refusal = NoticeReceived(3.2, SERVER, Notice(), accepted=False)
    assert decide(refusal, table).actions == ()
    assert table.obstacle(SERVER, 3.2) is None
    table.record_sent(SERVER, 3.2)
    assert table.obstacle(SERVER, 3.2 + TRIAL_TIMEOUT_S) is None, "no response came"
    (reopened,) = receive(table, Notice(), 5.0)
    assert isinstance(reopened, ServerReopened)
    assert table.obstacle(SERVER, 5.0) is None
    assert not table.servers


def test_instances_return_at_different_moments():
    """Guards against a fleet that returns to a server all at once."""
    times = set()
    for seed in range(20):
        table = AvailabilityTable(random.Random(seed), SharerCount(20))
        receive(table, Notice(closed_for_s=4.0), 0.0)
        times.add(table.available_at(SERVER, 0.0))
    assert len(times) == 20
    assert 4.0 <= min(times) < 4.3 and 4.7 < max(times) <= 5.0


def test_a_long_closed_time_is_kept_up_to_the_bound():
    """Guards against a wish that is ignored, or takes a server out for ever."""
    table = make_table()
    (closed,) = receive(table, Notice(closed_for_s=1e9), 0.0)
    assert closed.closed_for_s == table.max_closure_s
    assert table.obstacle(SERVER, table.max_closure_s - 0.1) is Obstacle.CLOSED
    assert table.obstacle(SERVER, closed.reopens_in_s + 0.1) is None


def test_the_end_of_a_limit_that_a_peer_saw_frees_the_server():
    """Guards against an instance with a small share that learns of the end last."""
    table = make_table(instances=78)
    receive(table, Notice(rate_limit=2.0), 1.0)
    ended = SharedStatement(SERVER.id, SERVER.incarnation, False, None)
    decide(StatementShared(1.5, ended), table)
    assert table.find(SERVER).rate_limit, "the own observation is newer"
    (lifted,) = decide(StatementShared(5.0, ended), table).actions
    assert (lifted.rate_per_s, lifted.source) == (None, "peer")
    assert table.obstacle(SERVER, 5.0) is None


def test_a_peer_with_an_earlier_incarnation_changes_nothing():
    """Guards against a late message about a server that has restarted."""
    table = make_table()
    restarted = dataclasses.replace(SERVER, incarnation=5)
    decide(NoticeReceived(1.0, restarted, Notice(rate_limit=9.0)), table)
    earlier = SharedStatement(SERVER.id, 4, True, 1.0)
    assert decide(StatementShared(9.0, earlier), table).actions == ()
    assert table.find(restarted).leaving_since is None
