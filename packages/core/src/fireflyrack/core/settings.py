"""Settings files in YAML, validated by a pydantic model."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from types import NoneType
from typing import Any, TypeVar, get_args

from pydantic import BaseModel, ConfigDict, ValidationError

from .errors import SettingsError, SettingsProblem

Model = TypeVar("Model", bound=BaseModel)

MAX_VALUE_CHARACTERS = 80
TYPE_DESCRIPTIONS = {
    str: "text",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
}


class SettingsModel(BaseModel):
    """Base of the settings models: immutable, rejects unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


def load_settings(path: str | Path, model: type[Model]) -> Model:
    """Read a YAML file into the model; raise SettingsError with all invalid keys."""
    source = str(path)
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            source, (SettingsProblem("(file)", source, str(error)),)
        ) from error
    return parse_settings(text, model, source)


def parse_settings(text: str, model: type[Model], source: str) -> Model:
    """Read YAML text into the model; raise SettingsError with all invalid keys."""
    # Imported on use: a gateway reads no YAML, so its startup should not load it.
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
        raise SettingsError(source, describe_problems(error, model)) from error


def describe_problems(
    error: ValidationError, model: type[BaseModel]
) -> tuple[SettingsProblem, ...]:
    """Return one problem for each validation error of pydantic."""
    return tuple(to_settings_problem(detail, model) for detail in error.errors())


def to_settings_problem(
    detail: Mapping[str, Any], model: type[BaseModel]
) -> SettingsProblem:
    """Return the problem of one validation error, with the key as a dotted path."""
    key = ".".join(str(part) for part in detail["loc"]) or "(file)"
    if detail["type"] == "missing":
        # Pydantic reports the whole enclosing mapping as the input.
        reason = f"missing, it must hold {describe_expected_type(model, detail['loc'])}"
        return SettingsProblem(key, None, reason)
    return SettingsProblem(key, truncated_repr(detail.get("input")), detail["msg"])


def describe_expected_type(model: Any, path: tuple[int | str, ...]) -> str:
    """Return a description of the type that the models declare for a key."""
    for part in path:
        # Unwraps the item type of a list, mapping or optional value.
        while not hasattr(model, "model_fields") and get_args(model):
            alternatives = [
                kind for kind in get_args(model) if kind not in (NoneType, ...)
            ]
            model = alternatives[-1]
        if isinstance(part, int):
            continue
        fields = getattr(model, "model_fields", {})
        fields_by_key = {field.alias or name: field for name, field in fields.items()}
        if part in fields_by_key or part in fields:
            model = (fields_by_key.get(part) or fields.get(part)).annotation
    if hasattr(model, "model_fields"):
        keys = (field.alias or name for name, field in model.model_fields.items())
        return f"a mapping of {', '.join(keys)}"
    return TYPE_DESCRIPTIONS.get(model, "a list" if get_args(model) else "a value")


def truncated_repr(value: Any) -> str:
    """Return the repr of a value, limited to MAX_VALUE_CHARACTERS."""
    text = repr(value)
    if len(text) <= MAX_VALUE_CHARACTERS:
        return text
    return text[: MAX_VALUE_CHARACTERS - 3] + "..."
