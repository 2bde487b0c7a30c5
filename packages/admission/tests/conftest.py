"""Fixtures: a stand-in backend server process, and an owner with a permission."""

from __future__ import annotations

import pytest

from fireflyrack.admission import AdmissionSettings, OwnedServers
from fireflyrack.testbed.backend_process import BackendProcess


@pytest.fixture
async def backend(request, tmp_path):
    settings = {"service_time_s": 0.02, **getattr(request, "param", {})}
    process = BackendProcess(tmp_path / "backend.yaml", **settings)
    await process.start()
    yield process
    await process.stop()


@pytest.fixture
async def owned():
    permission = {"granted": True}
    servers = OwnedServers(AdmissionSettings(), lambda: permission["granted"])
    servers.permission = permission
    yield servers
    await servers.close()
