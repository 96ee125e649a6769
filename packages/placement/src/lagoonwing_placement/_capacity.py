"""Capacity and timing estimates for accelerators, from the engine's published figures."""

from __future__ import annotations

from lagoonwing_catalog.models import Accelerator, Engine, LayerRange
from lagoonwing_placement.const import (
    BYTES_PER_MB,
    MIN_KV_SHARE,
    MIN_RESIDENT_REQUESTS,
)


def kv_token_layers(engine: Engine, accelerator: Accelerator, layer_count: int) -> float:
    """Return the KV cache left beside the given number of layers, in token-layers."""
    free_mb = accelerator.memory_mb - layer_count * engine.layer_mb
    return max(0.0, free_mb * BYTES_PER_MB / (engine.kv_bytes_per_token / engine.layer_count))


def resident_tokens(engine: Engine, accelerator: Accelerator, layer_count: int) -> float:
    """Return the tokens that fit into the KV cache if requests use all layers held."""
    return kv_token_layers(engine, accelerator, layer_count) / layer_count


def max_layers(engine: Engine, accelerator: Accelerator) -> int:
    """Return the maximum number of layers that still leaves the minimum KV cache."""
    typical_tokens = engine.mean_prompt_tokens + engine.mean_output_tokens
    by_share = int(accelerator.memory_mb * (1 - MIN_KV_SHARE) / engine.layer_mb)
    for count in range(min(by_share, engine.layer_count), 0, -1):
        if resident_tokens(engine, accelerator, count) >= MIN_RESIDENT_REQUESTS * typical_tokens:
            return count
    return 0


def prefill_ms(engine: Engine, accelerator: Accelerator, tokens: int, layer_count: int) -> float:
    """Return the prefill time of a prompt through the given number of layers."""
    layer_share = layer_count / engine.layer_count
    return tokens / engine.prefill_tokens_per_s * 1_000 * accelerator.prefill_factor * layer_share


def step_ms(
    engine: Engine,
    accelerator: Accelerator,
    layer_count: int,
    sequences: int,
    context_tokens: float,
) -> float:
    """Return the duration of one decoding step.

    Args:
        engine: Published figures of the engine.
        accelerator: Published figures of the accelerator kind.
        layer_count: Number of layers that the step runs.
        sequences: Number of requests in the batch.
        context_tokens: Total context tokens of these requests.
    """
    base_ms = engine.step_ms + engine.per_sequence_ms * sequences
    base_ms += engine.context_ms_per_k * context_tokens / 1_000
    return base_ms * accelerator.step_factor * layer_count / engine.layer_count


def load_s(engine: Engine, new_layer_count: int) -> float:
    """Return the time to load the given number of layers at full speed."""
    return engine.load_s * new_layer_count / engine.layer_count


def transfer_ms(engine: Engine, tokens: int) -> float:
    """Return the time to transfer the activations of tokens over a link between domains."""
    if engine.link_mbps <= 0:
        return 0.0
    return tokens * engine.activation_bytes * 8 / (engine.link_mbps * 1_000)


def new_layer_count(held: LayerRange | None, wanted: LayerRange) -> int:
    """Return the number of layers that an endpoint must load for an order."""
    if held is None:
        return wanted.count
    common = min(held.end, wanted.end) - max(held.first, wanted.first)
    return wanted.count - max(0, common)
