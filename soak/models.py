"""What a run of the soak is and what it found."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

from lagoonwing_fakes.platform import Processes
from soak.endpoints import Seen, SoakEndpoint
from soak.proxy import Proxy


@dataclass
class Outcome:
    """Result of one run.

    Attributes:
        violations: Broken promises, in words.
        faults: What was done, in order, for the search for a cause.
    """

    seed: int
    served: int = 0
    asked: int = 0
    served_after: int = 0
    violations: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)

    def note(self, text: str) -> None:
        """Keep what was done."""
        self.faults.append(f"{asyncio.get_running_loop().time():.2f} {text}")


@dataclass
class World:
    """One deployment under the soak.

    Attributes:
        proxies: One in front of each replica.
        drained_at_by_id: When the drain of an endpoint was accepted.
        accepted_version: Highest version of a document that was accepted.
        is_quiet: Whether all faults are over and their effects should be.
    """

    rng: random.Random
    outcome: Outcome
    processes: Processes
    seen: Seen = field(default_factory=Seen)
    proxies: list[Proxy] = field(default_factory=list)
    endpoints: list[SoakEndpoint] = field(default_factory=list)
    drained_at_by_id: dict[str, float] = field(default_factory=dict)
    accepted_version: int = 0
    is_quiet: bool = False
