"""Benchmark of the control traffic and CPU cost of membership in virtual time.

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
# Restarts per day of a fleet of 830 instances with 4300 backend servers; smaller fleets
# are measured with fewer in proportion.
RESTARTS_PER_DAY = 850
SECONDS_PER_DAY = 86_400
# Bytes of kind, correlation id and framing of a message on a link.
HEADER_BYTES = 40
# Duration of one watch request, as in the store's settings.
WATCH_DURATION_S = 20.0
WATCHERS = 3


# Decoder of a message and its encoded body.
Encoded = tuple[Callable[[bytes], Any], bytes]


@singledispatch
def encode_message(value: object) -> Encoded:
    """Return the decoder and the encoded body of a message."""
    raise TypeError(f"unsupported message type: {type(value).__name__}")


def encode(model: BaseModel) -> Encoded:
    """Return the decoder and the JSON body of a model."""
    return type(model).model_validate_json, model.model_dump_json().encode()


def encode_register(model: BaseModel) -> Encoded:
    """Return the decoder and the body of a push of one register that holds a model."""
    body = model.model_dump_json().encode()
    register = Register(
        "membership.statements", "e100/e200", 1 << 40, body, urgent=True
    )
    return decode_registers, encode_registers(((register, 0.0),))


@encode_message.register
def _(value: events.Heartbeat) -> Encoded:
    return encode(HeartbeatModel(**asdict(value)))


@encode_message.register
def _(value: events.Acknowledgement) -> Encoded:
    return encode(AcknowledgementModel(**asdict(value)))


@encode_message.register
def _(value: events.SendClaim) -> Encoded:
    return encode(ClaimModel(since=value.since))


@encode_message.register
def _(value: events.SendYield) -> Encoded:
    return encode(YieldModel(sender_since=value.sender_since, since=value.since))


@encode_message.register
def _(value: events.Statement) -> Encoded:
    fields = {**asdict(value), "verdict": value.verdict}
    return encode_register(StatementModel(**fields))


@encode_message.register
def _(value: events.Announcement) -> Encoded:
    fields = {**asdict(value), "state": MemberState(value.state)}
    return encode_register(AnnouncementModel(**fields))


@encode_message.register
def _(value: Roster) -> Encoded:
    return encode(roster_model(value))


@encode_message.register
def _(value: tuple) -> Encoded:
    return encode_register(ChangesModel(changes=change_models(value)))


class CostCounter:
    """Counter of the messages, bytes and CPU time of a simulated fleet."""

    def __init__(self) -> None:
        self.messages: Counter[str] = Counter()
        self.bytes = 0
        self.cpu_s = 0.0

    def record_message(self, sender: str, value: Any, count: int) -> None:
        """Count a message to `count` receivers; encode and decode it to measure CPU."""
        if not count:
            return
        started = time.process_time()
        decode, body = encode_message(value)
        encoded = time.process_time()
        decode(body)
        decoded = time.process_time()
        self.cpu_s += encoded - started + (decoded - encoded) * count
        self.messages[type(value).__name__] += count
        self.bytes += (len(body) + HEADER_BYTES) * count

    def decide(self, event: Any, state: FleetState) -> Decision[FleetState]:
        """Decide and add the CPU time."""
        started = time.process_time()
        decision = decide(event, state)
        self.cpu_s += time.process_time() - started
        return decision


def full_roster(model: FleetModel) -> Roster:
    """Return a roster whose first version holds all nodes of a fleet."""
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
    """Measure a fleet of one size with and without restarts; report its cost."""
    costs = CostCounter()
    servers = {f"b{number}": f"d{number % 7}" for number in range(4300 * size // 830)}
    model = FleetModel(SEED, servers, costs.decide, domains=7)
    for number in range(size):
        model.start(f"e{number}")
    model.queue = [entry for entry in model.queue if entry[0] > 0]
    model.store.roster = roster = full_roster(model)
    # Otherwise all nodes announce at once, which measures only the start of a fleet.
    announced = {
        name: events.Announcement(name, 1, MemberState.LIVE, 1) for name in model.nodes
    }
    for node in model.nodes.values():
        node.state.announcements = dict(announced)
        model.feed(node, lambda at: events.RosterReceived(at, roster, True))
    model.run(3.0)
    model.on_send, costs.cpu_s = costs.record_message, 0.0
    model.run(3.0 + STEADY_S)
    steady = (
        sum(costs.messages.values()) / STEADY_S / size,
        costs.bytes / STEADY_S / size,
        costs.cpu_s / STEADY_S / size,
    )
    costs.messages.clear()
    costs.bytes, costs.cpu_s = 0, 0.0
    model.store.calls.clear()
    for number in range(RESTARTS):
        name = f"e{number + 1}"
        model.call_in(number * 8.0, lambda name=name: model.leave(name))
        model.call_in(number * 8.0 + 3.0, lambda name=name: restart(model, name))
    model.run(model.now + RESTARTS_S)
    per_restart = [
        (now - steady_rate * RESTARTS_S * size) / RESTARTS
        for now, steady_rate in zip(
            (sum(costs.messages.values()), costs.bytes, costs.cpu_s),
            steady,
            strict=True,
        )
    ]
    restarts_per_s = RESTARTS_PER_DAY * size / 830 / SECONDS_PER_DAY
    calls = (model.store.calls["read"] + model.store.calls["write"]) / RESTARTS
    versions = (model.store.roster.version - roster.version) / RESTARTS
    watches = WATCHERS * (1 / WATCH_DURATION_S + versions * restarts_per_s)
    average = [
        s + p * restarts_per_s / size for s, p in zip(steady, per_restart, strict=True)
    ]
    actors = [len(names) for names in model.actors().values()]
    report(
        f"{size:4} | {average[0]:.2f} | {average[1]:.0f} | {average[2] * 100:.3f} | "
        f"{memory_of(model) / 1e6:.2f} | {calls * restarts_per_s + watches:.3f} | "
        f"{versions:.1f} | {per_restart[1] / size:.0f} | "
        f"{actors.count(1)}/{len(actors)}"
    )


def restart(model: FleetModel, name: str) -> None:
    """Crash a node and start its next incarnation."""
    model.kill(name)
    model.start(name)


def memory_of(model: FleetModel) -> int:
    """Return the memory in bytes of one node's membership, its roster included."""
    body = roster_model(model.store.roster).model_dump_json()
    node = model.start("e0")
    tracemalloc.start()
    roster = RosterModel.model_validate_json(body).to_roster()
    model.feed(node, lambda at: events.RosterReceived(at, roster, True))
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used


def main() -> int:
    """Measure fleets of the sizes on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sizes", nargs="*", type=int, default=[4, 100, 830])
    print(
        "size | messages/s | bytes/s | % of a CPU core | MB | store calls/s (fleet) | "
        "versions per restart | bytes per restart | owned"
    )
    for size in parser.parse_args().sizes:
        measure(size, print)
    return 0


if __name__ == "__main__":
    sys.exit(main())
