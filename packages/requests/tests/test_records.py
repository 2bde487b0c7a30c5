from __future__ import annotations

from hypothesis import given, seed, settings, strategies as st

from fireflyrack.requests import (
    AttemptEnded,
    AttemptOutcomeUnknown,
    CallEnded,
    HandoverTable,
    IssuerState,
    IssuerStopping,
    IssueTickets,
    NotRun,
    NotSent,
    OutcomeRequested,
    Ran,
    RecordPhase,
    RefuseTickets,
    Rejected,
    RequestReceived,
    RequestSettings,
    SendReply,
    StartAttempt,
    SweepTimerFired,
    Ticket,
    TicketKey,
    TicketsRequested,
    Unknown,
    UnknownCause,
    body_digest,
    caller_digest,
    decide_issuer,
    export_records,
)

SETTINGS = RequestSettings(
    ticket_ttl_s=10, keep_finished_s=2, settle_for_s=5, max_records=50
)
CANDIDATES = ("b0", "b1", "b2")


def feed(state, event):
    return decide_issuer(event, state).actions


def issuer_with_tickets(count=1):
    state = IssuerState(SETTINGS)
    feed(state, TicketsRequested(0.0, "desk", count))
    return state


def request(at, call, number, body="x", deadline_at=5.0):
    digest = body_digest("desk", body)
    return RequestReceived(
        at, call, number, "desk", body, digest, "f", deadline_at, CANDIDATES
    )


def test_resend_during_an_attempt_gets_the_same_outcome():
    # Guards against a second attempt for a resend.
    state = issuer_with_tickets()
    (start,) = feed(state, request(0.0, 1, 1))
    assert feed(state, request(0.1, 2, 1)) == ()
    ended = AttemptEnded(0.2, start.attempt.sequence, Ran("yes"))
    assert feed(state, ended) == (SendReply(1, Ran("yes")), SendReply(2, Ran("yes")))
    assert feed(state, request(0.3, 3, 1)) == (SendReply(3, Ran("yes")),)


def test_another_body_under_the_same_ticket_is_refused():
    # Guards against returning the answer for one body to another one.
    state = issuer_with_tickets()
    feed(state, request(0.0, 1, 1, '{"a": 1, "b": 2}'))
    (answer,) = feed(state, request(0.1, 2, 1, "other"))
    assert isinstance(answer.reply, Rejected)
    assert answer.reply.kind == "body_conflict"
    assert feed(state, request(0.2, 3, 1, '{"b":2,"a":1}')) == ()


def test_outcome_is_kept_after_the_caller_disconnects():
    # Guards against losing the outcome when the call times out or disconnects first.
    state = issuer_with_tickets()
    (start,) = feed(state, request(0.0, 1, 1))
    (answer,) = feed(state, CallEnded(5.0, 1, 1))
    assert answer.reply == Unknown(UnknownCause.RUNNING)
    feed(state, AttemptEnded(5.1, start.attempt.sequence, Ran("late")))
    assert feed(state, OutcomeRequested(6.0, 2, 1)) == (SendReply(2, Ran("late")),)


def test_full_record_table_refuses_tickets_and_drops_nothing():
    # Guards against dropping a record that a resend needs.
    state = issuer_with_tickets(50)
    (refused,) = feed(state, TicketsRequested(1.0, "desk", 1))
    assert isinstance(refused, RefuseTickets)
    assert len(state.records) == 50
    (given_tickets,) = feed(state, TicketsRequested(10.0, "desk", 1))
    assert given_tickets == IssueTickets((51,))


def test_expired_used_ticket_is_never_reported_as_not_run():
    # Guards against "not_run" for a request whose record was dropped.
    state = issuer_with_tickets(2)
    (start,) = feed(state, request(0.0, 1, 2))
    feed(state, AttemptEnded(0.1, start.attempt.sequence, Ran("yes")))
    feed(state, SweepTimerFired(20.0))
    assert state.records == {}
    expired = Unknown(UnknownCause.EXPIRED, final=True)
    for number in (1, 2):
        assert feed(state, request(20.0, 3, number)) == (SendReply(3, expired),)


def test_at_most_two_backend_servers_are_tried():
    # Guards against a crashing request that reaches a third backend server.
    state = issuer_with_tickets()
    (first,) = feed(state, request(0.0, 1, 1))
    refused = NotSent("shed")
    (second,) = feed(state, AttemptEnded(0.1, first.attempt.sequence, refused))
    assert isinstance(second, StartAttempt)
    assert second.attempt.backend_server != first.attempt.backend_server
    actions = feed(state, AttemptEnded(0.2, second.attempt.sequence, refused))
    assert actions == (SendReply(1, NotRun("shed")),)


def test_unreachable_owner_is_retried_until_the_deadline():
    # Guards against "not_run" while an owner is replaced, and against reaching a
    # third backend server.
    state = issuer_with_tickets()
    (start,) = feed(state, request(0.0, 1, 1))
    tried_servers = set()
    at = 0.0
    while at < 5.0:
        assert isinstance(start, StartAttempt)
        tried_servers.add(start.attempt.backend_server)
        at += 0.2
        unreachable = NotSent("owner_unreachable")
        (start,) = feed(state, AttemptEnded(at, start.attempt.sequence, unreachable))
    assert start == SendReply(1, NotRun("deadline"))
    assert len(tried_servers) == 2


def test_successor_answers_for_used_and_unused_tickets():
    # Guards against "unknown" after a planned stop of the issuer.
    state = issuer_with_tickets(3)
    (start,) = feed(state, request(0.0, 1, 1))
    feed(state, AttemptEnded(0.1, start.attempt.sequence, Ran("yes")))
    feed(state, request(0.2, 2, 2))
    feed(state, IssuerStopping(1.0))
    (refused,) = feed(state, request(1.1, 3, 3))
    assert refused.reply == NotRun("issuer_stopping")
    table = HandoverTable(SETTINGS)
    records = tuple(export_records(state, 1.2))
    assert table.find("i") is None
    assert table.take(100.0, "i", records, state.forgotten, 10.0, last=True)
    issuer_records = table.find("i")
    assert issuer_records.outcome(1, 100.0) == Ran("yes")
    assert isinstance(issuer_records.outcome(2, 100.0), Unknown)
    assert isinstance(issuer_records.outcome(3, 100.0), NotRun)
    assert table.drop_expired(110.1) == ("i",)


def test_a_ticket_is_bound_to_its_caller():
    # Guards against forged tickets and against use of a ticket by another caller.
    key = TicketKey("k" * 16)
    ticket = Ticket("ab", "10.0.0.1:99", 7, "0" * 32)
    caller = caller_digest("Bearer ann:secret")
    text = key.text(ticket, caller)
    assert key.parse(text, caller) == ticket
    assert key.parse(text, caller_digest("Bearer bob:secret")) is None
    assert key.parse(text, "") is None
    assert key.parse(text.replace("_7_", "_8_"), caller) is None
    assert TicketKey("l" * 16).parse(text, caller) is None


RESULTS = st.sampled_from(
    [
        Ran("yes"),
        NotSent("shed"),
        AttemptOutcomeUnknown(UnknownCause.OWNER_UNREACHABLE),
        AttemptOutcomeUnknown(UnknownCause.BACKEND_LOST, final=True),
    ]
)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["tickets", "request", "ask", "end", "result", "sweep"]),
        st.integers(1, 6),
        RESULTS,
        st.floats(0, 4),
    ),
    max_size=40,
)


@seed(20260727)
@settings(max_examples=400, deadline=None, database=None)
@given(STEPS)
def test_attempts_never_overlap_and_outcomes_never_change(steps):
    # Guards against interleavings that start a second attempt or change an outcome.
    state = IssuerState(SETTINGS)
    at = 0.0
    call = 0
    in_flight: dict[int, int] = {}
    may_have_run: dict[int, bool] = {}
    final_replies: dict[int, object] = {}
    tickets_of: dict[int, int] = {}
    for kind, number, result, wait_s in steps:
        at += wait_s
        call += 1
        tickets_of[call] = number
        sequence = max(in_flight.values(), default=0) if number % 2 else number
        event = {
            "tickets": TicketsRequested(at, "desk", 1),
            "request": request(at, call, number, deadline_at=at + 3),
            "ask": OutcomeRequested(at, call, number),
            "end": CallEnded(at, number, number),
            "result": AttemptEnded(at, sequence, result),
            "sweep": SweepTimerFired(at),
        }[kind]
        resolved = state.attempts.get(sequence) if kind == "result" else None
        if resolved is not None:
            may_have_run[resolved] = not isinstance(result, NotSent)
        for action in feed(state, event):
            if isinstance(action, StartAttempt):
                ticket = action.attempt.number
                assert not may_have_run.get(ticket, False)
                may_have_run[ticket] = True
                in_flight[ticket] = action.attempt.sequence
            if isinstance(action, SendReply) and isinstance(
                action.reply, (Ran, NotRun)
            ):
                ticket = tickets_of[action.call]
                if isinstance(action.reply, NotRun):
                    assert not may_have_run.get(ticket, False)
                first = final_replies.setdefault(ticket, action.reply)
                assert isinstance(action.reply, type(first))
                assert isinstance(first, NotRun) or action.reply == first
        reserved = sum(record.reserved_bytes for record in state.records.values())
        assert state.used_bytes == reserved
        assert len(state.records) <= SETTINGS.max_records
        running = [r for r in state.records.values() if r.phase is RecordPhase.RUNNING]
        assert len(state.attempts) >= len(running)
