"""Runs one control replica as a process: NUMBER FOLDER ADDRESS ADDRESS ADDRESS."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from control_support import async_start_replica, make_settings_at


async def async_main(number: int, folder: Path, addresses: list[str]) -> None:
    """Serve until the process is killed."""
    await async_start_replica(make_settings_at(addresses)[number], folder=folder)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(async_main(int(sys.argv[1]), Path(sys.argv[2]), sys.argv[3:]))
