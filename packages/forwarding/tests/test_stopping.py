"""Requests that arrive while the instance stops; times are seconds since arrival."""

from __future__ import annotations

import pytest
from forwarding_cases import DEADLINE_S, OBJECTIVE_S, Case

from fireflyrack.forwarding import Cause, NotRun


@pytest.mark.parametrize("exit_at", [0.0, 0.5 * DEADLINE_S, 0.99 * DEADLINE_S])
def test_a_request_that_may_run_once_is_refused_when_it_could_be_cut_off(exit_at):
    """Guards against a booking whose fate nobody knows after a planned stop."""
    case = Case(idempotent=False)
    case.exit_at = exit_at
    assert case.start() == []
    assert isinstance(case.answer, NotRun)
    assert case.answer.cause is Cause.STOPPING


@pytest.mark.parametrize("idempotent", [True, False])
def test_a_request_that_surely_ends_in_time_is_served(idempotent):
    """Guards against refusing all requests of a planned stop."""
    case = Case(idempotent=idempotent)
    case.exit_at = DEADLINE_S
    assert len(case.start()) == 1


def test_an_idempotent_request_needs_the_time_that_most_take():
    """Guards against late requests that are sent and then cut off."""
    case = Case()
    case.exit_at = 1.9 * OBJECTIVE_S
    assert case.start() == []
    case = Case()
    case.exit_at = 2.1 * OBJECTIVE_S
    assert len(case.start()) == 1
