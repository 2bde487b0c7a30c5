"""Bench of the membership's control cost in virtual time.

Run `python -m fireflyrack.testbed.fleet_bench [SIZE ...]`.
"""

from __future__ import annotations

import argparse
import sys
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict
from functools import singledispatch
from typing import Any

from pydantic import BaseModel

from fireflyrack.core import Decision
from fireflyrack.dissemination import Register, decode_registers, encode_registers
from fireflyrack.membership import (
    AcknowledgementModel,
    AnnouncementModel,
    ChangesModel,
    ClaimModel,
    FleetState,
    HeartbeatModel,
    MemberState,
    Roster,
    RosterEntry,
    RosterModel,
    StatementModel,
    YieldModel,
    change_models,
    choose_voters,
    decide,
    events,
    roster_model,
)

from .fleet_model import FleetModel

SEED = 20261204
STEADY_S = 10.0
RESTARTS_S = 30.0
RESTARTS = 3
RESTARTS_PER_DAY = 850
SECONDS_PER_DAY = 86_400
# Kind, correlation and framing of a message on a link.
HEADER_BYTES = 40
# Length of one watch of the store, as in the store's settings.
WATCH_LENGTH_S = 20.0
WATCHERS = 3


# A decoder and the bytes that it reads.
Encoded = tuple[Callable[[bytes], Any], bytes]


@singledispatch
def body_of(value: object) -> Encoded:
    """Return the decoder and the encoded body of what a node sends."""
    raise TypeError(f"not sent: {type(value).__name__}")


def encode(model: BaseModel) -> Encoded:
    """Return a model's decoder and its JSON."""
    return type(model).model_validate_json, model.model_dump_json().encode()


def encode_register(model: BaseModel) -> Encoded:
    """Return the decoder and the body of a push of one register."""
    body = model.model_dump_json().encode()
    register = Register(
        "membership.statements", "e100/e200", 1 << 40, body, urgent=True
    )
    return decode_registers, encode_registers(((register, 0.0),))


@body_of.register
def _(value: events.Heartbeat) -> Encoded:
    return encode(HeartbeatModel(**asdict(value)))


@body_of.register
def _(value: events.Acknowledgement) -> Encoded:
    return encode(AcknowledgementModel(**asdict(value)))


@body_of.register
def _(value: events.SendClaim) -> Encoded:
    return encode(ClaimModel(since=value.since))


@body_of.register
def _(value: events.SendYield) -> Encoded:
    return encode(YieldModel(sender_since=value.sender_since, since=value.since))


@body_of.register
def _(value: events.Statement) -> Encoded:
    fields = {**asdict(value), "verdict": value.verdict}
    return encode_register(StatementModel(**fields))


@body_of.register
def _(value: events.Announcement) -> Encoded:
    fields = {**asdict(value), "state": MemberState(value.state)}
    return encode_register(AnnouncementModel(**fields))


@body_of.register
def _(value: Roster) -> Encoded:
    return encode(roster_model(value))


@body_of.register
def _(value: tuple) -> Encoded:
    return encode_register(ChangesModel(changes=change_models(value)))


class Meter:
    """Count bytes, messages and processor time of a model."""

    def __init__(self) -> None:
        self.messages: Counter[str] = Counter()
        self.bytes = 0
        self.processor_s = 0.0

    def sent(self, sender: str, value: Any, count: int) -> None:
        """Count a value that is sent `count` times; encode and decode it for real."""
        if not count:
            return
        started = time.process_time()
        decode, body = body_of(value)
        encoded = time.process_time()
        decode(body)
        decoded = time.process_time()
        self.processor_s += encoded - started + (decoded - encoded) * count
        self.messages[type(value).__name__] += count
        self.bytes += (len(body) + HEADER_BYTES) * count

    def decide(self, event: Any, state: FleetState) -> Decision[FleetState]:
        """Decide and count the processor time."""
        started = time.process_time()
        decision = decide(event, state)
        self.processor_s += time.process_time() - started
        return decision


def full_roster(model: FleetModel) -> Roster:
    """Return a roster that holds all nodes of a model from its first version."""
    entries = {
        name: RosterEntry(node.state.own, 1, 1, 1, {})
        for name, node in model.nodes.items()
    }
    roster = Roster(1, entries)
    for name in entries:
        voters = choose_voters(roster, name, 1)
        entries[name] = RosterEntry(entries[name].member, 1, 1, 1, voters)
    return roster


def measure(size: int, report: Callable[[str], None]) -> None:
    """Run a fleet of one size without and with restarts, and report its cost."""
    meter = Meter()
    servers = {f"b{number}": f"d{number % 7}" for number in range(4300 * size // 830)}
    model = FleetModel(SEED, servers, meter.decide, domains=7)
    for number in range(size):
        model.start(f"e{number}")
    model.queue = [entry for entry in model.queue if entry[0] > 0]
    model.store.roster = roster = full_roster(model)
    # Announcing all nodes at once would only measure the start of a whole fleet.
    announced = {
        name: events.Announcement(name, 1, MemberState.LIVE, 1) for name in model.nodes
    }
    for node in model.nodes.values():
        node.state.announcements = dict(announced)
        model.feed(node, lambda at: events.RosterReceived(at, roster, True))
    model.run(3.0)
    model.sent, meter.processor_s = meter.sent, 0.0
    model.run(3.0 + STEADY_S)
    steady = (
        sum(meter.messages.values()) / STEADY_S / size,
        meter.bytes / STEADY_S / size,
        meter.processor_s / STEADY_S / size,
    )
    meter.messages.clear()
    meter.bytes, meter.processor_s = 0, 0.0
    model.store.calls.clear()
    for number in range(RESTARTS):
        name = f"e{number + 1}"
        model.call_in(number * 8.0, lambda name=name: model.leave(name))
        model.call_in(number * 8.0 + 3.0, lambda name=name: restart(model, name))
    model.run(model.now + RESTARTS_S)
    per_restart = [
        (now - then * RESTARTS_S * size) / RESTARTS
        for now, then in zip(
            (sum(meter.messages.values()), meter.bytes, meter.processor_s),
            steady,
            strict=True,
        )
    ]
    restarts_per_s = RESTARTS_PER_DAY * size / 830 / SECONDS_PER_DAY
    calls = (model.store.calls["read"] + model.store.calls["write"]) / RESTARTS
    versions = (model.store.roster.version - roster.version) / RESTARTS
    watches = WATCHERS * (1 / WATCH_LENGTH_S + versions * restarts_per_s)
    day = [
        s + p * restarts_per_s / size for s, p in zip(steady, per_restart, strict=True)
    ]
    actors = [len(names) for names in model.actors().values()]
    report(
        f"{size:4} | {day[0]:.2f} | {day[1]:.0f} | {day[2] * 100:.3f} | "
        f"{memory_of(model) / 1e6:.2f} | {calls * restarts_per_s + watches:.3f} | "
        f"{versions:.1f} | {per_restart[1] / size:.0f} | "
        f"{actors.count(1)}/{len(actors)}"
    )


def restart(model: FleetModel, name: str) -> None:
    """Replace a node by a new incarnation."""
    model.kill(name)
    model.start(name)


def memory_of(model: FleetModel) -> int:
    """Return the bytes that one node's membership takes with its own roster."""
    body = roster_model(model.store.roster).model_dump_json()
    node = model.start("e0")
    tracemalloc.start()
    roster = RosterModel.model_validate_json(body).to_roster()
    model.feed(node, lambda at: events.RosterReceived(at, roster, True))
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used


def main() -> int:
    """Measure the sizes of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sizes", nargs="*", type=int, default=[4, 100, 830])
    print(
        "size | messages/s | bytes/s | % of a core | MB | store calls/s (fleet) | "
        "versions per restart | bytes per restart | owned"
    )
    for size in parser.parse_args().sizes:
        measure(size, print)
    return 0


if __name__ == "__main__":
    sys.exit(main())
