"""Guard against an instance that counts as ready and lacks reports of owners."""

from __future__ import annotations

from fireflyrack.configuration import BackendServer, Service
from fireflyrack.entry.readiness import missing_reports
from fireflyrack.membership import Member
from fireflyrack.search import Report, ReportTable, ServingState

SERVERS = {
    name: BackendServer(name, "127.0.0.1:1", "d", slots=1, connections=2)
    for name in ("b0", "b1", "b2")
}
SERVICES = (Service("docs", SERVERS),)
OWNER = Member("e0", "i", "d", "127.0.0.1:2", "127.0.0.1:3")


def table(*names):
    reports = ReportTable()
    for name in names:
        reports.put(Report(name, ServingState.SERVING, {}))
    return reports


def test_report_of_an_owned_server_is_awaited():
    """Guards against partial answers of an instance that says it is ready."""
    assert missing_reports(SERVICES, table("b1"), lambda name: OWNER) == ("b0", "b2")


def test_server_without_an_owner_is_not_awaited():
    """Guards against an instance that waits for a report that nobody publishes."""
    owners = {"b0": OWNER}
    assert missing_reports(SERVICES, table("b1"), owners.get) == ("b0",)


def test_nothing_is_missing_once_all_servers_are_reported():
    """Guards against an instance that never becomes ready."""
    assert missing_reports(SERVICES, table(*SERVERS), lambda name: OWNER) == ()
