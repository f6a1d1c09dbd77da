"""Runs one registered stand-in until SIGTERM, at which it leaves."""

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
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_signal_handler(REST_SIGNAL, target.ask_for_rest)
    loop.add_signal_handler(LEAVING_SIGNAL, target.say_leaving)
    loop.add_signal_handler(LIMIT_SIGNAL, target.name_limit)
    loop.add_signal_handler(LIMIT_END_SIGNAL, target.end_limit)
    await target.start()
    await stopped.wait()
    await target.leave()


def run(service: str, kind: Kind, address: str, registries: str) -> None:
    """Run a stand-in.

    Args:
        service: its service.
        kind: plain, engine or pool.
        address: where it listens.
        registries: addresses of control that take heartbeats, joined by semicolons.
    """
    asyncio.run(_run(service, kind, address, registries.split(";")))


if __name__ == "__main__":
    fire.Fire(run)
