"""Runner of the quarantine, fed with runs of this instance and evidence of peers."""

from __future__ import annotations

import asyncio
from functools import singledispatchmethod

import logbook

from fireflyrack.core import StateMachine
from fireflyrack.dissemination import Disseminator, Register
from fireflyrack.requests import (
    EvidenceModel,
    EvidenceReceived,
    PublishEvidence,
    Quarantined,
    QuarantineLifted,
    QuarantineState,
    QuarantineSweepTimerFired,
    RequestEnded,
    RequestSettings,
    RequestStarted,
    ServerCrashed,
    Verdict,
    check,
    decide_quarantine,
    evidence_model,
)

QUARANTINE_TOPIC = "requests.quarantine"
log = logbook.Logger("quarantine")


class Quarantine:
    """Track which requests run when a backend server crashes, and quarantine them.

    Call `check` before sending, `record_start` and `record_end` around each run, and
    `record_crash` when the connection to a backend server breaks.
    """

    def __init__(
        self, incarnation: str, settings: RequestSettings, disseminator: Disseminator
    ) -> None:
        self.incarnation = incarnation
        self.disseminator = disseminator
        self.loop = asyncio.get_running_loop()
        self.machine = StateMachine(
            QuarantineState(settings), decide_quarantine, self.perform
        )

    def check(self, fingerprint: str) -> Verdict:
        """Return whether and where a request with this fingerprint may run."""
        return check(self.machine.state, fingerprint)

    def record_start(self, backend_server: str, service: str, fingerprint: str) -> None:
        """Record that a request was sent to a backend server."""
        event = RequestStarted(self.loop.time(), backend_server, service, fingerprint)
        self.machine.feed(event)

    def record_end(
        self, backend_server: str, fingerprint: str, completed_alone: bool = False
    ) -> None:
        """Record that a request ended while its backend server stayed up."""
        at = self.loop.time()
        self.machine.feed(
            RequestEnded(at, backend_server, fingerprint, completed_alone)
        )

    def record_crash(
        self, backend_server: str, running: dict[str, str] | None = None
    ) -> None:
        """Record that a backend server crashed.

        `running` holds the service of each fingerprint that ran there; None stands
        for all recorded starts without an end.
        """
        self.machine.feed(ServerCrashed(self.loop.time(), backend_server, running))

    def is_running(self, backend_server: str, fingerprint: str) -> bool:
        """Return whether a fingerprint is known to run on a backend server."""
        return fingerprint in self.machine.state.running.get(backend_server, ())

    def lift(self, fingerprint: str) -> bool:
        """Allow a fingerprint again; return False if it was not suspected."""
        entry = self.machine.state.entries.get(fingerprint)
        if entry is None or not entry.evidence.active_crashes():
            return False
        self.machine.feed(QuarantineLifted(self.loop.time(), fingerprint))
        return True

    def sweep(self) -> None:
        """Drop expired evidence."""
        self.machine.feed(QuarantineSweepTimerFired(self.loop.time()))

    def receive(self, register: Register) -> None:
        """Merge the evidence of another instance."""
        model = EvidenceModel.model_validate_json(register.body)
        event = EvidenceReceived(self.loop.time(), model.fingerprint, model.to_domain())
        self.machine.feed(event)

    @singledispatchmethod
    def perform(self, action: object) -> None:
        """Perform one action of the quarantine."""
        raise TypeError(f"unsupported action type: {type(action).__name__}")

    @perform.register
    def _(self, action: PublishEvidence) -> None:
        if isinstance(self.check(action.fingerprint), Quarantined):
            log.warning(
                "requests with fingerprint {} are quarantined", action.fingerprint
            )
        model = evidence_model(action.fingerprint, action.evidence)
        # Each incarnation has its own key: the versions of a restarted instance start
        # anew and would lose to those of its former incarnation.
        key = f"{action.fingerprint}/{self.incarnation}"
        body = model.model_dump_json().encode()
        # Urgent, since each second of delay may crash another backend server.
        self.disseminator.publish(QUARANTINE_TOPIC, key, body, urgent=True)
