"""Benchmark of dissemination among many instances in virtual time.

It runs the production decisions and encoding; links are simulated as a delay. A
fraction of the instances fails but stays among the others' neighbours.
"""

from __future__ import annotations

import argparse
import gc
import heapq
import itertools
import math
import random
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from functools import singledispatchmethod
from typing import Any

from fireflyrack.dissemination import (
    ComparisonTimerFired,
    Deliver,
    DigestReceived,
    DisseminationSettings,
    GossipState,
    NamesReceived,
    PeersChanged,
    Published,
    RegistersReceived,
    RequestReceived,
    RoundTimerFired,
    SendDigest,
    SendNames,
    SendRegisters,
    SendRequest,
    decide,
    encode_digest,
    encode_names,
    encode_registers,
)

# Kind, sender and lengths in a frame, HTTP/2 and gRPC headers, IP and TCP headers
# of a message that shares no frame with others.
OVERHEAD_BYTES = 100
LINK_DELAY_S = (0.0005, 0.005)
WARM_UP_S = 35.0
HEAD_REGISTER = ("configuration.head", "head")
PROBE_REGISTER = ("search.reports", "probe")


@dataclass(slots=True)
class Usage:
    """Messages, bytes and CPU time of one instance."""

    messages: int = 0
    bytes: int = 0
    cpu_s: float = 0.0


@dataclass(slots=True)
class DisseminationBenchmark:
    """Benchmark of one fleet size in virtual time; call `run` once."""

    size: int
    servers: int
    failed_fraction: float
    seconds: float
    rng: random.Random
    settings: DisseminationSettings
    # Instances that join one after the other in the measured time.
    joiners: int = 0
    now: float = 0.0
    queue: list[Any] = field(default_factory=list)
    call_numbers: Any = field(default_factory=itertools.count)
    states: dict[str, GossipState] = field(default_factory=dict)
    usage: dict[str, Usage] = field(default_factory=dict)
    sent: Counter[str] = field(default_factory=Counter)
    sizes: Counter[str] = field(default_factory=Counter)
    failed: set[str] = field(default_factory=set)
    propagation_times: dict[Any, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def run(self) -> None:
        """Run the fleet, publish a new head half-way and print the results."""
        names = tuple(f"e{n}" for n in range(self.size))
        for name in names:
            self.start(name)
            decide(PeersChanged(0.0, names), self.states[name])
        for number in range(self.servers):
            owner = names[number % self.size]
            self.schedule(self.rng.uniform(0, 60), self.report, owner, number)
        self.run_for(WARM_UP_S)
        self.failed = set(
            self.rng.sample(names[1:], int(self.size * self.failed_fraction))
        )
        self.usage = {name: Usage() for name in names}
        self.sent.clear()
        self.sizes.clear()
        self.schedule(self.seconds / 2, self.change_head, names[0])
        for number in range(self.joiners):
            delay_s = number * self.seconds / self.joiners
            self.schedule(delay_s, self.join, f"e{self.size + number}")
        self.run_for(self.seconds)
        self.print_figures()

    def start(self, name: str) -> None:
        """Create an instance that knows no peers, and its timers."""
        settings = self.settings
        self.states[name] = GossipState(name, settings, random.Random(name))
        self.usage[name] = Usage()
        self.feed_periodically(name, settings.round_s, RoundTimerFired)
        self.feed_periodically(name, settings.urgent_period_s, ComparisonTimerFired)

    def join(self, name: str) -> None:
        """Start an instance that all others know from then on."""
        self.start(name)
        for known in tuple(self.states):
            self.feed(known, PeersChanged(self.now, tuple(self.states)))

    def schedule(self, delay_s: float, call: Any, *arguments: Any) -> None:
        """Schedule a call after a delay in simulated seconds."""
        entry = (self.now + delay_s, next(self.call_numbers), call, arguments)
        heapq.heappush(self.queue, entry)

    def run_for(self, seconds: float) -> None:
        """Run the calls that are due within a simulated period."""
        end_at = self.now + seconds
        while self.queue and self.queue[0][0] <= end_at:
            self.now, _, call, arguments = heapq.heappop(self.queue)
            call(*arguments)
        self.now = end_at

    def feed_periodically(self, name: str, period_s: float, event: type) -> None:
        """Feed events of a type to an instance periodically, with jitter."""

        def fire() -> None:
            self.feed(name, event(self.now))
            self.schedule(period_s * self.rng.uniform(0.5, 1.5), fire)

        self.schedule(self.rng.uniform(0, period_s), fire)

    def report(self, owner: str, number: int) -> None:
        """Publish a report with a new snapshot, and again after 30 to 90 s."""
        version = int(self.now) + 1
        body = (
            f'{{"backend_server":"b{number}","state":"serving",'
            f'"snapshots":{{"1.{version}":"{number % 240}-{number % 240 + 19}"}}}}'
        )
        topic = "search.reports"
        self.feed(owner, Published(self.now, topic, f"b{number}", body.encode()))
        self.schedule(self.rng.uniform(30, 90), self.report, owner, number)

    def change_head(self, name: str) -> None:
        """Publish a new configuration head, and a report to compare its propagation."""
        self.changed_at = self.now
        digest = b"0" * 64
        event = Published(
            self.now, *HEAD_REGISTER, digest, 1, urgent=True, expires=False
        )
        self.feed(name, event)
        self.feed(name, Published(self.now, *PROBE_REGISTER, b"x" * 80))

    changed_at: float = 0.0

    def feed(self, name: str, event: Any) -> None:
        """Feed an event to an instance's decisions and send its messages."""
        if name in self.failed:
            return
        started = time.process_time()
        actions = decide(event, self.states[name]).actions
        for action in actions:
            self.perform(action, name)
        self.usage[name].cpu_s += time.process_time() - started

    @singledispatchmethod
    def perform(self, action: object, name: str) -> None:
        """Perform one action of an instance."""
        raise TypeError(f"unsupported action type: {type(action).__name__}")

    @perform.register
    def _(self, action: Deliver, name: str) -> None:
        register_name = action.register.name()
        if register_name in (HEAD_REGISTER, PROBE_REGISTER):
            self.propagation_times[register_name].append(self.now - self.changed_at)

    @perform.register
    def _(self, action: SendRegisters, name: str) -> None:
        event = RegistersReceived(0.0, name, action.registers)
        self.send(name, action.peers, event, encode_registers(action.registers))

    @perform.register
    def _(self, action: SendNames, name: str) -> None:
        event = NamesReceived(0.0, name, action.names, action.buckets)
        body = encode_names(action.names, action.buckets)
        self.send(name, action.peers, event, body)

    @perform.register
    def _(self, action: SendRequest, name: str) -> None:
        event = RequestReceived(0.0, name, action.names)
        self.send(name, (action.peer,), event, encode_names(action.names))

    @perform.register
    def _(self, action: SendDigest, name: str) -> None:
        event = DigestReceived(0.0, name, action.urgent, action.buckets)
        body = encode_digest(action.urgent, action.buckets)
        self.send(name, (action.peer,), event, body)

    def send(self, name: str, peers: tuple[str, ...], event: Any, body: bytes) -> None:
        """Count a message to each peer and deliver it after a link delay."""
        usage = self.usage[name]
        kind = type(event).__name__
        size = len(body) + OVERHEAD_BYTES
        for peer in peers:
            usage.messages += 1
            usage.bytes += size
            self.sent[kind] += 1
            self.sizes[kind] += size
            self.schedule(self.rng.uniform(*LINK_DELAY_S), self.deliver, peer, event)

    def deliver(self, peer: str, event: Any) -> None:
        """Feed a message with its time of arrival."""
        values = {slot: getattr(event, slot) for slot in event.__slots__}
        self.feed(peer, type(event)(**{**values, "at": self.now}))

    def print_figures(self) -> None:
        """Print propagation times and costs per instance."""
        live = self.size + self.joiners - len(self.failed)
        usage = [u for n, u in self.usage.items() if n not in self.failed]
        print(
            f"{self.size} instances ({live} live, {self.joiners} joined), "
            f"{self.servers} backend servers"
        )
        for title, register in (("head", HEAD_REGISTER), ("report", PROBE_REGISTER)):
            times = sorted(self.propagation_times[register])
            for fraction in (0.5, 0.999, 1.0):
                index = max(math.ceil(live * fraction) - 1, 0)
                at = f"{times[index]:.3f} s" if index < len(times) else "never"
                print(f"  {title} known at {fraction:.1%}: {at}")
        for title, values, scale in (
            ("messages/s", [u.messages for u in usage], 1),
            ("KB/s", [u.bytes for u in usage], 1000),
            ("CPU ms/s", [u.cpu_s * 1000 for u in usage], 1),
        ):
            rates = sorted(v / self.seconds / scale for v in values)
            mean = sum(rates) / len(rates)
            print(f"  {title} per node: mean {mean:.2f}, max {rates[-1]:.2f}")
        for kind, count in self.sent.most_common():
            average = self.sizes[kind] / count
            rate = self.sizes[kind] / self.seconds / live / 1000
            print(
                f"    {kind}: {count} of {average:.0f} bytes, {rate:.2f} KB/s per node"
            )


def main() -> None:
    """Run the benchmark at the sizes on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[4, 100, 830])
    parser.add_argument(
        "--servers", type=int, help="backend servers (default: by size)"
    )
    parser.add_argument("--failed", type=float, default=0.05)
    parser.add_argument("--joiners", type=int, default=0, help="instances that join")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--round", type=float, default=1.0, help="round_s")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    # A garbage collection over all instances would count as CPU time of one of them.
    gc.disable()
    for size in options.sizes:
        servers = options.servers
        if servers is None:
            servers = max(50, size * 4300 // 830)
        rng = random.Random(options.seed)
        settings = DisseminationSettings(round_s=options.round)
        DisseminationBenchmark(
            size,
            servers,
            options.failed,
            options.seconds,
            rng,
            settings,
            options.joiners,
        ).run()


if __name__ == "__main__":
    main()
