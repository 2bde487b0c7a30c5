from __future__ import annotations

import json

import pytest

from fireflyrack.core import SettingsError
from fireflyrack.platform.node_file import read_node_file

NODE = {
    "nodeName": "n",
    "zone": "z",
    "listen": {
        "front": "10.0.0.1:1",
        "ready": "10.0.0.1:2",
        "directory": "10.0.0.1:3",
    },
    "innerPorts": [7, 9],
    "platform": {"address": "10.0.0.9:1"},
}
BOUNDS = {"graceS": 6, "retryBudgetRatio": 0.2, "retrySlack": 9, "ttl_max_s": 5}


def test_all_invalid_keys_are_reported_together(tmp_path):
    """Guards against reporting only the first of several invalid keys."""
    path = tmp_path / "node.json"
    path.write_text(json.dumps({"nodeName": 3, "zone": "z", "listen": {}}))
    with pytest.raises(SettingsError) as caught:
        read_node_file(str(path), None)
    keys = {problem.key for problem in caught.value.problems}
    assert {"nodeName", "listen.front", "bounds", "platform"} <= keys


def test_invalid_json_is_reported(tmp_path):
    """Guards against an unhandled exception on a malformed file."""
    path = tmp_path / "node.json"
    path.write_text("{")
    with pytest.raises(SettingsError, match=r"\(file\)"):
        read_node_file(str(path), None)


@pytest.mark.parametrize(
    ("given", "configuration_s", "drain_s"),
    [({"configApplyMs": 5000, "drainMs": 2500}, 5.0, 2.5), ({}, 3.0, 3.0)],
)
def test_optional_change_bounds_are_read_or_defaulted(
    tmp_path, given, configuration_s, drain_s
):
    """Guards against delaying changes for longer than the operator allows."""
    path = tmp_path / "node.json"
    path.write_text(json.dumps({**NODE, "bounds": {**BOUNDS, **given}}))
    gateway = read_node_file(str(path), None).gateway
    assert gateway.configuration_bound_s == configuration_s
    assert gateway.drain_bound_s == drain_s
