"""Promises, their runs and what was violated."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path


@dataclass(slots=True)
class Run:
    """One run of a proof.

    Attributes:
        folder: Folder for the processes of the run.
        network: Second and third number of the run's loopback addresses.
        violations: Sentences that say what did not hold.
        figures: Values seen, for the report.
    """

    seed: int
    folder: Path
    network: str
    violations: list[str] = field(default_factory=list)
    figures: dict[str, str] = field(default_factory=dict)

    def expect(self, holds: bool, violation: str) -> None:
        """Note a violation unless something holds."""
        if not holds:
            self.violations.append(violation)


@dataclass(frozen=True, slots=True)
class Proof:
    """A promise and the trace that tries to break it."""

    name: str
    promise: str
    async_run: Callable[[Run], Awaitable[None]]


@dataclass(slots=True)
class ProofResult:
    """Runs of one proof."""

    proof: Proof
    runs: list[Run]

    @property
    def violations(self) -> list[str]:
        """What did not hold in any run, with its seed."""
        return [f"seed {run.seed}: {text}" for run in self.runs for text in run.violations]


def render_results(results: list[ProofResult]) -> str:
    """Return a table of promises, seeds, runs and violations."""
    lines = ["promise | seeds | runs | violations | seen", "--- | --- | --- | --- | ---"]
    for result in results:
        seeds = ",".join(str(run.seed) for run in result.runs)
        figures = "; ".join(
            f"{name} {value}" for run in result.runs[:1] for name, value in run.figures.items()
        )
        lines.append(
            f"{result.proof.promise} ({result.proof.name}) | {seeds} | {len(result.runs)} | "
            f"{len(result.violations)} | {figures}"
        )
    return "\n".join(lines)
