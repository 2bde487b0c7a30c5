"""Simulation of non-idempotent requests on the real decision code, under faults."""

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

from .simulated_process import Faults, Process, answer_event
from .simulated_time import SimulatedTime

SERVICE = "desk"
BACKEND_SERVERS = ("b0", "b1", "b2")
DEADLINE_S = 2.0
SERVICE_TIME_S = 0.05
SWEEP_PERIOD_S = 5.0
# Long enough for every result to be settled and every record to expire.
QUIET_S = 200.0
RESEND_LIMIT = 4


class Simulation(SimulatedTime):
    """Simulate bookings on a fleet; call `run` once and read `history`.

    `issuer_decide` and `owner_decide` may be replaced by broken versions, to show
    that the checker finds their faults.
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
        self.calls = SequenceGenerator()
        self.history: list[HistoryEvent] = []
        self.faults_seen: Counter[str] = Counter()
        self.processes = [self.start(f"e{n}") for n in range(instances)]
        self.by_incarnation = {p.incarnation: p for p in self.processes}
        self.length_s = max(10.0, bookings / 100)

    def start(self, name: str) -> Process:
        """Return a process that starts with empty memory."""
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
        self.after(SWEEP_PERIOD_S, lambda: self.sweep(process))
        return process

    def on(self, process: Process, action: Callable[[], None]) -> None:
        """Run an action in a process: never if it is down, later while it pauses."""
        if not process.up:
            return
        if process.paused_until > self.now:
            self.after(
                process.paused_until - self.now, lambda: self.on(process, action)
            )
        else:
            action()

    def send(self, process: Process, action: Callable[[], None]) -> None:
        """Deliver a message to one incarnation; it may be lost, late or doubled."""
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
            self.after(delay_s, lambda: self.on(process, action))

    def run(self) -> HistoryReport:
        """Run all bookings and return what the checker found."""
        for number in range(self.bookings):
            start_s = self.rng.uniform(0, self.length_s)
            self.after(start_s, lambda n=number: self.book(n))
        for kind in ("pauses", "crashes", "handovers"):
            self.schedule_fault(kind)
        self.run_actions(self.length_s + QUIET_S)
        return check_history(self.history)

    def schedule_fault(self, kind: str) -> None:
        """Inject one fault after a random time, then the next one."""
        rate = getattr(self.faults, kind)
        if rate <= 0:
            return

        def strike() -> None:
            if self.now < self.length_s:
                self.faults_seen[kind] += 1
                self.strike(kind, self.rng.randrange(len(self.processes)))
                self.schedule_fault(kind)

        self.after(self.rng.expovariate(rate), strike)

    def strike(self, kind: str, place: int) -> None:
        """Pause, crash or stop one process."""
        process = self.processes[place]
        if kind == "pauses":
            process.paused_until = self.now + self.rng.uniform(0.1, 5.0)
        elif kind == "crashes":
            self.replace(place)
        elif not process.issuer.closed:
            self.on(process, lambda: self.feed_issuer(process, IssuerStopping(0.0)))
            self.after(DEADLINE_S, lambda: self.hand_over(process))

    def replace(self, place: int) -> None:
        """End a process and start its next incarnation."""
        self.processes[place].up = False
        process = self.processes[place] = self.start(f"e{place}")
        self.by_incarnation[process.incarnation] = process

    def hand_over(self, process: Process) -> None:
        """Give the records of a stopping process to a peer, then end it."""
        if not process.up:
            return
        peers = [p for p in self.processes if p is not process and p.up]
        successor = self.rng.choice(peers)
        at = process.clock(self.now)
        issuer = process.issuer
        own = (issuer.forgotten, tuple(export_records(issuer, at)))
        records_of = {process.incarnation: own}
        for name, handed in process.handed.by_incarnation.items():
            records = tuple(export_received_records(handed, at))
            records_of[name] = (handed.forgotten, records)
        at = successor.clock(self.now)
        for name, (forgotten, records) in records_of.items():
            keep_s = self.settings.ticket_ttl_s
            table = successor.handed
            if not table.take(at, name, records, forgotten, keep_s, last=True):
                continue
            for peer in peers:
                known = {name: successor.incarnation}
                learn = partial(peer.successors.update, known)
                self.after(self.rng.uniform(0, 0.5), learn)
        self.replace(self.processes.index(process))

    def sweep(self, process: Process) -> None:
        """Drop what expired, periodically."""

        def work() -> None:
            at = process.clock(self.now)
            self.feed_issuer(process, SweepTimerFired(at))
            self.feed_owner(process, RunSweepTimerFired(at))
            process.handed.drop_expired(at)

        self.on(process, work)
        if process.up and self.now < self.length_s + QUIET_S:
            self.after(SWEEP_PERIOD_S, lambda: self.sweep(process))

    def book(self, number: int) -> None:
        """Get a ticket and send one booking, with resends."""
        issuer = self.rng.choice(self.processes)
        if not issuer.up or issuer.paused_until > self.now:
            return
        event = TicketsRequested(issuer.clock(self.now), SERVICE, 1)
        decision = self.issuer_decide(event, issuer.issuer)
        numbers = [a.numbers for a in decision.actions if isinstance(a, IssueTickets)]
        if numbers:
            ticket = (issuer.incarnation, numbers[0][0])
            self.after(
                self.rng.expovariate(1 / 0.5),
                lambda: self.call(ticket, f"c{number}", f"body-{number}", 0),
            )

    def call(
        self, ticket: tuple[str, int], caller: str, body: str, resends: int
    ) -> None:
        """Send a request to some instance and resend it until it is settled."""
        name = f"{ticket[0]}.{ticket[1]}"
        call = f"{caller}-{resends}-{self.calls.next()}"
        self.history.append(Called(call, caller, name, body))
        answered = False
        gone = self.rng.random() < self.faults.gone_caller

        def reply(outcome: Reply) -> None:
            nonlocal answered
            if answered or gone or not isinstance(outcome, (Ran, NotRun, Unknown)):
                return
            answered = True
            self.history.append(answer_event(call, outcome))
            if isinstance(outcome, Unknown) and not outcome.final:
                self.resend(ticket, caller, body, resends)

        def give_up() -> None:
            if not answered:
                self.resend(ticket, caller, body, resends)

        # A resend may overtake the first call.
        patience_s = self.rng.choice((0.05, 0.5, DEADLINE_S + 1))
        self.after(patience_s, give_up)
        place = self.rng.choice(self.processes)
        self.send(place, lambda: self.receive(place, ticket, body, reply, resends))

    def resend(
        self, ticket: tuple[str, int], caller: str, body: str, resends: int
    ) -> None:
        """Send a request again after a while."""
        if resends < RESEND_LIMIT:
            delay_s = self.rng.choice((0.01, 1.0, 8.0, 30.0))
            self.after(delay_s, lambda: self.call(ticket, caller, body, resends + 1))

    def receive(
        self,
        process: Process,
        ticket: tuple[str, int],
        body: str,
        reply: Callable[[Reply], None],
        resends: int,
        forwarded: bool = False,
    ) -> None:
        """Handle a call at an instance: run it, forward it or answer for others."""
        incarnation, number = ticket
        if incarnation == process.incarnation:
            self.at_issuer(process, number, body, reply, resends)
        elif handed := process.handed.find(incarnation):
            reply(handed.outcome(number, process.clock(self.now)))
        elif not forwarded:
            name = process.successors.get(incarnation, incarnation)
            target = self.by_incarnation[name]
            if not target.up:
                reply(Unknown(UnknownCause.ISSUER_GONE))
                return
            back = lambda outcome: self.send(process, lambda: reply(outcome))  # noqa: E731
            self.send(
                target, lambda: self.receive(target, ticket, body, back, resends, True)
            )

    def at_issuer(
        self,
        process: Process,
        number: int,
        body: str,
        reply: Callable[[Reply], None],
        resends: int,
    ) -> None:
        """Feed a call to the issuer of its ticket."""
        call = self.calls.next()
        process.replies[call] = reply
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
        self.after(
            DEADLINE_S + 0.5,
            lambda: self.on(
                process,
                lambda: self.feed_issuer(
                    process, CallEnded(process.clock(self.now), call, number)
                ),
            ),
        )

    def feed_issuer(self, process: Process, event: Any) -> None:
        """Decide on an event of the issuer and perform the actions."""
        for action in self.issuer_decide(event, process.issuer).actions:
            self.perform(action, process)

    def feed_owner(self, process: Process, event: Any) -> None:
        """Decide on an event of the owner and perform the actions."""
        for action in self.owner_decide(event, process.owner).actions:
            self.perform(action, process)

    @singledispatchmethod
    def perform(self, action: object, process: Process) -> None:
        """Perform one action of a process."""
        raise TypeError(f"not an action: {type(action).__name__}")

    @perform.register
    def _(self, action: SendReply, process: Process) -> None:
        if reply := process.replies.pop(action.call, None):
            reply(action.reply)

    @perform.register
    def _(self, action: StartAttempt, process: Process) -> None:
        self.after(
            action.delay_s,
            lambda: self.on(process, lambda: self.start_attempt(action, process)),
        )

    def start_attempt(self, action: StartAttempt, process: Process) -> None:
        """Send an attempt to the owner of its backend server."""
        sequence = action.attempt.sequence
        owner = self.owner_of(action.attempt.backend_server)
        process.asked[sequence] = owner
        remaining_s = action.deadline_at - process.clock(self.now)
        run = RunId(process.incarnation, sequence)

        def arrive() -> None:
            call = self.calls.next()
            owner.results[call] = self.result_to(process, sequence)
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

        if not owner.up or self.rng.random() < self.faults.closed_link:
            self.take(process, sequence, NotSent("owner_unreachable"))
            return
        self.send(owner, arrive)
        lost = AttemptOutcomeUnknown(UnknownCause.OWNER_UNREACHABLE)
        wait_s = remaining_s + self.settings.answer_margin_s
        self.after(wait_s, lambda: self.take(process, sequence, lost))

    @perform.register
    def _(self, action: QueryOwner, process: Process) -> None:
        sequence = action.attempt.sequence
        owner = process.asked[sequence]
        run = RunId(process.incarnation, sequence)

        def arrive() -> None:
            call = self.calls.next()
            owner.results[call] = self.result_to(process, sequence)
            event = ResultRequested(owner.clock(self.now), call, run, owner.incarnation)
            self.feed_owner(owner, event)

        def ask() -> None:
            if not owner.up:
                gone = AttemptOutcomeUnknown(UnknownCause.OWNER_RESTARTED, final=True)
                self.take(process, sequence, gone)
                return
            self.send(owner, arrive)
            lost = AttemptOutcomeUnknown(UnknownCause.OWNER_UNREACHABLE)
            self.after(1.0, lambda: self.take(process, sequence, lost))

        self.after(action.delay_s, lambda: self.on(process, ask))

    @perform.register
    def _(self, action: ReturnResult, process: Process) -> None:
        if give := process.results.get(action.call):
            give(action.result)

    @perform.register
    def _(self, action: SendRun, process: Process) -> None:
        start = process.runs[action.id]
        run = process.owner.runs[action.id]
        self.after(
            self.rng.expovariate(1 / SERVICE_TIME_S),
            lambda: self.on(
                process, lambda: self.reach_backend(process, action, start, run)
            ),
        )

    def reach_backend(
        self, process: Process, action: SendRun, start: StartAttempt, run: Any
    ) -> None:
        """Send a run that had to wait for a slot, unless its deadline has passed."""
        faults, rng = self.faults, self.rng
        if run.deadline_at <= process.clock(self.now):
            self.end_run(process, action.id, NotSent("deadline"))
        elif rng.random() < faults.refused_run:
            self.end_run(process, action.id, NotSent("shed"))
        else:
            ticket = f"{action.id.issuer}.{start.attempt.number}"
            made = f"answer to {start.body} of {ticket} from {action.backend_server}"
            self.history.append(
                Executed(ticket, start.body, action.backend_server, made)
            )
            result: AttemptResult = Ran(made)
            if rng.random() < faults.lost_reply:
                self.faults_seen["lost_reply"] += 1
                result = AttemptOutcomeUnknown(UnknownCause.BACKEND_LOST, final=True)
            took_s = rng.expovariate(1 / SERVICE_TIME_S)
            self.after(took_s, lambda: self.end_run(process, action.id, result))

    def end_run(self, process: Process, run: RunId, result: AttemptResult) -> None:
        """Report the end of a run to its owner."""
        self.on(
            process,
            lambda: self.feed_owner(
                process, RunEnded(process.clock(self.now), run, result)
            ),
        )

    def result_to(
        self, process: Process, sequence: int
    ) -> Callable[[AttemptResult], None]:
        """Return the function that sends a result to an issuer."""
        return lambda result: self.send(
            process, lambda: self.take(process, sequence, result)
        )

    def take(self, process: Process, sequence: int, result: AttemptResult) -> None:
        """Feed the result of an attempt to its issuer."""
        self.on(
            process,
            lambda: self.feed_issuer(
                process, AttemptEnded(process.clock(self.now), sequence, result)
            ),
        )

    def owner_of(self, backend_server: str) -> Process:
        """Return the process that owns a backend server."""
        return self.processes[int(backend_server[1:]) % len(self.processes)]
