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
        self.extra_bytes: Final = Counter(
            "damsonlane_extra_bytes_total",
            "Connections closed since a target sent bytes after a whole response, by target.",
            registry=self.registry,
        )
        self.served_late: Final = Counter(
            "damsonlane_served_late_total",
            "Requests served after their latency objective, by route.",
            registry=self.registry,
        )
        self.cannot_end: Final = Counter(
            "damsonlane_cannot_end_total",
            "Requests refused since they can't end before their deadline, by route.",
            registry=self.registry,
        )
        self.resumed_streams: Final = Counter(
            "damsonlane_resumed_streams_total",
            "Streams that callers resume, by how their version was found or why none serves them.",
            registry=self.registry,
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
        self.closed_unread: Final = Counter(
            "damsonlane_closed_unread_total",
            "New connections closed unread, since the box was short of processor time.",
            registry=self.registry,
        )
        self.connections: Final = Gauge(
            "damsonlane_connections",
            "Connections to the target of a service at which most are in use: in use, most that "
            "may be open, and of these the borrowed ones; and the lent ones.",
            registry=self.registry,
        )
        self.connection_shortages: Final = Gauge(
            "damsonlane_connection_shortages",
            "Times that a request found all connections to the targets of a service in use, since "
            "the start.",
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
        self.rejection_limited: Final = Gauge(
            "damsonlane_rejection_limited_targets",
            "Targets that fail if they reject too many requests a second, by their own word.",
            registry=self.registry,
        )
        self.implausible_slowness: Final = Gauge(
            "damsonlane_implausible_slowness",
            "Reports of a slowness by targets that were ignored as implausible, since the start.",
            registry=self.registry,
        )
        self.slow_engines: Final = Gauge(
            "damsonlane_slow_engines",
            "Engines of an owned service that reported recently that they are slow.",
            registry=self.registry,
        )
        self.engine_time_factor: Final = Gauge(
            "damsonlane_engine_time_factor",
            "Least and largest learned time factor of the engines of an owned service.",
            registry=self.registry,
        )
        self.moved_prompts: Final = Gauge(
            "damsonlane_moved_prompts",
            "Prompts placed away from the engine that cached most of them, since the start.",
            registry=self.registry,
        )
        self.commit_index: Final = Gauge(
            "damsonlane_commit_index",
            "Index of the last committed log entry.",
            registry=self.registry,
        )
        self.kept_origins: Final = Gauge(
            "damsonlane_kept_origins",
            "Origins of event streams that this replica remembers.",
            registry=self.registry,
        )
        self.is_leader: Final = Gauge(
            "damsonlane_is_leader", "1 while this replica is the leader.", registry=self.registry
        )
        self.ignored_capacities: Final = Counter(
            "damsonlane_ignored_capacities_total",
            "Boxes that reported an implausible capacity, which was ignored.",
            registry=self.registry,
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
        self.capacity_share: Final = Gauge(
            "damsonlane_limit_share",
            "Share of this box in the limits that boxes divide.",
            registry=self.registry,
        )
        self.overloaded: Final = Gauge(
            "damsonlane_overloaded",
            "1 while this box owns nothing if another can, since it is short of processor time.",
            registry=self.registry,
        )
        self.buffered_bytes: Final = Gauge(
            "damsonlane_buffered_bytes",
            "Bytes that are buffered for callers and targets, where a budget limits them.",
            registry=self.registry,
        )
        self.slow_callers: Final = Counter(
            "damsonlane_slow_callers_total",
            "Callers that were disconnected since they read too slowly, by reason.",
            registry=self.registry,
        )
        self.owned_shards: Final = Gauge(
            "damsonlane_owned_shards",
            "Shards of services that this box owns, by the list of boxes.",
            registry=self.registry,
        )
        self.organisation_work: Final = Counter(
            "damsonlane_organisation_work_total",
            "Work of organisations that this box started as owner, in seconds of pool targets or "
            "in prompt tokens.",
            registry=self.registry,
        )
        self.organisation_items: Final = Counter(
            "damsonlane_organisation_items_total",
            "Pieces and prompts of organisations by outcome; excess: beyond the share.",
            registry=self.registry,
        )
        self.organisation_wait: Final = Counter(
            "damsonlane_organisation_wait_seconds_total",
            "Waits of the started pieces of organisations, in seconds.",
            registry=self.registry,
        )
        self.unreached_services: Final = Gauge(
            "damsonlane_unreached_services",
            "Services whose targets this box does not reach, though other boxes do.",
            registry=self.registry,
        )
        self.relayed: Final = Counter(
            "damsonlane_relayed_total",
            "Requests that were passed on to other entries, or accepted from them, by outcome.",
            registry=self.registry,
        )
        self.loop_load: Final = Gauge(
            "damsonlane_loop_load",
            "Share of its time in which the process is busy, or kept waiting by its box, or of the "
            "processor time that the box may use.",
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
