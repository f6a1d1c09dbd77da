"""An entry that serves routes: assembly of its components, and graceful shutdown."""

import asyncio
import logging
import math
import secrets
import ssl
from collections.abc import Mapping
from typing import Final

from grpclib.const import Handler

from damsonlane.buffers import MEMORY_SHARE, EvictionReason
from damsonlane.ledger import Holder
from damsonlane.membership import CapacityShares, OverloadDetector, are_uneven
from damsonlane.settings import BoxSettings, Gateway
from damsonlane.warmup import WarmupAllowance
from damsonlane_rpc import ControlClient
from damsonlaned.admin import BODILESS_LIMITS, AdminServer
from damsonlaned.clock import read_clock
from damsonlaned.connections import LoanClient, LoanService
from damsonlaned.crowds import AcceptGate
from damsonlaned.dialects import DIALECTS
from damsonlaned.fairness import ShareReporter
from damsonlaned.gateway._attempts import Attempts
from damsonlaned.gateway._caller_service import CallerService, HandlerDependencies
from damsonlaned.gateway._control_follower import ControlFollower
from damsonlaned.gateway._entry_load import EntryLoad
from damsonlaned.gateway._exit_detector import ExitDetector
from damsonlaned.gateway._limit_reports import LimitReports
from damsonlaned.gateway._permit_client import PermitClient
from damsonlaned.gateway._placement_client import PlacementClient
from damsonlaned.gateway._pool_client import PoolClient
from damsonlaned.gateway._pool_owners import PoolOwners
from damsonlaned.gateway._pool_service import PoolService
from damsonlaned.gateway._prompt_placer import PromptPlacers
from damsonlaned.gateway._shard_division import ShardDivision
from damsonlaned.gateway._stage_runner import StageRunner
from damsonlaned.gateway._target_selector import TargetSelector
from damsonlaned.gateway._view import FleetView
from damsonlaned.http import (
    BufferGuard,
    CollectionBudget,
    HttpListener,
    HttpRequest,
    HttpResponse,
    ResponseWriter,
)
from damsonlaned.lateness import LateRequests
from damsonlaned.machine import find_memory_bytes
from damsonlaned.metrics import Metrics
from damsonlaned.quarantine import Quarantine, QuarantineClient
from damsonlaned.relay import ReachMonitor, Relay, RelayClient, RelayService
from damsonlaned.versions import OriginService, StreamOrigins, TargetFilter

_LOG: Final = logging.getLogger(__name__)

#: Seconds for which new connections are still accepted after SIGTERM: the load balancer checks
#: readiness every second and removes an entry after two failed checks.
DRAIN_ACCEPT_SECONDS: Final = 2.5
#: Seconds reserved at the end of the grace period.
STOP_MARGIN_SECONDS: Final = 0.4
#: Time after a change of the list of entries for which a share of a limit does not grow, as a
#: multiple of the time within which a document is in force everywhere.
HOLD_RATIO: Final = 1.5
#: Length of a loan of connections, as a multiple of the same time.  Loans of an entry that has not
#: got the newest list end before another entry has its share by that list.
LOAN_RATIO: Final = HOLD_RATIO - 1.0
#: Load of the event loop from which requests of other entries are declined.
MAX_HELPER_LOAD: Final = 0.9
#: Seconds between checks whether all requests have completed.
DRAIN_POLL_SECONDS: Final = 0.05


class GatewayNode:
    """One entry box that serves routes.

    Args:
        settings: settings of the box.
        gateway: settings of its gateway.
        context: TLS context for connections to other boxes, or None.
    """

    def __init__(
        self, settings: BoxSettings, gateway: Gateway, context: ssl.SSLContext | None
    ) -> None:
        self._gateway: Final = gateway
        self._dialect: Final = DIALECTS[gateway.dialect]
        self._metrics: Final = Metrics()
        warm_up_allowance = WarmupAllowance(ratio=gateway.cold_ratio, slack=gateway.cold_slack)
        self._view: Final = FleetView(self._dialect, warm_up_allowance)
        holder = Holder(box=settings.name, incarnation=secrets.token_hex(6))
        self._control_follower: Final = ControlFollower(
            settings, holder, self._view, context, on_control=self._update_control
        )
        self._control: Final = ControlClient(settings.control, context=context)
        self._quarantine: Final = Quarantine(
            self._view.quarantine, QuarantineClient(self._control).submit
        )
        self._reach: Final = ReachMonitor(
            self._view, settings.internal_address, settings.data_centre, context, self._metrics
        )
        self._reach.on_change(self._apply_reach)
        self._view.on_entries(self._reach.follow_entries)
        exit_detector = ExitDetector(self._view, self._quarantine.record_exit, self._reach.check)
        self._shares: Final = CapacityShares(
            settings.internal_address, HOLD_RATIO * gateway.apply_seconds
        )
        self._is_uneven = False
        targets = self._targets = TargetSelector(
            self._view,
            settings.data_centre,
            self._count_entries,
            settings.internal_address,
            self._shares,
            self._reach,
            LOAN_RATIO * gateway.apply_seconds,
            CollectionBudget.for_memory(settings.capacity.memory_bytes)
            if settings.capacity is not None
            else None,
        )
        self._reach.reserve_by(targets.fleet_connections.reserve)
        exit_detector.reserve = targets.fleet_connections.reserve
        self._view.on_entries(self._record_entries)
        self._loans: Final = LoanClient(
            targets.fleet_connections, self._view, settings.internal_address, context
        )
        self._loan_service: Final = LoanService(targets.fleet_connections)
        owners = PoolOwners(
            self._view,
            targets,
            self._dialect,
            self._metrics,
            exit_detector,
            self._quarantine,
            find_weight=gateway.find_weight,
            is_reached=self._reach.is_reached,
        )
        self._owners: Final = owners
        self._pools: Final = PoolClient(
            self._view,
            owners,
            settings.internal_address,
            context,
            self._dialect.read_result_address,
        )
        placers = self._placers = PromptPlacers(self._view, gateway.find_weight)
        self._pool_service: Final = PoolService(owners, placers, self._view.limits)
        placements = PlacementClient(placers, self._pools, settings.internal_address)
        self._pools.on_placements = placements.receive
        permits = PermitClient(self._view, self._pools, settings.internal_address)
        self._pools.on_permits = permits.receive
        self._load: Final = EntryLoad(
            self._view,
            owners,
            placers,
            ShardDivision(self._control, read_clock),
            self._metrics,
            self._find_cores,
            self._check_overload,
            ShareReporter(self._metrics),
        )
        self._overload: Final = OverloadDetector()
        self._limit_reports: Final = LimitReports(self._view, self._control)
        attempts = Attempts(
            targets,
            placements,
            permits,
            self._dialect,
            TargetFilter(self._view),
            gateway.retry_share,
            gateway.retry_window_seconds,
            gateway.retry_slack,
        )
        late_requests = LateRequests(gateway.late_requests, self._metrics)
        self._origins: Final = StreamOrigins(
            self._view, settings.internal_address, context, self._metrics
        )
        self._origins.follow_replicas(settings.control)
        self._view.on_entries(self._origins.follow_entries)
        self._view.on_change(self._origins.tell_uncertain)
        self._origin_service: Final = OriginService(self._origins)
        self._relay_client: Final = RelayClient(self._reach, context, self._metrics)
        self._caller_service: Final = CallerService(
            HandlerDependencies(
                view=self._view,
                attempts=attempts,
                stages=StageRunner(self._pools, self._find_data_centre, late_requests),
                exit_detector=exit_detector,
                quarantine=self._quarantine,
                dialect=self._dialect,
                metrics=self._metrics,
                count_entries=self._count_equivalents,
                fair_shares=gateway.fair_shares,
                late_requests=late_requests,
                relay=Relay(box=settings.name, reach=self._reach, client=self._relay_client),
                origins=self._origins,
            )
        )
        self._relay_service: Final = RelayService(self._caller_service.serve_relayed, self._reach)
        self._guard: Final = BufferGuard(
            gateway.buffer_bytes or int(MEMORY_SHARE * find_memory_bytes(settings.capacity)),
            self._count_eviction,
            limits_time=gateway.buffer_bytes > 0,
        )
        self._listener: Final = HttpListener(
            settings.caller_address,
            self._caller_service.serve,
            limits=self._caller_service.limits,
            render_refusal=self._caller_service.render_bad_bytes,
            guard=self._guard,
            gate=AcceptGate(
                lambda: self._metrics.closed_unread.inc({}),
                lambda: self._caller_service.in_flight() + self._listener.count_unread(),
                lambda: self._control_follower.capacity,
                lambda: self._count_entries() > 1,
            ),
        )
        self._ready_listener: Final = HttpListener(
            gateway.ready_address,
            self._serve_readiness,
            limits=lambda: BODILESS_LIMITS,
            render_refusal=self._caller_service.render_bad_bytes,
        )
        self._admin: Final = AdminServer(
            settings.admin_address, self._metrics, self.is_ready, self._refresh
        )
        self._is_stopping = False

    def handlers(self) -> Mapping[str, Handler]:
        """Return the handlers of calls from other boxes."""
        return {
            **self._pool_service.handlers(),
            **self._relay_service.handlers(),
            **self._loan_service.handlers(),
            **self._origin_service.handlers(),
        }

    def is_ready(self) -> bool:
        """Return whether this entry accepts new requests."""
        return self._view.table is not None and not self._is_stopping

    async def start(self) -> None:
        """Start serving.

        Raises:
            StorageError: an address cannot be bound.
        """
        await self._admin.start()
        await self._ready_listener.start()
        await self._listener.start()
        self._control_follower.start()
        self._load.start()
        self._loans.start()

    def apply_settings(self, newer: BoxSettings) -> None:
        """Apply the control addresses and the capacity of reloaded settings."""
        self._control_follower.apply_settings(newer)

    async def stop(self) -> None:
        """Accept requests until the load balancer sends none, let them complete, then stop."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        ends_at = began_at + self._gateway.stop_seconds - STOP_MARGIN_SECONDS
        self._is_stopping = True
        self._listener.is_closing = True
        self._control_follower.announce_draining()
        while loop.time() < ends_at:
            is_refusing = loop.time() - began_at >= DRAIN_ACCEPT_SECONDS
            if is_refusing:
                self._caller_service.refuses_new = True
                self._listener.close_idle()
            if (
                is_refusing
                and self._caller_service.in_flight() == 0
                and self._listener.count_busy() == 0
                and self._relay_service.count_active() == 0
            ):
                break
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        cut = self._caller_service.in_flight()
        unsent = self._listener.count_busy() - cut
        _LOG.info("drained", extra={"cut": cut, "unsent": max(0, unsent)})
        await self._listener.stop()
        await self._ready_listener.stop()
        await self._control_follower.stop()
        await self._quarantine.stop()
        await self._limit_reports.stop()
        await self._load.stop()
        self._control.close()
        await self._pools.stop()
        await self._loans.stop()
        await self._reach.stop()
        self._relay_client.close()
        await self._origins.stop()
        await self._admin.stop()

    async def _serve_readiness(self, request: HttpRequest, writer: ResponseWriter) -> None:
        is_ready = self._dialect.is_readiness_check(request) and self.is_ready()
        writer.send_response(HttpResponse(status=200 if is_ready else 503))

    def _update_control(self, addresses: tuple[str, ...]) -> None:
        self._control.update_addresses(addresses)
        self._origins.follow_replicas(addresses)

    def _find_data_centre(self, handle: str) -> str:
        return self._view.data_centre_at(self._dialect.read_result_address(handle))

    def _record_entries(self) -> None:
        """Compute what depends only on control's list of entries."""
        self._shares.record(self._view.entries, asyncio.get_running_loop().time())
        self._targets.fleet_connections.follow_entries()
        self._is_uneven = are_uneven(self._view.entries)

    def _count_entries(self) -> int:
        return max(1, len(self._view.entries))

    def _count_equivalents(self) -> float:
        """Return how many entries with the capacity of this one would share the limits."""
        now = asyncio.get_running_loop().time()
        if not self._shares.is_uneven(now):
            return self._count_entries()
        share = self._shares.find_share(now)
        return 1 / share if share else math.inf

    def _count_eviction(self, reason: EvictionReason) -> None:
        self._metrics.slow_callers.inc({"reason": reason})

    def _find_cores(self) -> float:
        """Return the capacity by which the load is measured, in cores; 0 for none.

        Boxes of equal capacity divide their services at the load of their event loops.
        """
        if not self._is_uneven:
            return 0.0
        return self._control_follower.capacity

    def _apply_reach(self, service: str) -> None:
        """Announce which services are not reached, and use targets that are reached again."""
        self._control_follower.report_unreached(self._reach.list_unreached())
        if self._reach.is_reached(service):
            self._targets.reset_health(service)

    def _check_overload(self, load: float) -> None:
        """Have other entries own the shards of this one while it is short of processor time."""
        self._caller_service.is_overloaded = load >= MAX_HELPER_LOAD
        owned = self._pools.count_owned()
        if self._is_uneven:
            is_changed = self._overload.update(read_clock(), load, is_owner=owned > 0)
        else:
            # Boxes of equal capacity divide their services instead.
            is_changed = self._overload.reset()
        if is_changed:
            is_overloaded = self._overload.is_overloaded
            fields = {"is_overloaded": is_overloaded, "load": round(load, 3), "shards": owned}
            _LOG.warning("overload changed", extra=fields)
            self._metrics.overloaded.set({}, is_overloaded)
            self._control_follower.report_overload(is_overloaded=is_overloaded)

    def _refresh(self) -> None:
        self._metrics.in_flight.set({}, self._caller_service.in_flight())
        self._metrics.settings_version.set({}, self._view.version())
        self._metrics.evacuated_data_centres.set({}, len(self._view.evacuated))
        self._metrics.quarantined.set({}, len(self._view.quarantine.newest.held))
        backing_off = self._view.announcements.list_backing_off()
        listed = [incarnation for incarnation in backing_off if self._view.is_listed(incarnation)]
        self._metrics.backing_off.set({}, len(listed))
        if self._guard is not None:
            self._metrics.buffered_bytes.set({}, self._guard.budget.total)
        self._metrics.capacity_share.set({}, 1 / self._count_equivalents())
        self._metrics.owned_shards.set({}, self._pools.count_owned())
        self._metrics.rate_limited.set({}, len(self._view.limits.list_reports()))
        rejections = self._view.announcements.rejections
        self._metrics.rejection_limited.set({}, len(rejections.list_limited()))
        for name, used in self._targets.fleet_connections.summarise().items():
            for kind, count in used.list_counts():
                self._metrics.connections.set({"service": name, "kind": kind}, count)
        for name, count in self._targets.fleet_connections.shortage_counts.items():
            self._metrics.connection_shortages.set({"service": name}, count)
        self._owners.update_metrics()
        self._metrics.implausible_slowness.set({}, self._targets.implausible_slowness)
        for service, summary in self._placers.summarise_speeds().items():
            labels = {"service": service}
            self._metrics.slow_engines.set(labels, summary.slow)
            self._metrics.moved_prompts.set(labels, summary.moved)
            for bound, factor in (
                ("least", summary.least_factor),
                ("most", summary.largest_factor),
            ):
                self._metrics.engine_time_factor.set({**labels, "bound": bound}, factor)
