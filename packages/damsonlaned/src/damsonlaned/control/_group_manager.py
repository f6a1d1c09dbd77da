"""Automatic founding and repair of the control group."""

import asyncio
import contextlib
import logging
import random
import ssl
from collections.abc import Mapping
from typing import Final, TypeVar

from grpclib.const import Handler
from grpclib.server import Stream

from damsonlane.consensus import (
    JoinCandidate,
    MemberChange,
    MemberDemotion,
    MemberRemoval,
    Replica,
    can_confirm_removal,
    evaluate_candidate,
    evaluate_departure,
    find_lost_member,
    may_bootstrap_group,
)
from damsonlane.errors import GroupChangeError, NotLeaderError, StorageError, UnavailableError
from damsonlane.settings import Founding
from damsonlane_rpc import (
    CALL_ERRORS,
    JOIN,
    LEAVE,
    ControlClient,
    Done,
    JoinReply,
    JoinRequest,
    LeavePending,
    LeaveReply,
    LeaveRequest,
    Method,
    NotAMember,
    NotLeader,
)
from damsonlaned.control._node import ControlNode
from damsonlaned.tasks import start_task, stop_task

_LOG: Final = logging.getLogger(__name__)

_Request = TypeVar("_Request", JoinRequest, LeaveRequest)
_Reply = TypeVar("_Reply", JoinReply, LeaveReply)

#: Seconds between checks of the group.
CHECK_INTERVAL_SECONDS: Final = 0.25
#: Time-out of one request to join or leave, in seconds.
REQUEST_TIMEOUT_SECONDS: Final = 0.4
#: Seconds between requests to leave.
LEAVE_INTERVAL_SECONDS: Final = 0.05
#: Seconds without a leader after which a replica asks whether it is still a member.
LEADERLESS_SECONDS: Final = 1.5
#: Seconds after which the group accepts commands although it never reached its full size.
FORMATION_TIMEOUT_SECONDS: Final = 10.0


class GroupManager:
    """Founds the group, requests admission to it, and removes lost members.

    At the first start of the system, the box with the lowest seed address founds a
    group of one; every other box requests admission.  A box that lost its disk rejoins
    at the same address under a new replica name, and the leader removes the old name
    when the new one requests admission.  Once the group has more voters than configured,
    it demotes one that is unreachable or whose process is about to end.

    Args:
        node: the control node.
        founding: settings of the founding and repair.
        client: client of the group; its addresses are updated with those of the members.
        context: TLS context for connections to other boxes, or None.
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
        self._group_client: Final = client
        self._own_address: Final = node.settings.internal_address
        self._peer_client: Final = ControlClient((), context=context)
        self._seeds = founding.seeds
        self._task: asyncio.Task[None] | None = None
        self._is_check_due: Final = asyncio.Event()
        self._started_at = node.now()
        self._leader_seen_at = node.now()

    def start(self) -> None:
        """Start checking the group."""
        self._node.on_peer_refused(self._is_check_due.set)
        self._task = start_task(self._run(), "maintenance of the control group")

    async def stop(self) -> None:
        """Stop checking the group."""
        if self._task is not None:
            await stop_task(self._task)
        self._peer_client.close()

    async def leave(self) -> None:
        """Give up the vote of this replica if the group has a replacement for it.

        Call it before the process ends, while the replica still serves.  Returns once the
        group tolerates the end, or after the time that the settings allow.
        """
        replica = self._node.replica
        if replica is None:
            return
        replica.leave()
        try:
            async with asyncio.timeout(self._founding.leave_seconds):
                while not await self._may_end():
                    await asyncio.sleep(LEAVE_INTERVAL_SECONDS)
        except TimeoutError:
            _LOG.warning("ending without confirmation that the group tolerates it")
        except StorageError as error:
            _LOG.warning("ending without giving up the vote", extra={"fault": str(error)})

    def replace_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds by those of reloaded settings."""
        self._seeds = seeds

    def accepts_commands(self) -> bool:
        """Return whether the group is large enough to accept commands.

        A group that has just been founded is too small: a command that it accepts might not
        survive the loss of as many boxes as the settings allow.
        """
        replica = self._node.replica
        if replica is None:
            return False
        if self._node.state.documents.document.version > 0:
            return True
        has_full_size = len(replica.members.voters) >= self._founding.voters
        return has_full_size or self._node.now() - self._started_at > FORMATION_TIMEOUT_SECONDS

    def handlers(self) -> Mapping[str, Handler]:
        """Return the handlers of calls from other boxes, by path."""
        return {
            JOIN.path: JOIN.handler(self._serve_join),
            LEAVE.path: LEAVE.handler(self._serve_leave),
        }

    # Periodic checks.

    async def _run(self) -> None:
        while True:
            try:
                await self._check_group()
            except (GroupChangeError, StorageError) as error:
                _LOG.warning("group change failed", extra={"fault": str(error)})
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL_SECONDS * random.uniform(0.8, 1.2)):
                    await self._is_check_due.wait()
            self._is_check_due.clear()

    async def _check_group(self) -> None:
        replica = self._node.replica
        if replica is None:
            await self._join_or_found()
            return
        self._group_client.update_addresses(
            [member.address for member in replica.members.all_members()]
        )
        if replica.leader:
            self._leader_seen_at = self._node.now()
        if replica.is_leader:
            self._change_lost_member(replica)
        elif self._node.now() - self._leader_seen_at > LEADERLESS_SECONDS:
            await self._request_admission()

    async def _join_or_found(self) -> None:
        """Request admission; found the group if no box knows one and this box is to found it."""
        if await self._request_admission():
            return
        settings = self._founding
        if may_bootstrap_group(
            self._own_address, settings.seeds, is_first_start=settings.is_first_start
        ):
            self._node.found_group()
            _LOG.info("group founded", extra={"cluster": self._node.identity.cluster})

    async def _request_admission(self) -> bool:
        """Send a join request to the leader.

        If the leader answers that this replica was removed, reset it to a new identity.

        Returns:
            Whether any box knew a leader.
        """
        identity = self._node.identity
        request = JoinRequest(
            replica=identity.replica, address=self._own_address, cluster=identity.cluster
        )
        outcome = await self._ask_leader(JOIN, request)
        if isinstance(outcome, NotAMember) and identity == self._node.identity:
            self._node.reset()
        return outcome is not None

    async def _may_end(self) -> bool:
        """Return whether the group tolerates the end of this process, as far as is known."""
        replica = self._node.replica
        if replica is None:
            return True
        members, name = replica.members, self._node.identity.replica
        is_surplus = len(members.voters) > self._founding.voters
        is_expendable = not members.is_voter(name) or not (is_surplus or members.learners)
        if is_expendable and replica.is_members_committed():
            return True
        if replica.is_leader:
            return isinstance(await self._answer_leave(name), Done)
        return isinstance(await self._ask_leader(LEAVE, LeaveRequest(replica=name)), Done)

    async def _ask_leader(
        self, method: Method[_Request, _Reply], request: _Request
    ) -> Done | NotLeader | NotAMember | LeavePending | None:
        """Send a request to the known boxes, and to leaders they name, until a leader answers.

        Returns:
            The outcome from the leader; without one, the last outcome that names a leader,
            or None.
        """
        replica = self._node.replica
        addresses = self._known_addresses()
        if replica is not None and replica.leader_address():
            addresses.insert(0, replica.leader_address())
        tried = {self._own_address}
        hint: NotLeader | None = None
        while addresses:
            address = addresses.pop(0)
            if address in tried:
                continue
            tried.add(address)
            reply = await self._send_request(address, method, request)
            if reply is None:
                continue
            if not isinstance(reply.outcome, NotLeader):
                return reply.outcome
            if reply.outcome.leader:
                hint = reply.outcome
                addresses.insert(0, hint.leader)
        return hint

    async def _send_request(
        self, address: str, method: Method[_Request, _Reply], request: _Request
    ) -> _Reply | None:
        try:
            call = method.unary(self._peer_client.channel(address))
            return await call(request, timeout=REQUEST_TIMEOUT_SECONDS)
        except CALL_ERRORS as error:
            fault = str(error) or type(error).__name__
            _LOG.debug(
                "request to a replica failed",
                extra={"path": method.path, "address": address, "fault": fault},
            )
            return None

    def _known_addresses(self) -> list[str]:
        candidates = {*self._founding.seeds, *self._seeds}
        if self._node.replica is not None:
            candidates.update(member.address for member in self._node.replica.members.all_members())
        candidates.discard(self._own_address)
        addresses = sorted(candidates)
        random.shuffle(addresses)
        return addresses

    # At the leader.

    async def _serve_join(self, stream: Stream[JoinRequest, JoinReply]) -> None:
        request = await stream.recv_message()
        if request is not None:
            applicant = JoinCandidate(
                replica=request.replica, address=request.address, cluster=request.cluster
            )
            await stream.send_message(JoinReply(outcome=await self._answer_join(applicant)))

    async def _answer_join(self, applicant: JoinCandidate) -> Done | NotLeader | NotAMember:
        replica = self._node.replica
        if replica is None or not replica.is_leader or self._node.state_age() is None:
            return NotLeader(leader=replica.leader_address() if replica else "")
        decision = evaluate_candidate(replica.members, applicant)
        if decision.was_removed:
            return await self._confirm_removed(applicant)
        if decision.change is not None:
            self._try_change(decision.change)
        return Done()

    async def _confirm_removed(self, applicant: JoinCandidate) -> NotLeader | NotAMember:
        """Answer that a replica was removed, once a quorum confirms that this replica leads.

        The removed replica erases its disk on that answer, so a leader that was deposed in the
        meantime, or whose removal of the replica may still be undone, answers otherwise.
        """
        try:
            await self._node.confirm()
        except (NotLeaderError, UnavailableError) as error:
            _LOG.info(
                "removal of replica not confirmed",
                extra={"replica": applicant.replica, "why": str(error)},
            )
            return NotLeader(leader="")
        replica = self._node.replica
        if replica is None or not can_confirm_removal(replica):
            return NotLeader(leader="")
        was_removed = evaluate_candidate(replica.members, applicant).was_removed
        return NotAMember() if was_removed else NotLeader(leader="")

    async def _serve_leave(self, stream: Stream[LeaveRequest, LeaveReply]) -> None:
        request = await stream.recv_message()
        if request is not None:
            outcome = await self._answer_leave(request.replica)
            await stream.send_message(LeaveReply(outcome=outcome))

    async def _answer_leave(self, name: str) -> Done | NotLeader | LeavePending:
        """Answer whether a replica's process may end, and make the change that it needs."""
        try:
            # A leader that was deposed may not know of the latest members.
            await self._node.confirm()
        except NotLeaderError as error:
            return NotLeader(leader=error.leader)
        except UnavailableError:
            return NotLeader(leader="")
        replica = self._node.replica
        if replica is None or not replica.is_leader:
            return NotLeader(leader="")
        decision = evaluate_departure(
            replica.members, name, replica.seconds_since_reply, self._founding.voters
        )
        if decision.change is not None:
            self._try_change(decision.change)
        may_end = decision.may_end and replica.is_members_committed()
        return Done() if may_end else LeavePending()

    def _change_lost_member(self, replica: Replica) -> None:
        change = find_lost_member(
            replica.members,
            replica.seconds_since_reply,
            self._node.is_peer_refused,
            self._founding.voters,
        )
        if change is not None:
            self._try_change(change)

    def _try_change(self, change: MemberChange) -> None:
        """Change the group; if another change is in progress, a later check tries again."""
        replica = change.member.replica
        try:
            if isinstance(change, MemberRemoval):
                self._node.remove(replica)
                _LOG.info("replica removed", extra={"replica": replica, "reason": change.reason})
            elif isinstance(change, MemberDemotion):
                self._node.demote(replica)
                _LOG.info("replica demoted", extra={"replica": replica, "reason": change.reason})
            else:
                self._node.add(replica, change.member.address)
                _LOG.info("replica admitted", extra={"replica": replica})
        except (GroupChangeError, NotLeaderError) as error:
            _LOG.debug("group change postponed", extra={"replica": replica, "why": str(error)})
