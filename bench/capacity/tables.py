"""Estimates the load of each role at the target size."""

from __future__ import annotations

from bench.capacity import const
from bench.capacity.slopes import Line, Slope, fit, load_slopes

MICROSECONDS_PER_S = 1_000_000.0


def render() -> str:
    """Return every table in Markdown."""
    slopes = load_slopes()
    lines = {name: fit(slope) for name, slope in slopes.items()}
    parts = [_slope_table(slopes, lines), _node_table(), _control_table(lines), _data_table(lines)]
    return "\n".join(parts)


def _slope_table(slopes: dict[str, Slope], lines: dict[str, Line]) -> str:
    """Return the table of slopes with their points and fits."""
    rows = ["| slope | cost | against | points | base | per unit | made by |", "|---" * 7 + "|"]
    for name, slope in slopes.items():
        points = ", ".join(f"{size:g}: {cost:g}" for size, cost in slope.points)
        line = lines[name]
        rows.append(
            f"| {name} | {slope.cost} | {slope.size} | {points} | {line.base:.4g} "
            f"| {line.per_unit:.4g} | `{slope.script}` |"
        )
    return "### Slopes\n\n" + "\n".join(rows) + "\n"


def _node_table() -> str:
    """Return the average load of one node."""
    changes = const.CHANGES_PER_DAY / const.SECONDS_PER_DAY
    values = (
        ("servers a node", const.SERVERS / const.NODES),
        ("accelerators a node", const.ACCELERATORS / const.NODES),
        ("requests/s a node", const.REQUESTS_PER_S / const.NODES),
        ("tokens/s a node", const.TOKENS_PER_S / const.NODES),
        ("nodes a cell", float(const.CELL_NODES)),
        ("cells", const.NODES / const.CELL_NODES),
        ("servers a cell", const.SERVERS / const.NODES * const.CELL_NODES),
        ("changes/s", changes),
        ("claims/s over all", const.REQUESTS_PER_S * const.CLAIMED_SHARE),
    )
    rows = [f"| {name} | {value:.4g} |" for name, value in values]
    return "### A node's part\n\n| value | |\n|---|---|\n" + "\n".join(rows) + "\n"


def _control_table(lines: dict[str, Line]) -> str:
    """Return the control traffic and processor time of one node against the limits."""
    servers = const.SERVERS / const.NODES * const.CELL_NODES
    cells = const.NODES / const.CELL_NODES
    changes = const.CHANGES_PER_DAY / const.SECONDS_PER_DAY
    membership = lines["membership_bytes"].at(servers)
    summaries = lines["summary_bytes"].at(cells)
    follow = lines["follow_bytes_idle"].base + changes * (
        lines["follow_bytes_1"].base - lines["follow_bytes_idle"].base
    )
    member_bytes = membership + follow
    representative_bytes = member_bytes + summaries
    membership_core = lines["membership_core"].at(servers) / 100.0
    revision_core = lines["revision_us"].at(const.MEMBERS) * changes / MICROSECONDS_PER_S
    rows = [
        _row("membership, sent", membership, "B/s", const.LIMIT_BYTES_PER_S),
        _row("following control, received", follow, "B/s", const.LIMIT_BYTES_PER_S),
        _row("both, an ordinary node", member_bytes, "B/s", const.LIMIT_BYTES_PER_S),
        _row(
            "with summaries, a representative", representative_bytes, "B/s", const.LIMIT_BYTES_PER_S
        ),
        _row("membership", membership_core, "core", const.LIMIT_CORE_SHARE),
        _row("new revisions in the scheduler", revision_core, "core", const.LIMIT_CORE_SHARE),
    ]
    head = "| control on one node | value | unit | limit | of the limit |\n|---|---|---|---|---|\n"
    return "### Control on one node\n\n" + head + "\n".join(rows) + "\n"


def _data_table(lines: dict[str, Line]) -> str:
    """Return the processor time of serving on one node; the control limits exclude it."""
    servers = const.SERVERS / const.NODES * const.CELL_NODES
    requests = const.REQUESTS_PER_S / const.NODES
    tokens = const.TOKENS_PER_S / const.NODES
    scheduler = lines["request_us"].at(servers) * requests / MICROSECONDS_PER_S
    relay = lines["relay_core"].at(tokens) / 100.0
    cores = scheduler + relay
    rows = [
        f"| scheduler, {requests:.0f} requests/s | {scheduler:.3f} | cores |",
        f"| relay, {tokens:.0f} tokens/s | {relay:.2f} | cores |",
        f"| entry processes a node at 60% of a core each | {cores / 0.6:.1f} | processes |",
    ]
    head = "| serving on one node | value | unit |\n|---|---|---|\n"
    return "### Serving on one node\n\n" + head + "\n".join(rows) + "\n"


def _row(name: str, value: float, unit: str, limit: float) -> str:
    """Return a table row with a value and its limit."""
    return f"| {name} | {value:.4g} | {unit} | {limit:g} | {value / limit:.0%} |"
