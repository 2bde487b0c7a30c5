"""Tests of the owner with random calls: permission, single sends and outcomes."""

from __future__ import annotations

import asyncio
import random

from hypothesis import HealthCheck, given, seed, settings, strategies as st

from fireflyrack.admission import (
    AdmissionSettings,
    BackendCallFailed,
    BackendNotSent,
    BackendShed,
    BackendUnreachable,
    OwnedServers,
    RepliesModel,
    ReplyModel,
    RunAnswered,
    RunAnswerModel,
    RunOutcomeUnknown,
    RunRefused,
    RunRequest,
    SearchWork,
    WorkRefused,
)
from fireflyrack.configuration import BackendServer
from fireflyrack.core import Failed, Ok, ShardSet

SLOTS = 2


class FakeBackend:
    """Backend server without I/O: records what was sent and whether it was allowed."""

    def __init__(self, rng):
        self.rng = rng
        self.permitted = True
        self.sent = []
        self.refused_by_server = set()
        self.cancelled_runs = set()
        self.open_calls = []
        self.in_flight = 0
        self.clients = 0
        # An assertion inside a task of the owner would only end that task.
        self.violations = []

    def check(self, holds, what):
        if not holds:
            self.violations.append(what)

    async def transfer(self, ids, send):
        """Simulate connecting and sending, and wait for a reply by the test."""
        if self.rng.random() < 0.3:
            await asyncio.sleep(0)
        if self.rng.random() < 0.1:
            return Failed(BackendUnreachable("refused"))
        loop = asyncio.get_running_loop()
        if reason := send.refusal_reason(loop.time()):
            return Failed(BackendNotSent(reason))
        self.check(self.permitted, "sent without permission")
        send.sent = True
        self.check(not set(ids) & set(self.sent), "sent twice")
        self.check(not set(ids) & self.cancelled_runs, "sent after cancellation")
        self.sent.extend(ids)
        self.in_flight += 1
        self.check(self.in_flight <= SLOTS, "more in flight than slots")
        reply = loop.create_future()
        self.open_calls.append(reply)
        kind = await reply
        self.in_flight -= 1
        if kind == "shed":
            self.refused_by_server.update(ids)
            return Failed(BackendShed("503", self.rng.random() < 0.2))
        return Failed(BackendCallFailed("reset")) if kind == "broken" else None


class FakeClient:
    """Client of the fake backend server."""

    def __init__(self, backend, server, on_draining):
        self.backend, self.server, self.on_draining = backend, server, on_draining
        backend.clients += 1
        backend.check(backend.clients == 1, "opened before the release had ended")

    async def warm(self):
        await asyncio.sleep(0)

    async def replace_connections(self, server):
        self.backend.check(self.backend.in_flight == 0, "connections lost in flight")

    async def cancel(self, ids):
        self.backend.check(set(ids) <= set(self.backend.sent), "cancelled, never sent")

    async def search(self, work_items, send, timeout_s):
        failed = await self.backend.transfer([w.id for w in work_items], send)
        replies = tuple(ReplyModel(id=w.id, snapshot="1.1") for w in work_items)
        return failed or Ok(RepliesModel(replies=replies))

    async def run(self, request, send, timeout_s):
        failed = await self.backend.transfer([request.id], send)
        return failed or Ok(RunAnswerModel(id=request.id, answer=b"ok"))

    async def close(self):
        self.backend.check(self.backend.in_flight == 0, "closed in flight")
        self.backend.clients -= 1


def server(connections):
    return BackendServer("b0", "127.0.0.1:1", "lj-a", SLOTS, connections)


def check_outcome(backend, name, outcome):
    """Check that an outcome agrees with whether the work was sent and run."""
    match outcome:
        case RunRefused() | Failed(WorkRefused()):
            assert name not in backend.sent or name in backend.refused_by_server
        case RunAnswered() | RunOutcomeUnknown():
            assert name in backend.sent and name not in backend.refused_by_server


async def run_random_calls(rng, steps):
    backend = FakeBackend(rng)

    def open_client(server, settings, may_send, on_draining):
        return FakeClient(backend, server, on_draining)

    changes = {"max_waiting": 5, "max_batch": 3, "shed_pause_s": 0.0001}
    owned = OwnedServers(
        AdmissionSettings(**changes), lambda: backend.permitted, open_client
    )
    tasks, changes = {}, []
    loop = asyncio.get_running_loop()
    kinds = ["search"] * 4 + ["run"] * 4 + ["reply"] * 6
    kinds += ["cancel", "cancel_run", "permission", "own", "release", "limits"]
    await owned.own((server(25),))
    for _ in range(steps):
        kind = rng.choice(kinds)
        name = f"{kind[0]}{len(tasks)}"
        deadline_at = loop.time() + rng.choice([-1, 0.001, 60, 60])
        if kind == "search":
            work = SearchWork(name, "docs", "1", ShardSet(), "q", 1, deadline_at)
            tasks[name] = asyncio.create_task(owned.submit("b0", work))
        elif kind == "run":
            request = RunRequest(name, "desk", b"", deadline_at, "f")
            tasks[name] = asyncio.create_task(owned.run("b0", request))
        elif kind == "reply" and backend.open_calls:
            call = backend.open_calls.pop(rng.randrange(len(backend.open_calls)))
            call.set_result(rng.choice(["ok", "ok", "ok", "shed", "broken"]))
        elif kind == "cancel" and tasks:
            rng.choice(list(tasks.values())).cancel()
        elif kind == "cancel_run" and tasks:
            runs = [t for t in tasks if t[0] == "r"] or [""]
            chosen = rng.choice(runs)
            owned.cancel_run("b0", chosen)
            # The owner knows a run only once its task has started.
            if "b0" in owned.servers and chosen in owned.servers["b0"].waiters:
                backend.cancelled_runs.add(chosen)
        elif kind == "permission":
            backend.permitted = rng.random() < 0.7
        elif kind in ("own", "release", "limits"):
            desired = {"own": (server(25),), "limits": (server(9),), "release": ()}
            changes.append(asyncio.create_task(owned.own(desired[kind])))
        for _ in range(rng.randint(0, 3)):
            await asyncio.sleep(0)
    closing = asyncio.create_task(owned.close())
    while not closing.done():
        for call in backend.open_calls:
            call.set_result("ok")
        backend.open_calls.clear()
        await asyncio.sleep(0)
    outcomes = await asyncio.gather(*tasks.values(), return_exceptions=True)
    await asyncio.gather(closing, *changes)
    for name, outcome in zip(tasks, outcomes, strict=True):
        if isinstance(outcome, Exception):
            raise outcome
        check_outcome(backend, name, outcome)
    assert backend.violations == []
    assert backend.clients == 0


@seed(20261204)
@settings(
    max_examples=1000,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
@given(st.integers(0, 2**64), st.integers(10, 60))
def test_random_calls_send_once_with_permission_and_report_what_ran(number, steps):
    """Fails if an order of calls sends twice or reports sent work as not run."""
    asyncio.run(run_random_calls(random.Random(number), steps))
