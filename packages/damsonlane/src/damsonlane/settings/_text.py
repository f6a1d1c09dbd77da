"""Parsing of JSON with comments, and lookup of the line of a path."""

import re
from typing import TYPE_CHECKING, Final

from pydantic import JsonValue

from damsonlane.errors import SettingsError
from damsonlane.findings import Finding, Place
from damsonlane.records import dataclass

if TYPE_CHECKING:
    import json_source_map.types

_STRING_OR_COMMENT: Final = re.compile(r'"(?:\\.|[^"\\])*"|//[^\n]*|/\*.*?\*/', re.DOTALL)


@dataclass(frozen=True, kw_only=True)
class Document:
    """A parsed document together with its source text."""

    #: The parsed value.
    value: JsonValue
    #: The text as written, comments included.
    text: str
    #: Name of the file, or an empty string.
    file: str = ""

    def place(self, path: str) -> Place:
        """Return the place of the value at ``path``, or of its nearest parent in the text."""
        located = _locate(self.text, path)
        if located is None:
            return Place(path=path, file=self.file)
        return Place(path=path, file=self.file, line=located.line + 1, column=located.column + 1)


def read_document(text: str, file: str = "") -> Document:
    """Parse JSON with comments.

    Args:
        text: the document.
        file: name of the file for findings.

    Returns:
        The document with its text.

    Raises:
        SettingsError: the text is not JSON with comments; carries line and column.
    """
    # Imported here: a box with settings in another format reads none of these documents.
    import pyjson5

    try:
        value = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        raise SettingsError([_describe_syntax(text, file, error)]) from None
    return Document(value=value, text=text, file=file)


def _describe_syntax(text: str, file: str, error: Exception) -> Finding:
    message = str(error.args[0]) if error.args else "not JSON"
    found = re.search(r"near (\d+)", message)
    offset = min(int(found.group(1)), len(text)) if found else len(text)
    line = text.count("\n", 0, offset) + 1
    column = offset - (text.rfind("\n", 0, offset) + 1) + 1
    place = Place(path="", file=file, line=line, column=column)
    return Finding(place=place, message=f"not JSON with comments: {message}")


def _locate(text: str, path: str) -> "json_source_map.types.Location | None":
    # Imported here: only faulty documents need it.
    import json_source_map

    try:
        entries = json_source_map.calculate(_blank_comments(text))
    except (ValueError, RecursionError):
        return None
    while path and path not in entries:
        path = path.rpartition("/")[0]
    entry = entries[path]
    return entry.key_start or entry.value_start


def _blank_comments(text: str) -> str:
    """Replace comments by spaces; all other characters keep their positions."""

    def blank(match: re.Match[str]) -> str:
        found = match.group()
        return found if found.startswith('"') else re.sub(r"[^\n]", " ", found)

    return _STRING_OR_COMMENT.sub(blank, text)
