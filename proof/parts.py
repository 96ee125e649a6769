"""Proofs by part."""

from __future__ import annotations

from proof.control import operators, recovery
from proof.report import Proof

PROOFS_BY_PART: dict[str, tuple[Proof, ...]] = {
    "control": (*operators.PROOFS, *recovery.PROOFS),
    "decisions": (),
}
