"""Probes of targets, which show whether this box reaches them."""

import asyncio
import contextlib
from typing import Final

from damsonlane.reach import ProbeResult
from damsonlane_rpc import Endpoint

#: Connect time-out, in seconds.
CONNECT_SECONDS: Final = 0.2
#: Seconds for which the response to a health check is awaited.
ANSWER_SECONDS: Final = 0.3
#: Seconds for which a connection without a health check is watched: one that a proxy or a firewall
#: accepts in place of the target is reset at once.
RESET_SECONDS: Final = 0.05


async def probe_target(address: str, health_path: str) -> ProbeResult:
    """Connect to a target and request its health.

    Args:
        address: its address.
        health_path: path of its health check; empty if it has none.
    """
    endpoint = Endpoint.parse(address)
    try:
        async with asyncio.timeout(CONNECT_SECONDS):
            reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
    except (TimeoutError, OSError):
        return ProbeResult.FAILED
    try:
        if health_path:
            head = f"GET {health_path} HTTP/1.1\r\nHost: damsonlane\r\nConnection: close\r\n\r\n"
            writer.write(head.encode("latin-1"))
        seconds = ANSWER_SECONDS if health_path else RESET_SECONDS
        async with asyncio.timeout(seconds):
            return ProbeResult.ANSWERED if await reader.read(1) else ProbeResult.FAILED
    except TimeoutError:
        return ProbeResult.CONNECTED
    except OSError:
        return ProbeResult.FAILED
    finally:
        with contextlib.suppress(OSError):
            writer.transport.abort()
