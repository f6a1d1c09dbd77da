"""Terms, votes and elections of one replica."""

import random
from collections.abc import Callable
from typing import Final, Literal

from damsonlane.consensus._log import Log
from damsonlane.consensus._messages import HardState, VoteReply, VoteRequest
from damsonlane.consensus._outbox import Outbox

#: Bounds of the first election timeout after a start, as fractions of the election time.
#: It is shorter than later ones, since after a crash of the whole group there is no leader
#: to wait for.  The pre-vote prevents a restarted replica from disturbing a leader that
#: the others can reach.
INITIAL_ELECTION_RANGE: Final = (0.1, 0.6)

Standing = Literal["follower", "trial", "candidate", "leader"]


class Election:
    """The term of a replica, its vote, and the votes that it receives.

    Args:
        name: name of this replica.
        hard_state: the stored term and vote.
        log: the log of this replica.
        outbox: collects the messages to send.
        election_seconds: shortest time without a leader before an election.
        randomness: source of election timeouts.
        schedule: called with the seconds from now after which an election is due, instead of
            the time that was set before.
        on_win: called when this replica has become the leader.
        on_step_down: called when it follows, before the next election is scheduled.
    """

    def __init__(
        self,
        *,
        name: str,
        hard_state: HardState,
        log: Log,
        outbox: Outbox,
        election_seconds: float,
        randomness: random.Random,
        schedule: Callable[[float], None],
        on_win: Callable[[], None],
        on_step_down: Callable[[], None],
    ) -> None:
        self.term = hard_state.term
        self.voted_for = hard_state.voted_for
        self.standing: Standing = "follower"
        #: Name of the leader, or an empty string if it is not known.
        self.leader = ""
        self._name: Final = name
        self._log: Final = log
        self._outbox: Final = outbox
        self._election_seconds: Final = election_seconds
        self._randomness: Final = randomness
        self._schedule: Final = schedule
        self._on_win: Final = on_win
        self._on_step_down: Final = on_step_down
        self._votes: set[str] = set()
        self._leader_contact_at = float("-inf")
        self._has_known_leader = False
        self._reset()

    @property
    def hard_state(self) -> HardState:
        """The term and the vote, which must survive a crash."""
        return HardState(term=self.term, voted_for=self.voted_for)

    def start_pre_vote(self) -> None:
        """Ask for pre-votes, if this replica may be elected."""
        self.leader = ""
        if not self._may_campaign():
            self._reset()
            return
        self.standing = "trial"
        self._votes = {self._name}
        self._reset()
        self._request_votes(self.term + 1, is_trial=True)
        self._count_votes()

    def step_down(self, term: int, leader: str) -> None:
        """Follow in a term, which is the current or a later one.

        Args:
            term: the term.
            leader: its leader, or an empty string if it is not known.
        """
        if term > self.term:
            self.term = term
            self.voted_for = ""
            self._outbox.has_new_hard_state = True
        self.standing = "follower"
        self.leader = leader
        self._on_step_down()
        self._reset()

    def record_leader_contact(self, leader: str, term: int, now: float) -> None:
        """Follow the leader of a term, which is the current or a later one."""
        if term > self.term or self.standing != "follower":
            self.step_down(term, leader)
        self.leader = leader
        self._has_known_leader = True
        self._leader_contact_at = now
        self._reset()

    def receive_request(self, sender: str, request: VoteRequest, now: float) -> None:
        """Answer a request for a vote or a pre-vote."""
        if request.is_trial:
            self._receive_pre_vote(sender, request, now)
            return
        if request.term > self.term:
            self.step_down(request.term, "")
        is_granted = (
            request.term == self.term
            and self.voted_for in ("", sender)
            and self._is_log_up_to_date(request)
        )
        if is_granted:
            self.voted_for = sender
            self._outbox.has_new_hard_state = True
            self._reset()
        self._outbox.send(sender, VoteReply(term=self.term, is_granted=is_granted, is_trial=False))

    def receive_reply(self, sender: str, reply: VoteReply) -> None:
        """Count a vote or a pre-vote."""
        if not reply.is_granted:
            if reply.term > self.term:
                self.step_down(reply.term, "")
            return
        expected = self.term + 1 if reply.is_trial else self.term
        wanted: Standing = "trial" if reply.is_trial else "candidate"
        if self.standing == wanted and reply.term == expected:
            self._votes.add(sender)
            self._count_votes()

    def _receive_pre_vote(self, sender: str, request: VoteRequest, now: float) -> None:
        has_leader = self.standing == "leader" or (
            now - self._leader_contact_at < self._election_seconds and self.leader != ""
        )
        is_granted = (
            request.term > self.term and self._is_log_up_to_date(request) and not has_leader
        )
        term = request.term if is_granted else self.term
        self._outbox.send(sender, VoteReply(term=term, is_granted=is_granted, is_trial=True))

    def _start_election(self) -> None:
        self.standing = "candidate"
        self.term += 1
        self.voted_for = self._name
        self._outbox.has_new_hard_state = True
        self._votes = {self._name}
        self._reset()
        self._request_votes(self.term, is_trial=False)
        self._count_votes()

    def _count_votes(self) -> None:
        members = self._log.members
        granted = sum(1 for member in members.voters if member.replica in self._votes)
        if granted < members.quorum():
            return
        if self.standing == "trial":
            self._start_election()
        elif self.standing == "candidate":
            self.standing = "leader"
            self.leader = self._name
            self._has_known_leader = True
            self._on_win()

    def _reset(self) -> None:
        """Wait for a whole election timeout again."""
        low, high = (1.0, 2.0) if self._has_known_leader else INITIAL_ELECTION_RANGE
        share = self._randomness.uniform(low, high)
        self._schedule(share * self._election_seconds)

    def _may_campaign(self) -> bool:
        """Return whether this replica is a voter, or was before an uncommitted change.

        A replica that an uncommitted change removes may have the longest log, in
        which case nobody else can be elected.  Only votes of the new members count,
        so its own does not.
        """
        entry = self._log.members_entry()
        is_voter = self._log.members.is_voter(self._name)
        if is_voter or entry is None or entry.index <= self._log.commit:
            return is_voter
        return self._log.members_at(entry.index - 1).is_voter(self._name)

    def _request_votes(self, term: int, *, is_trial: bool) -> None:
        request = VoteRequest(
            term=term,
            last_index=self._log.last_index,
            last_term=self._log.last_term,
            is_trial=is_trial,
        )
        for member in self._log.members.voters:
            self._outbox.send(member.replica, request)

    def _is_log_up_to_date(self, request: VoteRequest) -> bool:
        own = (self._log.last_term, self._log.last_index)
        return (request.last_term, request.last_index) >= own
