from __future__ import annotations

import random

from fireflyrack.discovery import EntryInstance
from fireflyrack.gateway import addresses_for


def instance(number: int, domain: str = "a", strained: bool = False) -> EntryInstance:
    return EntryInstance(f"e{number}", "i", domain, f"10.0.0.{number}:80", strained)


def ask(own: EntryInstance, *others: EntryInstance, ready: bool = True):
    known = addresses_for(others, own, ready, "a", 1.0, random.Random(1))
    return known and known.addresses


def test_an_instance_that_leaves_is_not_named():
    """Guards against callers sent to an instance that is about to stop."""
    assert ask(instance(1), instance(2), ready=False) == ("10.0.0.2:80",)
    assert ask(instance(1), instance(1), ready=False) is None


def test_nearer_instances_come_first():
    assert ask(instance(1, "b"), instance(2)) == ("10.0.0.2:80", "10.0.0.1:80")


def test_callers_are_kept_in_their_failure_domain_with_a_way_out():
    """Guards against requests that cross domains, and callers lost with their own."""
    near = [instance(n) for n in range(8)]
    far = [instance(n, "b") for n in range(10, 40)]
    named = ask(*near, *far)
    assert len(named) == 10
    assert {i.address for i in near} < set(named)


def test_a_single_near_instance_is_no_reason_to_hide_the_others():
    """Guards against callers with no other address when that one dies."""
    assert len(ask(instance(1), *(instance(n, "b") for n in range(2, 5)))) == 4


def test_strained_instances_are_left_out_while_others_can_take_their_load():
    """Guards against a directory that moves all callers to one instance."""
    strained = instance(1, strained=True)
    assert ask(strained, instance(2), instance(3)) == ("10.0.0.2:80", "10.0.0.3:80")
    assert len(ask(strained, instance(2))) == 2
    assert len(ask(strained, instance(2, strained=True), instance(3))) == 3


def test_no_more_addresses_than_callers_read():
    assert len(ask(instance(1), *(instance(n) for n in range(2, 100)))) == 64
