"""Caps that agreements set, by member and dimension."""

from __future__ import annotations

from lagoonwing_control._allotments import CapKey
from lagoonwing_control._state import State
from lagoonwing_control.models import EntityKind
from lagoonwing_core.models import Agreement, CapDimension, EntityState, Member


def caps(state: State) -> dict[CapKey, float]:
    """Return every cap in force; members and agreements that are retired have none to give."""
    cap_by_key: dict[CapKey, float] = {}
    for agreement in state.agreements():
        if agreement.state is EntityState.RETIRED or not _is_active(state, agreement):
            continue
        for dimension, cap in _by_dimension(agreement).items():
            if cap is not None:
                cap_by_key[(agreement.member_id, dimension)] = float(cap)
    return cap_by_key


def _is_active(state: State, agreement: Agreement) -> bool:
    """Return whether an agreement's member is active."""
    member = state.entity(EntityKind.MEMBER, agreement.member_id)
    return isinstance(member, Member) and member.state is EntityState.ACTIVE


def _by_dimension(agreement: Agreement) -> dict[CapDimension, float | None]:
    """Return the caps of one agreement."""
    return {
        CapDimension.CONCURRENCY: agreement.max_concurrency,
        CapDimension.REQUESTS_PER_S: agreement.max_requests_per_s,
        CapDimension.TOKENS_PER_S: agreement.max_tokens_per_s,
    }
