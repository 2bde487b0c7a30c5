"""Addresses that callers are told to use."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass

from fireflyrack.discovery import EntryInstance

MAX_ADDRESSES = 64
# Strained instances are left out only if at least this part is not strained.
MIN_USEFUL_PART = 0.6
# A caller is sent to the instances of its own failure domain if so many are there:
# each way between failure domains is part of its latency. One alone would leave it
# without another address when that one dies.
MIN_NEAR = 2
# Farther instances beside the near ones, as a part of these, for callers whose whole
# failure domain is lost.
FAR_PART = 0.25


@dataclass(frozen=True, slots=True)
class Addresses:
    """Hold addresses and how long a caller may keep them, in seconds."""

    addresses: tuple[str, ...]
    ttl_s: float


def addresses_for(
    instances: Iterable[EntryInstance],
    own: EntryInstance,
    own_ready: bool,
    failure_domain: str,
    ttl_s: float,
    rng: random.Random,
) -> Addresses | None:
    """Return the addresses for a caller in a failure domain, None if there are none."""
    known = {instance.address: instance for instance in instances}
    known.pop(own.address, None)
    if own_ready:
        known[own.address] = own
    useful = [instance for instance in known.values() if not instance.strained]
    # The rest must be able to take the load of those that are left out.
    if len(useful) < MIN_USEFUL_PART * len(known):
        useful = list(known.values())
    near = [i for i in useful if i.failure_domain == failure_domain]
    far = [i for i in useful if i.failure_domain != failure_domain]
    if len(near) >= MIN_NEAR:
        far = rng.sample(far, min(len(far), math.ceil(FAR_PART * len(near))))
    chosen = [instance.address for instance in (*near, *far)]
    if not chosen:
        return None
    return Addresses(tuple(chosen[:MAX_ADDRESSES]), ttl_s)
