"""Fleet of gossiping instances in virtual time."""

from __future__ import annotations

import random
from collections.abc import Callable

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
    decode_digest,
    decode_names,
    decode_registers,
    encode_digest,
    encode_names,
    encode_registers,
)

SETTINGS = DisseminationSettings()


class SimulatedFleet:
    """Run many instances in virtual time; `loss` is the probability of message loss.

    With `joined` unset, no instance knows another one until `learn` is called. `drops`
    decides for each message whether it is lost, by sender, receiver and event.
    """

    def __init__(self, size, seed, loss=0.0, joined=True):
        self.rng = random.Random(seed)
        self.loss = loss
        self.drops: Callable[[str, str, object], bool] = lambda *message: False
        self.now = 0.0
        self.messages_sent = 0
        names = tuple(f"e{n}" for n in range(size))
        self.states = {
            name: GossipState(name, SETTINGS, random.Random(f"{seed} {name}"))
            for name in names
        }
        if joined:
            for name in names:
                decide(PeersChanged(0.0, names), self.states[name])

    def learn(self, name, *peers):
        """Make an instance know exactly these peers."""
        self.feed(name, PeersChanged(self.now, peers))

    def publish(self, name, topic, key, body, version=None, **options):
        self.feed(name, Published(self.now, topic, key, body, version, **options))

    def feed(self, name, event):
        queue = [(name, event)]
        while queue:
            target, event = queue.pop(0)
            for action in decide(event, self.states[target]).actions:
                queue.extend(self.messages(target, action))

    def messages(self, sender, action):
        match action:
            case Deliver():
                found = []
            case SendRegisters(peers, registers):
                received = decode_registers(encode_registers(registers))
                event = RegistersReceived(self.now, sender, received)
                found = [(peer, event) for peer in peers]
            case SendNames(peers, names, buckets):
                received = decode_names(encode_names(names, buckets))
                event = NamesReceived(self.now, sender, *received)
                found = [(peer, event) for peer in peers]
            case SendRequest(peer, names):
                found = [(peer, RequestReceived(self.now, sender, names))]
            case SendDigest(peer, urgent, buckets):
                received = decode_digest(encode_digest(urgent, buckets))
                found = [(peer, DigestReceived(self.now, sender, *received))]
        self.messages_sent += len(found)
        return [
            (receiver, event)
            for receiver, event in found
            if self.rng.random() >= self.loss
            and not self.drops(sender, receiver, event)
        ]

    def advance(self, seconds):
        for _ in range(int(seconds)):
            self.now += 1.0
            for name in self.states:
                self.feed(name, RoundTimerFired(self.now))
                self.feed(name, ComparisonTimerFired(self.now))

    def holders(self, register):
        states = self.states.values()
        return sum(s.get(register.topic, register.key) == register for s in states)
