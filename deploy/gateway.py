"""Start the gateway from a checkout, in which the packages are not installed."""

from __future__ import annotations

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
for sources in (*sorted(ROOT.glob("packages/*/src")), ROOT / "platform" / "src"):
    sys.path.insert(0, str(sources))

from fireflyrack.platform.main import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
