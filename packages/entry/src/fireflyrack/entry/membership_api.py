"""HTTP resources for addresses, status and metrics."""

from __future__ import annotations

import falcon.asgi
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from fireflyrack.membership import AddressesModel, AddressModel, addresses_for

from .http import Resource, write_model
from .request_addresses import prefer_owners


class AddressesResource(Resource):
    """Serve the addresses that a caller should use."""

    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response):
        """Answer with the live instances in order of preference."""
        instance = self.instance
        settings = instance.settings
        domain = req.get_param("failure_domain", default="")
        caller = req.get_param("caller", default=req.remote_addr)
        members = addresses_for(caller, domain, instance.fleet.state.members.values())
        if req.get_param("for") == "requests":
            services = instance.configuration.services
            service = services.get(req.get_param("service", default=""))
            members = prefer_owners(service, members, instance.ownership.owner)
        write_model(
            resp,
            AddressesModel(
                addresses=tuple(
                    AddressModel(
                        instance=member.id,
                        address=member.http_address,
                        failure_domain=member.failure_domain,
                    )
                    for member in members
                ),
                ttl_s=settings.membership.address_ttl_s,
            ),
        )


class StatusResource(Resource):
    """Serve the status of this instance to operators."""

    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response):
        """Answer with the configuration, members and owned backend servers."""
        instance = self.instance
        state = instance.replica.machine.state
        fleet = instance.fleet.state
        resp.media = {
            "instance": instance.member.id,
            "incarnation": instance.incarnation,
            "failure_domain": instance.member.failure_domain,
            "ready": state.confirmed and fleet.ready,
            "missing_reports": instance.missing_reports(),
            "configuration_version": state.configuration.version,
            "configuration_digest": state.configuration.digest,
            "configuration_basis": state.basis,
            "store_reachable": instance.replica.store_reachable,
            "members": sorted(fleet.members),
            "member_states": {
                name: member.state.value for name, member in fleet.members.items()
            },
            "roster_version": fleet.roster.version,
            "may_own": instance.fleet.may_own(),
            "owned_backend_servers": sorted(
                s.id for s in instance.reconciler.permitted_servers()
            ),
        }


class MetricsResource(Resource):
    """Serve the metrics."""

    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response):
        """Update the gauges and answer in the text format of Prometheus."""
        metrics = self.instance.metrics
        for kind, number in self.instance.store.calls.items():
            metrics.store_calls.labels(kind).set(number)
        refused = self.instance.replica.machine.state.refused
        for (source, problem), number in refused.items():
            metrics.refused_offers.labels(source.value, problem).set(number)
        resp.data = generate_latest(metrics.registry)
        resp.content_type = CONTENT_TYPE_LATEST
