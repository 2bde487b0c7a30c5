"""Guard against a request that crashes many backend servers."""

from __future__ import annotations

from forwarding_cases import Case, completed

from fireflyrack.forwarding import (
    AttemptTimes,
    CallerRequest,
    ClearedReport,
    CrashTracker,
    Interrupted,
    NotConnected,
    Quarantined,
    apply_report,
)
from fireflyrack.forwarding.crashes import (
    CRASH_CONFIRMATION_S,
    MAX_SUSPECTS,
    QUARANTINE_S,
)

RUN_S = 0.1


def request(id: str = "r0", target: str = "/crash") -> CallerRequest:
    return CallerRequest(id, "h", "GET", target, (), b"", 0.0, None)


def times(at: float = 1.0) -> AttemptTimes:
    return AttemptTimes(at - RUN_S, at)


def refused(tracker: CrashTracker, caller_request: CallerRequest, at: float) -> bool:
    return isinstance(tracker.admit(caller_request, at), Quarantined)


def record_crash(tracker: CrashTracker, id: str, server: str, at: float = 1.0) -> None:
    tracker.record_interrupted(request(id), server, 0, times(at))
    tracker.record_unavailable(server, 0, at + 0.1)


def quarantined_tracker() -> CrashTracker:
    """Return the tracker of an instance that saw one crash after the other."""
    tracker = CrashTracker()
    for number in range(3):
        record_crash(tracker, f"r{number}", f"i-{number}", 1.0 + number)
    return tracker


def test_a_request_is_quarantined_after_its_third_crash():
    """Guards against a request that keeps crashing backend servers."""
    tracker = CrashTracker()
    record_crash(tracker, "r0", "i-0")
    record_crash(tracker, "r0", "i-1")
    assert not refused(tracker, request("r1"), 2.0)
    record_crash(tracker, "r1", "i-2")
    assert refused(tracker, request("r2"), 2.0)
    assert not refused(tracker, request("r2", "/other"), 2.0)


def test_interrupted_connections_alone_are_not_crashes():
    """Guards against a quarantine because of connection resets."""
    tracker = CrashTracker()
    for number in range(10):
        tracker.record_interrupted(request(f"r{number}"), f"i-{number}", 0, times())
    assert not refused(tracker, request(), 2.0)
    # Servers that become unavailable much later did not crash because of the request.
    for number in range(10):
        tracker.record_unavailable(f"i-{number}", 0, 1.0 + CRASH_CONFIRMATION_S + 0.1)
    assert not refused(tracker, request(), 2.0)


def test_a_second_interruption_requests_probes_of_the_servers():
    """Guards against crashes detected only when the registrations expire."""
    tracker = CrashTracker()
    assert tracker.record_interrupted(request("r0"), "i-0", 3, times()) == frozenset()
    servers_to_probe = tracker.record_interrupted(request("r0"), "i-1", 0, times())
    assert servers_to_probe == {("i-0", 3), ("i-1", 0)}
    assert (
        tracker.record_interrupted(request("r0", "/x"), "i-2", 0, times())
        == frozenset()
    )
    later = 1.1 + CRASH_CONFIRMATION_S
    assert (
        tracker.record_interrupted(request("r1"), "i-3", 0, times(later)) == frozenset()
    )


def test_one_attempt_that_loses_many_shards_is_not_quarantined():
    """Guards against a quarantine of a search that hit an outage of several servers."""
    tracker = CrashTracker()
    for number in range(5):
        record_crash(tracker, "r0", f"i-{number}")
    assert not refused(tracker, request("r1"), 2.0)


def test_an_outage_of_another_incarnation_is_not_a_crash():
    """Guards against a restart that is counted as a crash of another incarnation."""
    tracker = CrashTracker()
    tracker.record_interrupted(request(), "i-0", 1, times())
    tracker.record_unavailable("i-0", 2, 1.1)
    assert not tracker.suspects


def test_a_completed_request_is_cleared_on_all_instances():
    """Guards against a harmless request that stays quarantined."""
    tracker, peer = quarantined_tracker(), CrashTracker()
    reports, delivered = tracker.reports_after(0, 4.0)
    for report in reports:
        apply_report(report, peer, 4.0)
    assert refused(peer, request("r9"), 4.0)
    tracker.record_completed(request("r8"), 4.0)
    assert not refused(tracker, request("r9"), 4.0)
    (cleared,), _ = tracker.reports_after(delivered, 4.0)
    assert isinstance(cleared, ClearedReport)
    apply_report(cleared, peer, 4.0)
    assert not refused(peer, request("r9"), 4.0)


def test_crashes_observed_by_several_instances_add_up():
    """Guards against a threshold for each instance instead of one for the fleet."""
    trackers = [CrashTracker() for _ in range(3)]
    for number, tracker in enumerate(trackers):
        record_crash(tracker, f"r{number}", f"i-{number}")
    reports = [
        report for tracker in trackers for report in tracker.reports_after(0, 2.0)[0]
    ]
    for tracker in trackers:
        for report in reports:
            apply_report(report, tracker, 2.0)
        assert refused(tracker, request("r9"), 2.0)


def test_a_quarantine_ends():
    """Guards against a request that is rejected forever."""
    tracker = quarantined_tracker()
    last_crash_at = 3.0
    assert refused(tracker, request("r9"), last_crash_at + QUARANTINE_S - 0.1)
    assert not refused(tracker, request("r9"), last_crash_at + QUARANTINE_S + 0.1)


def test_the_number_of_suspects_is_bounded():
    """Guards against memory use that grows with the number of crashing requests."""
    tracker = CrashTracker()
    for number in range(MAX_SUSPECTS + 50):
        tracker.record_interrupted(
            request("r", f"/{number}"), f"i-{number}", 0, times()
        )
        tracker.record_unavailable(f"i-{number}", 0, 1.0)
    assert len(tracker.suspects) == MAX_SUSPECTS
    reports, number = tracker.reports_after(0, 1.0)
    assert len(reports) == MAX_SUSPECTS and number == MAX_SUSPECTS + 50
    assert len(tracker.reports_after(number - 3, 1.0)[0]) == 3


def test_outcomes_of_attempts_reach_the_crash_tracker():
    """Guards against decisions that do not record outcomes in the crash tracker."""
    case = Case(replicas=3, max_attempts=3)
    tracker = case.state.context.crashes
    (first,) = case.start()
    (second,) = case.end(first, Interrupted("reset"))
    assert not tracker.suspects
    (third,) = case.end(second, NotConnected("refused"))
    assert not tracker.suspects, "another server was unreachable"
    tracker.record_unavailable(first.server.id, first.server.incarnation, 0.1)
    assert len(tracker.suspects) == 1
    case.end(third, completed())
    assert not tracker.suspects
