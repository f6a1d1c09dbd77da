"""Rate limits at control: replication, and permits from the leader."""

from damsonlane.backoff import TargetIncarnation
from damsonlane.ratelimit import Permit, PermitRequest, RateLimitReport
from damsonlane_rpc import PermitBatchRequest
from damsonlaned.control.tests.boxes import TEST_TIMEOUT_SECONDS, Box, GroupCase

TARGET = TargetIncarnation(target="encode/t1", address="127.0.0.1:9")
#: Requests a second; so low that no test lasts until the next permit.
RATE = 0.1


class RateLimitServiceTest(GroupCase):
    async def request_permits(
        self, *reports: RateLimitReport, count: int = 1
    ) -> tuple[Permit, ...]:
        """Request permits from the leader."""
        orders = tuple(PermitRequest(number=number, targets=(TARGET,)) for number in range(count))
        request = PermitBatchRequest(service="encode", orders=orders, words=reports)
        return await self.running[0].client.request_permits(request, TEST_TIMEOUT_SECONDS)

    def find_leader(self) -> Box:
        return next(box for box in self.running if box.is_leader())

    def is_replicated(self, rate: float | None) -> bool:
        """Return whether all replicas hold a rate for the target."""
        known = [
            {report.named: report.rate for report in box.node.state.rate_limits.list_all().words}
            for box in self.running
        ]
        return all(rates.get(TARGET) == rate for rates in known)

    async def test_the_begin_and_end_of_a_limit_are_replicated(self) -> None:
        await self.start(0, 1, 2, is_first_start=True)
        await self.wait_for_voters(0, 1, 2)
        await self.request_permits(RateLimitReport(named=TARGET, rate=RATE), count=0)
        await self.wait(lambda: self.is_replicated(RATE), "not all replicas know the limit")
        await self.request_permits(RateLimitReport(named=TARGET, rate=None), count=0)
        await self.wait(
            lambda: self.is_replicated(None), "not all replicas know the end of the limit"
        )

    async def test_a_new_leader_knows_the_limit_and_starts_with_an_empty_bucket(self) -> None:
        await self.start(0, 1, 2, is_first_start=True)
        await self.wait_for_voters(0, 1, 2)
        await self.request_permits(RateLimitReport(named=TARGET, rate=RATE))
        await self.wait(lambda: self.is_replicated(RATE), "not all replicas know the limit")
        old = self.find_leader()
        await self.stop(self.addresses.index(old.address))
        await self.wait(lambda: any(box.is_leader() for box in self.running), "no box leads")
        permits = await self.request_permits(count=3)
        self.assertEqual([permit.target for permit in permits], ["", "", ""])
        self.assertGreater(permits[0].wait_seconds, 1.0)

    async def test_no_permits_without_a_leader(self) -> None:
        await self.start(0, 1, 2, is_first_start=True)
        await self.wait_for_voters(0, 1, 2)
        leader = self.find_leader()
        others = [box for box in self.running if box is not leader]
        await self.stop(*(self.addresses.index(box.address) for box in others))
        await self.wait(
            lambda: not leader.is_leader(), "a leader without a quorum does not step down"
        )
        request = PermitBatchRequest(service="encode")
        reply = leader.limits._answer(request)
        self.assertEqual(reply.outcome.kind, "not-leader")
