"""Proofs, their runs and the report."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path


@dataclass(slots=True)
class Run:
    """One run of a proof.

    Attributes:
        folder: Directory for the data of the processes.
        network: Second and third octet of the run's loopback addresses.
        violations: Descriptions of violated expectations.
        figures: Measured values for the report.
    """

    seed: int
    folder: Path
    network: str
    violations: list[str] = field(default_factory=list)
    figures: dict[str, str] = field(default_factory=dict)

    def expect(self, holds: bool, violation: str) -> None:
        """Record a violation unless the condition holds."""
        if not holds:
            self.violations.append(violation)


@dataclass(frozen=True, slots=True)
class Proof:
    """A guarantee and the scenario that checks it."""

    name: str
    guarantee: str
    async_run: Callable[[Run], Awaitable[None]]


@dataclass(slots=True)
class ProofResult:
    """Runs of one proof."""

    proof: Proof
    runs: list[Run]

    @property
    def violations(self) -> list[str]:
        """Violations of all runs, prefixed with the seed."""
        return [f"seed {run.seed}: {text}" for run in self.runs for text in run.violations]


def render_results(results: list[ProofResult]) -> str:
    """Return a Markdown table of guarantees, seeds, runs and violations."""
    lines = ["guarantee | seeds | runs | violations | measured", "--- | --- | --- | --- | ---"]
    for result in results:
        seeds = ",".join(str(run.seed) for run in result.runs)
        figures = "; ".join(
            f"{name} {value}" for run in result.runs[:1] for name, value in run.figures.items()
        )
        lines.append(
            f"{result.proof.guarantee} ({result.proof.name}) | {seeds} | {len(result.runs)} | "
            f"{len(result.violations)} | {figures}"
        )
    return "\n".join(lines)
