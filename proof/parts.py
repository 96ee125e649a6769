"""Proofs by part."""

from __future__ import annotations

from proof.report import Proof

PROOFS_BY_PART: dict[str, tuple[Proof, ...]] = {"control": (), "decisions": ()}
