from __future__ import annotations

from fireflyrack.availability import SharerCount
from fireflyrack.availability.sharers import DEPARTED_RETENTION_S


def test_a_departed_instance_counts_until_its_retention_ends():
    """Guards against a share that others take while its instance still sends."""
    count = SharerCount(4)
    count.set(3, 0, 10.0)
    assert count.at(10.0 + DEPARTED_RETENTION_S - 0.1) == 4
    assert count.at(10.0 + DEPARTED_RETENTION_S) == 3


def test_instances_that_leave_one_after_the_other_are_retained_separately():
    """Guards against a retention that the next departure extends or ends."""
    count = SharerCount(4)
    count.set(3, 0, 10.0)
    count.set(2, 0, 15.0)
    assert count.at(10.0 + DEPARTED_RETENTION_S) == 3
    assert count.at(15.0 + DEPARTED_RETENTION_S) == 2


def test_an_instance_that_joins_counts_at_once():
    """Guards against a sum over the limit while a fleet grows."""
    count = SharerCount(4)
    count.set(3, 0, 10.0)
    count.set(6, 0, 11.0)
    assert count.at(11.0) == 6
    count.set(5, 0, 12.0)
    assert count.at(12.0) == 6
