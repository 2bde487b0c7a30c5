"""Guard against answers that differ from a single index over the same text."""

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
# An entry instance closes connections that were idle for this long.
IDLE_TIMEOUT_S = 5.0


@pytest.fixture(scope="module")
def naive_index():
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
async def test_a_request_after_a_blocked_loop_uses_no_closed_connection(site):
    # Guards against tests that fail where building an index blocks the loop for longer
    # than an entry instance keeps an idle connection: the client cannot see it close.
    status, _ = await site.post("e0", "/v1/services/docs/search", {"query": "open"})
    assert status == 200
    time.sleep(IDLE_TIMEOUT_S + 0.5)
    status, _ = await site.post("e0", "/v1/services/docs/search", {"query": "open"})
    assert status == 200


@pytest.mark.asyncio(loop_scope="module")
async def test_results_equal_those_of_one_index(site, naive_index):
    index, statistics = naive_index
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
async def test_bad_input_gets_an_error_of_its_own_kind(site, path, body, status, kind):
    got, answer = await site.post("e0", path, body)
    assert (got, answer["error"]["kind"]) == (status, kind)
    assert site.processes["e0"].process.returncode is None
