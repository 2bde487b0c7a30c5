"""Runner of a deterministic state machine."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

State = TypeVar("State")


@dataclass(frozen=True, slots=True)
class Decision(Generic[State]):
    """Hold the new state and the actions that follow from one event."""

    state: State
    actions: tuple[Any, ...] = ()


class StateMachine(Generic[State]):
    """Feed events to a decide function and its actions to a perform function.

    Create one with the initial state and call `feed` for each event. Actions run
    in order after the state is replaced, so a perform function may feed again.
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
        """Decide on one event and perform the actions."""
        decision = self.decide(event, self.state)
        self.state = decision.state
        for action in decision.actions:
            self.perform(action)
