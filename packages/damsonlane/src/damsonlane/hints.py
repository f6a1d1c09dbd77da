"""Types of fields in messages that are hints: an invalid value counts as unknown.

Such a value must not make the rest of its message undecodable.
"""

import math
from typing import Annotated, Any

from pydantic import BeforeValidator


def _read_number(value: Any) -> float:
    """Return a number, or NaN for anything else."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return math.nan
    try:
        return float(value)
    except OverflowError:
        return math.inf


def _read_optional_number(value: Any) -> float | None:
    """Return a number, or None for anything else."""
    number = _read_number(value)
    return None if math.isnan(number) else number


def _read_flag(value: Any) -> bool:
    """Return whether a value is true; anything else counts as false."""
    return value is True


def _read_names(value: Any) -> tuple[str, ...]:
    """Return the names in a list; nothing for anything else."""
    if not isinstance(value, list | tuple):
        return ()
    return tuple(item for item in value if isinstance(item, str))


#: A number; NaN for anything else.
NumberHint = Annotated[float, BeforeValidator(_read_number)]
#: A number, or None for anything else.
OptionalNumberHint = Annotated[float | None, BeforeValidator(_read_optional_number)]
#: A flag; false for anything else.
FlagHint = Annotated[bool, BeforeValidator(_read_flag)]
#: Names; none for anything else.
NamesHint = Annotated[tuple[str, ...], BeforeValidator(_read_names)]
