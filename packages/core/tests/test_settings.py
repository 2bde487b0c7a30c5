"""Guard against settings errors that omit the file, the key or the reason."""

from __future__ import annotations

import pytest
from pydantic import Field

from fireflyrack.core import SettingsError, SettingsModel, load_settings, parse_settings


class Sample(SettingsModel):
    """Flat settings."""

    name: str
    port: int = Field(ge=1, le=65535)


def test_all_invalid_keys_are_reported_at_once():
    """Guards against an error that stops at the first invalid key."""
    with pytest.raises(SettingsError) as caught:
        parse_settings("port: 70000\ncolour: red\n", Sample, "sample.yaml")
    keys = {problem.key for problem in caught.value.problems}
    assert keys == {"name", "port", "colour"}
    assert "sample.yaml: port = 70000: " in str(caught.value)
    assert "65535" in str(caught.value)


class NestedSample(SettingsModel):
    """Settings that contain other settings."""

    samples: tuple[Sample, ...]
    first: Sample | None = None
    rows: dict[str, Sample] = {}


@pytest.mark.parametrize(
    ("text", "line"),
    [
        ("samples: [{port: 1}]", "samples.0.name: missing, it must hold text"),
        (
            "{samples: [], first: {name: a}}",
            "first.port: missing, it must hold a whole",
        ),
        ("{samples: [], rows: {r: {name: a}}}", "rows.r.port: missing, it must hold a"),
        ("first: {name: a, port: 1}", "samples: missing, it must hold a list"),
    ],
)
def test_missing_key_is_reported_without_its_mapping(text, line):
    """Guards against an error that shows the whole mapping as the value of a key."""
    with pytest.raises(SettingsError) as caught:
        parse_settings(text, NestedSample, "rack.yaml")
    assert str(caught.value).startswith(f"rack.yaml: {line}")


@pytest.mark.parametrize("text", ["a: [", "- 1\n", "", "just text"])
def test_file_without_mapping_is_reported(text):
    """Guards against an error without the file name for text that is not a mapping."""
    with pytest.raises(SettingsError, match=r"sample\.yaml"):
        parse_settings(text, Sample, "sample.yaml")


def test_missing_file_is_reported(tmp_path):
    """Guards against an OSError that reaches the caller unconverted."""
    with pytest.raises(SettingsError, match=r"missing\.yaml"):
        load_settings(tmp_path / "missing.yaml", Sample)
