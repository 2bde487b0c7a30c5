"""Addresses that callers are told to use."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from fireflyrack.discovery import EntryInstance

MAX_ADDRESSES = 64
# Strained instances are left out only if at least this part is not strained.
MIN_USEFUL_PART = 0.6


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
) -> Addresses | None:
    """Return the addresses for a caller in a failure domain, None if there are none.

    Nearer instances come first, where not all fit.
    """
    known = {instance.address: instance for instance in instances}
    known.pop(own.address, None)
    if own_ready:
        known[own.address] = own
    useful = [instance for instance in known.values() if not instance.strained]
    # The rest must be able to take the load of those that are left out.
    if len(useful) < MIN_USEFUL_PART * len(known):
        useful = list(known.values())
    ranked = sorted(
        useful, key=lambda i: (i.failure_domain != failure_domain, i.address)
    )
    if not ranked:
        return None
    return Addresses(tuple(i.address for i in ranked[:MAX_ADDRESSES]), ttl_s)
