"""Pagination of entities, ordered by kind and id."""

from __future__ import annotations

from itertools import islice

from lagoonwing_control._state import State, id_of, kind_of
from lagoonwing_control.models import EntityKind
from lagoonwing_core.models import Entity


def page_of_all_kinds(state: State, token: str, limit: int) -> tuple[tuple[Entity, ...], str]:
    """Return one page over all kinds and the next page token, which is empty on the last page.

    Raises:
        ValueError: The token is malformed.
    """
    kind, after_id = _parse_token(token)
    entities: list[Entity] = []
    for candidate in EntityKind:
        if candidate < kind:
            continue
        start = after_id if candidate == kind else ""
        entities.extend(page_of_kind(state, candidate, start, limit - len(entities)))
        if len(entities) >= limit:
            last = entities[-1]
            return tuple(entities), f"{kind_of(last).value}:{id_of(last)}"
    return tuple(entities), ""


def page_of_kind(state: State, kind: EntityKind, after_id: str, limit: int) -> list[Entity]:
    """Return entities of one kind whose ids sort after `after_id`."""
    table = state.entity_by_id_by_kind[kind]
    ids = islice(table.irange(after_id, inclusive=(False, True)), max(0, limit))
    return [table[entity_id] for entity_id in ids]


def _parse_token(token: str) -> tuple[EntityKind, str]:
    """Return the kind and the id encoded in a page token."""
    if not token:
        return EntityKind.MEMBER, ""
    kind_number, _, entity_id = token.partition(":")
    return EntityKind(int(kind_number)), entity_id
