"""Table and plots of the benchmark results."""

from __future__ import annotations

import statistics
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt

from bench.measures.models import FigureRow


def render_table(rows: list[FigureRow]) -> str:
    """Return the Markdown table with medians and ranges over seeds."""
    lines = [
        "| measure | figure | unit | target | product | baseline | target kept |",
        "|---|---|---|---|---|---|---|",
    ]
    for row in rows:
        verdict = {True: "yes", False: "**no**", None: "not run"}[row.meets_target]
        key = row.key
        lines.append(
            f"| {key.measure} | {key.figure} | {key.unit} | {key.better.value} {key.target:g} "
            f"| {_format_range(row.product)} | {_format_range(row.baseline)} | {verdict} |"
        )
    return "\n".join(lines) + "\n"


def _format_range(values: list[float]) -> str:
    """Format the median and, for several values, the range."""
    if not values:
        return "not run"
    median = f"{statistics.median(values):.3g}"
    if len(values) == 1:
        return median
    return f"{median} ({min(values):.3g} to {max(values):.3g})"


def plot_rows(rows: list[FigureRow], folder: Path) -> None:
    """Write one plot per benchmark: product and baseline relative to the target."""
    for measure in dict.fromkeys(row.key.measure for row in rows):
        chosen = [row for row in rows if row.key.measure == measure and row.key.target]
        if chosen:
            _plot(measure, chosen, folder / f"{measure.replace(' ', '_')}.png")


def _plot(measure: str, rows: list[FigureRow], path: Path) -> None:
    """Write the plot of one benchmark."""
    figure, axes = plt.subplots(figsize=(8, 1.2 + 0.8 * len(rows)))
    for position, row in enumerate(rows):
        for offset, values, colour in ((0.2, row.product, "C0"), (-0.2, row.baseline, "C1")):
            finite = [min(value / row.key.target, 10.0) for value in values]
            if finite:
                axes.barh(position + offset, statistics.median(finite), 0.35, color=colour)
                axes.plot(finite, [position + offset] * len(finite), "k.", markersize=4)
    axes.axvline(1.0, color="grey", linestyle="--")
    axes.set_yticks(range(len(rows)), [row.key.figure for row in rows], fontsize=8)
    axes.set_xlabel("value over target (cut at 10); blue: product, orange: baseline")
    axes.set_title(measure)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    plt.close(figure)
