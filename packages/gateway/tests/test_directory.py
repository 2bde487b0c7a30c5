from __future__ import annotations

import random

from fireflyrack.discovery import EntryInstance
from fireflyrack.gateway import addresses_for


def instance(number: int, domain: str = "a", overloaded: bool = False) -> EntryInstance:
    return EntryInstance(f"e{number}", "i", domain, f"10.0.0.{number}:80", overloaded)


def select(own: EntryInstance, *others: EntryInstance, ready: bool = True):
    result = addresses_for(others, own, ready, "a", 1.0, random.Random(1))
    return result and result.addresses


def test_unready_instance_is_not_offered():
    """Guards against directing callers to an instance that is shutting down."""
    assert select(instance(1), instance(2), ready=False) == ("10.0.0.2:80",)
    assert select(instance(1), instance(1), ready=False) is None


def test_local_instances_come_first():
    """Guards against callers that prefer an instance in another failure domain."""
    assert select(instance(1, "b"), instance(2)) == ("10.0.0.2:80", "10.0.0.1:80")


def test_local_instances_are_offered_with_some_remote_ones():
    """Guards against needless cross-domain requests and against having no fallback."""
    local = [instance(n) for n in range(8)]
    remote = [instance(n, "b") for n in range(10, 40)]
    offered = select(*local, *remote)
    assert len(offered) == 10
    assert {i.address for i in local} < set(offered)


def test_single_local_instance_does_not_limit_remote_ones():
    """Guards against callers without a fallback when the only local instance fails."""
    assert len(select(instance(1), *(instance(n, "b") for n in range(2, 5)))) == 4


def test_overloaded_instances_are_omitted_while_others_have_capacity():
    """Guards against a directory that directs all callers to a few instances."""
    overloaded = instance(1, overloaded=True)
    assert select(overloaded, instance(2), instance(3)) == (
        "10.0.0.2:80",
        "10.0.0.3:80",
    )
    assert len(select(overloaded, instance(2))) == 2
    assert len(select(overloaded, instance(2, overloaded=True), instance(3))) == 3


def test_number_of_addresses_is_limited():
    """Guards against more addresses than callers read."""
    assert len(select(instance(1), *(instance(n) for n in range(2, 100)))) == 64
