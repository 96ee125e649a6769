"""Replicas of two builds hold the same state after the same log."""

from __future__ import annotations

import random
import subprocess
from pathlib import Path

import apply_commands
import msgspec
import pytest
from old_build import LAST_LANDING, OLDER_LANDINGS, require_build

from lagoonwing_catalog import (
    decompress_document,
    encode_command,
    find_validation_issues,
    make_stored_document,
)
from lagoonwing_catalog.messages import Command, MarkEndpointLost, PutDocument, PutEndpoint
from lagoonwing_catalog.models import (
    Document,
    EndpointRecord,
    EndpointState,
    LayerRange,
    MemberKeys,
    RequestKind,
    Route,
    Service,
    ServiceWeight,
)
from lagoonwing_core.ids import (
    DocumentVersion,
    EndpointId,
    FailureDomainId,
    MemberId,
    RouteId,
    ServiceId,
)

_COMMANDS = 300
_SERVICES = (Service(ServiceId("s-1"), "/healthz", 8), Service(ServiceId("s-2"), "/healthz", 8))


def _make_document(rng: random.Random) -> Document:
    """Return a document; some are invalid for this build and were not for older ones."""
    routes = tuple(
        Route(
            route_id=RouteId(f"r-{number}"),
            host=rng.choice(("b.example", "B.example", "b.example:80", " b.example", "c.example")),
            path_prefix=rng.choice(("/s/", "/t/", "/s/t/")),
            kind=rng.choice(list(RequestKind)),
            timeout_s=1.0,
            objective_s=0.3,
            priority=1,
            splits=(ServiceWeight(rng.choice(_SERVICES).service_id, 1.0),),
            max_attempts=2,
            is_public=False,
            is_resumable=False,
        )
        for number in range(rng.randrange(4))
    )
    members = (MemberKeys(MemberId("m-1"), ("k",)), MemberKeys(MemberId("m-2"), (" k", "l")))
    return Document(
        DocumentVersion(rng.randrange(20)),
        routes,
        _SERVICES,
        members=members[: rng.randrange(3)] or None,
    )


def _make_record(rng: random.Random) -> EndpointRecord:
    """Return an announcement; ids, addresses and starts often meet those of others."""
    first = rng.randrange(4)
    return EndpointRecord(
        endpoint_id=EndpointId(f"e-{rng.randrange(6)}"),
        service_id=rng.choice(_SERVICES).service_id,
        address=rng.choice(("127.0.0.1", "::ffff:7f00:1")),
        port=8_000 + rng.randrange(5),
        failure_domain=FailureDomainId("d-1"),
        slots=4,
        state=rng.choice(list(EndpointState)),
        started_ms=rng.randrange(4),
        sequence=rng.randrange(10),
        layers=rng.choice((None, LayerRange(first, first + 2))),
    )


def _make_command(rng: random.Random) -> Command:
    """Return a command of the log."""
    match rng.randrange(5):
        case 0:
            document = _make_document(rng)
            return PutDocument(make_stored_document(document, msgspec.json.encode(rng.random())))
        case 1:
            record = _make_record(rng)
            return MarkEndpointLost(record.endpoint_id, record.started_ms, record.sequence)
        case _:
            return PutEndpoint(_make_record(rng))


# Guards against a check or a rule that changes what replicas of a newer build apply, so that two
# replicas of one cluster hold different states while machines are replaced.
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("revision", [LAST_LANDING, *OLDER_LANDINGS])
def test_log_is_applied_alike_by_an_older_build(revision: str, seed: int) -> None:
    """Results and snapshots are the same to the byte after each command."""
    build = require_build(revision)
    rng = random.Random(seed)
    commands = [_make_command(rng) for _ in range(_COMMANDS)]
    stored = [command.stored for command in commands if isinstance(command, PutDocument)]
    documents = [decompress_document(item.compressed_document) for item in stored]
    assert any(find_validation_issues(document) for document in documents)
    encoded = [encode_command(command) for command in commands]
    done = subprocess.run(
        [build.command()[0], str(Path(apply_commands.__file__))],
        env=build.environment(),
        input="\n".join(command.hex() for command in encoded),
        capture_output=True,
        text=True,
        check=True,
    )
    assert done.stdout.splitlines() == list(apply_commands.states_after(encoded))
