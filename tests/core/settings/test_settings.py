"""Settings validation reports all errors with line, key, found value and accepted values."""

from __future__ import annotations

from pathlib import Path

import pytest

from lagoonwing_core.settings import (
    HostSettings,
    Role,
    SettingsError,
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
    "entry": {"endpoint_key_hashes": ["%s"]}, /* Trailing commas are allowed. */
}
""" % ("0" * 64)


def _errors(text: str) -> list[tuple[int, str, str]]:
    result = check_settings("f", text)
    return [(error.line, error.key, error.found) for error in result.error]


def test_minimal_file_loads_with_defaults() -> None:
    """Omitted settings get their default values."""
    settings = check_settings("f", MINIMAL).ok
    assert isinstance(settings, HostSettings)
    assert (settings.role, settings.peer_port, settings.data_folder) == (Role.ENTRY, 7400, None)
    assert settings.entry is not None
    assert settings.entry.drain_grace_s == 600.0


def test_all_errors_are_reported_together() -> None:
    """Errors of different kinds, in nested objects and in each list entry, are all reported."""
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
    assert _errors(text) == [
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
        (11, "role", "a duplicate key"),
    ]


@pytest.mark.parametrize(
    ("text", "line"),
    [('{"a": 1,, }', 1), ('{\n"a": 1', 2), ("", 1), ("{'a': 1}", 1), ('{"a": 1} x', 1)],
)
def test_syntax_error_reports_its_line(text: str, line: int) -> None:
    """Text that is not JSON with comments gives one error with its line."""
    (error,) = check_settings("f", text).error
    assert error.line == line


@pytest.mark.parametrize("text", ["[]", "3", "null", '"x"'])
def test_top_level_value_must_be_an_object(text: str) -> None:
    """Any other top-level value is rejected."""
    assert check_settings("f", text).error == (SettingsError("f", 1, "", text, "an object"),)


def test_missing_file_is_an_error(tmp_path: Path) -> None:
    """An unreadable file is reported as an error, not raised as an exception."""
    (error,) = load_settings(str(tmp_path / "none.json")).error
    assert error.allowed == "a readable UTF-8 file"


def test_binary_file_is_an_error(tmp_path: Path) -> None:
    """A file that is not UTF-8 is reported as an error, not raised as an exception."""
    path = tmp_path / "binary.json"
    path.write_bytes(b"\xff\xfe\x00")
    assert load_settings(str(path)).error[0].line == 0


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.name)
def test_examples_are_valid(path: Path) -> None:
    """All example settings files are valid."""
    assert load_settings(str(path)).is_ok()


def test_documentation_contains_settings_table() -> None:
    """`docs/SETTINGS.md` contains the table generated from the models."""
    assert render_settings() in (ROOT / "docs" / "SETTINGS.md").read_text(encoding="utf-8")


# Guards against a process that ends at its start, or in the middle of its work, on such a file.
@pytest.mark.parametrize("text", ["[" * 100_000, '{"role": ' * 100_000, '{"seeds": ' + "[" * 9_000])
def test_deeply_nested_file_is_an_error(text: str) -> None:
    """Values that are nested too deeply are reported like any other fault."""
    ((line, _, _),) = _errors(text)
    assert line == 1
    closed = text + "]" * text.count("[") + " 1}" * text.count("{")
    assert _errors(closed)
