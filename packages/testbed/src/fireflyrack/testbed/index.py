"""Inverted index with BM25 scores."""

from __future__ import annotations

import heapq
import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from fireflyrack.core import ShardSet

from .corpus import TERM_PATTERN, Document

# Usual values of the parameters k1 (term frequency saturation) and b (length
# normalization).
BM25_K1 = 1.2
BM25_B = 0.75
SCORE_DIGITS = 9


@dataclass(frozen=True, slots=True)
class ScoredDocument:
    """Match of a query: document, score and shard."""

    document: str
    score: float
    shard: int


@dataclass(frozen=True, slots=True)
class CollectionStatistics:
    """Statistics that BM25 needs beyond the scored document.

    They cover the whole collection, so that a document has the same score on a
    backend server that holds few shards as in a single index.
    """

    documents: int
    average_length: float
    document_frequency: Counter[str]

    @classmethod
    def from_documents(cls, documents: Iterable[Document]) -> CollectionStatistics:
        """Compute the statistics of a collection."""
        frequency: Counter[str] = Counter()
        count = length = 0
        for document in documents:
            terms = document.terms()
            frequency.update(set(terms))
            count += 1
            length += len(terms)
        return cls(count, length / max(count, 1), frequency)

    def inverse_document_frequency(self, term: str) -> float:
        """Return the inverse document frequency of a term."""
        n = self.document_frequency[term]
        return math.log(1 + (self.documents - n + 0.5) / (n + 0.5))


class InvertedIndex:
    """Inverted index of the given documents, scored with collection statistics."""

    def __init__(
        self,
        documents: Iterable[Document],
        statistics: CollectionStatistics,
        shards: int,
    ) -> None:
        self.statistics = statistics
        # Postings of each term: document id, shard, term frequency, document length.
        self.postings: dict[str, list[tuple[str, int, int, int]]] = {}
        for document in documents:
            counts = Counter(document.terms())
            length = counts.total()
            shard = document.shard(shards)
            for term, count in counts.items():
                posting = (document.id, shard, count, length)
                self.postings.setdefault(term, []).append(posting)

    def search(
        self, query: str, limit: int, shards: ShardSet | None = None
    ) -> list[ScoredDocument]:
        """Return the `limit` best matches, best first, from some shards or from all."""
        scores: dict[str, float] = {}
        shard_of: dict[str, int] = {}
        for term in sorted(set(TERM_PATTERN.findall(query.lower()))):
            idf = self.statistics.inverse_document_frequency(term)
            for document, shard, count, length in self.postings.get(term, ()):
                if shards is not None and shard not in shards:
                    continue
                relative_length = length / self.statistics.average_length
                normalization = BM25_K1 * (1 - BM25_B + BM25_B * relative_length)
                score = idf * count * (BM25_K1 + 1) / (count + normalization)
                scores[document] = scores.get(document, 0.0) + score
                shard_of[document] = shard
        found = (
            ScoredDocument(document, round(score, SCORE_DIGITS), shard_of[document])
            for document, score in scores.items()
        )
        return heapq.nsmallest(limit, found, key=lambda d: (-d.score, d.document))
