"""Free loopback addresses for servers of tests."""

import socket


def find_free_address() -> str:
    """Return an address that nothing listens on."""
    return find_free_addresses(1)[0]


def find_free_addresses(count: int) -> list[str]:
    """Return several addresses that nothing listens on, sorted."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    addresses = [f"127.0.0.1:{item.getsockname()[1]}" for item in sockets]
    for item in sockets:
        item.close()
    return sorted(addresses)
