"""Allocation of free ports to the processes of a test, without clashes with other tests."""

import random
import socket
from typing import Final

#: Below the ephemeral port range, which the system uses for outgoing connections.
_FIRST: Final = 20_000
_LAST: Final = 32_000
_HOST: Final = "127.0.0.1"

#: UDP sockets bound to the allocated ports, open until this process exits.  They keep tests that
#: run in parallel from allocating the same port before it is used, and leave the TCP port free.
_reservations: Final[dict[int, socket.socket]] = {}


def allocate_address() -> str:
    """Return a loopback address with a free port, and reserve the port for this process."""
    while True:
        port = random.SystemRandom().randint(_FIRST, _LAST)
        if _is_free(port) and reserve_port(port):
            return f"{_HOST}:{port}"


def reserve_port(port: int) -> bool:
    """Reserve a port for this process; return whether it was not reserved yet."""
    reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        reservation.bind((_HOST, port))
    except OSError:
        reservation.close()
        return False
    _reservations[port] = reservation
    return True


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((_HOST, port))
        except OSError:
            return False
        return True
