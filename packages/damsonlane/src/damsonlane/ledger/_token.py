"""Tokens of claims, which identify the process that holds the claim."""

from typing import Final

from damsonlane.records import dataclass

_SEPARATOR: Final = "/"


@dataclass(frozen=True, kw_only=True)
class Holder:
    """The process that holds a claim."""

    #: Name of its box.
    box: str
    #: Its incarnation.
    incarnation: str

    def make_token(self, nonce: str) -> str:
        """Return a token for one handling of a request through this process."""
        return _SEPARATOR.join((self.box, self.incarnation, nonce))


def read_holder(token: str) -> Holder | None:
    """Return the holder that a token identifies, or None if it has another format."""
    parts = token.split(_SEPARATOR)
    if len(parts) != 3:
        return None
    return Holder(box=parts[0], incarnation=parts[1])
