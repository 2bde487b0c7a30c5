from __future__ import annotations

import json

import pytest

from fireflyrack.core import SettingsError
from fireflyrack.platform.node_file import read_node_file


def test_all_wrong_keys_are_named_at_once(tmp_path):
    """Guards against an operator who mends a file one key at a time."""
    path = tmp_path / "node.json"
    path.write_text(json.dumps({"nodeName": 3, "zone": "z", "listen": {}}))
    with pytest.raises(SettingsError) as caught:
        read_node_file(str(path), None)
    keys = {problem.key for problem in caught.value.problems}
    assert {"nodeName", "listen.front", "bounds", "platform"} <= keys


def test_a_file_that_is_no_json_is_reported(tmp_path):
    path = tmp_path / "node.json"
    path.write_text("{")
    with pytest.raises(SettingsError, match=r"\(file\)"):
        read_node_file(str(path), None)
