"""Bench of the dissemination: many instances in one loop, in virtual time.

Decision code and encoding run for real; links are a delay. A share of the instances
is failed without being removed from the others' neighbours.
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
# of a message that travels alone.
OVERHEAD_BYTES = 100
LINK_DELAY_S = (0.0005, 0.005)
WARM_UP_S = 35.0
HEAD = ("configuration.head", "head")
PROBE = ("search.reports", "probe")


@dataclass(slots=True)
class Usage:
    """Count what one instance sends and computes."""

    messages: int = 0
    bytes: int = 0
    processor_s: float = 0.0


@dataclass(slots=True)
class Bench:
    """Run instances in virtual time; call `run` once."""

    size: int
    servers: int
    failed_share: float
    seconds: float
    rng: random.Random
    settings: DisseminationSettings
    now: float = 0.0
    queue: list[Any] = field(default_factory=list)
    numbers: Any = field(default_factory=itertools.count)
    states: dict[str, GossipState] = field(default_factory=dict)
    usage: dict[str, Usage] = field(default_factory=dict)
    sent: Counter[str] = field(default_factory=Counter)
    sizes: Counter[str] = field(default_factory=Counter)
    failed: set[str] = field(default_factory=set)
    known_at: dict[Any, list[float]] = field(default_factory=lambda: defaultdict(list))

    def run(self) -> None:
        """Run the fleet, change the head in the middle and print the figures."""
        settings = self.settings
        names = tuple(f"e{n}" for n in range(self.size))
        for name in names:
            state = GossipState(name, settings, random.Random(name))
            self.states[name] = state
            self.usage[name] = Usage()
            decide(PeersChanged(0.0, names), state)
            self.every(name, settings.round_s, RoundTimerFired)
            self.every(name, settings.urgent_period_s, ComparisonTimerFired)
        for number in range(self.servers):
            owner = names[number % self.size]
            self.later(self.rng.uniform(0, 60), self.report, owner, number)
        self.advance(WARM_UP_S)
        self.failed = set(
            self.rng.sample(names[1:], int(self.size * self.failed_share))
        )
        self.usage = {name: Usage() for name in names}
        self.sent.clear()
        self.sizes.clear()
        self.later(self.seconds / 2, self.change_head, names[0])
        self.advance(self.seconds)
        self.print_figures()

    def later(self, delay_s: float, call: Any, *arguments: Any) -> None:
        """Call a function in virtual time."""
        entry = (self.now + delay_s, next(self.numbers), call, arguments)
        heapq.heappush(self.queue, entry)

    def advance(self, seconds: float) -> None:
        """Run what is due within some seconds."""
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, call, arguments = heapq.heappop(self.queue)
            call(*arguments)
        self.now = end

    def every(self, name: str, period_s: float, event: type) -> None:
        """Feed an event periodically, with jitter."""

        def tick() -> None:
            self.feed(name, event(self.now))
            self.later(period_s * self.rng.uniform(0.5, 1.5), tick)

        self.later(self.rng.uniform(0, period_s), tick)

    def report(self, owner: str, number: int) -> None:
        """Publish a report whose snapshot has changed; again after about a minute."""
        version = int(self.now) + 1
        body = (
            f'{{"backend_server":"b{number}","state":"serving",'
            f'"snapshots":{{"1.{version}":"{number % 240}-{number % 240 + 19}"}}}}'
        )
        topic = "search.reports"
        self.feed(owner, Published(self.now, topic, f"b{number}", body.encode()))
        self.later(self.rng.uniform(30, 90), self.report, owner, number)

    def change_head(self, name: str) -> None:
        """Publish a new version of the configuration."""
        self.changed_at = self.now
        digest = b"0" * 64
        event = Published(self.now, *HEAD, digest, 1, urgent=True, expires=False)
        self.feed(name, event)
        self.feed(name, Published(self.now, *PROBE, b"x" * 80))

    changed_at: float = 0.0

    def feed(self, name: str, event: Any) -> None:
        """Run the decision of one instance and send its messages."""
        if name in self.failed:
            return
        started = time.process_time()
        actions = decide(event, self.states[name]).actions
        for action in actions:
            self.perform(action, name)
        self.usage[name].processor_s += time.process_time() - started

    @singledispatchmethod
    def perform(self, action: object, name: str) -> None:
        """Perform one action of an instance."""
        raise TypeError(f"not an action: {type(action).__name__}")

    @perform.register
    def _(self, action: Deliver, name: str) -> None:
        known = action.register.name()
        if known in (HEAD, PROBE):
            self.known_at[known].append(self.now - self.changed_at)

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
        """Count messages and deliver them after the delay of a link."""
        usage = self.usage[name]
        kind = type(event).__name__
        size = len(body) + OVERHEAD_BYTES
        for peer in peers:
            usage.messages += 1
            usage.bytes += size
            self.sent[kind] += 1
            self.sizes[kind] += size
            self.later(self.rng.uniform(*LINK_DELAY_S), self.deliver, peer, event)

    def deliver(self, peer: str, event: Any) -> None:
        """Feed a message at the time of its arrival."""
        values = {slot: getattr(event, slot) for slot in event.__slots__}
        self.feed(peer, type(event)(**{**values, "at": self.now}))

    def print_figures(self) -> None:
        """Print the figures of the run."""
        live = self.size - len(self.failed)
        usage = [u for n, u in self.usage.items() if n not in self.failed]
        print(f"{self.size} instances ({live} live), {self.servers} backend servers")
        for title, register in (("head", HEAD), ("report", PROBE)):
            reached = sorted(self.known_at[register])
            for share in (0.5, 0.999, 1.0):
                place = max(math.ceil(live * share) - 1, 0)
                at = f"{reached[place]:.3f} s" if place < len(reached) else "never"
                print(f"  {title} known at {share:.1%}: {at}")
        for title, values, scale in (
            ("messages/s", [u.messages for u in usage], 1),
            ("KB/s", [u.bytes for u in usage], 1000),
            ("processor ms/s", [u.processor_s * 1000 for u in usage], 1),
        ):
            rates = sorted(v / self.seconds / scale for v in values)
            mean = sum(rates) / len(rates)
            print(f"  {title} per node: mean {mean:.2f}, most {rates[-1]:.2f}")
        for kind, count in self.sent.most_common():
            each = self.sizes[kind] / count
            rate = self.sizes[kind] / self.seconds / live / 1000
            print(f"    {kind}: {count} of {each:.0f} bytes, {rate:.2f} KB/s per node")


def main() -> None:
    """Run the bench at the sizes of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[4, 100, 830])
    parser.add_argument("--servers", type=int, help="backend servers, else by size")
    parser.add_argument("--failed", type=float, default=0.05)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--round", type=float, default=1.0, help="round_s")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    # A collection of all instances' objects would be counted to one of them.
    gc.disable()
    for size in options.sizes:
        servers = options.servers
        if servers is None:
            servers = max(50, size * 4300 // 830)
        rng = random.Random(options.seed)
        settings = DisseminationSettings(round_s=options.round)
        Bench(size, servers, options.failed, options.seconds, rng, settings).run()


if __name__ == "__main__":
    main()
