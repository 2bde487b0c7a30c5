"""Exchange of heads and documents between entry instances.

A request names the version that the asking instance has, so that the answer
carries only what changed since.
"""

from __future__ import annotations

from collections.abc import Mapping

from pydantic import BaseModel, ConfigDict

from .messages import HeadModel, ServiceModel, digest_of
from .plans import DeployedConfiguration
from .values import pack, unpack

HEAD_KIND = "configuration.head"
BUNDLE_KIND = "configuration.bundle"
# Heads that an instance keeps to answer with the difference only: about ten
# minutes at 3,300 changes a day.
MAX_HEADS = 32


class PeerModel(BaseModel):
    """Base of the models between instances; a newer peer may send more keys."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class PeerHeadModel(PeerModel):
    """Tell a peer which version this instance has, and whether it serves it."""

    version: int
    digest: str
    confirmed: bool


class BundleRequestModel(PeerModel):
    """Ask for the newest configuration; `version` is what the asker has."""

    version: int
    digest: str


class BundleModel(PeerModel):
    """Carry a head as the difference to an earlier one, with the documents."""

    # Version that the difference starts from; 0 if all services are listed.
    from_version: int
    version: int
    services: dict[str, str]
    changed: dict[str, int]
    removed: tuple[str, ...]
    audit: str
    segment: str
    operation: str
    documents: tuple[ServiceModel, ...]

    def encode(self) -> bytes:
        """Return the compressed form."""
        return pack(self.model_dump_json().encode())

    @classmethod
    def decode(cls, data: bytes) -> BundleModel:
        """Read the compressed form; raise ValueError if it is damaged."""
        return cls.model_validate_json(unpack(data))


class BundleHistory:
    """Keep the newest configuration and a few heads before it; call `put` for each."""

    def __init__(self) -> None:
        self.deployed = DeployedConfiguration(HeadModel(), {})
        self.heads: dict[str, HeadModel] = {}
        # Encoded answers by the digest that the asking instance has: most instances
        # ask for the same difference at the same moment.
        self.encoded: dict[str, bytes] = {}

    def put(self, deployed: DeployedConfiguration) -> None:
        """Keep a newer configuration."""
        self.deployed = deployed
        self.encoded.clear()
        self.heads[digest_of(deployed.head.encode())] = deployed.head
        if len(self.heads) > MAX_HEADS:
            del self.heads[next(iter(self.heads))]

    def encoded_bundle_since(self, request: BundleRequestModel) -> bytes:
        """Return what the asking instance lacks, encoded."""
        base = request.digest if request.digest in self.heads else ""
        if base not in self.encoded:
            self.encoded[base] = self.bundle_since(request).encode()
        return self.encoded[base]

    def bundle_since(self, request: BundleRequestModel) -> BundleModel:
        """Return what the asking instance lacks."""
        head = self.deployed.head
        base = self.heads.get(request.digest) or HeadModel()
        services = {
            name: digest
            for name, digest in head.services.items()
            if base.services.get(name) != digest
            or base.changed.get(name) != head.changed.get(name)
        }
        documents = {
            digest: self.deployed.documents[digest] for digest in services.values()
        }
        return BundleModel(
            from_version=base.version,
            version=head.version,
            services=services,
            changed={name: head.changed[name] for name in services},
            removed=tuple(sorted(base.services.keys() - head.services.keys())),
            audit=head.audit,
            segment=head.segment,
            operation=head.operation,
            documents=tuple(documents.values()),
        )


def apply_bundle(
    bundle: BundleModel, current: DeployedConfiguration
) -> DeployedConfiguration:
    """Return the configuration of a bundle; raise ValueError if parts are missing."""
    base = current.head if bundle.from_version else HeadModel()
    if base.version != bundle.from_version:
        raise ValueError(f"the difference starts from version {bundle.from_version}")
    services = merge_difference(base.services, bundle.services, bundle.removed)
    changed = merge_difference(base.changed, bundle.changed, bundle.removed)
    head = HeadModel(
        version=bundle.version,
        services=services,
        changed=changed,
        audit=bundle.audit,
        segment=bundle.segment,
        operation=bundle.operation,
    )
    received = {digest_of(d.encode()): d for d in bundle.documents}
    known = {**current.documents, **received}
    if missing := set(services.values()) - known.keys():
        raise ValueError(f"document {min(missing)} is missing")
    return DeployedConfiguration(
        head, {digest: known[digest] for digest in services.values()}
    )


def merge_difference(old: Mapping, new: Mapping, removed: tuple[str, ...]) -> dict:
    """Return a mapping with changed and without removed keys, in order."""
    unchanged = {key: value for key, value in old.items() if key not in removed}
    return dict(sorted({**unchanged, **new}.items()))
