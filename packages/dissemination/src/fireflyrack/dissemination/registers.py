"""Versioned registers: what an instance holds and how one replaces another."""

from __future__ import annotations

import hashlib
import random
from dataclasses import dataclass, field

from .settings import DisseminationSettings

# Buckets of a digest: few enough to send regularly, many enough that the names of
# one bucket fit a small message with thousands of registers.
BUCKETS = 64
SHORT_FINGERPRINT_MASK = (1 << 32) - 1
Name = tuple[str, str]


@dataclass(frozen=True, slots=True)
class Register:
    """Hold one value; the higher version wins, then the greater body.

    An urgent register is pushed at once; any other is announced once a round.
    """

    topic: str
    key: str
    version: int
    body: bytes
    urgent: bool = field(default=False, compare=False)
    # False for a register that stays without being renewed.
    expires: bool = field(default=True, compare=False)

    def name(self) -> Name:
        """Return what identifies the register."""
        return (self.topic, self.key)

    def supersedes(self, other: Register | None) -> bool:
        """Return whether this register replaces another one."""
        if other is None:
            return True
        return (self.version, self.body) > (other.version, other.body)

    def bucket(self) -> int:
        """Return the bucket of the register."""
        data = f"{self.topic}\x00{self.key}".encode()
        return hashlib.blake2b(data, digest_size=1).digest()[0] % BUCKETS

    def fingerprint(self) -> int:
        """Return a hash of name, version and body."""
        data = f"{self.topic}\x00{self.key}\x00{self.version}\x00".encode() + self.body
        return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


@dataclass(slots=True)
class StoredRegister:
    """Hold a register with what was computed from it."""

    register: Register
    fingerprint: int
    bucket: int
    # When its writer published it, seconds on the monotonic clock of this instance.
    published_at: float

    def short_fingerprint(self) -> int:
        """Return the part of the fingerprint that announcements carry.

        32 bits are enough: a collision with one of 10,000 registers hides one
        announcement in 400,000, which the comparison repairs.
        """
        return self.fingerprint & SHORT_FINGERPRINT_MASK


@dataclass(slots=True)
class GossipState:
    """Hold the registers of one instance; updated in place."""

    own: str
    settings: DisseminationSettings
    rng: random.Random
    registers: dict[Name, StoredRegister] = field(default_factory=dict)
    short_fingerprints: dict[int, Name] = field(default_factory=dict)
    # Exclusive or of the fingerprints in each bucket, so that updates are cheap.
    digest: list[int] = field(default_factory=lambda: [0] * BUCKETS)
    urgent_digest: int = 0
    buckets: list[set[Name]] = field(
        default_factory=lambda: [set() for _ in range(BUCKETS)]
    )
    urgent: set[Name] = field(default_factory=set)
    neighbours: tuple[str, ...] = ()
    # Short names to announce in the next round.
    unannounced: set[int] = field(default_factory=set)
    # When each announced register that is missing was last asked for.
    requested_at: dict[int, float] = field(default_factory=dict)
    # Registers whose newest version this instance has written.
    written: set[Name] = field(default_factory=set)
    compared_at: float | None = None

    def get(self, topic: str, key: str) -> Register | None:
        """Return the known register of a key, or None."""
        found = self.registers.get((topic, key))
        return found.register if found else None


def store_if_newer(
    state: GossipState, register: Register, published_at: float
) -> StoredRegister | None:
    """Keep a register if it is newer than the known one; return it or None."""
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
    """Remove a register that was replaced or has expired."""
    name = stored.register.name()
    del state.registers[name]
    state.short_fingerprints.pop(stored.short_fingerprint(), None)
    state.unannounced.discard(stored.short_fingerprint())
    state.digest[stored.bucket] ^= stored.fingerprint
    state.buckets[stored.bucket].discard(name)
    state.written.discard(name)
    if stored.register.urgent:
        state.urgent_digest ^= stored.fingerprint
        state.urgent.discard(name)
