"""Typed inputs and outputs of layer placement and path selection."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from lagoonwing_catalog.models import Accelerator, LayerRange
from lagoonwing_core.ids import AcceleratorKind, EndpointId, FailureDomainId
from lagoonwing_placement.const import OUTPUT_RESERVE_FACTOR


@dataclass(frozen=True, slots=True)
class PlacementEndpoint:
    """An endpoint that can hold model layers.

    Attributes:
        held: Layers it currently holds, if any.
        pending: Layers it has been ordered to load but doesn't report yet, if any.
    """

    endpoint_id: EndpointId
    failure_domain: FailureDomainId
    accelerator: Accelerator
    held: LayerRange | None = None
    pending: LayerRange | None = None

    @property
    def target(self) -> LayerRange | None:
        """Layers it will hold once all pending orders are complete."""
        return self.pending or self.held


@dataclass(frozen=True, slots=True)
class PartitionLayout:
    """Partition of the model into blocks, and the number of blocks per accelerator kind.

    Attributes:
        boundaries: First layer of each block, followed by the end of the last block.
        blocks_by_kind: Number of consecutive blocks that an endpoint of each kind holds.
    """

    boundaries: tuple[int, ...]
    blocks_by_kind: Mapping[AcceleratorKind, int]

    @property
    def block_count(self) -> int:
        """Number of blocks."""
        return len(self.boundaries) - 1

    def layers(self, first_block: int, count: int) -> LayerRange:
        """Return the layers of consecutive blocks."""
        return LayerRange(self.boundaries[first_block], self.boundaries[first_block + count])


class OrderReason(Enum):
    """Why an endpoint is ordered to change its layers."""

    EMPTY = "empty"
    HOLE = "hole"
    GROW = "grow"
    SHRINK = "shrink"


@dataclass(frozen=True, slots=True)
class PlacementOrder:
    """An order to an endpoint to hold the given layers.

    Attributes:
        load_s: Time to load the new layers at full speed.
    """

    endpoint_id: EndpointId
    layers: LayerRange
    load_s: float
    reason: OrderReason


@dataclass(frozen=True, slots=True)
class RequestSize:
    """Size of a generation request.

    Attributes:
        prompt_tokens: Tokens in the prompt.
        output_tokens: Expected number of generated tokens.
        output_limit: Maximum number of generated tokens; None if `output_tokens` is reserved as is.
    """

    prompt_tokens: int
    output_tokens: int
    output_limit: int | None = None

    @classmethod
    def from_hint(cls, prompt_tokens: int, output_limit: int, hint: int | None) -> RequestSize:
        """Return the size of a request; a hint is a better estimate than the limit."""
        if hint is None or not 0 <= hint < output_limit:
            return cls(prompt_tokens, output_limit)
        return cls(prompt_tokens, hint, output_limit)

    @property
    def tokens(self) -> int:
        """Tokens to reserve in the KV cache."""
        if self.output_limit is None:
            return self.prompt_tokens + self.output_tokens
        reserved = math.ceil(self.output_tokens * OUTPUT_RESERVE_FACTOR)
        return self.prompt_tokens + min(reserved, self.output_limit)


@dataclass(frozen=True, slots=True)
class PathSegment:
    """Layers that one endpoint on a path runs for a request."""

    endpoint_id: EndpointId
    layers: LayerRange


@dataclass(frozen=True, slots=True)
class DomainLink:
    """One direction of a link between two failure domains, shared by all paths that use it."""

    source: FailureDomainId
    target: FailureDomainId


@dataclass(frozen=True, slots=True)
class Backlogs:
    """Expected difference between the current load and what gateways have reported.

    Attributes:
        prefill_ms_by_id: Prefill time queued at each endpoint, less what has been done since.
        transfer_ms_by_link: Transfer time of prompt activations queued on each link.
        sequences_by_id: Requests at each endpoint, for the choice among those that are alike;
            negative at one that is chosen although others have less load.
    """

    prefill_ms_by_id: Mapping[EndpointId, float] = field(default_factory=dict)
    transfer_ms_by_link: Mapping[DomainLink, float] = field(default_factory=dict)
    sequences_by_id: Mapping[EndpointId, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Path:
    """Endpoints that together run all layers of a request, in order.

    Attributes:
        cost_ms: Weighted estimate of the request's own time and the delay it causes to others.
        first_token_ms: Estimated time to first token.
        links: Links between failure domains that the path uses, in order.
        pause_ms: Estimated pause between two events.
    """

    segments: tuple[PathSegment, ...]
    cost_ms: float
    first_token_ms: float
    links: tuple[DomainLink, ...] = ()
    pause_ms: float = 0.0
