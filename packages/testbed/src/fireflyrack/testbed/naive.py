"""Naive baseline that searches each shard's first replica and waits for all."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass
from itertools import count

import aiohttp
import falcon.asgi
from pydantic import Field

from fireflyrack.admission import RepliesModel, SearchBatchModel, SubRequestModel
from fireflyrack.configuration import Service, ServiceModel
from fireflyrack.core import EMPTY, LogSettings, SettingsModel, ShardSet
from fireflyrack.search import Hit, SearchRequestModel, best_hits

from .http import run_stand_in
from .settings import Address


class NaiveSettings(SettingsModel):
    """Settings of the naive baseline, which is compared with fireflyrack."""

    id: str = "naive"
    address: str = Address
    snapshot: str = "1.1"
    services: tuple[ServiceModel, ...] = Field(min_length=1)
    logs: LogSettings = LogSettings()


@dataclass(slots=True)
class NaiveState:
    """Declared services, request counter and connection pool."""

    settings: NaiveSettings
    services: dict[str, Service]
    request_numbers: count
    session: aiohttp.ClientSession | None = None

    def open_session(self) -> aiohttp.ClientSession:
        """Return the connection pool, created on first use since it needs the loop."""
        if self.session is None:
            connector = aiohttp.TCPConnector(limit=0)
            self.session = aiohttp.ClientSession(connector=connector)
        return self.session


class NaiveSearchResource:
    """Searches without hedges, retries or limits."""

    def __init__(self, state: NaiveState) -> None:
        self.state = state

    async def on_post(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, service
    ):
        """Search each shard on its first replica and wait for all replies."""
        request = SearchRequestModel.model_validate_json(await req.stream.read())
        service_config = self.state.services[service]
        partition = service_config.partitions[0]
        shards_by_server: dict[str, ShardSet] = {}
        for placement in partition.placement:
            name = placement.replicas[0]
            shards_by_server[name] = (
                shards_by_server.get(name, EMPTY) | placement.shards
            )
        deadline_ms = request.deadline_ms or service_config.policy.default_deadline_ms
        replies = await asyncio.gather(
            *(
                self.send_sub_request(
                    service_config, name, shards, request, deadline_ms
                )
                for name, shards in shards_by_server.items()
            )
        )
        hits = best_hits((h for r in replies for h in r[1]), request.k)
        covered = sum(len(r[0]) for r in replies)
        resp.media = {
            "results": [
                {"document": h.document, "score": h.score, "shard": h.shard}
                for h in hits
            ],
            "coverage": {"share": covered / partition.shards},
        }

    async def send_sub_request(
        self,
        service: Service,
        name: str,
        shards: ShardSet,
        request: SearchRequestModel,
        deadline_ms: int,
    ) -> tuple[ShardSet, list[Hit]]:
        """Send one sub-request; return the searched shards and the hits."""
        sub_request = SubRequestModel(
            id=f"{self.state.settings.id}/{next(self.state.request_numbers)}",
            service=service.name,
            snapshot=self.state.settings.snapshot,
            shards=str(shards),
            query=request.query,
            k=request.k,
            deadline_ms=deadline_ms,
        )
        body = SearchBatchModel(sub_requests=(sub_request,)).model_dump_json()
        url = f"http://{service.backend_servers[name].address}/v1/search"
        timeout = aiohttp.ClientTimeout(total=deadline_ms / 1000)
        session = self.state.open_session()
        try:
            async with session.post(url, data=body, timeout=timeout) as response:
                if response.status != 200:
                    return EMPTY, []
                model = RepliesModel.model_validate_json(await response.read())
        except (TimeoutError, aiohttp.ClientError, OSError):
            return EMPTY, []
        (reply,) = model.replies
        return ShardSet.parse(reply.searched), [Hit(*hit) for hit in reply.hits]


class NaiveAddressesResource:
    """Addresses for callers: only that of this process."""

    def __init__(self, state: NaiveState) -> None:
        self.state = state

    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response):
        """Return the address of this process."""
        address = self.state.settings.address
        resp.media = {
            "addresses": [
                {"instance": "naive", "address": address, "failure_domain": ""}
            ],
            "ttl_s": 3600.0,
        }


def create_app(settings: NaiveSettings) -> falcon.asgi.App:
    """Return the ASGI application of the naive baseline."""
    services = {s.service: s.to_domain() for s in settings.services}
    state = NaiveState(settings, services, count(1))
    app = falcon.asgi.App()
    app.add_route("/v1/services/{service}/search", NaiveSearchResource(state))
    app.add_route("/v1/addresses", NaiveAddressesResource(state))
    return app


if __name__ == "__main__":
    sys.exit(run_stand_in(NaiveSettings, create_app))
