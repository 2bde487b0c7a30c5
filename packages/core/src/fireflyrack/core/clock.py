"""Steady clock for deadlines, ages and timers."""

from __future__ import annotations

import time


def steady_now() -> float:
    """Return seconds since an arbitrary moment, unaffected by wall-clock changes.

    Time during which the host is suspended counts, so that deadlines and ages are
    correct after it resumes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
