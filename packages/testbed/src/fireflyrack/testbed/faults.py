"""Faults that the scenarios inject into a running deployment."""

from __future__ import annotations

import asyncio
import signal
from dataclasses import dataclass
from functools import singledispatch

from .site import Site

# Time for entry instances to stop sending work to a draining backend server.
DRAIN_DURATION_S = 3.0


@dataclass(frozen=True, slots=True)
class NoFault:
    """No fault, for a baseline."""


@dataclass(frozen=True, slots=True)
class Straggler:
    """Backend server whose service times are multiplied by a factor."""

    server: str
    factor: float = 10.0


@dataclass(frozen=True, slots=True)
class BackendCrash:
    """Backend server that is killed."""

    server: str


@dataclass(frozen=True, slots=True)
class FalseStatusReport:
    """Backend server that refuses all work and reports free slots."""

    server: str


@dataclass(frozen=True, slots=True)
class RollingRestart:
    """Backend servers that are drained and restarted one after the other."""

    servers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class EntryCrash:
    """Entry instance that is killed."""

    instance: str


Fault = (
    NoFault | Straggler | BackendCrash | FalseStatusReport | RollingRestart | EntryCrash
)


@singledispatch
async def inject(fault: object, site: Site) -> None:
    """Inject a fault into a deployment."""
    raise TypeError(f"unsupported fault type: {type(fault).__name__}")


@inject.register
async def _(fault: NoFault, site: Site) -> None:
    return


@inject.register
async def _(fault: Straggler, site: Site) -> None:
    await site.post(fault.server, "/control", {"straggler_factor": fault.factor})


@inject.register
async def _(fault: BackendCrash, site: Site) -> None:
    await site.stop(fault.server, signal.SIGKILL)


@inject.register
async def _(fault: FalseStatusReport, site: Site) -> None:
    faults = {"shed": True, "status_state": "serving", "status_slots_in_use": 0}
    await site.post(fault.server, "/control", faults)


@inject.register
async def _(fault: RollingRestart, site: Site) -> None:
    for server in fault.servers:
        await site.post(server, "/control", {"draining": True})
        await asyncio.sleep(DRAIN_DURATION_S)
        await site.stop(server)
        await site.start(server)


@inject.register
async def _(fault: EntryCrash, site: Site) -> None:
    await site.stop(fault.instance, signal.SIGKILL)


@singledispatch
async def revert(fault: object, site: Site) -> None:
    """Revert a fault; those that end by themselves need no action."""


@revert.register
async def _(fault: Straggler, site: Site) -> None:
    await site.post(fault.server, "/control", {"straggler_factor": 1.0})


@revert.register
async def _(fault: BackendCrash, site: Site) -> None:
    await site.start(fault.server)


@revert.register
async def _(fault: FalseStatusReport, site: Site) -> None:
    faults = {"shed": False, "status_state": None, "status_slots_in_use": None}
    await site.post(fault.server, "/control", faults)


@revert.register
async def _(fault: EntryCrash, site: Site) -> None:
    await site.start(fault.instance)
