"""Quarantine of searches: checks on the coordinator and runs on the owner."""

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
from fireflyrack.requests import Alone, Quarantined, refusal_at, search_fingerprint
from fireflyrack.search import Candidate

from .errors import ApiError
from .owning import OwnershipReconciler
from .quarantine import Quarantine


class SearchGuard:
    """Run sub-requests under the quarantine; call `submit` for each."""

    def __init__(self, servers: OwnershipReconciler, quarantine: Quarantine) -> None:
        self.servers = servers
        self.quarantine = quarantine
        self.loop = asyncio.get_running_loop()
        # Backend servers on which a suspected search runs.
        self.trials: set[str] = set()

    async def submit(self, backend_server: str, work: SearchWork) -> WorkOutcome:
        """Run a sub-request and tell the quarantine how it ended."""
        fingerprint = search_fingerprint(work.service, work.text)
        verdict = self.quarantine.check(fingerprint)
        trial = isinstance(verdict, Alone)
        if refusal_at(verdict, backend_server) or (
            trial and backend_server in self.trials
        ):
            return Failed(WorkRefused(RefusalReason.INVALID))
        if trial:
            self.trials.add(backend_server)
        self.quarantine.record_start(backend_server, work.service, fingerprint)
        outcome: WorkOutcome | None = None
        try:
            outcome = await self.servers.submit(backend_server, work)
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
        """Tell the quarantine how a sub-request ended; None stands for cancelled."""
        match outcome:
            case Failed(WorkFailed(disconnected=True)):
                crashed = self.loop.time() < work.deadline_at
            case _:
                crashed = False
        # All that ran on the backend server fails with it and is counted once.
        if crashed and self.quarantine.is_running(backend_server, fingerprint):
            self.quarantine.record_crash(backend_server)
        else:
            passed = trial and isinstance(outcome, Ok)
            self.quarantine.record_end(backend_server, fingerprint, passed)


def trial_candidates(
    verdict: Alone, canaries: tuple[str, ...], candidates: tuple[Candidate, ...]
) -> tuple[Candidate, ...]:
    """Return the one backend server that tries a suspected search, if there is one.

    Only the canaries may: another instance may have lost one of them to the search
    without its evidence having arrived here.
    """
    by_name = {c.backend_server: c for c in candidates}
    first = verdict.first if verdict.only is not None else (*verdict.first, *canaries)
    names = [name for name in first if name in by_name]
    return tuple(by_name[name] for name in names[:1])


def search_refusal(verdict: Alone | Quarantined) -> ApiError:
    """Return the error of a search that may not run."""
    if isinstance(verdict, Quarantined):
        message = "the search crashed backend servers and is quarantined"
        return ApiError("search_quarantined", 403, message)
    message = "the search is suspected of crashing backend servers; try again later"
    return ApiError("search_suspected", 503, message)
