"""Sending a request to one target and reading the head of its own answer."""

import asyncio
import logging
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from typing import Final

from damsonlane.placing import InputPlace, PromptOrder, PromptPart
from damsonlane.requests import WindowBudget
from damsonlane.routing import Health
from damsonlaned.dialects import AnswerSigns, Attempt, Dialect
from damsonlaned.gateway._call import Call
from damsonlaned.gateway._limited_places import LimitedPlaces, NoPlace
from damsonlaned.gateway._permit_client import PermitClient
from damsonlaned.gateway._placement_client import PlacementClient
from damsonlaned.gateway._targets import Chosen, Prompt, Targets
from damsonlaned.http import BrokenAnswerError, HttpHead, SentExchange

_LOG: Final = logging.getLogger(__name__)

#: Seconds for which a connection may take; boxes are a few milliseconds apart,
#: and a first packet that was lost is only sent again after a second.
CONNECT_SECONDS: Final = 0.2
#: Seconds that the way of an answer back to the caller is reckoned to take.
RETURN_SECONDS: Final = 0.01
#: Answers to other requests that are passed over on one connection.
MOST_SKIPPED: Final = 3
#: Share of the allowed repeats that is used, since boxes do not see each other's.
BUDGET_SHARE: Final = 0.7
#: Least urgent value that targets know.
LEAST_URGENT: Final = 9


@dataclass(frozen=True, kw_only=True)
class Opened:
    """A request that was sent and whose answer has begun."""

    #: The target.
    chosen: Chosen
    #: The exchange, whose body is still to be read.
    exchange: SentExchange
    #: Head of the answer.
    head: HttpHead
    #: What the head says.
    signs: AnswerSigns


class Attempts:
    """Sends requests within the fleet's budget of repeats.

    Args:
        targets: chooses targets.
        placements: has prompts placed at engines.
        permits: gets permits for targets that named rate limits.
        dialect: writes requests and reads answers.
        share: requests sent again, as a share of first ones, that the fleet may make.
        window: seconds over which that share is counted.
        slack: requests sent again in one window that the fleet may make besides.
    """

    def __init__(
        self,
        targets: Targets,
        placements: PlacementClient,
        permits: PermitClient,
        dialect: Dialect,
        share: float,
        window: float,
        slack: float,
    ) -> None:
        self._targets: Final = targets
        self._placements: Final = placements
        self._places: Final = LimitedPlaces(targets, permits)
        self._dialect: Final = dialect
        self._share: Final = share
        self._window: Final = window
        self._slack: Final = slack
        self._budgets: dict[str, WindowBudget] = {}

    async def choose(
        self, call: Call, avoid: Collection[str], places: Sequence[InputPlace] = ()
    ) -> Chosen | NoPlace:
        """Choose a target for a request.

        Args:
            call: the request.
            avoid: targets that failed it already.
            places: where the results that it needs lie.
        """
        placed = await self._have_placed(call, avoid, places)
        return placed or await self._places.choose(call.service, _find_prompt(call), avoid)

    async def find_begin_wait(self, call: Call) -> NoPlace | None:
        """Return when a request may begin whose stages are made first; None for now."""
        return await self._places.find_begin_wait(call.service)

    async def _have_placed(
        self, call: Call, avoid: Collection[str], places: Sequence[InputPlace]
    ) -> Chosen | None:
        """Have a prompt placed at an engine; None where this entry must choose by itself."""
        if call.service.engine is None:
            return None
        unusable = {*avoid, *self._targets.list_unusable(call.service)}
        order = _make_prompt_order(call, tuple(sorted(unusable)), tuple(places))
        placed = await self._placements.place(call.service.name, order)
        if placed is None or placed.target in unusable:
            return None
        return self._targets.take_placed(call.service, placed)

    def find_return_seconds(self, call: Call) -> float:
        """Return how long all targets that may get a request want nothing; 0 if one may."""
        return self._targets.find_return_seconds(call.service)

    def note_arrival(self, call: Call) -> None:
        """Note a request that arrived."""
        self._targets.note_prompt(call.service, _find_prompt(call))

    def count_first(self, call: Call) -> None:
        """Count the first sending of a request."""
        self._budget(call).count_first(self._now())

    def may_repeat(self, call: Call, entries: int) -> bool:
        """Tell whether a request may be sent once more, and count it."""
        slack = BUDGET_SHARE * self._slack / max(1, entries)
        is_allowed = self._budget(call).try_spend(self._now(), slack)
        if not is_allowed:
            _LOG.info("no budget for a repeat", extra=call.log_fields())
        return is_allowed

    async def open(
        self,
        call: Call,
        chosen: Chosen,
        inputs: tuple[str, ...],
        last_event: str | None,
        on_sent: Callable[[], None] = lambda: None,
    ) -> Opened:
        """Send a request and read the head of its answer.

        Args:
            call: the request.
            chosen: the target that gets it.
            inputs: handles of the results that it needs.
            last_event: the last event that the caller has, if its stream goes on.
            on_sent: called once the request was sent.

        Raises:
            NotSentError: it was not sent.
            BrokenAnswerError: it was sent and no answer came.
        """
        attempt = Attempt(
            target=chosen.target,
            remaining_seconds=call.remaining() - RETURN_SECONDS,
            organisation=call.organisation.name if call.organisation is not None else "",
            urgency=min(LEAST_URGENT, call.rank) if call.service.engine is not None else None,
            inputs=inputs,
            last_event=last_event,
            source=chosen.source_address,
        )
        request = self._dialect.make_request(call.request, attempt)
        exchange = await chosen.connections.send(request, CONNECT_SECONDS)
        on_sent()
        _LOG.info(
            "sent",
            extra={
                **call.log_fields(),
                "target": chosen.target,
                "address": chosen.address,
                "source": chosen.source_address,
                "left_ms": int(attempt.remaining_seconds * 1000),
            },
        )
        try:
            head, signs = await self._read_own_head(exchange, call, chosen)
        except BaseException:
            exchange.finish()
            raise
        return Opened(chosen=chosen, exchange=exchange, head=head, signs=signs)

    def finish(self, opened: Opened, health: Health) -> None:
        """End an attempt: give back its connection and note how the target did."""
        opened.exchange.finish()
        if opened.head.status == 421:
            self._targets.note_misdirected(opened.chosen)
        if health == "bad" and opened.signs.says_what_it_takes():
            # It is well and says what it takes: ejected for three such answers it would
            # stay away longer than it asked.
            health = "neutral"
        self._targets.finish(opened.chosen, health, load=opened.signs.load)

    def finish_unopened(self, chosen: Chosen, health: Health) -> None:
        """End an attempt to which no answer began."""
        if chosen.placed is not None and health == "bad":
            chosen.placed.note_read(None)
        self._targets.finish(chosen, health)

    async def _read_own_head(
        self, exchange: SentExchange, call: Call, chosen: Chosen
    ) -> tuple[HttpHead, AnswerSigns]:
        """Return the head of this request's answer, passing over those of others."""
        for _ in range(MOST_SKIPPED + 1):
            head = await exchange.read_head()
            signs = self._dialect.read_signs(head)
            is_own = signs.request_id == call.request.request_id or _is_unnamed_refusal(signs)
            # An answer to another request says just as well how its target is, or was.
            self._targets.note_signs(chosen, signs, is_own=is_own)
            if is_own:
                return head, signs
            _LOG.warning(
                "answer of another request",
                extra={**call.log_fields(), "other": signs.request_id},
            )
            await exchange.skip_answer()
        raise BrokenAnswerError("the target sent only answers to other requests")

    def _budget(self, call: Call) -> WindowBudget:
        name = call.service.name
        if name not in self._budgets:
            self._budgets[name] = WindowBudget(BUDGET_SHARE * self._share, self._window)
        return self._budgets[name]

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()


def _find_prompt(call: Call) -> Prompt:
    """Return what the choice of an engine depends on."""
    shared = call.request.prefix[:-1]
    affinity = shared[-1].identity if shared else ""
    return Prompt(affinity=affinity, tokens=call.request.tokens_in)


def _make_prompt_order(
    call: Call, avoid: tuple[str, ...], places: tuple[InputPlace, ...]
) -> PromptOrder:
    """Return the order to place the prompt of a request; the client gives it its number."""
    now = asyncio.get_running_loop().time()
    return PromptOrder(
        number=0,
        shared=tuple(
            PromptPart(identity=part.identity, tokens=part.tokens)
            for part in call.request.prefix[:-1]
        ),
        tokens=call.request.tokens_in,
        aim_left_seconds=call.aim_at - now,
        avoid=avoid,
        inputs=places,
    )


def _is_unnamed_refusal(signs: AnswerSigns) -> bool:
    """A target that turns a request away may do so before it reads the id."""
    return signs.request_id is None and signs.has_not_run
