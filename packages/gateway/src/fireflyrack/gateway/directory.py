"""Selection of the entry instance addresses that are offered to callers."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass

from fireflyrack.discovery import EntryInstance

MAX_ADDRESSES = 64
# Overloaded instances are omitted only if at least this fraction is not overloaded.
MIN_ELIGIBLE_FRACTION = 0.6
# Callers are directed to their own failure domain if it has this many instances:
# crossing failure domains adds latency. A single one would leave no fallback when it
# fails.
MIN_LOCAL_INSTANCES = 2
# Number of remote instances offered beside the local ones, as a fraction of those, for
# callers whose whole failure domain fails.
REMOTE_FRACTION = 0.25


@dataclass(frozen=True, slots=True)
class Addresses:
    """Addresses offered to a caller, with their time to live in seconds."""

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
    """Return the addresses to offer in a failure domain, None if there are none."""
    known = {instance.address: instance for instance in instances}
    known.pop(own.address, None)
    if own_ready:
        known[own.address] = own
    eligible = [instance for instance in known.values() if not instance.overloaded]
    # The remaining instances must have capacity for the load of the omitted ones.
    if len(eligible) < MIN_ELIGIBLE_FRACTION * len(known):
        eligible = list(known.values())
    local = [i for i in eligible if i.failure_domain == failure_domain]
    remote = [i for i in eligible if i.failure_domain != failure_domain]
    if len(local) >= MIN_LOCAL_INSTANCES:
        remote = rng.sample(
            remote, min(len(remote), math.ceil(REMOTE_FRACTION * len(local)))
        )
    selected = [instance.address for instance in (*local, *remote)]
    if not selected:
        return None
    return Addresses(tuple(selected[:MAX_ADDRESSES]), ttl_s)
