"""Guard against wrong coverage due to errors in shard set operations."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from fireflyrack.core import ShardSet, ShardSetError

numbers = st.sets(st.integers(0, 3000), max_size=60)


@given(numbers, numbers)
def test_operations_match_python_sets(first, second):
    """Guards against set operations that lose or add shards."""
    a, b = ShardSet.of(first), ShardSet.of(second)
    assert set(a | b) == first | second
    assert set(a & b) == first & second
    assert set(a - b) == first - second
    assert (a <= b) == (first <= second)
    assert len(a) == len(first)


@given(numbers)
def test_text_form_round_trips(shards):
    """Guards against shards lost between formatting and parsing."""
    shard_set = ShardSet.of(shards)
    assert ShardSet.parse(str(shard_set)) == shard_set


def test_text_form_is_compact():
    """Guards against consecutive shards that are listed one by one."""
    assert str(ShardSet.span(0, 5000)) == "0-4999"


@pytest.mark.parametrize("text", ["a", "3-1", "-4", "1-", "70000", "0-9999999999"])
def test_invalid_text_is_rejected(text):
    """Guards against malformed or unbounded ranges that are accepted."""
    with pytest.raises(ShardSetError):
        ShardSet.parse(text)
