"""Kinds of requests that the callers of a crowd send."""

from collections.abc import Callable, Mapping
from typing import Final

from damsonlane.records import dataclass
from damsonlane_bench.registered_target._events import EVENT_COUNT


@dataclass(frozen=True, kw_only=True)
class RequestKind:
    """One kind of request."""

    #: Path of the request.
    path: str
    #: Headers besides the usual ones.
    headers: Mapping[str, str]
    #: Returns whether the body of a response with status 200 is complete.
    is_whole: Callable[[bytes], bool]


#: Kinds by name.
KINDS: Final[dict[str, RequestKind]] = {}


def kind(path: str, **headers: str) -> Callable[[Callable[[bytes], bool]], Callable[[bytes], bool]]:
    """Register a kind of request; the decorated function checks the body of its response.

    Args:
        path: path of the request.
        headers: further headers, with underscores for hyphens.
    """

    def register(is_whole: Callable[[bytes], bool]) -> Callable[[bytes], bool]:
        sent = {name.replace("_", "-"): value for name, value in headers.items()}
        KINDS[is_whole.__name__] = RequestKind(path=path, headers=sent, is_whole=is_whole)
        return is_whole

    return register


@kind("/ping/a")
def plain(body: bytes) -> bool:
    """Return whether the response to a request that may be repeated is complete."""
    return body.endswith(b"ok")


@kind("/refund/a")
def once(body: bytes) -> bool:
    """Return whether the response to a request that must run once is complete."""
    return body.endswith(b"ok")


@kind("/chat/a", Damsonlane_Pieces="1,1", Damsonlane_Material_Key="m")
def stream(body: bytes) -> bool:
    """Return whether a stream with stages has its last event."""
    return b"id: %d\n" % EVENT_COUNT in body
