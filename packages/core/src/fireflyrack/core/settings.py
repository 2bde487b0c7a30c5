"""Settings files in YAML, checked against a pydantic model."""

from __future__ import annotations

from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError

from .errors import SettingsError, SettingsProblem

Model = TypeVar("Model", bound=BaseModel)

MAX_SHOWN_VALUE = 80


class SettingsModel(BaseModel):
    """Base of the settings models: immutable, unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


def load_settings(path: str | Path, model: type[Model]) -> Model:
    """Read a YAML file into the model; raise SettingsError with all wrong keys."""
    source = str(path)
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            source, (SettingsProblem("(file)", source, str(error)),)
        ) from error
    return parse_settings(text, model, source)


def parse_settings(text: str, model: type[Model], source: str) -> Model:
    """Read YAML text into the model; raise SettingsError with all wrong keys."""
    # Imported on use: a gateway reads no YAML, and its start must not wait for it.
    import yaml  # noqa: PLC0415

    try:
        data = yaml.safe_load(text)
    except yaml.YAMLError as error:
        reason = " ".join(str(error).split())
        raise SettingsError(
            source, (SettingsProblem("(file)", "YAML", reason),)
        ) from error
    try:
        return model.model_validate({} if data is None else data)
    except ValidationError as error:
        raise SettingsError(source, describe_problems(error)) from error


def describe_problems(error: ValidationError) -> tuple[SettingsProblem, ...]:
    """Return one problem for each wrong key that pydantic found."""
    return tuple(
        SettingsProblem(
            key=".".join(str(part) for part in detail["loc"]) or "(file)",
            value=shorten(detail.get("input")),
            reason=detail["msg"],
        )
        for detail in error.errors()
    )


def shorten(value: Any) -> str:
    """Return the value as text of bounded length."""
    text = repr(value)
    if len(text) <= MAX_SHOWN_VALUE:
        return text
    return text[: MAX_SHOWN_VALUE - 3] + "..."
