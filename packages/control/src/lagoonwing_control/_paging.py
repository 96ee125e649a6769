"""Pages of the entities, in the order of kind and id."""

from __future__ import annotations

from itertools import islice

from lagoonwing_control._state import State, id_of, kind_of
from lagoonwing_control.models import EntityKind
from lagoonwing_core.models import Entity


def page_of_all(state: State, token: str, limit: int) -> tuple[tuple[Entity, ...], str]:
    """Return one page over all kinds and the token of the next page, empty on the last one.

    Raises:
        ValueError: The token is malformed.
    """
    kind, after = _parse(token)
    entities: list[Entity] = []
    for candidate in EntityKind:
        if candidate < kind:
            continue
        start = after if candidate == kind else ""
        entities.extend(page_of_kind(state, candidate, start, limit - len(entities)))
        if len(entities) >= limit:
            last = entities[-1]
            return tuple(entities), f"{kind_of(last).value}:{id_of(last)}"
    return tuple(entities), ""


def page_of_kind(state: State, kind: EntityKind, after: str, limit: int) -> list[Entity]:
    """Return entities of one kind whose ids follow `after`."""
    table = state.entity_by_id_by_kind[kind]
    ids = islice(table.irange(after, inclusive=(False, True)), max(0, limit))
    return [table[entity_id] for entity_id in ids]


def _parse(token: str) -> tuple[EntityKind, str]:
    """Return kind and id that a token names."""
    if not token:
        return EntityKind.MEMBER, ""
    number, _, entity_id = token.partition(":")
    return EntityKind(int(number)), entity_id
