"""The finding and its place."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Place:
    """Where a finding lies."""

    #: Path into the document, segments joined by ``/``; empty for the whole document.
    path: str
    #: Name of the file, or an empty string when the text came by another way.
    file: str = ""
    #: Line, counted from 1; 0 when unknown.
    line: int = 0
    #: Column, counted from 1; 0 when unknown.
    column: int = 0

    def render(self) -> str:
        """Return the place as ``file:line:column path``, leaving out what is unknown."""
        position = f":{self.line}:{self.column}" if self.line else ""
        where = f"{self.file}{position}" if self.file else position.lstrip(":")
        return " ".join(part for part in (where, self.path or "/") if part)


@dataclass(frozen=True, kw_only=True)
class Finding:
    """One fault, said so that the reader knows what to do."""

    #: Where the fault lies.
    place: Place
    #: What is wrong and what to do about it.
    message: str

    def render(self) -> str:
        """Return the finding as one line."""
        return f"{self.place.render()}: {self.message}"
