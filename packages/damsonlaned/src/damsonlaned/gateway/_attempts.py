"""Send a request to one target and read the head of its own response."""

import asyncio
import logging
from collections.abc import Callable, Collection, Sequence
from dataclasses import replace
from typing import Final

from damsonlane.placement import InputLocation
from damsonlane.pools import ROUTE_PRIORITY_LEVELS
from damsonlane.records import dataclass
from damsonlane.requests import WindowedRetryBudget
from damsonlane.routing import HealthSignal
from damsonlane.versions import StreamOrigin
from damsonlaned.dialects import Attempt, Dialect, ResponseSignals
from damsonlaned.gateway._call import Call
from damsonlaned.gateway._limited_targets import LimitedTargetSelector, NoTarget
from damsonlaned.gateway._permit_client import PermitClient
from damsonlaned.gateway._placement_client import PlacementClient
from damsonlaned.gateway._target_selector import ChosenTarget, TargetSelector
from damsonlaned.http import HttpExchange, HttpHead, IncompleteResponseError
from damsonlaned.versions import TargetFilter

_LOG: Final = logging.getLogger(__name__)

#: Time-out for opening a connection, in seconds.  Boxes are a few milliseconds apart, and a lost
#: first packet is retransmitted only after a second.
CONNECT_SECONDS: Final = 0.2
#: Time assumed for the response to get from the target back to the caller, in seconds.
RESPONSE_TRANSIT_SECONDS: Final = 0.01
#: Responses to other requests that are skipped on one connection.
MAX_SKIPPED_RESPONSES: Final = 3
#: Share of the allowed retries that is used, since boxes do not see the retries of each other.
BUDGET_SHARE: Final = 0.7
#: Choices of a target for one attempt while targets of another version register.
MAX_CHOICES: Final = 3
#: Largest urgency value that targets accept; it is the least urgent.
LEAST_URGENT: Final = 9


@dataclass(frozen=True, kw_only=True)
class OpenedExchange:
    """A request that was sent and whose response has begun."""

    #: The target.
    chosen: ChosenTarget
    #: The exchange, whose body is still to be read.
    exchange: HttpExchange
    #: Head of the response.
    head: HttpHead
    #: Signals of the target in the head.
    signals: ResponseSignals
    #: The class of its work: the name of its route.
    work: str
    #: When the request was sent and when the head arrived, by the loop's clock.
    sent_at: float
    head_at: float

    @property
    def slowness(self) -> float | None:
        """The slowness that the target reported; None if it reported none."""
        return self.signals.load.slowness if self.signals.load is not None else None


class Attempts:
    """Sends requests to targets, within the fleet's retry budget.

    Args:
        targets: chooses targets.
        placements: requests the placement of prompts at engines.
        permits: requests permits for targets that announced rate limits.
        dialect: renders requests and reads responses.
        target_filter: leaves out targets by their versions and models.
        share: retries that the fleet may make, as a share of the number of first attempts.
        window: seconds over which that share is counted.
        slack: retries that the fleet may make in one window besides that share.
    """

    def __init__(
        self,
        targets: TargetSelector,
        placements: PlacementClient,
        permits: PermitClient,
        dialect: Dialect,
        target_filter: TargetFilter,
        share: float,
        window: float,
        slack: float,
    ) -> None:
        self._targets: Final = targets
        self._placements: Final = placements
        self._limited_targets: Final = LimitedTargetSelector(targets, permits)
        self._dialect: Final = dialect
        self._filter: Final = target_filter
        self._share: Final = share
        self._window: Final = window
        self._slack: Final = slack
        self._budgets: dict[str, WindowedRetryBudget] = {}

    async def choose(
        self,
        call: Call,
        avoid: Collection[str],
        input_locations: Sequence[InputLocation] = (),
        origin: StreamOrigin | None = None,
        excluded_versions: Collection[str] = (),
    ) -> ChosenTarget | NoTarget:
        """Choose a target for a request.

        Args:
            call: the request.
            avoid: targets that failed it already.
            input_locations: where its stage results are stored.
            origin: where the stream began that the target goes on with; None for a new one.
            excluded_versions: versions whose targets may not get the request.
        """
        for _ in range(MAX_CHOICES):
            chosen = await self._choose_once(
                call, avoid, input_locations, origin, excluded_versions
            )
            if isinstance(chosen, NoTarget) or (
                chosen.version not in excluded_versions
                and (origin is None or chosen.version == origin.version)
            ):
                return chosen
            # It registered or restarted after the targets of other versions had been listed.
            self._targets.release_unused(chosen)
        return NoTarget(detail="the targets of the versions that may serve the request change")

    async def _choose_once(
        self,
        call: Call,
        avoid: Collection[str],
        input_locations: Sequence[InputLocation],
        origin: StreamOrigin | None,
        excluded_versions: Collection[str],
    ) -> ChosenTarget | NoTarget:
        model = call.request.model
        excluded = self._filter.list_excluded(call.service, model, origin, excluded_versions)
        avoid = {*avoid, *self._filter.list_other_weights(call.service, model, origin)}
        placed = await self._place_prompt(call, {*avoid, *excluded}, input_locations)
        if placed is not None:
            return placed
        prompt = call.find_prompt()
        return await self._limited_targets.choose(call.service, prompt, avoid, excluded)

    def list_versions(self, call: Call) -> frozenset[str]:
        """Return the versions of the targets that may get the request."""
        if call.origin is not None:
            return frozenset((call.origin.version,))
        return frozenset(self._filter.count_versions(call.service))

    def count_versions(self, call: Call) -> dict[str, int]:
        """Return how many targets of each version may get the request."""
        return self._filter.count_versions(call.service)

    async def check_admission(self, call: Call) -> NoTarget | None:
        """Return why a request may not begin its stages yet; None if it may begin now."""
        return await self._limited_targets.check_admission(call.service)

    async def _place_prompt(
        self, call: Call, avoid: Collection[str], input_locations: Sequence[InputLocation]
    ) -> ChosenTarget | None:
        """Request the placement of a prompt; None where this entry chooses the engine itself."""
        if call.service.engine is None:
            return None
        unusable = {
            *avoid,
            *self._targets.list_unusable(call.service),
            *self._targets.list_full(call.service),
            *self._targets.list_unconnectable(call.service),
        }
        order = call.make_prompt_order(tuple(sorted(unusable)), tuple(input_locations))
        placed = await self._placements.place(call.service.name, order)
        if placed is None or placed.target in unusable:
            return None
        if self._targets.fleet_connections.is_full(call.service, placed.target):
            # Other requests took the connections while the owner was asked.
            return None
        return self._targets.choose_placed(call.service, placed)

    async def wait_for_connection(self, call: Call, seconds: float) -> None:
        """Wait until a connection to a target of a request may be free, at most for a time."""
        await self._targets.fleet_connections.wait_for_free(call.service.name, seconds)

    def find_backoff_seconds(self, call: Call) -> float:
        """Return the seconds for which all targets of a request back off; 0 if one does not."""
        return self._targets.find_backoff_seconds(call.service)

    def record_arrival(self, call: Call) -> None:
        """Record the arrival of a request."""
        self._targets.record_prompt(call.service, call.find_prompt())

    def count_first(self, call: Call) -> None:
        """Count the first attempt of a request, which adds to the retry budget."""
        self._budget(call).count_first(self._now())

    def may_spend_retry(self, call: Call, entries: float) -> bool:
        """Return whether the retry budget allows a retry of a request now."""
        return self._budget(call).may_spend(self._now(), self._find_slack(entries))

    def try_spend_retry(self, call: Call, entries: float) -> bool:
        """Return whether a request may be retried, and charge the retry budget for it."""
        is_allowed = self._budget(call).try_spend(self._now(), self._find_slack(entries))
        if not is_allowed:
            _LOG.info("retry budget exhausted", extra=call.log_fields())
        return is_allowed

    async def open(
        self,
        call: Call,
        chosen: ChosenTarget,
        inputs: tuple[str, ...],
        last_event: str | None,
        on_sent: Callable[[], None] = lambda: None,
        *,
        is_repeat: bool = False,
    ) -> OpenedExchange:
        """Send a request and read the head of its response.

        Args:
            call: the request.
            chosen: the target that gets it.
            inputs: handles of its stage results.
            last_event: id of the last event that the caller has, if its stream is resumed.
            on_sent: called once the request was sent.
            is_repeat: whether the target had the request before.

        Raises:
            NotSentError: the request was not sent.
            IncompleteResponseError: it was sent and the connection broke before its response.
        """
        attempt = Attempt(
            target=chosen.target,
            start=chosen.start,
            remaining_seconds=call.remaining() - RESPONSE_TRANSIT_SECONDS,
            organisation=call.organisation.name if call.organisation is not None else "",
            urgency=_find_urgency(
                call if last_event is None else replace(call, has_response_begun=True), chosen
            ),
            inputs=inputs,
            last_event_id=last_event,
            cache_source=chosen.source_address,
        )
        request = self._dialect.make_request(call.request, attempt)
        exchange = await chosen.connections.send(request, CONNECT_SECONDS, is_repeat=is_repeat)
        on_sent()
        sent_at = self._now()
        _LOG.info(
            "sent",
            extra={
                **call.log_fields(),
                "target": chosen.target,
                "address": chosen.address,
                "target_version": chosen.version,
                "last_event": last_event,
                "source": chosen.source_address,
                "left_ms": int(attempt.remaining_seconds * 1000),
                **({"beyond_share": True} if _is_beyond_share(chosen) else {}),
            },
        )
        try:
            head, signals = await self._read_own_head(exchange, call, chosen)
        except BaseException:
            exchange.finish()
            raise
        return OpenedExchange(
            chosen=chosen,
            exchange=exchange,
            head=head,
            signals=signals,
            work=call.route.name,
            sent_at=sent_at,
            head_at=self._now(),
        )

    def finish(self, opened: OpenedExchange, health: HealthSignal) -> None:
        """End an attempt: return its connection and record the health of the target."""
        opened.exchange.finish()
        if opened.head.status == 421:
            self._targets.record_misdirected(opened.chosen)
        if health == "bad" and opened.signals.is_announced_rejection():
            # The target is healthy and announced a back-off or a rate limit.  Ejected for three
            # such responses, it would get nothing for longer than it requested.
            health = "neutral"
        self._targets.finish(
            opened.chosen,
            health,
            load=opened.signals.load,
            reported_at=opened.head_at,
            work=opened.work,
            seconds=_find_work_seconds(opened) if health == "good" else None,
        )

    def record_silent(self, chosen: ChosenTarget) -> None:
        """Record that a target has sent nothing for too long."""
        self._targets.record_failure(chosen)

    def finish_unopened(self, chosen: ChosenTarget, health: HealthSignal) -> None:
        """End an attempt without a response."""
        if chosen.placed is not None and health == "bad":
            chosen.placed.report_read(None)
        self._targets.finish(chosen, health)

    async def _read_own_head(
        self, exchange: HttpExchange, call: Call, chosen: ChosenTarget
    ) -> tuple[HttpHead, ResponseSignals]:
        """Return the head of the response to this request; skip responses to other requests."""
        for _ in range(MAX_SKIPPED_RESPONSES + 1):
            head = await exchange.read_head()
            signals = self._dialect.read_signals(head)
            is_own = signals.request_id == call.request.request_id or (
                not exchange.is_reused and _is_rejection_without_id(signals)
            )
            # A response to another request carries signals of the target, too.
            self._targets.record_signals(chosen, signals, is_own=is_own)
            if is_own:
                return head, signals
            _LOG.warning(
                "skipped the response to another request",
                extra={
                    **call.log_fields(),
                    "target": chosen.target,
                    "other": signals.request_id,
                    "status": head.status,
                    "has_not_run": signals.has_not_run,
                },
            )
            await exchange.skip_response()
        raise IncompleteResponseError("the target sent only answers to other requests")

    def return_retry(self, call: Call) -> None:
        """Return the charge for a retry that was not sent."""
        self._budget(call).return_last()

    def _find_slack(self, entries: float) -> float:
        return BUDGET_SHARE * self._slack / max(1, entries)

    def _budget(self, call: Call) -> WindowedRetryBudget:
        name = call.service.name
        if name not in self._budgets:
            self._budgets[name] = WindowedRetryBudget(BUDGET_SHARE * self._share, self._window)
        return self._budgets[name]

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()


def _find_work_seconds(opened: OpenedExchange) -> float | None:
    """Return the seconds of work for a whole response; None for the head of a stream."""
    return None if opened.signals.is_stream else opened.head_at - opened.sent_at


def _is_beyond_share(chosen: ChosenTarget) -> bool:
    """Return whether the owner of the engines found a prompt beyond its organisation's share."""
    return chosen.placed is not None and chosen.placed.is_beyond_share


def _find_urgency(call: Call, chosen: ChosenTarget) -> int | None:
    """Return the urgency of a request at an engine, 0 comes first; None at other targets.

    A prompt beyond the share of its organisation gets the last level of the organisation's
    priority, so that it still goes before those of less urgent organisations.
    """
    if call.service.engine is None:
        return None
    priority = call.priority
    if _is_beyond_share(chosen):
        priority += ROUTE_PRIORITY_LEVELS - 1 - priority % ROUTE_PRIORITY_LEVELS
    return min(LEAST_URGENT, priority)


def _is_rejection_without_id(signals: ResponseSignals) -> bool:
    """Return whether a target rejected a request before it read the id.

    On a kept connection it may have rejected another request, and run this one.
    """
    return signals.request_id is None and signals.has_not_run
