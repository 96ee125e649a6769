"""Prints the tables, or writes them into docs/CAPACITY.md: `python -m bench.capacity --write`."""

from __future__ import annotations

import argparse
from pathlib import Path

from bench.capacity.tables import render

PAGE = Path("docs/CAPACITY.md")
BEGIN = "<!-- tables -->\n"
END = "<!-- end of tables -->\n"


def main() -> None:
    """Print the tables or write them into the page."""
    parser = argparse.ArgumentParser(prog="script/capacity")
    parser.add_argument("--write", action="store_true", help="write into docs/CAPACITY.md")
    if not parser.parse_args().write:
        print(render())
        return
    text = PAGE.read_text(encoding="utf-8")
    head, _, rest = text.partition(BEGIN)
    _, _, tail = rest.partition(END)
    PAGE.write_text(f"{head}{BEGIN}\n{render()}\n{END}{tail}", encoding="utf-8")


if __name__ == "__main__":
    main()
