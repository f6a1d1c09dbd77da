"""Addresses as text."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Endpoint:
    """An IP number and a port."""

    #: The IP number, without brackets.
    host: str
    #: The port.
    port: int

    @classmethod
    def parse(cls, address: str) -> "Endpoint":
        """Return the endpoint written as ``number:port``."""
        host, _, port = address.rpartition(":")
        return cls(host=host.strip("[]"), port=int(port))
