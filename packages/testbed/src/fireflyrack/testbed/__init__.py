"""Test doubles of the platform and of backend servers, simulations and the demo."""

from __future__ import annotations

from .corpus import Corpus, Document, read_corpus
from .index import InvertedIndex, ScoredDocument

__all__ = ["Corpus", "Document", "InvertedIndex", "ScoredDocument", "read_corpus"]
