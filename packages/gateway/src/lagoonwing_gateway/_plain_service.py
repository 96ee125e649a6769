"""Services without an engine over layers: each endpoint runs whole requests by itself.

Their streams take the same way as those over layers. To the choice of a path, such a service is a
model of one layer that every endpoint holds.
"""

from __future__ import annotations

from lagoonwing_catalog.models import Accelerator, EndpointRecord, Engine, LayerRange, Service
from lagoonwing_core.ids import AcceleratorKind
from lagoonwing_gateway.const import CALL_OVERLOAD_FACTOR
from lagoonwing_placement import Holder, RequestSize

# Memory is not what limits such an endpoint; its slots are.
_UNLIMITED_MB = 1_000_000.0
# Cost of each stream at an endpoint, so that one in another failure domain is chosen where the
# near ones have several more.
_STREAM_COST_MS = 500.0

# Nothing is known of the size of such requests.
PLAIN_REQUEST_SIZE = RequestSize(1, 1)

_ACCELERATOR = Accelerator(
    kind=AcceleratorKind("plain"), memory_mb=_UNLIMITED_MB, step_factor=1.0, prefill_factor=1.0
)

PLAIN_ENGINE = Engine(
    slots=1,
    kv_bytes_per_token=1.0,
    layer_count=1,
    layer_mb=0.0,
    step_ms=0.0,
    per_sequence_ms=_STREAM_COST_MS,
    context_ms_per_k=0.0,
    prefill_tokens_per_s=1_000_000.0,
    activation_bytes=0.0,
    link_mbps=0.0,
    steps_per_pass=1,
    load_s=0.0,
    loads_at_once=1,
    mean_prompt_tokens=PLAIN_REQUEST_SIZE.prompt_tokens,
    mean_output_tokens=PLAIN_REQUEST_SIZE.output_tokens,
    model_ids=(),
    accelerators=(_ACCELERATOR,),
)


def layered_engine(service: Service) -> Engine | None:
    """Return the figures of a service whose model is split into layers; None for any other."""
    engine = service.engine
    return engine if engine is not None and engine.layer_count else None


def plain_holder(record: EndpointRecord) -> Holder:
    """Return an endpoint of such a service as the holder of its only layer."""
    return Holder(
        record.endpoint_id,
        record.failure_domain,
        _ACCELERATOR,
        LayerRange(0, PLAIN_ENGINE.layer_count),
        round(record.slots * CALL_OVERLOAD_FACTOR),
    )
