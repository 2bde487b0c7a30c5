"""Guard against keys that change owner when they need not."""

from __future__ import annotations

from collections import Counter

from fireflyrack.core import highest_ranked, rank


def test_removing_a_member_moves_only_its_keys():
    """Guards against keys of remaining members that move when a member leaves."""
    members = [f"e{n}" for n in range(4)]
    keys = [f"b{n}" for n in range(400)]
    before = {key: highest_ranked(key, members) for key in keys}
    after = {key: highest_ranked(key, members[:3]) for key in keys}
    moved = [key for key in keys if before[key] != after[key]]
    assert all(before[key] == "e3" for key in moved)
    spread = Counter(after[key] for key in moved)
    assert set(spread) == {"e0", "e1", "e2"}


def test_rank_is_independent_of_member_order():
    """Guards against instances that rank the same members differently."""
    members = ["a", "b", "c"]
    assert rank("key", members) == rank("key", reversed(members))
    assert rank("key", members)[0] == highest_ranked("key", members)
    assert highest_ranked("key", []) is None
