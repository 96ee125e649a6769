"""Sizes of the messages between gateways and registries: `python -m bench.gateway_messages`."""

from __future__ import annotations

import msgspec

from lagoonwing_catalog.messages import Delta, EndpointLoad, LoadSummary
from lagoonwing_catalog.models import EndpointRecord, EndpointState, LayerRange
from lagoonwing_core.ids import (
    AcceleratorKind,
    EndpointId,
    FailureDomainId,
    Revision,
    ServiceId,
)
from lagoonwing_registry.const import PUSH_INTERVAL_S

SIZES = (33, 86, 150, 300)


def _record(number: int) -> EndpointRecord:
    """Return the record of an engine."""
    return EndpointRecord(
        EndpointId(f"i-{number:010x}"),
        ServiceId("engines"),
        "10.128.0.9",
        8080,
        FailureDomainId("domain-a"),
        96,
        EndpointState.READY,
        1_796_369_334_000,
        12,
        AcceleratorKind("l40s"),
        LayerRange(20, 30),
        Revision(number),
    )


def main() -> None:
    """Print a table row for each number of endpoints."""
    encode = msgspec.msgpack.Encoder().encode
    print("| endpoints | loads bytes | loads B/s | one change bytes | all records bytes |")
    print("|---|---|---|---|---|")
    for count in SIZES:
        records = tuple(_record(number) for number in range(count))
        loads = {item.endpoint_id: EndpointLoad(12, 120_000, 40) for item in records}
        summary_bytes = len(encode(LoadSummary(loads)))
        delta_bytes = len(encode(Delta(Revision(9), False, None, records[:1])))
        snapshot_bytes = len(encode(Delta(Revision(9), True, None, records)))
        per_s = summary_bytes / PUSH_INTERVAL_S
        print(f"| {count} | {summary_bytes} | {per_s:.0f} | {delta_bytes} | {snapshot_bytes} |")


if __name__ == "__main__":
    main()
