"""Replicated store of versioned registers with digests for anti-entropy."""

from __future__ import annotations

import hashlib
import random
from dataclasses import dataclass, field

from .settings import DisseminationSettings

# Buckets of a digest: few enough to send regularly, and enough that the short
# fingerprints of one bucket fit a small message with thousands of registers.
BUCKETS = 64
SHORT_FINGERPRINT_MASK = (1 << 32) - 1
RegisterName = tuple[str, str]


@dataclass(frozen=True, slots=True)
class Register:
    """A versioned value; the higher version wins, and the greater body on a tie.

    An urgent register is pushed at once; any other is announced in the next round.
    """

    topic: str
    key: str
    version: int
    body: bytes
    urgent: bool = field(default=False, compare=False)
    # False for a register that is kept without renewal.
    expires: bool = field(default=True, compare=False)

    def name(self) -> RegisterName:
        """Return the topic and key, which identify the register."""
        return (self.topic, self.key)

    def supersedes(self, other: Register | None) -> bool:
        """Return whether this register is newer than another one."""
        if other is None:
            return True
        return (self.version, self.body) > (other.version, other.body)

    def bucket(self) -> int:
        """Return the index of the digest bucket that the register belongs to."""
        data = f"{self.topic}\x00{self.key}".encode()
        return hashlib.blake2b(data, digest_size=1).digest()[0] % BUCKETS

    def fingerprint(self) -> int:
        """Return a 64-bit hash of name, version and body."""
        data = f"{self.topic}\x00{self.key}\x00{self.version}\x00".encode() + self.body
        return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


@dataclass(slots=True)
class StoredRegister:
    """A register with its cached fingerprint and bucket."""

    register: Register
    fingerprint: int
    bucket: int
    # Time at which its writer published it, in seconds of the local monotonic clock.
    published_at: float

    def short_fingerprint(self) -> int:
        """Return the low 32 bits of the fingerprint, which announcements carry.

        32 bits suffice: with 10,000 registers a collision hides one announcement in
        400,000, and the comparison of digests repairs it.
        """
        return self.fingerprint & SHORT_FINGERPRINT_MASK


@dataclass(slots=True)
class GossipState:
    """Registers of one instance and the state of gossip; updated in place."""

    own: str
    settings: DisseminationSettings
    rng: random.Random
    registers: dict[RegisterName, StoredRegister] = field(default_factory=dict)
    short_fingerprints: dict[int, RegisterName] = field(default_factory=dict)
    # Exclusive or of the fingerprints in each bucket, which makes updates O(1).
    digest: list[int] = field(default_factory=lambda: [0] * BUCKETS)
    urgent_digest: int = 0
    buckets: list[set[RegisterName]] = field(
        default_factory=lambda: [set() for _ in range(BUCKETS)]
    )
    urgent: set[RegisterName] = field(default_factory=set)
    neighbours: tuple[str, ...] = ()
    # Short fingerprints to announce in the next round.
    unannounced: set[int] = field(default_factory=set)
    # Time of the last request for each missing register, by short fingerprint.
    requested_at: dict[int, float] = field(default_factory=dict)
    # Registers that this instance published last and renews.
    renewed_names: set[RegisterName] = field(default_factory=set)
    compared_at: float | None = None
    # Time until the next comparison of all registers, in seconds. It is short after a
    # change of the neighbours or of a link, and grows to `digest_period_s`.
    comparison_delay_s: float = 0.0
    # Neighbours to compare with before any other, oldest first.
    uncompared: dict[str, None] = field(default_factory=dict)

    def get(self, topic: str, key: str) -> Register | None:
        """Return the stored register of a topic and key, or None."""
        found = self.registers.get((topic, key))
        return found.register if found else None


def store_if_newer(
    state: GossipState, register: Register, published_at: float
) -> StoredRegister | None:
    """Store a register if it is newer than the stored one; return it or None."""
    name = register.name()
    current = state.registers.get(name)
    if current and not register.supersedes(current.register):
        return None
    bucket = current.bucket if current else register.bucket()
    if current:
        remove_register(state, current)
    stored = StoredRegister(register, register.fingerprint(), bucket, published_at)
    state.registers[name] = stored
    state.short_fingerprints[stored.short_fingerprint()] = name
    state.digest[bucket] ^= stored.fingerprint
    state.buckets[bucket].add(name)
    if register.urgent:
        state.urgent_digest ^= stored.fingerprint
        state.urgent.add(name)
    return stored


def remove_register(state: GossipState, stored: StoredRegister) -> None:
    """Remove a register and update the digests."""
    name = stored.register.name()
    del state.registers[name]
    state.short_fingerprints.pop(stored.short_fingerprint(), None)
    state.unannounced.discard(stored.short_fingerprint())
    state.digest[stored.bucket] ^= stored.fingerprint
    state.buckets[stored.bucket].discard(name)
    state.renewed_names.discard(name)
    if stored.register.urgent:
        state.urgent_digest ^= stored.fingerprint
        state.urgent.discard(name)
