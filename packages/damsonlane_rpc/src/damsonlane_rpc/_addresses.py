"""Addresses of the form ``host:port``."""

from damsonlane.records import dataclass


@dataclass(frozen=True, kw_only=True)
class Endpoint:
    """An IP address and a port."""

    #: IP address, without brackets.
    host: str
    #: TCP port.
    port: int

    @classmethod
    def parse(cls, address: str) -> "Endpoint":
        """Return the endpoint written as ``host:port``; IPv6 addresses stand in brackets."""
        host, _, port = address.rpartition(":")
        return cls(host=host.strip("[]"), port=int(port))
