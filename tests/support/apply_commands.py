"""Applies the commands of a log and prints what a replica holds after each: a program of its own.

It runs under the packages of any build; standard input holds one command a line, in hexadecimal.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator

from lagoonwing_catalog import CatalogStateMachine
from lagoonwing_core.ids import LogIndex


def states_after(commands: Iterable[bytes]) -> Iterator[str]:
    """Yield the result of each command and the snapshot after it, in hexadecimal."""
    machine = CatalogStateMachine()
    for index, command in enumerate(commands, 1):
        result = machine.apply(LogIndex(index), command)
        yield f"{result.hex()} {machine.snapshot().hex()}"


if __name__ == "__main__":
    for line in states_after(bytes.fromhex(text) for text in sys.stdin):
        print(line)
