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
    #: Id of the request.
    request: str
    #: The other fields.
    fields: dict[str, Any]

    @property
    def first_attempt(self) -> str:
        """Id of the attempt whose stream the request resumes; empty for other requests."""
        return str(self.fields.get("first_attempt") or "")

    def render(self, *, shows_request: bool = False) -> str:
        """Return the line as text for an operator.

        Args:
            shows_request: whether it begins with the id of the request, after the time.
        """
        rendered = " ".join(f"{name}={value}" for name, value in self.fields.items())
        request = f"{self.request}  " if shows_request else ""
        return f"{self.time}  {request}{self.box}  {self.message}  {rendered}".rstrip()


def read_lines(texts: Iterable[str], request: str) -> Iterator[LogLine]:
    """Yield the log lines of a request, and of those that resume its stream; ignore other text."""
    for text in texts:
        if request not in text:
            continue
        start = text.find("{")
        try:
            value = json.loads(text[start:]) if start >= 0 else None
        except ValueError:
            continue
        if isinstance(value, dict) and request in (value.get("request"), _find_first(value)):
            yield LogLine(
                time=str(value.get("time", "")),
                box=str(value.get("box", "")),
                message=str(value.get("message", "")),
                request=str(value.get("request", "")),
                fields={name: item for name, item in value.items() if name not in _OMITTED_FIELDS},
            )


def _find_first(value: dict[str, Any]) -> str | None:
    """Return the attempt whose stream a log line resumes; None if it resumes none."""
    return value.get("first_attempt") or None


def collect_tries(texts: Sequence[str], request: str) -> list[LogLine]:
    """Return the lines of a request and of all tries of the same stream, sorted by time."""
    own = list(read_lines(texts, request))
    firsts = {line.first_attempt for line in own if line.request == request} - {""}
    first = firsts.pop() if firsts else request
    tries = {first, request, *(line.request for line in read_lines(texts, first))}
    lines = [
        line for name in sorted(tries) for line in read_lines(texts, name) if line.request == name
    ]
    return sorted(lines, key=lambda line: line.time)


def explain_outcome(outcome: str) -> str:
    """Return the meaning of an outcome and where to look next."""
    for prefix, meaning in _OUTCOMES:
        if outcome.startswith(prefix):
            return meaning
    return "an outcome that this program does not know"


def explain(request: str, *files: str) -> None:
    """Show what happened to a request, from the log files of all boxes.

    The tries of a caller to resume a stream are shown as one story.

    Args:
        request: id of the request.
        files: log files; standard input if there are none.
    """
    lines = collect_tries(_read_files(files), str(request))
    if not lines:
        fail(
            f"no log line of the request {request} was found; give the logs of all entries",
            EXIT_INPUT,
        )
    is_resumed = len({line.request for line in lines}) > 1
    for line in lines:
        print(line.render(shows_request=is_resumed))
    for line in lines:
        if line.message == "ended":
            name = f"{line.request} " if is_resumed else ""
            print(
                f"{name}ended at {line.box}: {explain_outcome(str(line.fields.get('outcome', '')))}"
            )
    if not any(line.message in ("ended", "refused") for line in lines):
        print("no entry logged its outcome: the process was lost while it handled the request")


def _read_files(files: Sequence[str]) -> list[str]:
    """Return the lines of log files, or of standard input if there are none."""
    if not files:
        return list(sys.stdin)
    texts: list[str] = []
    for name in files:
        try:
            with Path(name).open(encoding="utf-8", errors="replace") as file:
                texts.extend(file)
        except OSError as error:
            fail(f"{name}: {error.strerror}", EXIT_INPUT)
    return texts
