"""Rate limits at control: told to all replicas, and permits from whoever leads."""

from damsonlane.backoff import TargetStart
from damsonlane.ratelimit import Permit, PermitOrder, RateWord
from damsonlane_rpc import PermitRequest
from damsonlaned.control.tests.boxes import PATIENCE, Box, GroupCase

TARGET = TargetStart(target="encode/t1", address="127.0.0.1:9")
#: Requests a second, so few that the next permit comes long after any test.
RATE = 0.1


class RateLimitServiceTest(GroupCase):
    async def ask(self, *words: RateWord, count: int = 1) -> tuple[Permit, ...]:
        """Ask whichever replica leads for permits."""
        orders = tuple(PermitOrder(number=number, targets=(TARGET,)) for number in range(count))
        request = PermitRequest(service="encode", orders=orders, words=words)
        return await self.running[0].client.ask_permits(request, PATIENCE)

    def find_leader(self) -> Box:
        return next(box for box in self.running if box.leads())

    def know(self, rate: float | None) -> bool:
        """Tell whether all replicas know a rate of the target."""
        known = [
            {word.named: word.rate for word in box.node.state.rate_limits.list_all().words}
            for box in self.running
        ]
        return all(rates.get(TARGET) == rate for rates in known)

    async def test_all_boxes_hear_when_a_limit_begins_and_ends(self) -> None:
        await self.start(0, 1, 2, is_first_start=True)
        await self.wait_for_voters(0, 1, 2)
        await self.ask(RateWord(named=TARGET, rate=RATE), count=0)
        await self.wait(lambda: self.know(RATE), "not all replicas know the limit")
        await self.ask(RateWord(named=TARGET, rate=None), count=0)
        await self.wait(lambda: self.know(None), "not all replicas know its end")

    async def test_a_new_leader_knows_the_limit_and_starts_with_nothing(self) -> None:
        await self.start(0, 1, 2, is_first_start=True)
        await self.wait_for_voters(0, 1, 2)
        await self.ask(RateWord(named=TARGET, rate=RATE))
        await self.wait(lambda: self.know(RATE), "not all replicas know the limit")
        old = self.find_leader()
        await self.stop(self.addresses.index(old.address))
        await self.wait(lambda: any(box.leads() for box in self.running), "nobody leads")
        permits = await self.ask(count=3)
        self.assertEqual([permit.target for permit in permits], ["", "", ""])
        self.assertGreater(permits[0].wait_seconds, 1.0)

    async def test_without_a_leader_nothing_is_issued(self) -> None:
        await self.start(0, 1, 2, is_first_start=True)
        await self.wait_for_voters(0, 1, 2)
        leader = self.find_leader()
        others = [box for box in self.running if box is not leader]
        await self.stop(*(self.addresses.index(box.address) for box in others))
        await self.wait(lambda: not leader.leads(), "a leader without a quorum goes on")
        request = PermitRequest(service="encode")
        reply = leader.limits._take(request)
        self.assertEqual(reply.outcome.kind, "not-leader")
