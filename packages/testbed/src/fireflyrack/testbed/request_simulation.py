"""Simulation of non-idempotent requests that runs the production decisions."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from functools import partial, singledispatchmethod
from typing import Any

from fireflyrack.core import Decision, SequenceGenerator
from fireflyrack.requests import (
    Allowed,
    AttemptEnded,
    AttemptOutcomeUnknown,
    AttemptResult,
    Called,
    CallEnded,
    Executed,
    HandoverTable,
    HistoryEvent,
    HistoryReport,
    IssuerState,
    IssuerStopping,
    IssueTickets,
    NotRun,
    NotSent,
    OutcomeRequested,
    OwnerState,
    QueryOwner,
    Ran,
    Reply,
    RequestReceived,
    RequestSettings,
    ResultRequested,
    ReturnResult,
    RunEnded,
    RunId,
    RunReceived,
    RunSweepTimerFired,
    SendReply,
    SendRun,
    StartAttempt,
    SweepTimerFired,
    TicketsRequested,
    Unknown,
    UnknownCause,
    body_digest,
    candidates_for,
    check_history,
    decide_issuer,
    decide_owner,
    export_received_records,
    export_records,
)

from .simulated_process import Faults, Process, answered_event
from .simulated_time import SimulatedTime

SERVICE = "desk"
BACKEND_SERVERS = ("b0", "b1", "b2")
DEADLINE_S = 2.0
SERVICE_TIME_S = 0.05
SWEEP_INTERVAL_S = 5.0
# Long enough to settle every result and expire every record.
SETTLE_S = 200.0
MAX_RESENDS = 4


class Simulation(SimulatedTime):
    """Simulated bookings on a fleet; call `run` once, then read `history`.

    `issuer_decide` and `owner_decide` can be replaced by faulty versions to show that
    the history check detects them.
    """

    def __init__(
        self,
        seed: int,
        bookings: int,
        faults: Faults,
        instances: int = 4,
        issuer_decide: Callable[[Any, IssuerState], Decision] = decide_issuer,
        owner_decide: Callable[[Any, OwnerState], Decision] = decide_owner,
    ) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.bookings = bookings
        self.faults = faults
        self.issuer_decide = issuer_decide
        self.owner_decide = owner_decide
        self.settings = RequestSettings(
            ticket_ttl_s=60, keep_finished_s=30, settle_for_s=20, owner_keep_s=40
        )
        self.numbers = SequenceGenerator()
        self.call_numbers = SequenceGenerator()
        self.history: list[HistoryEvent] = []
        self.faults_seen: Counter[str] = Counter()
        self.processes = [self.start(f"e{n}") for n in range(instances)]
        self.by_incarnation = {p.incarnation: p for p in self.processes}
        self.length_s = max(10.0, bookings / 100)

    def start(self, name: str) -> Process:
        """Start an incarnation with empty state and schedule its sweeps."""
        incarnation = f"{name}{self.numbers.next()}"
        process = Process(
            name,
            incarnation,
            self.rng.uniform(0, 1000),
            self.rng.uniform(0.999, 1.001),
            IssuerState(self.settings),
            OwnerState(incarnation, self.settings),
            HandoverTable(self.settings),
        )
        self.schedule(SWEEP_INTERVAL_S, lambda: self.sweep(process))
        return process

    def run_in(self, process: Process, action: Callable[[], None]) -> None:
        """Run an action in a process, or after its pause; ignore it if it has ended."""
        if not process.running:
            return
        if process.paused_until > self.now:
            self.schedule(
                process.paused_until - self.now, lambda: self.run_in(process, action)
            )
        else:
            action()

    def send(self, process: Process, action: Callable[[], None]) -> None:
        """Send a message to an incarnation; it may be lost, delayed or duplicated."""
        faults, rng = self.faults, self.rng
        if rng.random() < faults.lost_message:
            self.faults_seen["lost_message"] += 1
            return
        copies = 2 if rng.random() < faults.doubled_message else 1
        self.faults_seen["doubled_message"] += copies - 1
        for _ in range(copies):
            delay_s = rng.expovariate(1 / 0.001)
            if rng.random() < faults.delayed_message:
                self.faults_seen["delayed_message"] += 1
                delay_s += rng.expovariate(1 / 2.0)
            self.schedule(delay_s, lambda: self.run_in(process, action))

    def run(self) -> HistoryReport:
        """Run all bookings and return the report of the history check."""
        for number in range(self.bookings):
            start_s = self.rng.uniform(0, self.length_s)
            self.schedule(start_s, lambda n=number: self.book(n))
        for kind in ("pauses", "crashes", "handovers"):
            self.schedule_fault(kind)
        self.run_actions(self.length_s + SETTLE_S)
        return check_history(self.history)

    def schedule_fault(self, kind: str) -> None:
        """Schedule faults of one kind at random intervals."""
        rate = getattr(self.faults, kind)
        if rate <= 0:
            return

        def inject() -> None:
            if self.now < self.length_s:
                self.faults_seen[kind] += 1
                self.inject_fault(kind, self.rng.randrange(len(self.processes)))
                self.schedule_fault(kind)

        self.schedule(self.rng.expovariate(rate), inject)

    def inject_fault(self, kind: str, index: int) -> None:
        """Pause, crash or gracefully stop one process."""
        process = self.processes[index]
        if kind == "pauses":
            process.paused_until = self.now + self.rng.uniform(0.1, 5.0)
        elif kind == "crashes":
            self.restart(index)
        elif not process.issuer.closed:
            self.run_in(process, lambda: self.feed_issuer(process, IssuerStopping(0.0)))
            self.schedule(DEADLINE_S, lambda: self.hand_over(process))

    def restart(self, index: int) -> None:
        """End a process and start the next incarnation of its instance."""
        self.processes[index].running = False
        process = self.processes[index] = self.start(f"e{index}")
        self.by_incarnation[process.incarnation] = process

    def hand_over(self, process: Process) -> None:
        """Hand the records of a stopping process over to a peer, then restart it."""
        if not process.running:
            return
        peers = [p for p in self.processes if p is not process and p.running]
        successor = self.rng.choice(peers)
        at = process.clock(self.now)
        issuer = process.issuer
        own = (issuer.forgotten, tuple(export_records(issuer, at)))
        records_of = {process.incarnation: own}
        for name, received in process.handover_table.by_incarnation.items():
            records = tuple(export_received_records(received, at))
            records_of[name] = (received.forgotten, records)
        at = successor.clock(self.now)
        for name, (forgotten, records) in records_of.items():
            keep_s = self.settings.ticket_ttl_s
            table = successor.handover_table
            if not table.take(at, name, records, forgotten, keep_s, last=True):
                continue
            for peer in peers:
                known = {name: successor.incarnation}
                add_successor = partial(peer.successors.update, known)
                self.schedule(self.rng.uniform(0, 0.5), add_successor)
        self.restart(self.processes.index(process))

    def sweep(self, process: Process) -> None:
        """Drop expired records periodically."""

        def drop_expired() -> None:
            at = process.clock(self.now)
            self.feed_issuer(process, SweepTimerFired(at))
            self.feed_owner(process, RunSweepTimerFired(at))
            process.handover_table.drop_expired(at)

        self.run_in(process, drop_expired)
        if process.running and self.now < self.length_s + SETTLE_S:
            self.schedule(SWEEP_INTERVAL_S, lambda: self.sweep(process))

    def book(self, number: int) -> None:
        """Request a ticket and send one booking with it."""
        issuer = self.rng.choice(self.processes)
        if not issuer.running or issuer.paused_until > self.now:
            return
        event = TicketsRequested(issuer.clock(self.now), SERVICE, 1)
        decision = self.issuer_decide(event, issuer.issuer)
        numbers = [a.numbers for a in decision.actions if isinstance(a, IssueTickets)]
        if numbers:
            ticket = (issuer.incarnation, numbers[0][0])
            self.schedule(
                self.rng.expovariate(1 / 0.5),
                lambda: self.call(ticket, f"c{number}", f"body-{number}", 0),
            )

    def call(
        self, ticket: tuple[str, int], caller: str, body: str, resends: int
    ) -> None:
        """Send a request to a random instance; resend it until its outcome is final."""
        name = f"{ticket[0]}.{ticket[1]}"
        call = f"{caller}-{resends}-{self.call_numbers.next()}"
        self.history.append(Called(call, caller, name, body))
        answered = False
        disconnected = self.rng.random() < self.faults.caller_disconnect

        def reply(outcome: Reply) -> None:
            nonlocal answered
            if (
                answered
                or disconnected
                or not isinstance(outcome, (Ran, NotRun, Unknown))
            ):
                return
            answered = True
            self.history.append(answered_event(call, outcome))
            if isinstance(outcome, Unknown) and not outcome.final:
                self.resend(ticket, caller, body, resends)

        def on_timeout() -> None:
            if not answered:
                self.resend(ticket, caller, body, resends)

        # With the shortest timeouts, a resend may overtake the first call.
        timeout_s = self.rng.choice((0.05, 0.5, DEADLINE_S + 1))
        self.schedule(timeout_s, on_timeout)
        receiver = self.rng.choice(self.processes)
        self.send(
            receiver, lambda: self.receive(receiver, ticket, body, reply, resends)
        )

    def resend(
        self, ticket: tuple[str, int], caller: str, body: str, resends: int
    ) -> None:
        """Send a request again after a random delay, up to the limit of resends."""
        if resends < MAX_RESENDS:
            delay_s = self.rng.choice((0.01, 1.0, 8.0, 30.0))
            self.schedule(delay_s, lambda: self.call(ticket, caller, body, resends + 1))

    def receive(
        self,
        process: Process,
        ticket: tuple[str, int],
        body: str,
        reply: Callable[[Reply], None],
        resends: int,
        forwarded: bool = False,
    ) -> None:
        """Handle a call as issuer, from handed-over records, or by forwarding it."""
        incarnation, number = ticket
        if incarnation == process.incarnation:
            self.handle_at_issuer(process, number, body, reply, resends)
        elif received := process.handover_table.find(incarnation):
            reply(received.outcome(number, process.clock(self.now)))
        elif not forwarded:
            name = process.successors.get(incarnation, incarnation)
            target = self.by_incarnation[name]
            if not target.running:
                reply(Unknown(UnknownCause.ISSUER_GONE))
                return
            forward_reply = lambda outcome: self.send(process, lambda: reply(outcome))  # noqa: E731
            self.send(
                target,
                lambda: self.receive(
                    target, ticket, body, forward_reply, resends, True
                ),
            )

    def handle_at_issuer(
        self,
        process: Process,
        number: int,
        body: str,
        reply: Callable[[Reply], None],
        resends: int,
    ) -> None:
        """Feed a call, or a query of its outcome, to the issuer of its ticket."""
        call = self.call_numbers.next()
        process.reply_callbacks[call] = reply
        at = process.clock(self.now)
        if resends and self.rng.random() < 0.2:
            self.feed_issuer(process, OutcomeRequested(at, call, number))
            return
        names = candidates_for(Allowed(), body, BACKEND_SERVERS, ())
        event = RequestReceived(
            at=at,
            call=call,
            number=number,
            service=SERVICE,
            body=body,
            digest=body_digest(SERVICE, body),
            fingerprint=body,
            deadline_at=at + DEADLINE_S,
            candidates=names,
        )
        self.feed_issuer(process, event)
        self.schedule(
            DEADLINE_S + 0.5,
            lambda: self.run_in(
                process,
                lambda: self.feed_issuer(
                    process, CallEnded(process.clock(self.now), call, number)
                ),
            ),
        )

    def feed_issuer(self, process: Process, event: Any) -> None:
        """Feed an event to the issuer's decisions and perform the actions."""
        for action in self.issuer_decide(event, process.issuer).actions:
            self.perform(action, process)

    def feed_owner(self, process: Process, event: Any) -> None:
        """Feed an event to the owner's decisions and perform the actions."""
        for action in self.owner_decide(event, process.owner).actions:
            self.perform(action, process)

    @singledispatchmethod
    def perform(self, action: object, process: Process) -> None:
        """Perform one action of a process."""
        raise TypeError(f"unsupported action type: {type(action).__name__}")

    @perform.register
    def _(self, action: SendReply, process: Process) -> None:
        if reply := process.reply_callbacks.pop(action.call, None):
            reply(action.reply)

    @perform.register
    def _(self, action: StartAttempt, process: Process) -> None:
        self.schedule(
            action.delay_s,
            lambda: self.run_in(process, lambda: self.start_attempt(action, process)),
        )

    def start_attempt(self, action: StartAttempt, process: Process) -> None:
        """Send an attempt to the owner of its backend server."""
        sequence = action.attempt.sequence
        owner = self.owner_of(action.attempt.backend_server)
        process.owners[sequence] = owner
        remaining_s = action.deadline_at - process.clock(self.now)
        run = RunId(process.incarnation, sequence)

        def on_arrival() -> None:
            call = self.call_numbers.next()
            owner.result_callbacks[call] = self.result_callback(process, sequence)
            owner.runs[run] = action
            at = owner.clock(self.now)
            event = RunReceived(
                at,
                call,
                run,
                owner.incarnation,
                action.attempt.backend_server,
                at + remaining_s,
            )
            self.feed_owner(owner, event)

        if not owner.running or self.rng.random() < self.faults.closed_link:
            self.deliver_result(process, sequence, NotSent("owner_unreachable"))
            return
        self.send(owner, on_arrival)
        lost = AttemptOutcomeUnknown(UnknownCause.OWNER_UNREACHABLE)
        wait_s = remaining_s + self.settings.answer_margin_s
        self.schedule(wait_s, lambda: self.deliver_result(process, sequence, lost))

    @perform.register
    def _(self, action: QueryOwner, process: Process) -> None:
        sequence = action.attempt.sequence
        owner = process.owners[sequence]
        run = RunId(process.incarnation, sequence)

        def on_arrival() -> None:
            call = self.call_numbers.next()
            owner.result_callbacks[call] = self.result_callback(process, sequence)
            event = ResultRequested(owner.clock(self.now), call, run, owner.incarnation)
            self.feed_owner(owner, event)

        def query_owner() -> None:
            if not owner.running:
                restarted = AttemptOutcomeUnknown(
                    UnknownCause.OWNER_RESTARTED, final=True
                )
                self.deliver_result(process, sequence, restarted)
                return
            self.send(owner, on_arrival)
            lost = AttemptOutcomeUnknown(UnknownCause.OWNER_UNREACHABLE)
            self.schedule(1.0, lambda: self.deliver_result(process, sequence, lost))

        self.schedule(action.delay_s, lambda: self.run_in(process, query_owner))

    @perform.register
    def _(self, action: ReturnResult, process: Process) -> None:
        if deliver := process.result_callbacks.get(action.call):
            deliver(action.result)

    @perform.register
    def _(self, action: SendRun, process: Process) -> None:
        start = process.runs[action.id]
        run = process.owner.runs[action.id]
        self.schedule(
            self.rng.expovariate(1 / SERVICE_TIME_S),
            lambda: self.run_in(
                process, lambda: self.start_run(process, action, start, run)
            ),
        )

    def start_run(
        self, process: Process, action: SendRun, start: StartAttempt, run: Any
    ) -> None:
        """Start a run that waited for a slot, unless it is too late or refused."""
        faults, rng = self.faults, self.rng
        if run.deadline_at <= process.clock(self.now):
            self.finish_run(process, action.id, NotSent("deadline"))
        elif rng.random() < faults.refused_run:
            self.finish_run(process, action.id, NotSent("shed"))
        else:
            ticket = f"{action.id.issuer}.{start.attempt.number}"
            answer = f"answer to {start.body} of {ticket} from {action.backend_server}"
            self.history.append(
                Executed(ticket, start.body, action.backend_server, answer)
            )
            result: AttemptResult = Ran(answer)
            if rng.random() < faults.lost_reply:
                self.faults_seen["lost_reply"] += 1
                result = AttemptOutcomeUnknown(UnknownCause.BACKEND_LOST, final=True)
            run_time_s = rng.expovariate(1 / SERVICE_TIME_S)
            self.schedule(
                run_time_s, lambda: self.finish_run(process, action.id, result)
            )

    def finish_run(self, process: Process, run: RunId, result: AttemptResult) -> None:
        """Feed the result of a run to its owner."""
        self.run_in(
            process,
            lambda: self.feed_owner(
                process, RunEnded(process.clock(self.now), run, result)
            ),
        )

    def result_callback(
        self, process: Process, sequence: int
    ) -> Callable[[AttemptResult], None]:
        """Return a callback that sends the result of an attempt to its issuer."""
        return lambda result: self.send(
            process, lambda: self.deliver_result(process, sequence, result)
        )

    def deliver_result(
        self, process: Process, sequence: int, result: AttemptResult
    ) -> None:
        """Feed the result of an attempt to its issuer."""
        self.run_in(
            process,
            lambda: self.feed_issuer(
                process, AttemptEnded(process.clock(self.now), sequence, result)
            ),
        )

    def owner_of(self, backend_server: str) -> Process:
        """Return the process that owns a backend server."""
        return self.processes[int(backend_server[1:]) % len(self.processes)]
