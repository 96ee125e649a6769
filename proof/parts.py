"""Registry of the proofs of each part."""

from __future__ import annotations

from proof.control import operators, recovery
from proof.decisions import caps, endpoints, outcomes
from proof.report import Proof

PROOFS_BY_PART: dict[str, tuple[Proof, ...]] = {
    "control": (*operators.PROOFS, *recovery.PROOFS),
    "decisions": (*outcomes.PROOFS, *endpoints.PROOFS, *caps.PROOFS),
}
