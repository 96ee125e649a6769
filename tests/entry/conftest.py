"""Lets the tests of this folder import its cell of hosts and stand-ins."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
