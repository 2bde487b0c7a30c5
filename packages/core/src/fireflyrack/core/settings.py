"""Settings files in YAML, checked against a pydantic model."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from types import NoneType
from typing import Any, TypeVar, get_args

from pydantic import BaseModel, ConfigDict, ValidationError

from .errors import SettingsError, SettingsProblem

Model = TypeVar("Model", bound=BaseModel)

MAX_SHOWN_VALUE = 80
TYPE_WORDS = {
    str: "text",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
}


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
        raise SettingsError(source, describe_problems(error, model)) from error


def describe_problems(
    error: ValidationError, model: type[BaseModel]
) -> tuple[SettingsProblem, ...]:
    """Return one problem for each wrong key that pydantic found."""
    return tuple(describe_problem(detail, model) for detail in error.errors())


def describe_problem(
    detail: Mapping[str, Any], model: type[BaseModel]
) -> SettingsProblem:
    """Return the problem of one key."""
    key = ".".join(str(part) for part in detail["loc"]) or "(file)"
    if detail["type"] == "missing":
        # The input that pydantic reports is the whole mapping that lacks the key.
        reason = f"missing, it must hold {expected_at(model, detail['loc'])}"
        return SettingsProblem(key, None, reason)
    return SettingsProblem(key, shorten(detail.get("input")), detail["msg"])


def expected_at(model: Any, path: tuple[int | str, ...]) -> str:
    """Return what a key holds by the types of the models."""
    for part in path:
        # An entry of a list or of a mapping, or a value that may be absent.
        while not hasattr(model, "model_fields") and get_args(model):
            held = [kind for kind in get_args(model) if kind not in (NoneType, ...)]
            model = held[-1]
        if isinstance(part, int):
            continue
        fields = getattr(model, "model_fields", {})
        named = {field.alias or name: field for name, field in fields.items()}
        if part in named or part in fields:
            model = (named.get(part) or fields.get(part)).annotation
    if hasattr(model, "model_fields"):
        keys = (field.alias or name for name, field in model.model_fields.items())
        return f"a mapping of {', '.join(keys)}"
    return TYPE_WORDS.get(model, "a list" if get_args(model) else "a value")


def shorten(value: Any) -> str:
    """Return the value as text of bounded length."""
    text = repr(value)
    if len(text) <= MAX_SHOWN_VALUE:
        return text
    return text[: MAX_SHOWN_VALUE - 3] + "..."
