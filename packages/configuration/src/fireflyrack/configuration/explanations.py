"""Explanation of a past search answer from the signed evidence in it."""

from __future__ import annotations

import enum
import hashlib
import hmac
import json
from collections.abc import Mapping
from typing import Any

from pydantic import BaseModel, ConfigDict, Field

from fireflyrack.core import Failed, Ok, Outcome

from .audit import AuditRecordModel
from .confirmations import ConfirmationService
from .errors import ConfirmationError, ConfirmationUnavailable
from .messages import ServiceModel, digest_of


class SignatureState(enum.Enum):
    """Result of checking the signature of evidence."""

    VALID = "valid"
    INVALID = "invalid"
    UNKNOWN_KEY = "unknown_key"


class EvidenceReferenceModel(BaseModel):
    """Fields of evidence that refer to the configuration; others are opaque."""

    model_config = ConfigDict(extra="allow", frozen=True)

    service: str
    configuration_version: int = Field(ge=0)
    configuration_digest: str
    key_id: str = ""
    signature: str


class ConfirmedByModel(BaseModel):
    """Operator and time of the confirmation of a version."""

    version: int
    operator: str
    # Wall-clock time, seconds since the epoch.
    time: float
    kind: str
    service: str
    operation: str


class ExplanationModel(BaseModel):
    """Explanation of an answer for an auditor."""

    signature: SignatureState
    key_id: str
    # Whether the digest in the evidence is that of its version in the audit trail.
    configuration_matches: bool
    configuration: ConfirmedByModel
    # The change that activated the document of the service.
    service_confirmed: ConfirmedByModel | None
    document: ServiceModel | None
    evidence: dict[str, Any]


def compute_signature(evidence: Mapping[str, Any], key: str) -> str:
    """Return the HMAC-SHA256 of evidence in its JSON form.

    The order of keys and 1 or 1.0 make no difference, because a caller's JSON library
    may change both.
    """
    signed = normalize_numbers({k: v for k, v in evidence.items() if k != "signature"})
    body = json.dumps(signed, sort_keys=True, separators=(",", ":")).encode()
    return hmac.new(key.encode(), body, hashlib.sha256).hexdigest()


def normalize_numbers(value: Any) -> Any:
    """Return a JSON value in which floats without a fraction are integers."""
    if isinstance(value, dict):
        return {key: normalize_numbers(member) for key, member in value.items()}
    if isinstance(value, list | tuple):
        return [normalize_numbers(member) for member in value]
    if isinstance(value, float) and value.is_integer():
        return int(value)
    return value


def check_signature(
    evidence: Mapping[str, Any], keys: Mapping[str, str]
) -> SignatureState:
    """Check the signature of evidence against `keys`, which holds keys by id."""
    key = keys.get(str(evidence.get("key_id", "")))
    if key is None:
        return SignatureState.UNKNOWN_KEY
    expected = compute_signature(evidence, key).encode()
    given = str(evidence.get("signature", "")).encode()
    if hmac.compare_digest(expected, given):
        return SignatureState.VALID
    return SignatureState.INVALID


async def explain(
    evidence: Mapping[str, Any],
    keys: Mapping[str, str],
    confirmations: ConfirmationService,
) -> Outcome[ExplanationModel, ConfirmationError]:
    """Return the explanation of evidence; raise ValidationError if malformed."""
    reference = EvidenceReferenceModel.model_validate(evidence)
    match await confirmations.services_at(reference.configuration_version):
        case Failed() as failed:
            return failed
        case Ok(found):
            pass
    repository = confirmations.repository
    document = confirmed = None
    if digest := found.services.get(reference.service):
        match await repository.document(digest):
            case Failed(error):
                return Failed(ConfirmationUnavailable(error.detail))
            case Ok(document):
                pass
        changed = found.changed[reference.service]
        match await confirmations.services_at(changed):
            case Failed() as failed:
                return failed
            case Ok(activation):
                confirmed = confirmed_by(activation.record)
    head_digest = digest_of(found.head().encode())
    return Ok(
        ExplanationModel(
            signature=check_signature(evidence, keys),
            key_id=reference.key_id,
            configuration_matches=head_digest == reference.configuration_digest,
            configuration=confirmed_by(found.record),
            service_confirmed=confirmed,
            document=document,
            evidence=dict(evidence),
        )
    )


def confirmed_by(record: AuditRecordModel) -> ConfirmedByModel:
    """Return the operator and time from an audit record."""
    return ConfirmedByModel(
        version=record.version,
        operator=record.operator,
        time=record.time,
        kind=record.kind,
        service=record.service,
        operation=record.operation,
    )
