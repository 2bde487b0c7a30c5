"""Document collection made of the docstrings of the standard library."""

from __future__ import annotations

import ast
import hashlib
import re
import sysconfig
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

TERM_PATTERN = re.compile(r"[a-z][a-z0-9_]+")
# Large enough for several hundred documents in each of a few dozen shards.
DEFAULT_MODULES = 200


@dataclass(frozen=True, slots=True)
class Document:
    """Docstring of one module, class or function, with its qualified name as id."""

    id: str
    text: str

    def terms(self) -> list[str]:
        """Return the terms of the text in lower case."""
        return TERM_PATTERN.findall(self.text.lower())

    def shard(self, shards: int) -> int:
        """Return the shard number of the document, a hash of its id modulo `shards`."""
        digest = hashlib.blake2b(self.id.encode(), digest_size=8).digest()
        return int.from_bytes(digest, "big") % shards


@dataclass(frozen=True, slots=True)
class Corpus:
    """Documents in the order of their ids."""

    documents: tuple[Document, ...]


def read_corpus(modules: int = DEFAULT_MODULES) -> Corpus:
    """Return the documents of the first modules of the standard library, by name."""
    root = Path(sysconfig.get_paths()["stdlib"])
    documents: dict[str, Document] = {}
    for path in sorted(root.glob("*.py"))[:modules]:
        for document in read_module(path):
            documents.setdefault(document.id, document)
    return Corpus(tuple(documents[name] for name in sorted(documents)))


def read_module(path: Path) -> Iterator[Document]:
    """Yield the documents of one source file."""
    tree = ast.parse(path.read_text(encoding="utf-8", errors="replace"))
    yield from read_node(tree, path.stem)


def read_node(node: ast.AST, name: str) -> Iterator[Document]:
    """Yield the documents of a module, class or function and those nested in it."""
    text = ast.get_docstring(node)
    if text:
        yield Document(name, text)
    for child in ast.iter_child_nodes(node):
        if isinstance(child, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
            yield from read_node(child, f"{name}.{child.name}")
