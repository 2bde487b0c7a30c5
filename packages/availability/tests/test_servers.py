from __future__ import annotations

from fireflyrack.availability import (
    AvailabilityTable,
    Notice,
    NoticeReceived,
    ServerRemoved,
    decide,
)
from fireflyrack.availability.log_events import RateLimitChanged, StatementIgnored
from fireflyrack.discovery import BackendServer, ServerState

SERVER = BackendServer("s-1", "s", "10.0.0.1:80", "d", 2, ServerState.READY)


def receive(table: AvailabilityTable, notice: Notice, at: float = 1.0) -> tuple:
    return decide(NoticeReceived(at, SERVER, notice), table).actions


def test_each_change_of_a_rate_limit_is_logged_once():
    """Guards against a limit that no line explains, and against a line per response."""
    table = AvailabilityTable()
    (named,) = receive(table, Notice(rate_limit=8.0), 1.0)
    assert isinstance(named, RateLimitChanged)
    assert (named.rate_per_s, named.previous_per_s) == (8.0, None)
    assert receive(table, Notice(rate_limit=8.0), 2.0) == ()
    (changed,) = receive(table, Notice(rate_limit=4.0), 3.0)
    assert (changed.rate_per_s, changed.previous_per_s) == (4.0, 8.0)
    (lifted,) = receive(table, Notice(), 5.0)
    assert (lifted.rate_per_s, lifted.held_s) == (None, 4.0)
    assert not table.servers


def test_an_unreadable_statement_is_logged_and_changes_nothing():
    """Guards against a malformed value that lifts a limit or raises an error."""
    table = AvailabilityTable()
    receive(table, Notice(rate_limit=8.0))
    (ignored,) = receive(table, Notice(unreadable=("limit: x",)))
    assert ignored == StatementIgnored("s-1", "limit: x")
    assert table.find(SERVER).rate_limit.rate_per_s == 8.0


def test_statements_of_a_removed_server_are_dropped():
    """Guards against a table that grows with each server that ever existed."""
    table = AvailabilityTable()
    receive(table, Notice(rate_limit=8.0))
    decide(ServerRemoved(SERVER), table)
    assert not table.servers
