"""Base class of every error and the errors of the core package."""

from __future__ import annotations

from dataclasses import dataclass


class FireflyrackError(Exception):
    """Base class of the exceptions that fireflyrack raises."""


class ShardSetError(FireflyrackError):
    """Report a shard set whose text form cannot be parsed."""


@dataclass(frozen=True, slots=True)
class SettingsProblem:
    """Describe one wrong key of a settings file."""

    key: str
    # None for a key that is missing.
    value: str | None
    reason: str

    def __str__(self) -> str:
        """Return the problem in one line."""
        if self.value is None:
            return f"{self.key}: {self.reason}"
        return f"{self.key} = {self.value}: {self.reason}"


class SettingsError(FireflyrackError):
    """Report every wrong key of a settings file at once."""

    def __init__(self, source: str, problems: tuple[SettingsProblem, ...]) -> None:
        self.source = source
        self.problems = problems
        lines = [f"{source}: {problem}" for problem in problems]
        super().__init__("\n".join(lines))
