"""Endpoints that are avoided but without which a layer would have no holder."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from lagoonwing_core.ids import EndpointId
from lagoonwing_placement import HolderGroup


def last_holders(
    groups: Iterable[HolderGroup],
    is_usable: Callable[[EndpointId], bool],
    is_last_resort: Callable[[EndpointId], bool],
) -> frozenset[EndpointId]:
    """Return the endpoints that must be used because their layers have no usable holder.

    Args:
        groups: Holders of the layers of a service.
        is_usable: Returns whether an endpoint is not avoided.
        is_last_resort: Returns whether an avoided endpoint may be used if there is no other.
    """
    held: set[int] = set()
    missing: set[int] = set()
    avoided: list[HolderGroup] = []
    for group in groups:
        layers = range(group.layers.first, group.layers.end)
        if any(is_usable(endpoint_id) for endpoint_id in group.endpoint_ids):
            held.update(layers)
        else:
            missing.update(layers)
            avoided.append(group)
    missing -= held
    if not missing:
        return frozenset()
    return frozenset(
        endpoint_id
        for group in avoided
        if not missing.isdisjoint(range(group.layers.first, group.layers.end))
        for endpoint_id in group.endpoint_ids
        if is_last_resort(endpoint_id)
    )
