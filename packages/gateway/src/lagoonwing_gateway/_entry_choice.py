"""Where requests enter while endpoints of a failure domain fail together: attempts are few."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Iterator

from lagoonwing_catalog.models import EndpointRecord
from lagoonwing_core.ids import EndpointId, FailureDomainId
from lagoonwing_gateway._suspicions import SuspicionTracker
from lagoonwing_gateway.const import FAILING_SHARE, MIN_FAILED_ENTRIES

EntryCheck = Callable[[EndpointId], bool]


def failing_domains(
    entries: Iterable[EndpointRecord], suspicions: SuspicionTracker
) -> set[FailureDomainId]:
    """Return the failure domains of which several entries failed the last request they got.

    One gateway gives each entry so few requests that the failures of a single one add up slowly.
    """
    known: Counter[FailureDomainId] = Counter()
    failed: Counter[FailureDomainId] = Counter()
    for record in entries:
        has_failed = suspicions.has_failed_last(record.endpoint_id)
        if has_failed is not None:
            known[record.failure_domain] += 1
            failed[record.failure_domain] += has_failed
    return {
        domain
        for domain, count in failed.items()
        if count >= max(MIN_FAILED_ENTRIES, FAILING_SHARE * known[domain])
    }


def entry_checks(
    record_of: Callable[[EndpointId], EndpointRecord | None],
    suspicions: SuspicionTracker,
    domains: set[FailureDomainId],
    may_enter: EntryCheck,
) -> Iterator[EntryCheck]:
    """Yield conditions for the entry of a request, the preferred one first.

    Args:
        record_of: Returns the record of an endpoint.
        suspicions: Failures and successes of the endpoints.
        domains: Failure domains that may fail the request.
        may_enter: Returns whether an endpoint may get the request at all.
    """

    def is_elsewhere(endpoint_id: EndpointId) -> bool:
        record = record_of(endpoint_id)
        return record is not None and record.failure_domain not in domains

    if domains:
        yield lambda endpoint_id: is_elsewhere(endpoint_id) and may_enter(endpoint_id)
        yield lambda endpoint_id: (
            suspicions.has_served_recently(endpoint_id) and may_enter(endpoint_id)
        )
    yield may_enter
