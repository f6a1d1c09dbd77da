"""Run one registered stand-in until SIGTERM, at which it drains and exits."""

import asyncio
import signal

import fire

from damsonlane_bench.registered_target._target import (
    BACKOFF_SIGNAL,
    DRAINING_SIGNAL,
    RATE_LIMIT_END_SIGNAL,
    RATE_LIMIT_SIGNAL,
    RegisteredTarget,
    TargetKind,
)


async def _run(service: str, kind: TargetKind, address: str, registries: list[str]) -> None:
    target = RegisteredTarget(service, kind, address, registries)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(BACKOFF_SIGNAL, target.request_backoff)
    loop.add_signal_handler(DRAINING_SIGNAL, target.announce_draining)
    loop.add_signal_handler(RATE_LIMIT_SIGNAL, target.announce_next_rate_limit)
    loop.add_signal_handler(RATE_LIMIT_END_SIGNAL, target.end_rate_limit)
    await target.start()
    await stop_requested.wait()
    await target.drain()


def run(service: str, kind: TargetKind, address: str, registries: str) -> None:
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
