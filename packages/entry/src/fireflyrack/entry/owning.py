"""Reconciliation of the backend servers that this instance owns."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from fireflyrack.admission import (
    OwnedServers,
    RefusalReason,
    RunOutcome,
    RunRefused,
    RunRequest,
    SearchWork,
    WorkOutcome,
    WorkRefused,
)
from fireflyrack.configuration import BackendServer, Configuration
from fireflyrack.core import Failed
from fireflyrack.membership import Ownership


class OwnershipReconciler:
    """Reconcile the owned backend servers with those that this instance may act on.

    Run `run_loop` as a task and call `schedule_reconcile` when owners may have
    changed. Submitted work is refused unless this instance may act on the backend
    server at that moment.
    """

    def __init__(
        self,
        servers: OwnedServers,
        ownership: Ownership,
        configuration: Callable[[], Configuration],
        on_owned_count: Callable[[int], None],
    ) -> None:
        self.servers = servers
        self.ownership = ownership
        self.configuration = configuration
        self.on_owned_count = on_owned_count
        self.loop = asyncio.get_running_loop()
        self.changed = asyncio.Event()
        self.reconcile_waiters: list[asyncio.Future[None]] = []

    def schedule_reconcile(self) -> None:
        """Make `run_loop` reconcile again."""
        self.changed.set()

    async def run_loop(self) -> None:
        """Acquire and release backend servers until cancelled."""
        while True:
            await self.changed.wait()
            self.changed.clear()
            reconcile_waiters, self.reconcile_waiters = self.reconcile_waiters, []
            owned = self.permitted_servers()
            await self.servers.own(owned)
            self.on_owned_count(len(owned))
            for future in reconcile_waiters:
                if not future.done():
                    future.set_result(None)

    def permitted_servers(self) -> tuple[BackendServer, ...]:
        """Return the backend servers that this instance may act on now."""
        at = self.loop.time()
        return tuple(
            server
            for service in self.configuration().services.values()
            for server in service.backend_servers.values()
            if self.ownership.may_act(server.id, at)
        )

    async def wait_reconciled(self) -> None:
        """Wait until nothing runs on servers that this instance may not act on now."""
        future = self.loop.create_future()
        self.reconcile_waiters.append(future)
        self.changed.set()
        await future

    async def submit(self, backend_server: str, work: SearchWork) -> WorkOutcome:
        """Run work if this instance may act on its backend server."""
        if not self.ownership.may_act(backend_server, self.loop.time()):
            return Failed(WorkRefused(RefusalReason.NOT_OWNER))
        return await self.servers.submit(backend_server, work)

    async def run(self, backend_server: str, request: RunRequest) -> RunOutcome:
        """Run a request once if this instance may act on its backend server."""
        if not self.ownership.may_act(backend_server, self.loop.time()):
            return RunRefused(RefusalReason.NOT_OWNER)
        return await self.servers.run(backend_server, request)
