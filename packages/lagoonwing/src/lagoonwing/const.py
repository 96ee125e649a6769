"""Constants of the `lagoonwing` binary."""

from __future__ import annotations

VERSION = "0.1.0"

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2

MIN_SYSTEM_KEY_BYTES = 16

# Environment variable with the path of the settings file, if none is given as an argument.
SETTINGS_VARIABLE = "LAGOONWING_CONFIG"
