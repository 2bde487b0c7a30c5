"""Guard against platform names outside the adapter, and decisions inside it."""

from __future__ import annotations

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
ADAPTER = ROOT / "platform" / "src"
PLATFORM_NAMES = re.compile(
    r"/-/|X-Fireflyrack-|Server-Limit|Server-Leaving|Store-Era|FIREFLYRACK_NODE_FILE|"
    r"\b(sloMs|topK|minCoverage|coldLeftMs|nodeName|maxAttempts|maxConns|"
    r"expectedRev|storeRevision|morePages|serializable|retrySlack|innerPorts)\b"
)
# Modules with decision logic; the adapter may only import types and entry points.
DECISION_MODULES = {
    "decisions",
    "sending",
    "crashes",
    "choice",
    "health",
    "budget",
    "entries",
    "shutdown",
}


def test_platform_names_occur_only_in_adapter():
    """Guards against packages that depend on one platform's names."""
    for path in (ROOT / "packages").glob("*/src/**/*.py"):
        found = PLATFORM_NAMES.search(path.read_text(encoding="utf-8"))
        assert found is None, f"{path}: {found}"


def test_adapter_imports_no_decision_module():
    """Guards against decision logic tied to one platform."""
    for path in ADAPTER.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.ImportFrom) and node.module:
                parts = set(node.module.split("."))
                assert not parts & DECISION_MODULES, f"{path}: imports {node.module}"
