"""Commands of the operator: calls to the API and checks of its answers."""

from __future__ import annotations

import argparse
import asyncio
import getpass
import json
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from urllib.parse import quote

import yaml
from pydantic import ValidationError

from fireflyrack.configuration import (
    AuditPageModel,
    ChainDefect,
    verify_chain,
    verify_head,
)
from fireflyrack.core import Failed, Ok, Outcome

from .client import ApiClient
from .errors import CallFailed

AUDIT_PAGE = 500


@dataclass(frozen=True, slots=True)
class CheckFailed:
    """Hold an answer that does not pass a check."""

    answer: Any
    message: str


async def run_plan(client: ApiClient, options: argparse.Namespace) -> Outcome:
    """Ask for the plan of an intent file."""
    match read_file(options.intent, yaml.safe_load):
        case Ok(intent):
            return await ask_plan(client, options, intent)
        case failed:
            return failed


async def run_rollback(client: ApiClient, options: argparse.Namespace) -> Outcome:
    """Ask for the plan of a rollback."""
    intent = {
        "kind": "rollback",
        "service": options.service,
        "version": options.version,
    }
    return await ask_plan(client, options, intent)


async def ask_plan(
    client: ApiClient, options: argparse.Namespace, intent: Any
) -> Outcome:
    """Ask for the plan of an intent and save it if asked to."""
    body = {"operator": operator_of(options), "intent": intent}
    outcome = await client.call("POST", "/v1/plans", body)
    if isinstance(outcome, Ok) and options.save:
        return save(options.save, outcome.value)
    return outcome


async def run_confirm(client: ApiClient, options: argparse.Namespace) -> Outcome:
    """Confirm a saved plan; save the new plan of a conflict."""
    plan = read_file(options.plan, json.loads)
    if isinstance(plan, Failed):
        return plan
    body = {"operator": operator_of(options), "plan": plan.value}
    outcome = await client.call("POST", "/v1/confirmations", body)
    if isinstance(outcome, Failed) and options.save:
        detail = outcome.error.detail
        if isinstance(detail, dict) and detail.get("plan"):
            saved = save(options.save, detail["plan"])
            return saved if isinstance(saved, Failed) else outcome
    return outcome


async def run_search(client: ApiClient, options: argparse.Namespace) -> Outcome:
    """Search a service."""
    body = {"query": options.query, "k": options.k, "offset": options.offset}
    if options.snapshot:
        body["snapshot"] = options.snapshot
    if options.deadline_ms:
        body["deadline_ms"] = options.deadline_ms
    path = f"/v1/services/{quote(options.service, safe='')}/search"
    return await client.call("POST", path, body)


async def run_addresses(client: ApiClient, options: argparse.Namespace) -> Outcome:
    """Ask which addresses to use."""
    domain = quote(options.failure_domain, safe="")
    return await client.call("GET", f"/v1/addresses?failure_domain={domain}")


async def run_services(client: ApiClient, options: argparse.Namespace) -> Outcome:
    """Read the configuration in force."""
    return await client.call("GET", "/v1/configuration")


async def run_status(client: ApiClient, options: argparse.Namespace) -> Outcome:
    """Read the state of all instances that a reachable one lists."""
    outcome = await client.call("GET", "/v1/addresses")
    if isinstance(outcome, Failed):
        return outcome
    known = {a["address"]: a["instance"] for a in outcome.value["addresses"]}
    addresses = list(dict.fromkeys([*options.instance, *known]))
    outcomes = await asyncio.gather(
        *(client.call_one(address, "GET", "/v1/status") for address in addresses)
    )
    instances = []
    for address, outcome in zip(addresses, outcomes, strict=True):
        match outcome:
            case Ok(status):
                instances.append({"address": address, **status})
            case Failed(error):
                name = known.get(address, "?")
                failed = {"address": address, "instance": name}
                instances.append({**failed, "error": error.message})
    instances.sort(key=lambda status: status["instance"])
    versions = [s.get("configuration_version", 0) for s in instances]
    newest = max(versions, default=0)
    lagging = [
        status["instance"]
        for status, version in zip(instances, versions, strict=True)
        if version < newest or not status.get("ready")
    ]
    answer = {"newest_version": newest, "lagging": lagging, "instances": instances}
    if lagging:
        return Failed(CheckFailed(answer, f"behind or down: {', '.join(lagging)}"))
    return Ok(answer)


async def run_audit(client: ApiClient, options: argparse.Namespace) -> Outcome:
    """Read the trail page by page and verify the chain over all pages."""
    first = max(options.from_version, 1)
    last = None if options.limit is None else first + max(options.limit, 0) - 1
    records: list[dict[str, Any]] = []
    defects: list[ChainDefect] = []
    previous = "" if first == 1 else None
    version, head_version = first, 0
    while last is None or version <= last:
        count = AUDIT_PAGE if last is None else min(AUDIT_PAGE, last - version + 1)
        path = f"/v1/audit?from_version={version}&limit={count}"
        match await client.call("GET", path):
            case Failed() as failed:
                return failed
            case Ok(answer):
                pass
        try:
            page = AuditPageModel.model_validate(answer)
        except ValidationError as error:
            message = f"the trail cannot be read: {error.error_count()} errors"
            return Failed(CallFailed("invalid_answer", message))
        head_version = page.head_version
        defects += verify_chain(page.records, previous, version)
        defects += verify_head(page)
        records += answer["records"]
        end = min(version + count - 1, head_version)
        found = page.records[-1].version if page.records else version - 1
        if found < end:
            defects.append(ChainDefect(found + 1, "missing at the end of the page"))
        if end >= head_version:
            break
        previous = page.records[-1].digest() if page.records else None
        version = end + 1
    answer = {
        "head_version": head_version,
        "records": records,
        "defects": [{"version": d.version, "reason": d.reason} for d in defects],
    }
    if defects:
        named = "; ".join(f"version {d.version}: {d.reason}" for d in defects)
        return Failed(CheckFailed(answer, f"the trail is damaged: {named}"))
    return Ok(answer)


async def run_explain(client: ApiClient, options: argparse.Namespace) -> Outcome:
    """Ask for the explanation of an answer."""
    given = read_file(options.file, json.loads)
    if isinstance(given, Failed):
        return given
    evidence = given.value
    if isinstance(evidence, dict) and "evidence" in evidence:
        evidence = evidence["evidence"]
    outcome = await client.call("POST", "/v1/explanations", {"evidence": evidence})
    if isinstance(outcome, Failed):
        return outcome
    answer = outcome.value
    if answer["signature"] != "valid" or not answer["configuration_matches"]:
        message = "the evidence cannot be trusted"
        return Failed(CheckFailed(answer, message))
    return outcome


def operator_of(options: argparse.Namespace) -> str:
    """Return who asks."""
    return options.operator or user_name()


def user_name() -> str:
    """Return the name of the user, or an empty one if the system knows none."""
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return ""


def read_file(path: str, parse: Callable[[str], Any]) -> Outcome[Any, CallFailed]:
    """Read and parse a file; its content must be expressible in JSON."""
    try:
        value = parse(Path(path).read_text(encoding="utf-8"))
        json.dumps(value)
        return Ok(value)
    except (OSError, ValueError, TypeError, RecursionError, yaml.YAMLError) as error:
        reason = " ".join(str(error).split())
        return Failed(CallFailed("invalid_file", f"{path}: {reason}"))


def save(path: str, plan: Any) -> Outcome[Any, CallFailed]:
    """Write a plan to a file."""
    try:
        Path(path).write_text(json.dumps(plan), encoding="utf-8")
    except OSError as error:
        return Failed(CallFailed("invalid_file", f"{path}: {error.strerror}"))
    return Ok(plan)
