"""Run one registered stand-in until SIGTERM, at which it drains and exits."""

import asyncio
import signal
from pathlib import Path

import fire

from damsonlane_bench.registered_target._signals import (
    BACKOFF_SIGNAL,
    DRAINING_SIGNAL,
    IMPLAUSIBLE_LOAD_END_SIGNAL,
    IMPLAUSIBLE_LOAD_SIGNAL,
    RATE_LIMIT_END_SIGNAL,
    RATE_LIMIT_SIGNAL,
    REJECTION_LIMIT_END_SIGNAL,
    REJECTION_LIMIT_SIGNAL,
    SILENCE_END_SIGNAL,
    SILENCE_SIGNAL,
    SLOW_END_SIGNAL,
    SLOW_SIGNAL,
)
from damsonlane_bench.registered_target._target import RegisteredTarget, TargetKind


async def _run(
    service: str,
    kind: TargetKind,
    address: str,
    registries: list[str],
    reports_load: bool,
    senders: str,
    version: str,
    connections: int,
) -> None:
    target = RegisteredTarget(
        service,
        kind,
        address,
        registries,
        reports_load=reports_load,
        senders=Path(senders) if senders else None,
        version=version,
        connections=connections,
    )
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(BACKOFF_SIGNAL, target.request_backoff)
    loop.add_signal_handler(DRAINING_SIGNAL, target.announce_draining)
    loop.add_signal_handler(RATE_LIMIT_SIGNAL, target.announce_next_rate_limit)
    loop.add_signal_handler(RATE_LIMIT_END_SIGNAL, target.end_rate_limit)
    loop.add_signal_handler(SLOW_SIGNAL, target.load.begin_slow_period)
    loop.add_signal_handler(SLOW_END_SIGNAL, target.load.end_slow_period)
    loop.add_signal_handler(IMPLAUSIBLE_LOAD_SIGNAL, target.load.begin_implausible_reports)
    loop.add_signal_handler(IMPLAUSIBLE_LOAD_END_SIGNAL, target.load.end_implausible_reports)
    loop.add_signal_handler(REJECTION_LIMIT_SIGNAL, target.rejections.announce_next)
    loop.add_signal_handler(REJECTION_LIMIT_END_SIGNAL, target.rejections.end)
    loop.add_signal_handler(SILENCE_SIGNAL, target.fall_silent)
    loop.add_signal_handler(SILENCE_END_SIGNAL, target.end_silence)
    await target.start()
    await stop_requested.wait()
    await target.drain()


def run(
    service: str,
    kind: TargetKind,
    address: str,
    registries: str,
    reports_load: bool = False,
    senders: str = "",
    version: str = "",
    connections: int = 0,
) -> None:
    """Run a stand-in.

    Args:
        service: name of its service.
        kind: plain, engine or pool.
        address: IP address and port at which it listens.
        registries: addresses of control replicas for heartbeats, separated by semicolons.
        reports_load: whether responses report its load.
        senders: file that names the processes of entries, and those that are cut off; empty for
            none.
        version: version of its software; empty if it reports none.
        connections: most connections that it takes; 0 for any number.
    """
    asyncio.run(
        _run(
            service,
            kind,
            address,
            registries.split(";"),
            reports_load,
            senders,
            version,
            connections,
        )
    )


if __name__ == "__main__":
    fire.Fire(run)
