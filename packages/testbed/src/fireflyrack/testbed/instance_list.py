"""Stand-in for the platform's eventually consistent list of instances."""

from __future__ import annotations

import sys
import time
from dataclasses import dataclass, field

import falcon.asgi

from fireflyrack.membership import InstanceListModel, MemberModel

from .http import run_stand_in
from .settings import InstanceListSettings


@dataclass(slots=True)
class InstanceListState:
    """Instances and all published versions of the list with their times."""

    settings: InstanceListSettings
    instances: dict[str, MemberModel] = field(default_factory=dict)
    versions: list[tuple[float, InstanceListModel]] = field(default_factory=list)

    def publish(self) -> None:
        """Publish the current list; readers see it after the lag."""
        instances = tuple(self.instances[name] for name in sorted(self.instances))
        entry = (time.monotonic(), InstanceListModel(instances=instances))
        self.versions.append(entry)

    def visible_version(self) -> InstanceListModel:
        """Return the newest version that is at least as old as the lag."""
        latest_time = time.monotonic() - self.settings.lag_s
        newest = InstanceListModel(instances=())
        for at, version in self.versions:
            if at <= latest_time:
                newest = version
        return newest


class InstancesResource:
    """Reads and changes of the list."""

    def __init__(self, state: InstanceListState) -> None:
        self.state = state

    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response):
        """Return the version that is visible after the lag."""
        resp.data = self.state.visible_version().model_dump_json().encode()
        resp.content_type = falcon.MEDIA_JSON

    async def on_post(self, req: falcon.asgi.Request, resp: falcon.asgi.Response):
        """Add or replace the instances in the body."""
        body = await req.stream.read()
        for instance in InstanceListModel.model_validate_json(body).instances:
            self.state.instances[instance.id] = instance
        self.state.publish()
        resp.media = {}

    async def on_delete(self, req: falcon.asgi.Request, resp: falcon.asgi.Response):
        """Remove the instance with the id in the query."""
        self.state.instances.pop(req.get_param("id", required=True), None)
        self.state.publish()
        resp.media = {}


def create_app(settings: InstanceListSettings) -> falcon.asgi.App:
    """Return the ASGI application of the list."""
    app = falcon.asgi.App()
    app.add_route("/v1/instances", InstancesResource(InstanceListState(settings)))
    return app


if __name__ == "__main__":
    sys.exit(run_stand_in(InstanceListSettings, create_app))
