"""``damsonlane explain``: the log lines of one request from all boxes, sorted by time."""

import json
import sys
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from damsonlane_cli._context import EXIT_INPUT, fail

#: Fields that every line has, and the id of the request, which the operator named.
_OMITTED_FIELDS: Final = frozenset({"time", "level", "logger", "message", "box", "role", "request"})
#: The meaning of an outcome and where to look next, by its prefix.
_OUTCOMES: Final = (
    ("answered", "the target's answer reached the caller; compare seconds with aim_seconds"),
    ("target-failed", "the target itself answered with a failure; see its own logs"),
    ("cut", "the answer broke off after it had begun; see the last 'sent' and its target"),
    ("caller-gone", "the caller closed its connection before the answer was complete"),
    ("refused-502", "a target accepted the request and did not answer: it may have run there"),
    ("refused-503", "it has not run; the log line of its stage or target says why"),
    ("refused-504", "the deadline passed while a target had it: it may have run there"),
)


@dataclass(frozen=True, kw_only=True)
class LogLine:
    """One line of a log."""

    #: When it was written, by the clock of the box.
    time: str
    #: Name of the box.
    box: str
    #: The message.
    message: str
    #: The other fields.
    fields: dict[str, Any]

    def render(self) -> str:
        """Return the line as text for an operator."""
        rendered = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.time}  {self.box}  {self.message}  {rendered}".rstrip()


def read_lines(texts: Iterable[str], request: str) -> Iterator[LogLine]:
    """Yield the log lines of a request; other text is ignored."""
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
                fields={name: item for name, item in value.items() if name not in _OMITTED_FIELDS},
            )


def explain_outcome(outcome: str) -> str:
    """Return the meaning of an outcome and where to look next."""
    for prefix, meaning in _OUTCOMES:
        if outcome.startswith(prefix):
            return meaning
    return "an outcome that this program does not know"


def explain(request: str, *files: str) -> None:
    """Show what happened to a request, from the log files of all boxes.

    Args:
        request: id of the request.
        files: log files; standard input if there are none.
    """
    lines = sorted(_read_files(str(request), files), key=lambda line: line.time)
    if not lines:
        fail(
            f"no log line of the request {request} was found; give the logs of all entries",
            EXIT_INPUT,
        )
    for line in lines:
        print(line.render())
    for line in lines:
        if line.message == "ended":
            print(f"ended at {line.box}: {explain_outcome(str(line.fields.get('outcome', '')))}")
    if not any(line.message in ("ended", "refused") for line in lines):
        print("no entry logged its outcome: the process was lost while it handled the request")


def _read_files(request: str, files: Sequence[str]) -> list[LogLine]:
    if not files:
        return list(read_lines(sys.stdin, request))
    lines: list[LogLine] = []
    for name in files:
        try:
            with Path(name).open(encoding="utf-8", errors="replace") as file:
                lines.extend(read_lines(file, request))
        except OSError as error:
            fail(f"{name}: {error.strerror}", EXIT_INPUT)
    return lines
