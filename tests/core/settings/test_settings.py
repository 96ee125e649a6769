"""Settings files: every fault at once, with line, key, what was found and what is allowed."""

from __future__ import annotations

from pathlib import Path

import pytest

from lagoonwing_core.settings import (
    HostSettings,
    Role,
    SettingsFault,
    check_settings,
    load_settings,
    render_settings,
)

ROOT = Path(__file__).parents[3]
EXAMPLES = sorted((ROOT / "examples").glob("*.json"))

MINIMAL = """{
    // A comment.
    "role": "entry",
    "host_id": "host-1",
    "failure_domain": "domain-a",
    "address": "127.0.0.1",
    "system_key_file": "system.key",
    "replicas": [
        {"host_id": "host-1", "failure_domain": "domain-a", "address": "127.0.0.1"},
    ],
    "entry": {"endpoint_key_hashes": ["%s"]}, /* The last comma is allowed. */
}
""" % ("0" * 64)


def _faults(text: str) -> list[tuple[int, str, str]]:
    result = check_settings("f", text)
    return [(fault.line, fault.key, fault.found) for fault in result.error]


def test_minimal_file_gives_typed_settings() -> None:
    """Defaults fill what a file leaves out."""
    settings = check_settings("f", MINIMAL).ok
    assert isinstance(settings, HostSettings)
    assert (settings.role, settings.peer_port, settings.data_folder) == (Role.ENTRY, 7400, None)
    assert settings.entry is not None
    assert settings.entry.drain_grace_s == 600.0


def test_every_fault_is_given_at_once() -> None:
    """Faults of different kinds, in nested objects and in each entry of a list, all show."""
    text = """{
        "role": "entry",
        "host_id": "a b",
        "unknown": 1,
        "replicas": [
            {"host_id": "r", "failure_domain": "d", "address": "localhost", "port": 0},
            7
        ],
        "entry": {"endpoint_key_hashes": [], "drain_grace_s": -1},
        "data_folder": 3,
        "role": "control"
    }"""
    assert _faults(text) == [
        (1, "address", "nothing"),
        (1, "failure_domain", "nothing"),
        (1, "system_key_file", "nothing"),
        (3, "host_id", '"a b"'),
        (4, "unknown", "an unknown key"),
        (5, "replicas", "a list without this host"),
        (6, "replicas[0].address", '"localhost"'),
        (6, "replicas[0].port", "0"),
        (7, "replicas[1]", "7"),
        (9, "entry.drain_grace_s", "-1"),
        (9, "entry.endpoint_key_hashes", "[]"),
        (10, "data_folder", "3"),
        (11, "control", "nothing"),
        (11, "role", "the key twice"),
    ]


@pytest.mark.parametrize(
    ("text", "line"),
    [('{"a": 1,, }', 1), ('{\n"a": 1', 2), ("", 1), ("{'a': 1}", 1), ('{"a": 1} x', 1)],
)
def test_syntax_fault_names_its_line(text: str, line: int) -> None:
    """A file that isn't JSON with comments gives one fault with its line."""
    (fault,) = check_settings("f", text).error
    assert fault.line == line


@pytest.mark.parametrize("text", ["[]", "3", "null", '"x"'])
def test_settings_are_an_object(text: str) -> None:
    """Anything but an object is refused."""
    assert check_settings("f", text).error == (SettingsFault("f", 1, "", text, "an object"),)


def test_missing_file_is_a_fault(tmp_path: Path) -> None:
    """A file that can't be read is a fault, not an exception."""
    (fault,) = load_settings(str(tmp_path / "none.json")).error
    assert fault.allowed == "a readable UTF-8 file"


def test_binary_file_is_a_fault(tmp_path: Path) -> None:
    """A file that is no text is a fault, not an exception."""
    path = tmp_path / "binary.json"
    path.write_bytes(b"\xff\xfe\x00")
    assert load_settings(str(path)).error[0].line == 0


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.name)
def test_examples_are_valid(path: Path) -> None:
    """Each example of a settings file passes the check."""
    assert load_settings(str(path)).is_ok()


def test_page_holds_the_table_of_the_code() -> None:
    """`docs/SETTINGS.md` holds the table that the models give."""
    assert render_settings() in (ROOT / "docs" / "SETTINGS.md").read_text(encoding="utf-8")
