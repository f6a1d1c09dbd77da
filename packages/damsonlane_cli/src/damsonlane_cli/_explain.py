"""``damsonlane explain``: one request's log lines from all boxes, in order."""

import json
import sys
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from damsonlane_cli._context import EXIT_INPUT, fail

#: Fields that every line has, or that name what the reader asked for.
_COMMON: Final = frozenset({"time", "level", "logger", "message", "box", "role", "request"})
#: What an outcome means and where to look next, by its beginning.
_OUTCOMES: Final = (
    ("answered", "the target's answer reached the caller; compare seconds with aim_seconds"),
    ("target-failed", "the target itself answered with a failure; see its own logs"),
    ("cut", "the answer broke off after it had begun; see the last 'sent' and its target"),
    ("caller-gone", "the caller closed its connection before its answer was whole"),
    ("refused-502", "a target took the request and gave no answer: it may have run there"),
    ("refused-503", "it has not run; the line of its stage or target says why"),
    ("refused-504", "the deadline came while a target had it: it may have run there"),
)


@dataclass(frozen=True, kw_only=True)
class LogLine:
    """One line of a log."""

    #: When it was written, by the box's own clock.
    time: str
    #: The box.
    box: str
    #: What happened.
    message: str
    #: Everything else that it says.
    fields: dict[str, Any]

    def render(self) -> str:
        """Return the line as a person reads it."""
        told = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.time}  {self.box}  {self.message}  {told}".rstrip()


def read_lines(texts: Iterable[str], request: str) -> Iterator[LogLine]:
    """Yield the lines of a request; what is no line of a log is passed over."""
    for text in texts:
        if request not in text:
            continue
        start = text.find("{")
        try:
            value = json.loads(text[start:]) if start >= 0 else None
        except ValueError:
            continue
        if isinstance(value, dict) and value.get("request") == request:
            yield LogLine(
                time=str(value.get("time", "")),
                box=str(value.get("box", "")),
                message=str(value.get("message", "")),
                fields={name: item for name, item in value.items() if name not in _COMMON},
            )


def explain_outcome(outcome: str) -> str:
    """Return what an outcome means."""
    for beginning, meaning in _OUTCOMES:
        if outcome.startswith(beginning):
            return meaning
    return "an outcome that this program does not know"


def explain(request: str, *files: str) -> None:
    """Show what became of a request, from the log files of all boxes.

    Args:
        request: its id.
        files: log files; standard input when none is named.
    """
    lines = sorted(_read_files(str(request), files), key=lambda line: line.time)
    if not lines:
        fail(f"no line names the request {request}; give the logs of all entries", EXIT_INPUT)
    for line in lines:
        print(line.render())
    for line in lines:
        if line.message == "ended":
            print(f"ended at {line.box}: {explain_outcome(str(line.fields.get('outcome', '')))}")
    if not any(line.message in ("ended", "refused") for line in lines):
        print("no entry logged its end: the process was lost while it had the request")


def _read_files(request: str, files: Sequence[str]) -> list[LogLine]:
    if not files:
        return list(read_lines(sys.stdin, request))
    found: list[LogLine] = []
    for name in files:
        try:
            with Path(name).open(encoding="utf-8", errors="replace") as file:
                found.extend(read_lines(file, request))
        except OSError as error:
            fail(f"{name}: {error.strerror}", EXIT_INPUT)
    return found
