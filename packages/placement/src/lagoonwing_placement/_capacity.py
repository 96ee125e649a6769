"""What an accelerator can hold and how fast it works, from published figures."""

from __future__ import annotations

from lagoonwing_catalog.models import Accelerator, Engine
from lagoonwing_placement.const import (
    BYTES_PER_MB,
    MIN_KV_SHARE,
    MIN_RESIDENT_REQUESTS,
)


def kv_token_layers(engine: Engine, accelerator: Accelerator, layer_count: int) -> float:
    """Return the KV cache beside a number of layers, in tokens times layers."""
    free_mb = accelerator.memory_mb - layer_count * engine.layer_mb
    return max(0.0, free_mb * BYTES_PER_MB / (engine.kv_bytes_per_token / engine.layer_count))


def resident_tokens(engine: Engine, accelerator: Accelerator, layer_count: int) -> float:
    """Return the tokens that fit into the KV cache when all layers held are used."""
    return kv_token_layers(engine, accelerator, layer_count) / layer_count


def max_layers(engine: Engine, accelerator: Accelerator) -> int:
    """Return the most layers that leave room for the KV cache of some requests."""
    usual_tokens = engine.usual_prompt_tokens + engine.usual_answer_tokens
    by_share = int(accelerator.memory_mb * (1 - MIN_KV_SHARE) / engine.layer_mb)
    for count in range(min(by_share, engine.layer_count), 0, -1):
        if resident_tokens(engine, accelerator, count) >= MIN_RESIDENT_REQUESTS * usual_tokens:
            return count
    return 0


def read_ms(engine: Engine, accelerator: Accelerator, tokens: int, layer_count: int) -> float:
    """Return the time to read a prompt through a number of layers."""
    share = layer_count / engine.layer_count
    return tokens / engine.read_tokens_per_s * 1_000 * accelerator.read_factor * share


def step_ms(
    engine: Engine, accelerator: Accelerator, layer_count: int, sequences: int, context: float
) -> float:
    """Return the time of one decoding step.

    Args:
        engine: Published figures.
        accelerator: Figures of the kind.
        layer_count: Layers that the step runs.
        sequences: Requests in the step.
        context: Tokens of all these requests together.
    """
    base = engine.step_ms + engine.per_sequence_ms * sequences
    base += engine.context_ms_per_k * context / 1_000
    return base * accelerator.step_factor * layer_count / engine.layer_count


def load_s(engine: Engine, new_layers: int) -> float:
    """Return the time to load layers at full speed."""
    return engine.load_s * new_layers / engine.layer_count


def crossing_ms(engine: Engine, tokens: int) -> float:
    """Return the time for which the activations of tokens fill a pipe between domains."""
    if engine.pipe_mbps <= 0:
        return 0.0
    return tokens * engine.activation_bytes * 8 / (engine.pipe_mbps * 1_000)
