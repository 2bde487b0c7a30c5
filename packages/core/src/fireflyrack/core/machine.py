"""Deterministic state machine whose decisions are pure functions."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

State = TypeVar("State")


@dataclass(frozen=True, slots=True)
class Decision(Generic[State]):
    """New state and actions that result from one event."""

    state: State
    actions: tuple[Any, ...] = ()


class StateMachine(Generic[State]):
    """Pass events to a decide function and its actions to a perform function.

    Call `feed` for each event. Actions run in order after the state is replaced,
    so a perform function may call `feed` itself.
    """

    def __init__(
        self,
        state: State,
        decide: Callable[[Any, State], Decision[State]],
        perform: Callable[[Any], None],
    ) -> None:
        self.state = state
        self.decide = decide
        self.perform = perform

    def feed(self, event: Any) -> None:
        """Apply one event to the state and perform the resulting actions."""
        decision = self.decide(event, self.state)
        self.state = decision.state
        for action in decision.actions:
            self.perform(action)
