"""Guard against settings errors that hide the file, the key or the reason."""

from __future__ import annotations

import pytest
from pydantic import Field

from fireflyrack.core import SettingsError, SettingsModel, load_settings, parse_settings


class Sample(SettingsModel):
    """Hold two settings."""

    name: str
    port: int = Field(ge=1, le=65535)


def test_all_wrong_keys_are_reported_at_once():
    with pytest.raises(SettingsError) as caught:
        parse_settings("port: 70000\ncolour: red\n", Sample, "sample.yaml")
    keys = {problem.key for problem in caught.value.problems}
    assert keys == {"name", "port", "colour"}
    assert "sample.yaml: port = 70000: " in str(caught.value)
    assert "65535" in str(caught.value)


class Rack(SettingsModel):
    """Hold settings below others."""

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
def test_a_missing_key_is_told_without_the_mapping_that_lacks_it(text, line):
    """Guards against a line that shows a whole mapping as the value of one key."""
    with pytest.raises(SettingsError) as caught:
        parse_settings(text, Rack, "rack.yaml")
    assert str(caught.value).startswith(f"rack.yaml: {line}")


@pytest.mark.parametrize("text", ["a: [", "- 1\n", "", "just text"])
def test_a_file_that_is_no_mapping_is_reported(text):
    with pytest.raises(SettingsError, match=r"sample\.yaml"):
        parse_settings(text, Sample, "sample.yaml")


def test_a_missing_file_is_reported(tmp_path):
    with pytest.raises(SettingsError, match=r"missing\.yaml"):
        load_settings(tmp_path / "missing.yaml", Sample)
