"""Edits: changes of single values in the settings document."""

import copy
from collections.abc import Sequence
from typing import Literal

from pydantic import JsonValue

from damsonlane.errors import SettingsError
from damsonlane.findings import Finding, Place
from damsonlane.records import dataclass


@dataclass(frozen=True, kw_only=True)
class Edit:
    """A change of one value."""

    #: Path of the value, such as ``/policy/deadline_seconds``; empty for the whole tree.
    path: str
    #: Whether the value is set or removed.
    action: Literal["set", "remove"] = "set"
    #: The new value; unused by ``remove``.
    value: JsonValue = None


def apply_edits(document: JsonValue, edits: Sequence[Edit]) -> JsonValue:
    """Return a changed copy of ``document``.

    Missing parents are created as objects.

    Raises:
        SettingsError: a path is malformed or leads through a value that is not an
            object, or there is no value to remove; carries all findings.
    """
    changed = copy.deepcopy(document)
    findings = []
    for edit in edits:
        if edit.path == "":
            changed = copy.deepcopy(edit.value)
            continue
        error = _apply_edit(changed, edit)
        if error:
            findings.append(Finding(place=Place(path=edit.path), message=error))
    if findings:
        raise SettingsError(findings)
    return changed


def _apply_edit(document: JsonValue, edit: Edit) -> str:
    """Apply one edit in place; return an error message, or an empty string."""
    if not edit.path.startswith("/"):
        return "a path starts with '/'"
    *parents, last = edit.path[1:].split("/")
    inner = document
    for segment in parents:
        if not isinstance(inner, dict):
            return f"'{segment}' is not inside an object"
        inner = inner.setdefault(segment, {})
    if not isinstance(inner, dict):
        return f"'{last}' is not inside an object"
    if edit.action == "set":
        inner[last] = copy.deepcopy(edit.value)
    elif last in inner:
        del inner[last]
    else:
        return "nothing is here to remove"
    return ""
