"""Guard against backend servers with two owners at once, or with none."""

from __future__ import annotations

import pytest

from fireflyrack.membership import decide
from fireflyrack.testbed.fleet_model import (
    FleetModel,
    lease_from_acknowledgement,
    reset_verdicts,
    skip_claims,
)

SERVERS = {f"b{number}": f"d{number % 3}" for number in range(6)}
SEEDS = range(12)
# The period with two owners is short, so some seeds do not detect a defect.
FAULT_SEEDS = range(60)
START_UP_S = 15.0
FAULT_PERIOD_S = 60.0
# Sum of the longest delays after the last fault: 16 s until a new entry, 10 s until the
# next write to the store, 3 s until a takeover, 11 s for gossip and changes of voters.
RECOVERY_S = 40.0
# 3 s of silence; the rest is for the gossip of statements and for timer intervals.
TAKEOVER_LIMIT_S = 6.0


class MultipleOwners(AssertionError):
    """Two instances may act on one backend server at the same time."""


KINDS = ("pause", "kill", "leave", "part", "store", "loss", "delay", "replies")


class FaultInjector:
    """Injects random faults into a model until a virtual time."""

    def __init__(self, model, until, kinds=KINDS):
        self.kinds = kinds
        self.model = model
        self.until = until
        self.stopped = set()
        model.call_in(0.1, self.inject)

    def inject(self):
        model = self.model
        if model.now >= self.until:
            return
        kind = model.rng.choice(self.kinds)
        getattr(self, kind)(model.rng.uniform(0.5, 9.0))
        model.call_in(model.rng.uniform(0.2, 6.0), self.inject)

    def running(self):
        nodes = self.model.nodes.values()
        return [
            n for n in nodes if n.alive and not n.paused and n.name not in self.stopped
        ]

    def pause(self, length_s):
        if nodes := self.running():
            node = self.model.rng.choice(nodes)
            self.model.pause(node.name)
            self.model.call_in(length_s, lambda: self.model.resume(node))

    def kill(self, length_s):
        if nodes := self.running():
            name = self.model.rng.choice(nodes).name
            self.stopped.add(name)
            self.model.kill(name)
            self.model.call_in(length_s, lambda: self.restart(name))

    def restart(self, name):
        self.model.kill(name)
        self.model.start(name)
        self.stopped.discard(name)

    def leave(self, length_s):
        if nodes := self.running():
            name = self.model.rng.choice(nodes).name
            self.stopped.add(name)
            self.model.leave(name)
            self.model.call_in(2.0 + length_s, lambda: self.restart(name))

    def part(self, length_s):
        names = sorted(self.model.nodes)
        self.set_for(
            length_s,
            self.model.network,
            "apart",
            frozenset(n for n in names if self.model.rng.random() < 0.4),
            frozenset(),
        )

    def store(self, length_s):
        self.set_for(length_s, self.model.store, "down", True, False)

    def replies(self, length_s):
        self.set_for(length_s, self.model.store, "reply_loss", 0.5, 0.0)

    def loss(self, length_s):
        self.set_for(length_s, self.model.network, "loss", 0.3, 0.0)

    def delay(self, length_s):
        self.set_for(length_s, self.model.network, "max_delay_s", 3.0, 0.002)

    def set_for(self, length_s, target, name, value, normal):
        setattr(target, name, value)
        self.model.call_in(length_s, lambda: setattr(target, name, normal))


def make_model(seed, decide=decide, size=5):
    model = FleetModel(seed, SERVERS, decide)

    def check():
        for server, actors in model.actors().items():
            if len(actors) > 1:
                raise MultipleOwners(
                    f"seed {seed}, {model.now:.3f} s: {server}: {actors}"
                )

    model.check = check
    for number in range(size):
        model.start(f"e{number}")
    return model


def run_with_faults(seed, decide=decide, kinds=KINDS):
    model = make_model(seed, decide, size=4 + seed % 3)
    model.run(START_UP_S)
    FaultInjector(model, START_UP_S + FAULT_PERIOD_S, kinds)
    model.run(START_UP_S + FAULT_PERIOD_S + 12.0)
    return model


@pytest.mark.parametrize("seed", SEEDS)
def test_never_two_owners_under_faults_and_exactly_one_afterwards(seed):
    """Guards against double ownership during faults and lost ownership after them."""
    model = run_with_faults(seed)
    model.run(model.now + RECOVERY_S)
    assert model.steps > 2000
    for server, actors in model.actors().items():
        assert len(actors) == 1, server


@pytest.mark.parametrize(
    ("fault", "kinds"),
    [
        (lease_from_acknowledgement, ("delay", "part", "pause")),
        (reset_verdicts, KINDS),
        (skip_claims, KINDS),
    ],
)
def test_invariant_check_detects_injected_defects(fault, kinds):
    """Guards against a check for two owners that can never fail."""
    with pytest.raises(MultipleOwners):
        for seed in FAULT_SEEDS:
            run_with_faults(seed, fault, kinds)


@pytest.mark.parametrize("seed", range(5))
def test_pause_of_the_voters_delays_a_takeover_only_a_little(seed):
    """Guards against servers without an owner when an overloaded host pauses voters.

    A resumed voter must first read the heartbeats that arrived during the pause, but
    the silence before its pause counts as well.
    """
    model = make_model(seed, size=4)
    model.run(START_UP_S)
    model.pause("e1")
    paused = [model.nodes[name] for name in ("e0", "e2", "e3")]
    model.call_in(2.0, lambda: [model.pause(node.name) for node in paused])
    model.call_in(3.4, lambda: [model.resume(node) for node in paused])
    model.run(START_UP_S + TAKEOVER_LIMIT_S)
    for server, actors in model.actors().items():
        assert actors and actors != ["e1"], server


@pytest.mark.parametrize("seed", range(5))
def test_pause_of_all_instances_removes_no_entry(seed):
    """Guards against resumed voters that declare paused instances expired."""
    model = make_model(seed, size=4)
    model.run(START_UP_S)
    entries = {
        name: entry.created_version
        for name, entry in model.nodes["e0"].state.roster.entries.items()
    }
    nodes = [model.nodes[f"e{number}"] for number in range(4)]
    for node in nodes:
        model.pause(node.name)
    for number, node in enumerate(nodes):
        model.call_in(5.0 + number / 10, lambda node=node: model.resume(node))
    model.run(model.now + 20.0)
    roster = model.nodes["e0"].state.roster
    assert {
        name: entry.created_version for name, entry in roster.entries.items()
    } == entries
