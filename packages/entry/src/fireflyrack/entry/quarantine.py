"""Quarantine on this instance: events of other slices and registers of peers."""

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
    """Judge fingerprints, and learn from what runs when a backend server breaks.

    Call `check` before sending, `started` and `ended` around each run, and `broke`
    when the connection to a backend server breaks.
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
        """Return whether and where a request may run."""
        return check(self.machine.state, fingerprint)

    def started(self, backend_server: str, service: str, fingerprint: str) -> None:
        """Note that a request was sent to a backend server."""
        event = RequestStarted(self.loop.time(), backend_server, service, fingerprint)
        self.machine.feed(event)

    def ended(
        self, backend_server: str, fingerprint: str, completed_alone: bool = False
    ) -> None:
        """Note that a request left a backend server that is still up."""
        at = self.loop.time()
        self.machine.feed(
            RequestEnded(at, backend_server, fingerprint, completed_alone)
        )

    def broke(self, backend_server: str, running: dict[str, str] | None = None) -> None:
        """Note that a backend server crashed under some fingerprints.

        `running` gives the service of each; None stands for all that were started.
        """
        self.machine.feed(ServerCrashed(self.loop.time(), backend_server, running))

    def runs_on(self, backend_server: str, fingerprint: str) -> bool:
        """Return whether a fingerprint is known to run on a backend server."""
        return fingerprint in self.machine.state.running.get(backend_server, ())

    def lift(self, fingerprint: str) -> bool:
        """Let a fingerprint run again; return False if it was not suspected."""
        entry = self.machine.state.entries.get(fingerprint)
        if entry is None or not entry.evidence.active_crashes():
            return False
        self.machine.feed(QuarantineLifted(self.loop.time(), fingerprint))
        return True

    def sweep(self) -> None:
        """Forget old evidence."""
        self.machine.feed(QuarantineSweepTimerFired(self.loop.time()))

    def receive(self, register: Register) -> None:
        """Take the evidence of another instance."""
        model = EvidenceModel.model_validate_json(register.body)
        event = EvidenceReceived(self.loop.time(), model.fingerprint, model.to_domain())
        self.machine.feed(event)

    @singledispatchmethod
    def perform(self, action: object) -> None:
        """Perform one action of the quarantine."""
        raise TypeError(f"not an action: {type(action).__name__}")

    @perform.register
    def _(self, action: PublishEvidence) -> None:
        if isinstance(self.check(action.fingerprint), Quarantined):
            log.warning("request {} is quarantined", action.fingerprint)
        model = evidence_model(action.fingerprint, action.evidence)
        # Each incarnation writes its own key: a restarted instance would begin again
        # with a version that loses to its former one.
        key = f"{action.fingerprint}/{self.incarnation}"
        body = model.model_dump_json().encode()
        # Each second without the evidence may cost another backend server.
        self.disseminator.publish(QUARANTINE_TOPIC, key, body, urgent=True)
