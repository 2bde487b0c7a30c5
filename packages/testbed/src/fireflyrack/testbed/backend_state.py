"""Slots, service times, faults and counters of the stand-in for a backend server."""

from __future__ import annotations

import asyncio
import os
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from fireflyrack.core import ShardSet

from .backend_connections import Connections
from .corpus import read_corpus
from .index import CollectionStatistics, InvertedIndex
from .settings import BackendFaults, BackendSettings

# Minimum cost of a sub-request, as a fraction of the cost of all shards held.
MIN_COST_FRACTION = 0.2
CRASH_EXIT_CODE = 70


@dataclass(slots=True)
class ActiveRequest:
    """Accepted request that waits for a slot or occupies one."""

    ids: tuple[str, ...]
    cancelled: set[str] = field(default_factory=set)
    all_cancelled: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(slots=True)
class Records:
    """Counters of received work, refusals and executions."""

    peak_running: int = 0
    over_limit: int = 0
    batches: int = 0
    sub_requests: int = 0
    busy_s: float = 0.0
    sheds: int = 0
    refused_draining: int = 0
    cancel_calls: int = 0
    cancelled: int = 0
    past_deadline: int = 0
    status_calls: int = 0
    executions: dict[str, int] = field(default_factory=dict)
    # Time of the last request for work, in seconds since the first call.
    last_work_at: float = 0.0


@dataclass(slots=True)
class BackendState:
    """Index, slots, injected faults and counters of one backend server."""

    settings: BackendSettings
    index: InvertedIndex
    held: ShardSet
    slots: asyncio.Semaphore
    faults: BackendFaults
    connections: Connections
    rng: random.Random
    records: Records = field(default_factory=Records)
    active_requests: list[ActiveRequest] = field(default_factory=list)
    started_at: float | None = None
    # Changes of the draining state: time in seconds and new value.
    draining_history: list[tuple[float, bool]] = field(default_factory=list)

    @property
    def snapshots(self) -> tuple[str, ...]:
        """Return the snapshots that can be searched."""
        if self.faults.snapshots is not None:
            return self.faults.snapshots
        return self.settings.index.snapshots

    def uptime(self) -> float:
        """Return the seconds since the first call."""
        now = asyncio.get_running_loop().time()
        if self.started_at is None:
            self.started_at = now
        return now - self.started_at

    def set_faults(self, faults: BackendFaults) -> None:
        """Replace the faults and record a change of the draining state."""
        if faults.draining != self.faults.draining:
            self.draining_history.append((self.uptime(), faults.draining))
        self.faults = faults

    def reports_draining(self) -> bool:
        """Return whether the status reports draining, under the injected faults."""
        faults = self.faults
        if faults.status_state is not None:
            return faults.status_state == "draining"
        if faults.hide_draining:
            return False
        reported_time = self.uptime() - faults.status_lag_s
        past = [
            draining for at, draining in self.draining_history if at <= reported_time
        ]
        return past[-1] if past else self.settings.faults.draining

    def refusal_reason(self) -> str | None:
        """Record a request; return why it is refused with 503, or None if accepted."""
        self.records.last_work_at = self.uptime()
        if self.faults.draining:
            self.records.refused_draining += 1
            return "draining"
        waiting = len(self.active_requests) - self.settings.slots
        if self.faults.shed or waiting >= self.settings.max_waiting:
            self.records.sheds += 1
            return "shed"
        return None

    def register_request(self, ids: tuple[str, ...]) -> ActiveRequest:
        """Add an accepted request to the active ones and return it."""
        active_request = ActiveRequest(ids)
        self.active_requests.append(active_request)
        records = self.records
        records.peak_running = max(records.peak_running, len(self.active_requests))
        records.over_limit += len(self.active_requests) > self.settings.slots
        return active_request

    def cancel(self, ids: Iterable[str]) -> tuple[str, ...]:
        """Cancel work by id; return the ids that were found."""
        self.records.cancel_calls += 1
        if self.faults.ignore_cancel:
            return ()
        found = []
        for active_request in self.active_requests:
            for name in set(ids) & set(active_request.ids) - active_request.cancelled:
                active_request.cancelled.add(name)
                found.append(name)
            if len(active_request.cancelled) == len(active_request.ids):
                active_request.all_cancelled.set()
        self.records.cancelled += len(found)
        return tuple(found)

    def draw_service_time(self, shards: ShardSet | None) -> float:
        """Draw the time in seconds of a sub-request, or of a run if shards is None."""
        settings, faults = self.settings, self.faults
        fraction = 1.0
        if shards is not None and self.held:
            fraction = max(MIN_COST_FRACTION, len(shards & self.held) / len(self.held))
        drawn_s = settings.service_time_s * fraction
        if settings.service_time_sigma:
            drawn_s *= self.rng.lognormvariate(0.0, settings.service_time_sigma)
        factor = faults.straggler_factor
        if self.uptime() < settings.cold_s:
            factor *= settings.cold_factor
        return drawn_s * factor

    def draw_batch_time(self, shards: Iterable[ShardSet | None]) -> float:
        """Draw the time of a batch in seconds.

        The longest sub-request counts in full, each other one with `batch_share` of
        its time: n equal ones take 1 + (n - 1) * batch_share times as long as one.
        """
        times = sorted(self.draw_service_time(part) for part in shards)
        longest_s = times[-1] if times else 0.0
        others_s = sum(times[:-1]) * self.settings.batch_share
        return longest_s + others_s + self.faults.extra_delay_s

    def crash_if_matching(self, text: str) -> None:
        """Exit the process if `text` contains the text of the crash fault."""
        if self.faults.crash_text and self.faults.crash_text in text:
            os._exit(CRASH_EXIT_CODE)

    def record_execution(self, name: str) -> None:
        """Count an execution before it has any effect."""
        executions = self.records.executions
        executions[name] = executions.get(name, 0) + 1
        if path := self.settings.executions_file:
            with open(path, "a", encoding="utf-8") as file:
                file.write(name + "\n")


def build_state(settings: BackendSettings) -> BackendState:
    """Build the index of the shards held and return the server's initial state."""
    held = ShardSet.parse(settings.index.held)
    corpus = read_corpus(settings.index.modules)
    shards = settings.index.shards
    documents = [d for d in corpus.documents if d.shard(shards) in held]
    statistics = CollectionStatistics.from_documents(corpus.documents)
    return BackendState(
        settings=settings,
        index=InvertedIndex(documents, statistics, shards),
        held=held,
        slots=asyncio.Semaphore(settings.slots),
        faults=settings.faults,
        connections=Connections(settings.connections),
        rng=random.Random(settings.seed),
    )
