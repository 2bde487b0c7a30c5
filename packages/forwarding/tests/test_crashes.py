"""Guard against one request that takes down many backend servers."""

from __future__ import annotations

from forwarding_cases import Case, completed

from fireflyrack.forwarding import (
    CallerRequest,
    ClearedReport,
    CrashTracker,
    Interrupted,
    NotConnected,
    apply_report,
)
from fireflyrack.forwarding.crashes import (
    CRASH_CONFIRMATION_S,
    MAX_SUSPECTS,
    QUARANTINE_S,
)


def request(id: str = "r0", target: str = "/crash") -> CallerRequest:
    return CallerRequest(id, "h", "GET", target, (), b"", 0.0, None)


def crash(tracker: CrashTracker, id: str, server: str, at: float = 1.0) -> None:
    tracker.record_interrupted(request(id), server, 0, at)
    tracker.record_unavailable(server, 0, at + 0.1)


def quarantined_tracker() -> CrashTracker:
    tracker = CrashTracker()
    crash(tracker, "r0", "i-0")
    crash(tracker, "r0", "i-1")
    crash(tracker, "r1", "i-2")
    return tracker


def test_a_request_is_quarantined_after_its_third_crash():
    """Guards against a request that goes on to crash backend servers."""
    tracker = CrashTracker()
    crash(tracker, "r0", "i-0")
    crash(tracker, "r0", "i-1")
    assert not tracker.quarantined(request("r1"), 2.0)
    crash(tracker, "r1", "i-2")
    assert tracker.quarantined(request("r2"), 2.0)
    assert not tracker.quarantined(request("r2", "/other"), 2.0)


def test_lost_answers_are_no_crashes():
    """Guards against refusing requests because connections were reset."""
    tracker = CrashTracker()
    for number in range(10):
        tracker.record_interrupted(request(f"r{number}"), f"i-{number}", 0, 1.0)
    assert not tracker.quarantined(request(), 2.0)
    # Servers that leave long afterwards did not crash under the request.
    for number in range(10):
        tracker.record_unavailable(f"i-{number}", 0, 1.0 + CRASH_CONFIRMATION_S + 0.1)
    assert not tracker.quarantined(request(), 2.0)


def test_a_second_loss_asks_for_a_look_at_the_servers():
    """Guards against crashes that are known only when the registers lapse."""
    tracker = CrashTracker()
    assert tracker.record_interrupted(request("r0"), "i-0", 3, 1.0) == frozenset()
    servers_to_probe = tracker.record_interrupted(request("r0"), "i-1", 0, 1.0)
    assert servers_to_probe == {("i-0", 3), ("i-1", 0)}
    assert tracker.record_interrupted(request("r0", "/x"), "i-2", 0, 1.0) == frozenset()
    later = 1.1 + CRASH_CONFIRMATION_S
    assert tracker.record_interrupted(request("r1"), "i-3", 0, later) == frozenset()


def test_one_attempt_that_loses_many_shards_is_no_proof():
    """Guards against refusing a search that met a failure of many servers at once."""
    tracker = CrashTracker()
    for number in range(5):
        crash(tracker, "r0", f"i-{number}")
    assert not tracker.quarantined(request("r1"), 2.0)


def test_an_earlier_start_of_a_server_proves_nothing_about_the_next():
    tracker = CrashTracker()
    tracker.record_interrupted(request(), "i-0", 1, 1.0)
    tracker.record_unavailable("i-0", 2, 1.1)
    assert not tracker.suspects


def test_a_run_to_the_end_clears_the_request_everywhere():
    """Guards against innocents that stay refused."""
    tracker, peer = quarantined_tracker(), CrashTracker()
    reports, delivered = tracker.reports_after(0)
    for report in reports:
        apply_report(report, peer, 2.0)
    assert peer.quarantined(request("r9"), 2.0)
    tracker.record_completed(request("r8"), 2.0)
    assert not tracker.quarantined(request("r9"), 2.0)
    (cleared,), _ = tracker.reports_after(delivered)
    assert isinstance(cleared, ClearedReport)
    apply_report(cleared, peer, 2.0)
    assert not peer.quarantined(request("r9"), 2.0)


def test_crashes_at_several_instances_add_up():
    """Guards against three crashes at each instance instead of three in all."""
    trackers = [CrashTracker() for _ in range(3)]
    for number, tracker in enumerate(trackers):
        crash(tracker, f"r{number}", f"i-{number}")
    reports = [report for tracker in trackers for report in tracker.reports_after(0)[0]]
    for tracker in trackers:
        for report in reports:
            apply_report(report, tracker, 2.0)
        assert tracker.quarantined(request("r9"), 2.0)


def test_a_quarantine_ends():
    tracker = quarantined_tracker()
    assert tracker.quarantined(request("r9"), QUARANTINE_S)
    assert not tracker.quarantined(request("r9"), QUARANTINE_S + 2.0)


def test_the_number_of_suspects_is_bounded():
    """Guards against memory that grows with the number of crashing requests."""
    tracker = CrashTracker()
    for number in range(MAX_SUSPECTS + 50):
        tracker.record_interrupted(request("r", f"/{number}"), f"i-{number}", 0, 1.0)
        tracker.record_unavailable(f"i-{number}", 0, 1.0)
    assert len(tracker.suspects) == MAX_SUSPECTS
    reports, number = tracker.reports_after(0)
    assert len(reports) == MAX_SUSPECTS and number == MAX_SUSPECTS + 50
    assert len(tracker.reports_after(number - 3)[0]) == 3


def test_the_outcomes_of_attempts_are_the_evidence():
    """Guards against decisions that tell the book nothing."""
    case = Case(replicas=3, max_attempts=3)
    tracker = case.state.context.crashes
    (first,) = case.start()
    (second,) = case.end(first, Interrupted("reset"))
    assert not tracker.suspects
    (third,) = case.end(second, NotConnected("refused"))
    assert not tracker.suspects, "another server was away"
    tracker.record_unavailable(first.server.id, first.server.incarnation, 0.1)
    assert len(tracker.suspects) == 1
    case.end(third, completed())
    assert not tracker.suspects
