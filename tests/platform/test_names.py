"""Guard against platform names outside the adapter and decisions inside it."""

from __future__ import annotations

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
ADAPTER = ROOT / "platform" / "src"
FOREIGN = re.compile(
    r"/-/|X-Fireflyrack-|FIREFLYRACK_NODE_FILE|"
    r"\b(sloMs|topK|minCoverage|coldLeftMs|nodeName|maxAttempts|maxConns|"
    r"expectedRev|storeRevision|morePages|serializable|retrySlack|innerPorts)\b"
)
# Modules that take decisions; the adapter may only use types and entry points.
DECIDING = {
    "decisions",
    "sending",
    "crashes",
    "choice",
    "health",
    "budget",
    "entries",
    "shutdown",
}


def test_no_platform_name_stands_outside_the_adapter():
    for path in (ROOT / "packages").glob("*/src/**/*.py"):
        found = FOREIGN.search(path.read_text(encoding="utf-8"))
        assert found is None, f"{path}: {found}"


def test_the_adapter_takes_no_decision():
    for path in ADAPTER.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.ImportFrom) and node.module:
                parts = set(node.module.split("."))
                assert not parts & DECIDING, f"{path}: imports {node.module}"
