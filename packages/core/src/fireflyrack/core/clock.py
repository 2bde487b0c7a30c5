"""Steady clock of the decisions."""

from __future__ import annotations

import time


def steady_now() -> float:
    """Return seconds since an arbitrary moment, unaffected by changes of the date.

    Time during which the machine was suspended counts, so that deadlines and ages
    are right after it resumes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
