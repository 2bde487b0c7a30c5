"""Guard against results that differ from those of a single index."""

from __future__ import annotations

import random
import time

import pytest
import pytest_asyncio

from fireflyrack.testbed import InvertedIndex, read_corpus
from fireflyrack.testbed.index import CollectionStatistics
from fireflyrack.testbed.site import Site, SiteLayout

SEED = 20261204
QUERIES = 200
# Entry instances close connections that have been idle for this time.
IDLE_TIMEOUT_S = 5.0


@pytest.fixture(scope="module")
def single_index():
    corpus = read_corpus()
    statistics = CollectionStatistics.from_documents(corpus.documents)
    return InvertedIndex(corpus.documents, statistics, 240), statistics


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def site():
    async with Site(SiteLayout()) as running:
        await running.declare()
        await running.wait_ready()
        yield running


@pytest.mark.asyncio(loop_scope="module")
async def test_a_request_after_a_blocked_event_loop_uses_no_closed_connection(site):
    """Guards against a request on a connection that the server has closed.

    While a test builds an index, its event loop does not see that an entry instance
    closes the idle connection.
    """
    status, _ = await site.post("e0", "/v1/services/docs/search", {"query": "open"})
    assert status == 200
    time.sleep(IDLE_TIMEOUT_S + 0.5)
    status, _ = await site.post("e0", "/v1/services/docs/search", {"query": "open"})
    assert status == 200


@pytest.mark.asyncio(loop_scope="module")
async def test_results_equal_those_of_a_single_index(site, single_index):
    """Guards against wrong scores, order or shards in the merged results."""
    index, statistics = single_index
    rng = random.Random(SEED)
    words = sorted(statistics.document_frequency)
    for number in range(QUERIES):
        query = " ".join(rng.sample(words, rng.randint(1, 4)))
        expected = [
            {"document": d.document, "score": d.score, "shard": d.shard}
            for d in index.search(query, 10)
        ]
        path = "/v1/services/docs/search"
        status, answer = await site.post(f"e{number % 4}", path, {"query": query})
        assert status == 200
        assert answer["coverage"]["lacking"] == {}
        assert answer["results"] == expected, query


@pytest.mark.asyncio(loop_scope="module")
@pytest.mark.parametrize(
    ("path", "body", "status", "kind"),
    [
        ("/v1/services/none/search", {"query": "a"}, 404, "unknown_service"),
        ("/v1/services/docs/search", {"query": ""}, 400, "invalid_request"),
        ("/v1/services/docs/search", {"query": "a" * 300_000}, 413, "too_large"),
        (
            "/v1/services/docs/search",
            {"query": "a", "deadline_ms": 599_999},
            400,
            "impossible_deadline",
        ),
        (
            "/v1/services/docs/search",
            {"query": "a", "snapshot": "9.9"},
            503,
            "no_snapshot",
        ),
        ("/v1/nothing", {}, 404, "not_found"),
    ],
)
async def test_invalid_requests_get_the_error_kind_of_their_cause(
    site, path, body, status, kind
):
    """Guards against invalid requests that get a vague error or crash an instance."""
    got, answer = await site.post("e0", path, body)
    assert (got, answer["error"]["kind"]) == (status, kind)
    assert site.processes["e0"].process.returncode is None
