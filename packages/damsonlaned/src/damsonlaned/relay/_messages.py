"""Requests that one entry passes on to another, and their conversion to and from messages."""

from collections.abc import Sequence
from typing import Final

from damsonlane.records import dataclass
from damsonlane.versions import StreamOrigin
from damsonlane_rpc import RelayPart, RelayRequest, TextHeader
from damsonlaned.http import HeaderList, HttpHead, HttpRequest

#: The encoding of bytes in messages, which are JSON.
_BYTES_ENCODING: Final = "latin-1"


@dataclass(frozen=True, kw_only=True)
class RelayedRequest:
    """A caller's request that one entry passes on to another."""

    #: Name of the box that passes it on.
    box: str
    #: The request as its caller sent it.
    http: HttpRequest
    #: Version of the routing document that it met on its arrival.
    version: int
    #: Seconds since it arrived, with those for which the response will be under way.
    elapsed_seconds: float
    #: Whether its caller has a part of the response.
    is_resumed: bool = False
    #: Id of the last event that its caller has; None if there is none.
    last_event_id: str | None = None
    #: Where the stream began that is resumed, if that is known.
    origin: StreamOrigin | None = None
    #: Targets and entries at which the request may have run before.
    earlier_runs: int = 0

    def encode(self) -> RelayRequest:
        """Return the message."""
        return RelayRequest(
            box=self.box,
            version=self.version,
            method=self.http.method,
            target=self.http.target,
            headers=encode_headers(self.http.headers),
            body=encode_body(self.http.body),
            elapsed_seconds=self.elapsed_seconds,
            is_resumed=self.is_resumed,
            last_event_id=self.last_event_id,
            origin=self.origin,
            earlier_runs=self.earlier_runs,
        )

    @classmethod
    def decode(cls, message: RelayRequest) -> "RelayedRequest":
        """Return the request of a message."""
        return cls(
            box=message.box,
            http=HttpRequest(
                method=message.method,
                target=message.target,
                headers=_decode_headers(message.headers),
                body=decode_body(message.body),
            ),
            version=message.version,
            elapsed_seconds=message.elapsed_seconds,
            is_resumed=message.is_resumed,
            last_event_id=message.last_event_id,
            origin=message.origin,
            earlier_runs=message.earlier_runs,
        )


def read_head(part: RelayPart) -> HttpHead:
    """Return the head that a part of a response has."""
    return HttpHead(status=part.status, headers=_decode_headers(part.headers))


def encode_headers(headers: HeaderList) -> tuple[TextHeader, ...]:
    """Return headers as they stand in messages."""
    return tuple(
        TextHeader(name=name.decode(_BYTES_ENCODING), value=value.decode(_BYTES_ENCODING))
        for name, value in headers
    )


def encode_body(data: bytes) -> str:
    """Return a part of a body as it stands in messages."""
    return data.decode(_BYTES_ENCODING)


def decode_body(text: str) -> bytes:
    """Return a part of a body from a message."""
    return text.encode(_BYTES_ENCODING)


def _decode_headers(headers: Sequence[TextHeader]) -> HeaderList:
    return tuple(
        (header.name.encode(_BYTES_ENCODING), header.value.encode(_BYTES_ENCODING))
        for header in headers
    )
