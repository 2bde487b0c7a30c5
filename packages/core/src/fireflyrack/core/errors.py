"""Base class of all exceptions, and the errors of the core package."""

from __future__ import annotations

from dataclasses import dataclass


class FireflyrackError(Exception):
    """Base class of the exceptions that fireflyrack raises."""


class ShardSetError(FireflyrackError):
    """Raised when the text form of a shard set cannot be parsed."""


@dataclass(frozen=True, slots=True)
class SettingsProblem:
    """An invalid or missing key of a settings file."""

    key: str
    # None if the key is missing.
    value: str | None
    reason: str

    def __str__(self) -> str:
        """Return the key, its value and the reason in one line."""
        if self.value is None:
            return f"{self.key}: {self.reason}"
        return f"{self.key} = {self.value}: {self.reason}"


class SettingsError(FireflyrackError):
    """Raised with all invalid keys of a settings file at once."""

    def __init__(self, source: str, problems: tuple[SettingsProblem, ...]) -> None:
        self.source = source
        self.problems = problems
        lines = [f"{source}: {problem}" for problem in problems]
        super().__init__("\n".join(lines))
