"""Wiring of the slices of an entry instance."""

from __future__ import annotations

import asyncio
import secrets

import aiohttp

from fireflyrack.admission import OwnedServers
from fireflyrack.configuration import Configuration, StoreClient
from fireflyrack.core import Ok
from fireflyrack.dissemination import Disseminator, Register
from fireflyrack.http_client import open_session
from fireflyrack.links import LinkPool, LinkServer
from fireflyrack.membership import Member, Ownership
from fireflyrack.search import ReportModel, ReportTable

from .budget_sharing import BudgetSharing
from .dispatch import SEARCH_KIND, SubRequestDispatcher
from .fleet import MembershipRunner
from .metrics import Metrics
from .owning import OwnershipReconciler
from .readiness import missing_reports
from .replica import ConfigurationReplica
from .request_runs import AdmissionRunner
from .requests import RequestService
from .search_guard import SearchGuard
from .searches import SearchService
from .settings import EntrySettings
from .stopping import GracefulShutdown

REPORTS_TOPIC = "search.reports"
# How long requests in flight may take to finish in a graceful shutdown.
HANDOVER_TIMEOUT_S = 10.0


class EntryInstance:
    """Connect the slices of one entry instance.

    Create it inside a running event loop, call `start`, and `stop` at the end.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self.settings = settings
        identity = settings.instance
        self.incarnation = secrets.token_hex(8)
        self.member = Member(
            id=identity.id,
            incarnation=self.incarnation,
            failure_domain=identity.failure_domain,
            http_address=identity.http_address,
            link_address=identity.link_address,
        )
        self.metrics = Metrics()
        self.store = StoreClient(settings.store)
        self.reports = ReportTable()
        self.servers = OwnedServers(settings.admission, lambda: self.fleet.may_own())
        self.links = LinkPool(settings.links, identity.id, identity.link_address)
        self.link_server = LinkServer(settings.links, identity.id)
        self.disseminator = Disseminator(
            identity.id, settings.dissemination, self.links
        )
        self.replica = ConfigurationReplica(
            identity.id,
            self.store,
            self.links,
            self.disseminator,
            self.apply_configuration,
        )
        self.ownership = Ownership(lambda: self.fleet.state, self.failure_domain_of)
        self.reconciler = OwnershipReconciler(
            self.servers,
            self.ownership,
            lambda: self.configuration,
            self.metrics.owned_servers.set,
        )
        self.fleet = MembershipRunner(
            self.member,
            settings.membership,
            self.store,
            self.links,
            self.disseminator,
            self.handle_membership_change,
            self.reconciler.wait_reconciled,
            self.is_ready,
        )
        self.shutdown = GracefulShutdown(
            settings.membership, self.fleet, self.reconciler, self.link_server
        )
        self.requests = RequestService(
            self.member,
            settings.requests,
            settings.callers.audit_keys[0].key,
            self.links,
            self.disseminator,
            AdmissionRunner(self.reconciler),
            self.ownership.owner,
            lambda name: self.configuration.services.get(name),
            self.metrics.registry,
        )
        guard = SearchGuard(self.reconciler, self.requests.quarantine)
        self.dispatcher = SubRequestDispatcher(
            identity.id, guard, self.links, self.ownership.owner
        )
        self.searches = SearchService(
            settings,
            self.incarnation,
            self.replica,
            self.reports,
            self.dispatcher,
            self.requests.quarantine,
            self.metrics,
        )
        self.budget_sharing = BudgetSharing(
            identity.id, self.incarnation, self.searches.budget, self.disseminator
        )
        self.shutdown.add_step("ticket records", self.hand_over)
        self.tasks: list[asyncio.Task[None]] = []
        self.session: aiohttp.ClientSession | None = None

    @property
    def configuration(self) -> Configuration:
        """Return the active configuration."""
        return self.replica.machine.state.configuration

    async def start(self) -> None:
        """Start the links and the background tasks.

        Raises OSError if the link address is in use.
        """
        self.session = open_session(self.settings.store.response_limits)
        await self.store.open()
        # Cancels queued sub-requests when their coordinator disconnects.
        self.link_server.register(
            SEARCH_KIND, self.dispatcher.serve, cancel_with_stream=True
        )
        self.requests.register_handlers(self.link_server)
        self.disseminator.register_handlers(self.link_server)
        self.fleet.register_handlers(self.link_server)
        self.replica.register_handlers(self.link_server)
        self.disseminator.subscribe(REPORTS_TOPIC, self.receive_report)
        await self.link_server.start(self.settings.instance.link_address)
        for work in (
            self.replica.bootstrap(),
            self.replica.run_loop(),
            self.reconciler.run_loop(),
            *self.fleet.background_loops(self.session),
            self.run_status_loop(),
            self.disseminator.run_gossip_loops(),
            self.requests.run_sweep_loop(),
            self.budget_sharing.run_loop(),
        ):
            self.tasks.append(asyncio.create_task(work))

    async def stop(self) -> None:
        """Cancel the background tasks and close all connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.replica.close()
        await self.requests.close()
        await self.fleet.close()
        await self.servers.close()
        await self.links.close()
        await self.link_server.close()
        await self.store.close()
        if self.session:
            await self.session.close()

    async def hand_over(self) -> None:
        """Hand the ticket records over to another instance."""
        members = tuple(self.fleet.state.members.values())
        await self.requests.hand_over(members, HANDOVER_TIMEOUT_S)

    def failure_domain_of(self, backend_server: str) -> str | None:
        """Return the failure domain of a backend server, None if not configured."""
        server = self.configuration.backend_server(backend_server)
        return server.failure_domain if server else None

    def is_ready(self) -> bool:
        """Return whether searches of all services can be answered whole."""
        services = self.configuration.services.values()
        if not self.replica.machine.state.confirmed or self.missing_reports():
            return False
        return all(self.reports.snapshot_for(service) for service in services)

    def missing_reports(self) -> tuple[str, ...]:
        """Return the backend servers whose owners have not reported them here."""
        services = self.configuration.services.values()
        return missing_reports(services, self.reports, self.ownership.owner)

    def handle_membership_change(self) -> None:
        """Pass a change of members or owners on to the other slices."""
        members = self.fleet.state.members
        self.metrics.members.set(len(members))
        # Dead and released members stay listed until they leave the roster: one of
        # them may have been the only holder of the newest version.
        self.replica.set_member_addresses(
            {m.id: m.link_address for m in members.values()}
        )
        self.reconciler.schedule_reconcile()

    def apply_configuration(self, configuration: Configuration) -> None:
        """Update the metrics and the owned backend servers for a configuration."""
        self.metrics.configuration_version.set(configuration.version)
        self.reconciler.schedule_reconcile()

    async def run_status_loop(self) -> None:
        """Poll the status of the owned backend servers until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                # Tasks, since a slow status call must not delay the next one: draining
                # has to be detected within 1 s.
                for name in tuple(self.servers.servers):
                    group.create_task(self.refresh_status(name))
                await asyncio.sleep(self.settings.admission.status_period_s)

    async def refresh_status(self, name: str) -> None:
        """Read the status of one backend server and publish it if it changed."""
        service = next(
            (
                service.name
                for service in self.configuration.services.values()
                if name in service.backend_servers
            ),
            None,
        )
        if service is None or name not in self.servers.servers:
            return
        outcome = await self.servers.poll_status(name)
        if isinstance(outcome, Ok):
            status = outcome.value
            model = ReportModel(
                backend_server=name,
                state="draining" if status.state == "draining" else "serving",
                snapshots=status.snapshots.get(service, {}),
            )
            if self.reports.put(model.to_domain()):
                body = model.model_dump_json().encode()
                # No instance may send work to a draining server after 3 s.
                draining = model.state == "draining"
                self.disseminator.publish(
                    REPORTS_TOPIC, name, body, urgent=draining, renew=True
                )

    def receive_report(self, register: Register) -> None:
        """Store a report that the owner of a backend server published."""
        model = ReportModel.model_validate_json(register.body)
        self.reports.put(model.to_domain())
