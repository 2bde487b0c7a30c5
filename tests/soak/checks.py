"""Checks of the gateway's guarantees on records; each returns its violations."""

from __future__ import annotations

from collections import Counter, defaultdict

from records import RECORD_BYTES, Records, Result, search_body, signature_of

CONFIGURATION_BOUND_S = 3.0
DRAIN_BOUND_S = 3.0
# A fault may still affect a gateway or the store for this time after its end.
SETTLE_TIME_S = 4.0
RECOVERY_S = 4.0
MIN_RECOVERED_FRACTION = 0.95
MAX_CONNECTIONS = 30
TOP_K = 3
MIN_COVERAGE = 0.5
SEARCH_SHARDS = 4
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


def responses_match_requests(records: Records) -> list[str]:
    """Return responses with mismatched, truncated or wrongly merged bodies."""
    found = []
    for result in records.results:
        if result.status != 200:
            continue
        is_valid = search_is_valid if result.kind == "search" else body_is_valid
        if not is_valid(result):
            found.append(f"invalid response body: {result}")
    return found


def body_is_valid(result: Result) -> bool:
    """Return whether the body is from the server that signed the response."""
    if len(result.signatures) != 1:
        return False
    server = result.signatures[0].partition(".")[0]
    signed = signature_of(result.request, server) == result.signatures[0]
    return signed and result.body.startswith(f"{server} {result.request} ".encode())


def search_is_valid(result: Result) -> bool:
    """Return whether the signatures, the missing count and the merged body agree."""
    parts = []
    for signature in result.signatures:
        server, _, request = signature.partition(".")
        if request != result.request:
            return False
        part = search_body(request, server)
        parts += [part[:RECORD_BYTES], part[RECORD_BYTES:]]
    services = {s.partition("-")[0] for s in result.signatures}
    counted = len(result.signatures) + result.missing == SEARCH_SHARDS
    covered = len(result.signatures) >= MIN_COVERAGE * SEARCH_SHARDS
    distinct = len(services) == len(result.signatures)
    body = b"".join(sorted(parts, reverse=True)[:TOP_K])
    return counted and covered and distinct and body == result.body


def statuses_end_requests(records: Records) -> list[str]:
    """Return answers with a status that ends no request."""
    return [
        f"invalid status: {result}"
        for result in records.results
        if not result.detail and not 200 <= result.status < 600
    ]


def executions_match_requests(records: Records) -> list[str]:
    """Return executions of requests not sent, and repeated unsafe executions."""
    found = [
        f"executed but not sent: {run}"
        for run in records.runs
        if records.sent.get(run.request) != f"{run.method} {run.target}"
    ]
    counts = Counter(run.request for run in records.runs if run.method == "POST")
    return found + [f"executed {n} times: {r}" for r, n in counts.items() if n > 1]


def refused_requests_are_not_executed(records: Records) -> list[str]:
    """Return refusals of executed requests and refusals without Retry-After."""
    executed = {run.request for run in records.runs}
    return [
        f"refused but executed, or no Retry-After: {result}"
        for result in records.results
        if result.status in NOT_EXECUTED_STATUSES
        and (result.request in executed or not result.retry_after)
    ]


def overlaps_fault(
    records: Records,
    targets: set[str],
    begin: float,
    end: float,
    kinds: tuple[str, ...] | None = None,
    settle_s: float = SETTLE_TIME_S,
) -> bool:
    """Return whether a fault on a target overlaps a period or ended just before."""
    return any(
        fault.target in targets
        and (kinds is None or fault.kind in kinds)
        and fault.begin <= end
        and fault.end >= begin - settle_s
        for fault in records.injected_faults
    )


def versions_never_regress(records: Records) -> list[str]:
    """Return responses from an older version than an earlier response used."""
    found = []
    by_gateway = defaultdict(list)
    for result in records.results:
        if possible_versions(records, result) and result.starts[0] == result.starts[1]:
            by_gateway[result.gateway, result.starts[0]].append(result)
    for results in by_gateway.values():
        # End time of each response and the oldest version that explains it.
        explained: list[tuple[float, int]] = []
        for result in sorted(results, key=lambda result: result.sent_at):
            before = (v for at, v in explained if at < result.sent_at)
            min_version = max(before, default=0)
            possible = possible_versions(records, result)
            version = min((v for v in possible if v >= min_version), default=None)
            if version is None:
                found.append(
                    f"version in {possible} after version {min_version}: {result}"
                )
            else:
                explained.append((result.ended_at, version))
    return found


def possible_versions(records: Records, result: Result) -> list[int]:
    """Return the versions that may have handled a request of kind "version"."""
    if result.kind != "version" or result.status != 200 or not result.signatures:
        return []
    service = result.signatures[0].partition("-")[0]
    return [
        version.number
        for version in records.versions
        if version.service == service and version.at <= result.ended_at
    ]


def versions_are_adopted_in_time(records: Records) -> list[str]:
    """Return responses from an outdated version without a fault to explain it."""
    found = []
    for result in records.results:
        version = max(possible_versions(records, result), default=None)
        if version is None:
            continue
        due = [
            v.number
            for v in records.versions
            if v.at + CONFIGURATION_BOUND_S < result.sent_at
        ]
        targets = {"", result.gateway}
        begin = result.sent_at - CONFIGURATION_BOUND_S
        if (
            due
            and max(due) > version
            and not overlaps_fault(records, targets, begin, result.ended_at)
        ):
            found.append(f"version {version} instead of {max(due)}: {result}")
    return found


def drained_servers_receive_no_requests(records: Records) -> list[str]:
    """Return executions on a backend server after its drain bound."""
    drained_at = {drain.server: drain.at for drain in records.drains}
    gateways = {result.request: result.gateway for result in records.results}
    return [
        f"{run.at - drained_at[run.server]:.1f} s after the drain: {run}"
        for run in records.runs
        if run.server in drained_at
        and run.at > drained_at[run.server] + DRAIN_BOUND_S
        and not overlaps_fault(
            records, {"", gateways.get(run.request, "")}, drained_at[run.server], run.at
        )
    ]


def graceful_stops_lose_no_responses(records: Records) -> list[str]:
    """Return broken connections that a kill or a pause does not explain."""
    executed = {run.request for run in records.runs}
    return [
        f"lost: {result}"
        for result in records.results
        if result.status == 0
        and result.request in executed
        and not overlaps_fault(
            records,
            {result.gateway},
            result.sent_at,
            result.ended_at,
            ("killed", "paused"),
            settle_s=0.0,
        )
    ]


def connection_limits_hold(records: Records) -> list[str]:
    """Return backend servers with more connections than their limit."""
    return [
        f"{most} connections at {server}"
        for server, most in records.connections.items()
        if most > MAX_CONNECTIONS
    ]


def service_recovers(records: Records) -> list[str]:
    """Return a violation if too many requests fail after the recovery time."""
    after_recovery = [
        r for r in records.results if r.sent_at > records.faults_ended_at + RECOVERY_S
    ]
    served = [r for r in after_recovery if r.status == 200]
    if not after_recovery:
        return ["no request was sent after the recovery time"]
    if len(served) >= MIN_RECOVERED_FRACTION * len(after_recovery):
        return []
    failed = [r for r in after_recovery if r.status != 200]
    return [
        f"{len(failed)} of {len(after_recovery)} failed after recovery: {failed[0]}"
    ]


def processes_have_no_faults(records: Records) -> list[str]:
    """Return unexpected process exits and logged internal faults."""
    return records.faults


CHECKS = (
    processes_have_no_faults,
    responses_match_requests,
    statuses_end_requests,
    executions_match_requests,
    refused_requests_are_not_executed,
    versions_never_regress,
    versions_are_adopted_in_time,
    drained_servers_receive_no_requests,
    graceful_stops_lose_no_responses,
    connection_limits_hold,
    service_recovers,
)


def violations(records: Records) -> list[str]:
    """Run all checks; return their violations, prefixed with the check's name."""
    return [
        f"{check.__name__}: {found}" for check in CHECKS for found in check(records)
    ]
