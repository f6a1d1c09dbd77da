"""Metrics of a process, rendered by aioprometheus."""

from typing import Final

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry

from damsonlane_rpc import MESSAGE_COUNTERS

#: Upper bounds of the buckets of time histograms, in seconds.
_TIME_BUCKETS: Final = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0]


class Metrics:
    """All metrics of one process, in their own registry."""

    def __init__(self) -> None:
        self.registry: Final = Registry()
        self.requests: Final = Counter(
            "damsonlane_requests_total", "Completed requests.", registry=self.registry
        )
        self.request_seconds: Final = Histogram(
            "damsonlane_request_seconds",
            "Time from arrival to completion, in seconds.",
            buckets=_TIME_BUCKETS,
            registry=self.registry,
        )
        self.attempts: Final = Counter(
            "damsonlane_attempts_total", "Attempts at targets.", registry=self.registry
        )
        self.in_flight: Final = Gauge(
            "damsonlane_in_flight", "Requests that the entry is handling.", registry=self.registry
        )
        self.settings_version: Final = Gauge(
            "damsonlane_settings_version",
            "Version of the settings in force.",
            registry=self.registry,
        )
        self.evacuated_data_centres: Final = Gauge(
            "damsonlane_evacuated_data_centres",
            "Evacuated data centres, whose targets get no new requests.",
            registry=self.registry,
        )
        self.quarantined: Final = Gauge(
            "damsonlane_held_requests",
            "Quarantined requests, which targets do not get since targets exited under them.",
            registry=self.registry,
        )
        self.backing_off: Final = Gauge(
            "damsonlane_backing_off_targets",
            "Targets that requested back-off from this box, or announced that they are draining.",
            registry=self.registry,
        )
        self.rate_limited: Final = Gauge(
            "damsonlane_limited_targets",
            "Targets that announced a rate limit for the requests of all boxes.",
            registry=self.registry,
        )
        self.commit_index: Final = Gauge(
            "damsonlane_commit_index",
            "Index of the last committed log entry.",
            registry=self.registry,
        )
        self.is_leader: Final = Gauge(
            "damsonlane_is_leader", "1 while this replica is the leader.", registry=self.registry
        )

        self.pool_pieces: Final = Counter(
            "damsonlane_pool_pieces_total",
            "Pieces of the stage pools that this box owns, by outcome.",
            registry=self.registry,
        )
        self.pool_call_seconds: Final = Histogram(
            "damsonlane_pool_call_seconds",
            "Duration of calls to targets of the stage pools that this box owns, in seconds.",
            buckets=_TIME_BUCKETS,
            registry=self.registry,
        )
        self.pool_waiting: Final = Gauge(
            "damsonlane_pool_waiting",
            "Queued pieces of the stage pools that this box owns.",
            registry=self.registry,
        )
        self.loop_load: Final = Gauge(
            "damsonlane_loop_load",
            "Share of its time in which the process is busy, or kept waiting by its box.",
            registry=self.registry,
        )
        self.messages: Final = Gauge(
            "damsonlane_rpc_messages", "Messages between boxes.", registry=self.registry
        )
        self.bytes: Final = Gauge(
            "damsonlane_rpc_bytes", "Bytes of messages between boxes.", registry=self.registry
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        # Imported here: it is needed only when metrics are read.
        from aioprometheus.renderer import render

        self.messages.set({"direction": "sent"}, MESSAGE_COUNTERS.messages_sent)
        self.messages.set({"direction": "received"}, MESSAGE_COUNTERS.messages_received)
        self.bytes.set({"direction": "sent"}, MESSAGE_COUNTERS.bytes_sent)
        self.bytes.set({"direction": "received"}, MESSAGE_COUNTERS.bytes_received)
        content, _ = render(self.registry, [])
        return bytes(content)
