from __future__ import annotations

from collections import Counter

import pytest

from fireflyrack.routing import (
    Route,
    SearchTarget,
    ServiceTarget,
    SplitState,
    SplitTarget,
    WeightedService,
    services_of,
    shards_of,
)


def route(target) -> Route:
    return Route("r", "h", "/", target, True, 1.0, 0.1, 1, 2)


@pytest.mark.parametrize("weights", [(1, 1), (9, 1), (0.5, 0.3, 0.2), (1, 0)])
def test_each_part_gets_its_share_of_any_run_of_requests(weights):
    """Guards against shares that only come right after many requests."""
    target = SplitTarget(
        tuple(WeightedService(f"s{i}", weight) for i, weight in enumerate(weights))
    )
    splits = SplitState()
    chosen = [shards_of(target, route(target), splits)[0] for _ in range(1000)]
    for start in range(0, 1000, 100):
        counts = Counter(chosen[start : start + 100])
        for i, weight in enumerate(weights):
            share = weight / sum(weights)
            assert abs(counts[f"s{i}"] / 100 - share) <= 0.02


def test_a_changed_split_starts_anew():
    """Guards against turns of an older version that distort the new weights."""
    old = SplitTarget((WeightedService("a", 1), WeightedService("b", 99)))
    new = SplitTarget((WeightedService("a", 1), WeightedService("b", 1)))
    splits = SplitState()
    for _ in range(50):
        shards_of(old, route(old), splits)
    counts = Counter(shards_of(new, route(new), splits)[0] for _ in range(10))
    assert counts == {"a": 5, "b": 5}
    assert len(splits.credits) == 1


def test_services_of_targets():
    assert services_of(ServiceTarget("a")) == ("a",)
    assert services_of(SearchTarget(("a", "b"), 0.5, 3)) == ("a", "b")
    assert services_of(SplitTarget((WeightedService("a", 1),))) == ("a",)
