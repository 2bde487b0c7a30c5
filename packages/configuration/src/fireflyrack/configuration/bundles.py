"""Exchange of heads and documents between entry instances.

A request states the version that the requesting instance has, so that the response
contains only the difference.
"""

from __future__ import annotations

from collections.abc import Mapping

from pydantic import BaseModel, ConfigDict

from .messages import HeadModel, ServiceModel, digest_of
from .plans import DeployedConfiguration
from .values import pack, unpack

HEAD_KIND = "configuration.head"
BUNDLE_KIND = "configuration.bundle"
# Earlier heads kept to compute differences from: about ten minutes at 3,300 changes
# a day.
MAX_HEADS = 32


class PeerModel(BaseModel):
    """Base of the messages between instances; ignores keys that newer peers add."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class PeerHeadModel(PeerModel):
    """Version that an instance has; `confirmed` is set if the instance serves it."""

    version: int
    digest: str
    confirmed: bool


class BundleRequestModel(PeerModel):
    """Request for the newest configuration, with the version of the requester."""

    version: int
    digest: str


class BundleModel(PeerModel):
    """A head as the difference from an earlier one, with the changed documents."""

    # Version that the difference is based on; 0 if all services are included.
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
        """Decode the compressed form; raise ValueError if it is corrupted."""
        return cls.model_validate_json(unpack(data))


class BundleHistory:
    """Newest configuration and recent earlier heads; call `put` for each version."""

    def __init__(self) -> None:
        self.deployed = DeployedConfiguration(HeadModel(), {})
        self.heads: dict[str, HeadModel] = {}
        # Encoded bundles by the digest of the requester's head: after a change, most
        # instances request the same difference at the same time.
        self.encoded: dict[str, bytes] = {}

    def put(self, deployed: DeployedConfiguration) -> None:
        """Store a newer configuration and evict the oldest head beyond the limit."""
        self.deployed = deployed
        self.encoded.clear()
        self.heads[digest_of(deployed.head.encode())] = deployed.head
        if len(self.heads) > MAX_HEADS:
            del self.heads[next(iter(self.heads))]

    def encoded_bundle_since(self, request: BundleRequestModel) -> bytes:
        """Return the encoded bundle for a request, from the cache if possible."""
        base = request.digest if request.digest in self.heads else ""
        if base not in self.encoded:
            self.encoded[base] = self.bundle_since(request).encode()
        return self.encoded[base]

    def bundle_since(self, request: BundleRequestModel) -> BundleModel:
        """Return the difference between the requester's head and the newest one."""
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
    """Apply a bundle to the current configuration; return the new one.

    Raise ValueError if the bundle has another base or a document is missing.
    """
    base = current.head if bundle.from_version else HeadModel()
    if base.version != bundle.from_version:
        raise ValueError(f"the bundle starts from version {bundle.from_version}")
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
        raise ValueError(f"document {min(missing)} is missing from the bundle")
    return DeployedConfiguration(
        head, {digest: known[digest] for digest in services.values()}
    )


def merge_difference(old: Mapping, new: Mapping, removed: tuple[str, ...]) -> dict:
    """Return a mapping with new and changed keys, without removed ones, sorted."""
    unchanged = {key: value for key, value in old.items() if key not in removed}
    return dict(sorted({**unchanged, **new}.items()))
