"""HTTP resource for searches."""

from __future__ import annotations

import falcon.asgi

from fireflyrack.core import Failed, Ok
from fireflyrack.search import SearchRequestModel

from .http import Resource, read_model, write_error, write_model


class SearchResource(Resource):
    """Run searches."""

    async def on_post(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, service: str
    ):
        """Answer with the results of a search and their evidence."""
        request = await read_model(req, SearchRequestModel, self.max_body_bytes)
        match await self.instance.searches.search(service, request):
            case Ok(answer):
                write_model(resp, answer)
            case Failed(error):
                write_error(resp, error)
