"""Run one registered stand-in until SIGTERM, at which it drains and exits."""

import asyncio
import signal

import fire

from damsonlane_bench.registered._target import (
    LEAVING_SIGNAL,
    LIMIT_END_SIGNAL,
    LIMIT_SIGNAL,
    REST_SIGNAL,
    Kind,
    RegisteredTarget,
)


async def _run(service: str, kind: Kind, address: str, registries: list[str]) -> None:
    target = RegisteredTarget(service, kind, address, registries)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(REST_SIGNAL, target.request_backoff)
    loop.add_signal_handler(LEAVING_SIGNAL, target.announce_draining)
    loop.add_signal_handler(LIMIT_SIGNAL, target.announce_next_rate_limit)
    loop.add_signal_handler(LIMIT_END_SIGNAL, target.end_rate_limit)
    await target.start()
    await stop_requested.wait()
    await target.drain()


def run(service: str, kind: Kind, address: str, registries: str) -> None:
    """Run a stand-in.

    Args:
        service: name of its service.
        kind: plain, engine or pool.
        address: IP address and port at which it listens.
        registries: addresses of control replicas for heartbeats, separated by semicolons.
    """
    asyncio.run(_run(service, kind, address, registries.split(";")))


if __name__ == "__main__":
    fire.Fire(run)
