"""Readiness of an instance for searches."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from fireflyrack.configuration import Service
from fireflyrack.membership import Member
from fireflyrack.search import ReportTable


def missing_reports(
    services: Iterable[Service],
    reports: ReportTable,
    owner: Callable[[str], Member | None],
) -> tuple[str, ...]:
    """Return the configured backend servers whose owner is known and report is not."""
    return tuple(
        name
        for service in services
        for name in service.backend_servers
        if name not in reports.reports and owner(name) is not None
    )
