"""Logging setup of a process."""

from __future__ import annotations

import sys
from typing import Literal

import logbook

from .settings import SettingsModel


class LogSettings(SettingsModel):
    """Logging settings of a process."""

    level: Literal["debug", "info", "warning", "error"] = "info"


def configure_logging(settings: LogSettings, process: str) -> None:
    """Write the log of the process to standard error, one line per record."""
    handler = logbook.StreamHandler(
        sys.stderr,
        level=settings.level.upper(),
        format_string=(
            "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} "
            + process.replace("{", "").replace("}", "")
            + " {record.channel}: {record.message}"
        ),
    )
    handler.push_application()
