"""Guard against duplicate runs and lost outcomes of requests between instances."""

from __future__ import annotations

import asyncio

import pytest
from prometheus_client import CollectorRegistry

from fireflyrack.configuration import BackendServer, Service
from fireflyrack.core import Failed
from fireflyrack.dissemination import DisseminationSettings, Disseminator
from fireflyrack.entry.requests import RequestService
from fireflyrack.links import LinkPool, LinkServer, LinkSettings
from fireflyrack.membership import Member
from fireflyrack.requests import (
    AttemptOutcomeUnknown,
    NotSent,
    Ran,
    RequestSettings,
    UnknownCause,
)
from fireflyrack.testbed.ports import free_address

NAMES = ("e0", "e1", "e2")
SETTINGS = RequestSettings(answer_margin_s=0.2, ask_period_s=0.05, settle_for_s=5)
SERVICE = Service(
    "desk", {f"b{n}": BackendServer(f"b{n}", "", "d", 2, 2) for n in range(3)}
)
# Limit for the propagation of registers and for queries of results.
WAIT_S = 5.0
POLL_INTERVAL_S = 0.02


class FakeRunner:
    """Record the body and server of each run; `results` overrides answers by body.

    `offered` also holds the runs that were refused before they started.
    """

    def __init__(self, executed, offered, results):
        self.executed = executed
        self.offered = offered
        self.results = results
        self.released = asyncio.Event()
        self.released.set()

    async def run(self, backend_server, run):
        self.offered.append((run.body, backend_server))
        result = self.results.get(run.body)
        if not isinstance(result, NotSent):
            self.executed.append((run.body, backend_server))
        await self.released.wait()
        return result or Ran(f"done {run.body}")


class Fleet:
    """Connect three instances over real links; eN owns backend server bN."""

    def __init__(self):
        self.executed = []
        self.offered = []
        self.results = {}
        self.members = {name: self.member(name) for name in NAMES}
        self.nodes, self.runners, self.pools, self.servers = {}, {}, {}, {}
        self.disseminators = {}

    def member(self, name):
        incarnation = f"a{name[1:]}"
        return Member(name, incarnation, "d", "127.0.0.1:1", free_address())

    def find_owner(self, backend_server):
        return self.members[f"e{backend_server[1:]}"]

    async def start(self):
        for name, member in self.members.items():
            pool = self.pools[name] = LinkPool(LinkSettings(), name)
            server = self.servers[name] = LinkServer(LinkSettings(), name)
            disseminator = Disseminator(name, DisseminationSettings(), pool)
            self.disseminators[name] = disseminator
            runner = self.runners[name] = FakeRunner(
                self.executed, self.offered, self.results
            )
            node = self.nodes[name] = RequestService(
                member,
                SETTINGS,
                "k" * 16,
                pool,
                disseminator,
                runner,
                self.find_owner,
                {"desk": SERVICE}.get,
                CollectorRegistry(),
            )
            node.register_handlers(server)
            disseminator.register_handlers(server)
            await server.start(member.link_address)
        for disseminator in self.disseminators.values():
            disseminator.set_peers(
                {m.id: m.link_address for m in self.members.values()}
            )

    async def stop(self):
        for name, node in self.nodes.items():
            await node.close()
            await self.pools[name].close()
        for server in self.servers.values():
            await server.close()

    def ticket(self, name, caller=""):
        return self.nodes[name].issue("desk", 1, caller).value.tickets[0]

    async def call(self, name, ticket, body, deadline_s=2.0, caller=""):
        return await self.nodes[name].call("desk", ticket, body, deadline_s, caller)


async def wait_until(condition):
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(POLL_INTERVAL_S)


@pytest.fixture
async def fleet():
    fleet = Fleet()
    await fleet.start()
    yield fleet
    await fleet.stop()


async def test_resend_through_any_instance_runs_once(fleet):
    """Guards against a second run when a caller resends through another instance."""
    ticket = fleet.ticket("e0")
    calls = [fleet.call(name, ticket, "x") for name in (*NAMES, *NAMES)]
    outcomes = await asyncio.gather(*calls)
    assert {(o.value.outcome, o.value.answer) for o in outcomes} == {("ran", "done x")}
    assert len(fleet.executed) == 1
    conflict = await fleet.call("e1", ticket, "other")
    assert conflict.error.kind == "body_conflict"
    assert len(fleet.executed) == 1


async def test_ticket_of_another_caller_is_rejected(fleet):
    """Guards against returning an outcome to a caller that did not make the request."""
    ticket = fleet.ticket("e0", "ann")
    await fleet.call("e1", ticket, "x", caller="ann")
    for name in NAMES:
        outcome = await fleet.call(name, ticket, "x", caller="bob")
        assert isinstance(outcome, Failed)
        assert outcome.error.status == 403


async def test_late_result_resolves_unknown_outcome(fleet):
    """Guards against an issuer that drops a run after its deadline."""
    for runner in fleet.runners.values():
        runner.released.clear()
    ticket = fleet.ticket("e0")
    first = await fleet.call("e1", ticket, "slow", deadline_s=0.1)
    assert first.value.outcome == "unknown"
    for runner in fleet.runners.values():
        runner.released.set()
    node = fleet.nodes["e0"]
    await wait_until(lambda: not node.dispatcher.machine.state.attempts)
    outcome = await fleet.call("e2", ticket, None, 0.5)
    assert (outcome.value.outcome, outcome.value.answer) == ("ran", "done slow")
    assert len(fleet.executed) == 1


async def test_outcome_is_available_after_caller_disconnects(fleet):
    """Guards against a disconnected caller whose run is cancelled or repeated."""
    for runner in fleet.runners.values():
        runner.released.clear()
    ticket = fleet.ticket("e0")
    task = asyncio.create_task(fleet.call("e1", ticket, "x"))
    await wait_until(lambda: fleet.executed)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    for runner in fleet.runners.values():
        runner.released.set()
    outcome = await fleet.call("e2", ticket, "x")
    assert outcome.value.outcome == "ran"
    assert len(fleet.executed) == 1


async def test_refused_attempts_report_not_run(fleet):
    """Guards against an unknown outcome when no attempt was sent.

    Also fails if a refused request is not tried on a second backend server.
    """
    fleet.results["x"] = NotSent("shed")
    ticket = fleet.ticket("e0")
    outcome = await fleet.call("e0", ticket, "x")
    assert (outcome.value.outcome, outcome.value.reason) == ("not_run", "shed")
    assert len({server for _, server in fleet.offered}) >= 2
    assert fleet.executed == []


async def test_successor_answers_after_planned_stop(fleet):
    """Guards against unknown outcomes after a rolling restart."""
    used, unused = fleet.ticket("e0"), fleet.ticket("e0")
    await fleet.call("e0", used, "x")
    members = tuple(fleet.members.values())
    assert await fleet.nodes["e0"].hand_over(members, 1.0)
    assert isinstance(fleet.nodes["e0"].issue("desk", 1, ""), Failed)
    await fleet.servers["e0"].close()
    others = ("e1", "e2")
    await wait_until(
        lambda: all(fleet.nodes[n].dispatcher.handover.successors for n in others)
    )
    for name in others:
        outcome = await fleet.call(name, used, "x")
        assert (outcome.value.outcome, outcome.value.answer) == ("ran", "done x")
        assert (await fleet.call(name, unused, "y")).value.outcome == "not_run"
        conflict = await fleet.call(name, used, "other")
        assert conflict.error.kind == "body_conflict"
    assert len(fleet.executed) == 1


async def test_lost_issuer_yields_unknown_outcome(fleet):
    """Guards against "not run" for a request that a lost issuer may have run."""
    ticket = fleet.ticket("e0")
    await fleet.call("e0", ticket, "x")
    await fleet.servers["e0"].close()
    outcome = await fleet.call("e1", ticket, "x", deadline_s=0.2)
    assert outcome.value.outcome == "unknown"
    assert len(fleet.executed) == 1


async def test_crashing_request_is_quarantined_everywhere_until_lifted(fleet):
    """Guards against crashes by resends with new tickets through other instances."""
    fleet.results["bad"] = AttemptOutcomeUnknown(UnknownCause.BACKEND_LOST, final=True)
    for name in ("e0", "e1", "e2", "e0", "e1"):
        await fleet.call(name, fleet.ticket(name), "bad")
        await asyncio.sleep(POLL_INTERVAL_S)
    assert len({server for _, server in fleet.executed}) <= 2
    runs = len(fleet.executed)
    quarantines = [node.quarantine for node in fleet.nodes.values()]
    await wait_until(lambda: all(q.machine.state.entries for q in quarantines))
    outcome = await fleet.call("e2", fleet.ticket("e2"), "bad")
    assert (outcome.value.outcome, outcome.value.reason) == ("not_run", "quarantined")
    assert len(fleet.executed) == runs
    (fingerprint,) = quarantines[1].machine.state.entries
    assert quarantines[1].lift(fingerprint)
    entry = quarantines[2].machine.state.entries[fingerprint]
    await wait_until(lambda: not entry.evidence.active_crashes())
    await fleet.call("e2", fleet.ticket("e2"), "bad")
    assert len(fleet.executed) == runs + 1
