"""Parser for JSON with comments that records the line of each key."""

from __future__ import annotations

import ast
from typing import Any

from expression import Error, Ok, Result
from lark import Lark, Token, Tree, UnexpectedInput
from lark.exceptions import UnexpectedCharacters, UnexpectedToken

from lagoonwing_core.settings._parsed import KeyPath, ParsedSettings, dotted_path
from lagoonwing_core.settings.errors import SettingsError

_GRAMMAR = r"""
    start: _value
    _value: object | array | string | number | true | false | null
    object: "{" [pair ("," pair)* ","?] "}"
    pair: ESCAPED_STRING ":" _value
    array: "[" [_value ("," _value)* ","?] "]"
    string: ESCAPED_STRING
    number: SIGNED_NUMBER
    true: "true"
    false: "false"
    null: "null"
    COMMENT: /\/\/[^\n]*/ | /\/\*(.|\n)*?\*\//
    %import common.ESCAPED_STRING
    %import common.SIGNED_NUMBER
    %import common.WS
    %ignore WS
    %ignore COMMENT
"""

_PARSER = Lark(_GRAMMAR, parser="lalr", propagate_positions=True, maybe_placeholders=False)


def parse_settings(file: str, text: str) -> Result[ParsedSettings, SettingsError]:
    """Parse JSON with comments; trailing commas are allowed.

    Args:
        file: Path shown in error messages.
        text: Contents of the file.
    """
    try:
        tree = _PARSER.parse(text)
    except UnexpectedInput as error:
        return Error(_syntax_error(file, text, error))
    parsed = ParsedSettings(file)
    parsed.value = _convert(_as_tree(tree.children[0]), (), parsed)
    return Ok(parsed)


def _syntax_error(file: str, text: str, error: UnexpectedInput) -> SettingsError:
    """Convert a parser error."""
    match error:
        case UnexpectedToken():
            found = repr(str(error.token)) if str(error.token) else "the end of the file"
            allowed = ", ".join(sorted(error.accepts or error.expected))
        case UnexpectedCharacters():
            found = repr(error.char)
            allowed = ", ".join(sorted(error.allowed))
        case _:
            found = "the end of the file"
            allowed = "JSON with comments"
    line = error.line if error.line > 0 else text.count("\n") + 1
    return SettingsError(file, line, "", found, allowed.lower() or "JSON with comments")


def _convert(node: Tree[Token], path: KeyPath, parsed: ParsedSettings) -> Any:
    """Return the Python value of a node and record its line."""
    parsed.line_by_path.setdefault(path, node.meta.line if not node.meta.empty else 1)
    match node.data:
        case "object":
            return _convert_object(node, path, parsed)
        case "array":
            return [
                _convert(_as_tree(child), (*path, index), parsed)
                for index, child in enumerate(node.children)
            ]
        case "string":
            return _parse_string(str(node.children[0]))
        case "number":
            return _parse_number(str(node.children[0]))
        case "true":
            return True
        case "false":
            return False
        case _:
            return None


def _convert_object(node: Tree[Token], path: KeyPath, parsed: ParsedSettings) -> dict[str, Any]:
    """Return an object as a dictionary; duplicate keys are reported as errors."""
    pairs: dict[str, Any] = {}
    for child in node.children:
        pair = _as_tree(child)
        key = _parse_string(str(pair.children[0]))
        line = pair.meta.line
        if key in pairs:
            dotted = dotted_path((*path, key))
            parsed.errors.append(
                SettingsError(parsed.file, line, dotted, "a duplicate key", "each key once")
            )
        parsed.line_by_path[(*path, key)] = line
        pairs[key] = _convert(_as_tree(pair.children[1]), (*path, key), parsed)
    return pairs


def _as_tree(node: Tree[Token] | Token) -> Tree[Token]:
    """Narrow a node to a tree; the grammar produces no tokens in these positions."""
    assert isinstance(node, Tree)
    return node


def _parse_string(text: str) -> str:
    """Return the value of a JSON string."""
    return str(ast.literal_eval(text.replace("\\/", "/")))


def _parse_number(text: str) -> int | float:
    """Return the value of a JSON number."""
    try:
        return int(text)
    except ValueError:
        return float(text)
