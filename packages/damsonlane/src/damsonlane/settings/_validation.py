"""Validation of parsed documents against data classes."""

import dataclasses
from collections.abc import Iterator, Mapping, Sequence
from typing import TYPE_CHECKING, Any, Final, TypeVar, get_args, get_type_hints

from pydantic import ConfigDict, JsonValue, TypeAdapter, ValidationError
from pydantic_core import ErrorDetails

from damsonlane.findings import Finding, Place

if TYPE_CHECKING:
    from damsonlane.settings._text import Document

Checked = TypeVar("Checked")

#: Pydantic configuration of every settings class: unknown keys are rejected.
FORBID_UNKNOWN_KEYS: Final = ConfigDict(extra="forbid")

_UNKNOWN_KEYS: Final = frozenset({"unexpected_keyword_argument", "extra_forbidden"})


def check_value(
    value: JsonValue, adapter: TypeAdapter[Checked], shape: type
) -> Checked | tuple[Finding, ...]:
    """Check ``value`` against a data class.

    Args:
        value: the parsed document.
        adapter: the adapter of the data class.
        shape: the data class, whose field names are suggested for unknown keys.

    Returns:
        The typed value, or all findings, without lines and columns; `locate` adds those.
    """
    try:
        return adapter.validate_python(value)
    except ValidationError as error:
        names = sorted(set(_field_names(shape)))
        details = error.errors(include_url=False, include_input=False)
        described = (_describe(detail, names) for detail in details if not _is_sentinel(detail))
        return tuple(dict.fromkeys(described))


def locate(findings: Sequence[Finding], document: "Document") -> tuple[Finding, ...]:
    """Return the findings with their lines and columns in ``document``."""
    return tuple(
        dataclasses.replace(finding, place=document.place(finding.place.path))
        for finding in findings
    )


def _describe(detail: ErrorDetails, names: Sequence[str]) -> Finding:
    segments = [str(segment) for segment in detail["loc"] if not _is_union_tag(segment)]
    place = Place(path="".join(f"/{segment}" for segment in segments))
    if detail["type"] not in _UNKNOWN_KEYS:
        return Finding(place=place, message=detail["msg"])
    # Imported here: only faulty settings need it.
    import difflib

    near = difflib.get_close_matches(segments[-1], names, n=1)
    hint = f"; the nearest known name is '{near[0]}'" if near else ""
    return Finding(place=place, message=f"unknown key '{segments[-1]}'{hint}")


def _is_sentinel(detail: ErrorDetails) -> bool:
    """Return whether an error only reports that a value is not the `Inherit` sentinel."""
    return str(detail["loc"][-1]).startswith("enum[") if detail["loc"] else False


def _is_union_tag(segment: int | str) -> bool:
    """Return whether a segment of a location is a branch of a union, not a key."""
    return isinstance(segment, str) and (
        segment in {"float", "int", "str", "Inherit", "bool"}
        or segment.startswith(("constrained-", "lax-or-strict[", "literal[", "function-"))
    )


def _field_names(shape: Any) -> Iterator[str]:
    if dataclasses.is_dataclass(shape):
        hints: Mapping[str, Any] = get_type_hints(shape)
        for field in dataclasses.fields(shape):
            yield field.name
            yield from _field_names(hints[field.name])
    for argument in get_args(shape):
        yield from _field_names(argument)
