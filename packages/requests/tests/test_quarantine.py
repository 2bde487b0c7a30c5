from __future__ import annotations

import pytest
from hypothesis import given, seed, settings, strategies as st

from fireflyrack.requests import (
    Allowed,
    EvidenceReceived,
    Isolated,
    Quarantined,
    QuarantineLifted,
    QuarantineState,
    QuarantineSweepTimerFired,
    RequestEnded,
    RequestSettings,
    RequestStarted,
    ServerCrashed,
    candidates_for,
    check,
    decide_quarantine,
    request_fingerprint,
    search_fingerprint,
)
from fireflyrack.testbed.crash_simulation import CrashLayout, CrashSimulation

SERVERS = ("b0", "b1", "b2", "b3")


def feed(state, event):
    return decide_quarantine(event, state).actions


def new_state(**overrides):
    return QuarantineState(RequestSettings(**overrides))


def crash(state, backend_server, *fingerprints, at=0.0):
    for fingerprint in fingerprints:
        feed(state, RequestStarted(at, backend_server, "desk", fingerprint))
    return feed(state, ServerCrashed(at, backend_server))


def test_crashing_request_is_quarantined_and_concurrent_one_is_cleared():
    # Guards against refusing a harmless request that ran beside a crashing one.
    state = new_state()
    crash(state, "b0", "crashing", "harmless")
    assert isinstance(check(state, "harmless"), Isolated)
    feed(state, RequestStarted(1.0, "b0", "desk", "harmless"))
    feed(state, RequestEnded(1.1, "b0", "harmless", completed_alone=True))
    assert check(state, "harmless") == Allowed()
    crash(state, "b0", "crashing", at=2.0)
    assert check(state, "crashing") == Quarantined()
    # A crash with several requests running does not suspect a cleared one again.
    crash(state, "b1", "other", "harmless", at=3.0)
    assert check(state, "harmless") == Allowed()


def test_one_crash_alone_does_not_quarantine():
    # Guards against refusing a request because of a power failure.
    state = new_state()
    crash(state, "b0", "f")
    assert isinstance(check(state, "f"), Isolated)


@pytest.mark.parametrize("servers", [2, 4])
def test_an_outage_of_several_servers_does_not_quarantine(servers):
    # Guards against refusing a request that was in flight, and alone, on each server
    # when all lost their power.
    state = new_state()
    for name in SERVERS[:servers]:
        feed(state, RequestStarted(0.0, name, "desk", "f"))
    for name in SERVERS[:servers]:
        feed(state, ServerCrashed(1.0, name))
    assert isinstance(check(state, "f"), Isolated)
    feed(state, RequestStarted(2.0, "b0", "desk", "f"))
    feed(state, RequestEnded(2.1, "b0", "f", completed_alone=True))
    assert check(state, "f") == Allowed()


def test_a_suspect_that_crashes_a_server_alone_is_quarantined_after_an_outage():
    # Guards against a crashing request that passes for an interrupted one.
    state = new_state()
    for name in SERVERS[:2]:
        feed(state, RequestStarted(0.0, name, "desk", "f"))
    for name in SERVERS[:2]:
        feed(state, ServerCrashed(1.0, name))
    crash(state, "b0", "f", at=2.0)
    assert check(state, "f") == Quarantined()


def test_crashes_with_concurrent_requests_never_quarantine():
    # Guards against a caller that gets the searches of others refused by sending
    # crashing requests at the same time.
    state = new_state()
    for number in range(20):
        crash(state, SERVERS[number % 4], f"crashing{number}", "harmless")
    assert isinstance(check(state, "harmless"), Isolated)


def test_request_fingerprint_covers_the_caller():
    # Guards against requests of one caller that cause refusals for another.
    own = request_fingerprint("desk", '{"a":1}', "ann")
    assert own == request_fingerprint("desk", '{"a": 1}', "ann")
    assert own != request_fingerprint("desk", '{"a":1}', "bob")
    assert search_fingerprint("s", "A  b") == search_fingerprint("s", "a B")


def test_lifted_and_expired_quarantines_allow_the_request():
    # Guards against a quarantine that neither an operator nor time ends.
    state = new_state(quarantine_s=10)
    for _ in range(2):
        crash(state, "b0", "f")
    assert check(state, "f") == Quarantined()
    feed(state, QuarantineLifted(1.0, "f"))
    assert check(state, "f") == Allowed()
    for _ in range(2):
        crash(state, "b0", "f", at=2.0)
    assert check(state, "f") == Quarantined()
    feed(state, QuarantineSweepTimerFired(12.0))
    assert check(state, "f") == Allowed()


def test_full_table_does_not_evict_a_quarantine():
    # Guards against unbounded state, and against evicting a quarantine on purpose.
    state = new_state(max_fingerprints=20)
    for _ in range(2):
        crash(state, "b0", "crashing")
    for number in range(100):
        crash(state, "b1", f"x{number}", f"y{number}", at=1.0)
    assert len(state.entries) == 20
    assert check(state, "crashing") == Quarantined()


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["crash", "alone", "pass", "lift"]),
        st.sampled_from(SERVERS),
        st.integers(0, 2),
    ),
    max_size=15,
)


@seed(20260727)
@settings(max_examples=300, deadline=None, database=None)
@given(EVENTS, st.randoms(use_true_random=False))
def test_instances_converge_for_any_order_of_evidence(events, rng):
    # Guards against instances that diverge after duplicate or reordered evidence.
    states = [new_state() for _ in range(3)]
    published = []
    for kind, server, instance in events:
        state = states[instance]
        if kind == "crash":
            actions = crash(state, server, "f", "g")
        elif kind == "alone":
            actions = crash(state, server, "f")
        elif kind == "pass":
            actions = feed(state, RequestEnded(0.0, server, "f", completed_alone=True))
        else:
            actions = feed(state, QuarantineLifted(0.0, "f"))
        published.extend(actions)
    for state in states:
        rng.shuffle(published)
        for action in published * 2:
            feed(state, EvidenceReceived(1.0, action.fingerprint, action.evidence))
    verdicts = [check(state, "f") for state in states]
    assert verdicts[0] == verdicts[1] == verdicts[2]


def test_candidates_stay_within_the_same_two_backend_servers():
    # Guards against reaching a third backend server, also before a crash is known.
    eligible = frozenset(candidates_for(Allowed(), "f", SERVERS, ("b3",)))
    state = new_state()
    for server in sorted(eligible):
        crash(state, server, "f", "g")
        chosen = candidates_for(check(state, "f"), "f", SERVERS, ())
        assert set(chosen) <= eligible
        assert chosen[0] in {c.backend_server for c in state.entries["f"].own.crashes}
    assert len(eligible) == 2


@pytest.mark.parametrize("seed_number", range(3))
def test_a_crashing_request_takes_down_two_backend_servers(seed_number):
    # Guards against resends to other instances that crash a third backend server.
    layout = CrashLayout(backend_servers=5)
    report = CrashSimulation(seed_number, layout, quarantine=True).run()
    assert 1 <= len(report.crashed_servers) <= 2
    assert not report.harmless_quarantined
    naive = CrashSimulation(seed_number, layout, quarantine=False).run()
    assert len(naive.crashed_servers) == 5
