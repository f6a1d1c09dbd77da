"""A finding and its place in a document."""

from damsonlane.records import dataclass


@dataclass(frozen=True, kw_only=True)
class Place:
    """Place of a finding in a document."""

    #: Path in the document, with segments separated by ``/``; empty for the whole document.
    path: str
    #: Name of the file, or an empty string if the document is not from a file.
    file: str = ""
    #: Line, counted from 1; 0 when unknown.
    line: int = 0
    #: Column, counted from 1; 0 when unknown.
    column: int = 0

    def render(self) -> str:
        """Return the place as ``file:line:column path``, without the unknown parts."""
        position = f":{self.line}:{self.column}" if self.line else ""
        location = f"{self.file}{position}" if self.file else position.lstrip(":")
        return " ".join(part for part in (location, self.path or "/") if part)


@dataclass(frozen=True, kw_only=True)
class Finding:
    """A fault in a document, with a message that says how to correct it."""

    #: Place of the fault.
    place: Place
    #: What is wrong and how to correct it.
    message: str

    def render(self) -> str:
        """Return the finding as one line."""
        return f"{self.place.render()}: {self.message}"
