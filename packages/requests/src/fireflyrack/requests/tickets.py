"""Ticket encoding and signatures, and fingerprints of requests and searches."""

from __future__ import annotations

import hashlib
import hmac
import json
import re
from dataclasses import dataclass

# 128 bits, so that a ticket cannot be guessed.
NONCE_BYTES = 16
MAC_HEX_DIGITS = 32
TICKET_PATTERN = re.compile(
    r"1_([0-9a-f]{1,32})_(\d{1,3}(?:-\d{1,3}){3}-\d{1,5})_(\d{1,18})_([0-9a-f]{32})"
    r"_([0-9a-f]{32})"
)


@dataclass(frozen=True, slots=True)
class Ticket:
    """Permission to run one request; `number` counts within the issuer."""

    incarnation: str
    # Link address of the issuer.
    address: str
    number: int
    nonce: str

    def id(self) -> str:
        """Return the identifier of the ticket without its secret parts."""
        return f"{self.incarnation}.{self.number}"


class TicketKey:
    """Sign and verify tickets with a key that all entry instances share.

    The signature covers the caller, so any instance can reject a forged ticket, or
    one that another caller presents, without contacting the issuer.
    """

    def __init__(self, secret: str) -> None:
        # The prefix separates signatures of tickets from those of evidence.
        self.key = hashlib.sha256(b"fireflyrack ticket\x00" + secret.encode()).digest()

    def text(self, ticket: Ticket, caller: str) -> str:
        """Return the signed text form of a ticket."""
        address = ticket.address.replace(".", "-").replace(":", "-")
        head = f"1_{ticket.incarnation}_{address}_{ticket.number}_{ticket.nonce}"
        return f"{head}_{self.mac(head, caller)}"

    def parse(self, text: str, caller: str) -> Ticket | None:
        """Return the ticket, or None if it is malformed or not valid for the caller."""
        match = TICKET_PATTERN.fullmatch(text)
        if match is None:
            return None
        incarnation, address, number, nonce, mac = match.groups()
        head = text.rpartition("_")[0]
        if not hmac.compare_digest(mac, self.mac(head, caller)):
            return None
        *host, port = address.split("-")
        return Ticket(incarnation, f"{'.'.join(host)}:{port}", int(number), nonce)

    def mac(self, head: str, caller: str) -> str:
        """Return the truncated HMAC of a ticket's fields and its caller."""
        data = json.dumps((head, caller)).encode()
        return hmac.new(self.key, data, hashlib.sha256).hexdigest()[:MAC_HEX_DIGITS]


def caller_digest(authorization: str | None) -> str:
    """Return the hash of the bearer token in an Authorization header, or "".

    Without a bearer token the ticket itself is the only secret.
    """
    scheme, _, token = (authorization or "").partition(" ")
    if scheme.lower() != "bearer" or not token.strip():
        return ""
    return hashlib.sha256(token.strip().encode()).hexdigest()


def body_digest(service: str, body: str) -> str:
    """Return the hash of service and body; equal JSON values have equal hashes."""
    return hashlib.sha256(
        json.dumps((service, canonical_form(body))).encode()
    ).hexdigest()


def request_fingerprint(service: str, body: str, caller: str) -> str:
    """Return the fingerprint of a non-idempotent request.

    The caller is part of it, so that requests of one caller never cause those of
    another to be refused.
    """
    return fingerprint("request", service, canonical_form(body), caller)


def search_fingerprint(service: str, query: str) -> str:
    """Return the fingerprint of a search.

    The caller is not part of it: the same query crashes a backend server whoever
    sends it, and a search is refused only after it crashed one while running alone.
    """
    return fingerprint("search", service, " ".join(query.casefold().split()))


def fingerprint(*parts: str) -> str:
    """Return a 128-bit hash of the parts as hexadecimal digits."""
    return hashlib.blake2b(json.dumps(parts).encode(), digest_size=16).hexdigest()


def canonical_form(body: str) -> str:
    """Return JSON with sorted keys and no spaces, any other text unchanged."""
    try:
        value = json.loads(body)
        return json.dumps(value, sort_keys=True, separators=(",", ":"))
    except (ValueError, RecursionError):
        return body
