"""Quarantine of searches on the coordinator and on the owner."""

from __future__ import annotations

import asyncio

from fireflyrack.admission import (
    RefusalReason,
    SearchWork,
    WorkFailed,
    WorkOutcome,
    WorkRefused,
)
from fireflyrack.core import Failed, Ok
from fireflyrack.requests import Isolated, Quarantined, refusal_at, search_fingerprint
from fireflyrack.search import Candidate

from .errors import ApiError
from .owning import OwnershipReconciler
from .quarantine import Quarantine


class SearchGuard:
    """Run sub-requests unless their search is quarantined; call `submit` for each."""

    def __init__(self, reconciler: OwnershipReconciler, quarantine: Quarantine) -> None:
        self.reconciler = reconciler
        self.quarantine = quarantine
        self.loop = asyncio.get_running_loop()
        # Backend servers on which a suspected search runs, at most one on each.
        self.trials: set[str] = set()

    async def submit(self, backend_server: str, work: SearchWork) -> WorkOutcome:
        """Run a sub-request and report its end to the quarantine."""
        fingerprint = search_fingerprint(work.service, work.text)
        verdict = self.quarantine.check(fingerprint)
        trial = isinstance(verdict, Isolated)
        if refusal_at(verdict, backend_server) or (
            trial and backend_server in self.trials
        ):
            return Failed(WorkRefused(RefusalReason.INVALID))
        if trial:
            self.trials.add(backend_server)
        self.quarantine.record_start(backend_server, work.service, fingerprint)
        outcome: WorkOutcome | None = None
        try:
            outcome = await self.reconciler.submit(backend_server, work)
            return outcome
        finally:
            if trial:
                self.trials.discard(backend_server)
            self.record_outcome(backend_server, work, fingerprint, outcome, trial)

    def record_outcome(
        self,
        backend_server: str,
        work: SearchWork,
        fingerprint: str,
        outcome: WorkOutcome | None,
        trial: bool,
    ) -> None:
        """Report the end of a sub-request to the quarantine; None means cancelled."""
        match outcome:
            case Failed(WorkFailed(disconnected=True)):
                crashed = self.loop.time() < work.deadline_at
            case _:
                crashed = False
        # All runs on the backend server fail with it and count as one crash.
        if crashed and self.quarantine.is_running(backend_server, fingerprint):
            self.quarantine.record_crash(backend_server)
        else:
            passed = trial and isinstance(outcome, Ok)
            self.quarantine.record_end(backend_server, fingerprint, passed)


def trial_candidates(
    verdict: Isolated, canaries: tuple[str, ...], candidates: tuple[Candidate, ...]
) -> tuple[Candidate, ...]:
    """Return the backend server to try a suspected search on, at most one.

    Only canaries are eligible: the search may have crashed one of them through another
    instance whose evidence has not arrived yet.
    """
    by_name = {c.backend_server: c for c in candidates}
    preferred = (
        verdict.preferred
        if verdict.permitted is not None
        else (*verdict.preferred, *canaries)
    )
    names = [name for name in preferred if name in by_name]
    return tuple(by_name[name] for name in names[:1])


def search_refusal(verdict: Isolated | Quarantined) -> ApiError:
    """Return the API error of a search that the quarantine refuses."""
    if isinstance(verdict, Quarantined):
        message = "the search crashed backend servers and is quarantined"
        return ApiError("search_quarantined", 403, message)
    message = "the search is suspected of crashing backend servers; try again later"
    return ApiError("search_suspected", 503, message)
