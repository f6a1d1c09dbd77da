"""HTTP requests and responses as data."""

from typing import Final

from damsonlane.records import dataclass

#: Headers in the order and spelling in which they are sent.
HeaderList = tuple[tuple[bytes, bytes], ...]

#: Hop-by-hop headers, which concern one connection only, in lower case.
CONNECTION_HEADERS: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


@dataclass(frozen=True, kw_only=True)
class HttpHead:
    """Status and headers of a response."""

    #: The status code.
    status: int
    #: The headers.
    headers: HeaderList = ()

    def find(self, name: bytes) -> str | None:
        """Return the first value of a header, whose name is given in lower case."""
        return _find(self.headers, name)

    def find_values(self, name: bytes) -> list[str]:
        """Return all values of a header, whose name is given in lower case."""
        return [value.decode("latin-1") for key, value in self.headers if key.lower() == name]


@dataclass(frozen=True, kw_only=True)
class HttpRequest:
    """A request with its complete body."""

    #: The method.
    method: str
    #: Path and query as sent.
    target: str
    #: The headers.
    headers: HeaderList = ()
    #: The body.
    body: bytes = b""

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition("?")[0]

    def find(self, name: bytes) -> str | None:
        """Return the first value of a header, whose name is given in lower case."""
        return _find(self.headers, name)


@dataclass(frozen=True, kw_only=True)
class HttpResponse:
    """A response with its complete body."""

    #: The status code.
    status: int
    #: The headers.
    headers: HeaderList = ()
    #: The body.
    body: bytes = b""


def remove_hop_by_hop(headers: HeaderList) -> HeaderList:
    """Return the headers without the hop-by-hop ones.

    Headers that a ``Connection`` header names are dropped too, and so is the
    length, which each side writes for itself.
    """
    listed = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    dropped = CONNECTION_HEADERS | listed | {b"content-length"}
    return tuple(item for item in headers if item[0].lower() not in dropped)


def _find(headers: HeaderList, name: bytes) -> str | None:
    for key, value in headers:
        if key.lower() == name:
            return value.decode("latin-1")
    return None
