"""Founding and repair of the control group without an operator."""

import asyncio
import contextlib
import logging
import random
import ssl
from collections.abc import Mapping
from typing import Final

from grpclib.const import Handler
from grpclib.server import Stream

from damsonlane.agreement import (
    Admission,
    Applicant,
    Removal,
    Replica,
    find_gone,
    judge_applicant,
    may_found,
    may_say_outsider,
)
from damsonlane.errors import AgreementError, NotLeaderError, StorageError, UnavailableError
from damsonlane.settings import Founding
from damsonlane_rpc import (
    CALL_FAULTS,
    JOIN,
    ControlClient,
    Done,
    JoinReply,
    JoinRequest,
    NotAMember,
    NotLeader,
)
from damsonlaned.control._node import ControlNode
from damsonlaned.tasks import start_task

_LOG: Final = logging.getLogger(__name__)

#: Seconds between looks at the group.
LOOK_SECONDS: Final = 0.25
#: Seconds for which one question to another box may take.
ASK_SECONDS: Final = 0.4
#: Seconds without a leader after which a replica asks whether it still belongs.
LEADERLESS_SECONDS: Final = 1.5
#: Seconds after which the group takes orders although it never reached its full size.
GROWTH_SECONDS: Final = 10.0


class GroupRepairer:
    """Founds the group, asks for admission to it, and removes members that are gone.

    The least of the seeds founds a group of one at the first start of the
    system; every other box asks to be let in.  A box whose disk was lost comes
    back at its old address under a new name, so its old name is removed when
    the new one asks.  A box that is gone for good is removed once more boxes
    vote than are wanted.

    Args:
        node: the control node.
        founding: settings.
        client: told the addresses of the members.
        context: TLS context towards other boxes, or None.
    """

    def __init__(
        self,
        node: ControlNode,
        founding: Founding,
        client: ControlClient,
        context: ssl.SSLContext | None,
    ) -> None:
        self._node: Final = node
        self._founding: Final = founding
        self._members_client: Final = client
        self._own_address: Final = node.settings.internal_address
        self._asking: Final = ControlClient((), context=context)
        self._seeds = founding.seeds
        self._task: asyncio.Task[None] | None = None
        self._started_at = node.now()
        self._led_at = node.now()

    def start(self) -> None:
        """Start looking."""
        self._task = start_task(self._run(), "keeping the group")

    async def stop(self) -> None:
        """Stop looking."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        self._asking.close()

    def replace_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take over the seeds that the settings now name."""
        self._seeds = seeds

    def takes_orders(self) -> bool:
        """Tell whether what is accepted now would bear the loss of as many boxes as it should.

        Only a group that has just been founded is too small for that.
        """
        replica = self._node.replica
        if replica is None:
            return False
        if self._node.state.documents.document.version > 0:
            return True
        has_grown = len(replica.members.voters) >= self._founding.voters
        return has_grown or self._node.now() - self._started_at > GROWTH_SECONDS

    def handlers(self) -> Mapping[str, Handler]:
        """Return the calls that other boxes make."""
        return {JOIN.path: JOIN.handler(self._join)}

    # Looking.

    async def _run(self) -> None:
        while True:
            try:
                await self._look()
            except (AgreementError, StorageError) as error:
                _LOG.warning("group could not be changed", extra={"fault": str(error)})
            await asyncio.sleep(LOOK_SECONDS * random.uniform(0.8, 1.2))

    async def _look(self) -> None:
        replica = self._node.replica
        if replica is None:
            await self._enter()
            return
        self._members_client.learn([member.address for member in replica.members.everyone()])
        if replica.leader:
            self._led_at = self._node.now()
        if replica.is_leader:
            self._remove_gone(replica)
        elif self._node.now() - self._led_at > LEADERLESS_SECONDS:
            await self._ask()

    async def _enter(self) -> None:
        """Ask for admission; found the group if there is none and that is ours to do."""
        if await self._ask():
            return
        settings = self._founding
        if may_found(self._own_address, settings.seeds, is_first_start=settings.is_first_start):
            self._node.found()
            _LOG.info("group founded", extra={"cluster": self._node.identity.cluster})

    async def _ask(self) -> bool:
        """Ask the leader where this replica stands; tell whether anybody knew a leader."""
        identity = self._node.identity
        outcome = await self._ask_around(
            JoinRequest(
                replica=identity.replica, address=self._own_address, cluster=identity.cluster
            )
        )
        if isinstance(outcome, NotAMember) and identity == self._node.identity:
            self._node.start_anew()
        return outcome is not None

    async def _ask_around(self, request: JoinRequest) -> Done | NotLeader | NotAMember | None:
        """Ask the known boxes, and the leaders that they name, until a leader answers.

        Returns:
            What the leader said; where none answered, what a box said that knows one,
            or None.
        """
        addresses = self._known_addresses()
        asked = {self._own_address}
        hint: NotLeader | None = None
        while addresses:
            address = addresses.pop(0)
            if address in asked:
                continue
            asked.add(address)
            reply = await self._ask_one(address, request)
            if reply is None:
                continue
            if not isinstance(reply.outcome, NotLeader):
                return reply.outcome
            if reply.outcome.leader:
                hint = reply.outcome
                addresses.insert(0, hint.leader)
        return hint

    async def _ask_one(self, address: str, request: JoinRequest) -> JoinReply | None:
        try:
            call = JOIN.unary(self._asking.channel(address))
            return await call(request, timeout=ASK_SECONDS)
        except CALL_FAULTS as error:
            fault = str(error) or type(error).__name__
            _LOG.debug("box does not answer", extra={"address": address, "fault": fault})
            return None

    def _known_addresses(self) -> list[str]:
        known = {*self._founding.seeds, *self._seeds}
        if self._node.replica is not None:
            known.update(member.address for member in self._node.replica.members.everyone())
        known.discard(self._own_address)
        addresses = sorted(known)
        random.shuffle(addresses)
        return addresses

    # Leading.

    async def _join(self, stream: Stream[JoinRequest, JoinReply]) -> None:
        request = await stream.recv_message()
        if request is not None:
            applicant = Applicant(
                replica=request.replica, address=request.address, cluster=request.cluster
            )
            await stream.send_message(JoinReply(outcome=await self._admit(applicant)))

    async def _admit(self, applicant: Applicant) -> Done | NotLeader | NotAMember:
        replica = self._node.replica
        if replica is None or not replica.is_leader or self._node.state_age() is None:
            return NotLeader(leader=replica.leader_address() if replica else "")
        verdict = judge_applicant(replica.members, applicant)
        if verdict.is_outsider:
            return await self._tell_outsider(applicant)
        if verdict.change is not None:
            self._try_change(verdict.change)
        return Done()

    async def _tell_outsider(self, applicant: Applicant) -> NotLeader | NotAMember:
        """Tell a replica that it was removed, once a quorum confirms that this is the group.

        It empties its disk then, so a leader that was deposed meanwhile, or whose
        removal may still be undone, says nothing.
        """
        try:
            await self._node.confirm()
        except (NotLeaderError, UnavailableError) as error:
            _LOG.info("not confirmed", extra={"replica": applicant.replica, "why": str(error)})
            return NotLeader(leader="")
        replica = self._node.replica
        if replica is None or not may_say_outsider(replica):
            return NotLeader(leader="")
        is_outsider = judge_applicant(replica.members, applicant).is_outsider
        return NotAMember() if is_outsider else NotLeader(leader="")

    def _remove_gone(self, replica: Replica) -> None:
        removal = find_gone(replica.members, replica.silence_of, self._founding.voters)
        if removal is not None:
            self._try_change(removal)

    def _try_change(self, change: Admission | Removal) -> None:
        """Change the group, unless another change is under way: this one is found again."""
        replica = change.member.replica
        try:
            if isinstance(change, Removal):
                self._node.remove(replica)
                _LOG.info("replica removed", extra={"replica": replica, "reason": change.reason})
            else:
                self._node.add(replica, change.member.address)
                _LOG.info("replica admitted", extra={"replica": replica})
        except (AgreementError, NotLeaderError) as error:
            _LOG.debug("change waits", extra={"replica": replica, "why": str(error)})
