"""The budget of buffered bytes, with a replay of slow callers and without a network."""

import random
import unittest
from collections import Counter
from dataclasses import dataclass, field

from damsonlane.buffers import BufferAccount, BufferBudget
from damsonlane.buffers._budget import (
    BLOCKED_SECONDS,
    LARGEST_WINDOW,
    LEAST_WINDOW,
    STALLED_SECONDS,
)

#: Size of the parts in which targets send.
PART_BYTES = 16 * 1024
#: Bytes for a caller beyond which the next part waits.
UNSENT_BYTES = 64 * 1024


@dataclass(kw_only=True)
class Caller:
    """A caller with a rate, for which parts arrive from its target."""

    account: BufferAccount
    #: Bytes that it takes a second.
    rate: float
    #: Bytes that its target has still to send.
    left: int
    #: Whether it was disconnected.
    is_evicted: bool = field(default=False)
    #: Longest time in seconds for which its target had to wait.
    longest_wait: float = field(default=0.0)


class Replay:
    """Callers of a box: targets send as fast as they may, callers take bytes at their rates."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.budget = BufferBudget(limit)
        self.now = 0.0
        self.callers: list[Caller] = []
        self.most = 0
        self.reasons: Counter[str] = Counter()

    def add(self, organisation: str, rate: float, size: int) -> Caller:
        account = self.budget.open(self.now)
        self.budget.assign(account, organisation)
        caller = Caller(account=account, rate=rate, left=size)
        self.callers.append(caller)
        return caller

    def step(self, seconds: float = 0.25) -> None:
        self.now += seconds
        for caller in self.callers:
            if not caller.is_evicted:
                self._move(caller, seconds)
        self.evict()

    def _move(self, caller: Caller, seconds: float) -> None:
        account = caller.account
        taken = min(account.unsent, int(caller.rate * seconds))
        self.budget.set_unsent(account, account.unsent - taken, self.now)
        unread = account.unread.get("target", 0)
        if account.unsent <= UNSENT_BYTES and unread:
            self.budget.set_unread(account, "target", 0)
            self.budget.set_unsent(account, account.unsent + unread, self.now, unread)
            unread = 0
            account.paused_at = None
        while caller.left and self.budget.may_read(account):
            part = min(PART_BYTES, caller.left)
            caller.left -= part
            unread += part
            self.budget.set_unread(account, "target", unread)
            self.most = max(self.most, self.budget.total)
            if self.budget.total > self.limit:
                self.evict()
                if caller.is_evicted:
                    return
        if caller.left and not self.budget.may_read(account):
            if account.paused_at is None:
                account.paused_at = self.now
            caller.longest_wait = max(caller.longest_wait, self.now - account.paused_at)
        else:
            account.paused_at = None

    def evict(self) -> None:
        for eviction in self.budget.list_evictions(self.now):
            self.reasons[eviction.reason] += 1
            self.budget.close(eviction.account)
            for caller in self.callers:
                if caller.account is eviction.account:
                    caller.is_evicted = True


class ReplayTest(unittest.TestCase):
    def test_the_limit_holds_for_all_connections_of_a_box(self) -> None:
        """Guards against 4,100 connections that buffer more than the memory of their box."""
        limit = 40 * 2**20
        randomness = random.Random(1)
        replay = Replay(limit)
        for number in range(4_100):
            rate = randomness.choice((0.0, 2_000.0, 1e5, 1e7))
            replay.add(f"org-{number % 16}", rate, 400_000)
        for _ in range(4):
            replay.step()
        self.assertLessEqual(replay.most, limit + PART_BYTES)
        evicted = [caller.rate for caller in replay.callers if caller.is_evicted]
        kept = [caller.rate for caller in replay.callers if not caller.is_evicted]
        self.assertGreater(replay.reasons["budget"], 0)
        # Callers that read quickly outlive those that don't read at all.
        self.assertGreater(evicted.count(0.0) / len(evicted), kept.count(0.0) / len(kept))

    def test_a_caller_that_reads_nothing_does_not_make_its_target_wait(self) -> None:
        """Guards against targets that cut off an answer or crash since nobody reads it."""
        replay = Replay(40 * 2**20)
        silent = replay.add("a", 0.0, 10**7)
        quick = replay.add("a", 1e7, 2 * 10**6)
        for _ in range(40):
            replay.step()
        self.assertTrue(silent.is_evicted)
        self.assertLessEqual(silent.longest_wait, BLOCKED_SECONDS + 0.25)
        self.assertFalse(quick.is_evicted)
        self.assertEqual((quick.left, replay.budget.total), (0, 0))
        self.assertEqual(replay.reasons, {"blocked": 1})

    def test_a_complete_answer_that_nobody_takes_is_dropped(self) -> None:
        """Guards against memory that is held forever for callers that went away silently."""
        replay = Replay(40 * 2**20)
        silent = replay.add("a", 0.0, 50_000)
        slow = replay.add("a", 500.0, 50_000)
        for _ in range(int(STALLED_SECONDS * 4) + 8):
            replay.step()
        self.assertTrue(silent.is_evicted)
        self.assertFalse(slow.is_evicted)

    def test_an_organisation_within_its_share_keeps_its_callers(self) -> None:
        """Guards against a wave of slow callers that disconnects those of other organisations."""
        replay = Replay(2 * 2**20)
        small = [replay.add("small", 20_000.0, 60_000) for _ in range(5)]
        for _ in range(100):
            replay.add("large", 0.0, 400_000)
        for _ in range(8):
            replay.step()
        self.assertGreater(replay.reasons["budget"], 0)
        self.assertFalse(any(caller.is_evicted for caller in small))


class BudgetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.budget = BufferBudget(1_000_000)

    def open(self, organisation: str, unread: int) -> BufferAccount:
        account = self.budget.open(0.0)
        self.budget.assign(account, organisation)
        self.budget.set_unread(account, "target", unread)
        return account

    def test_windows_shrink_as_the_budget_fills(self) -> None:
        """Guards against reading that goes on until callers have to be disconnected."""
        first = self.open("a", LARGEST_WINDOW - 1)
        self.assertTrue(self.budget.may_read(first))
        second = self.open("b", 300_000)
        self.assertFalse(self.budget.may_read(first))
        third = self.open("c", LEAST_WINDOW - 1)
        self.assertTrue(self.budget.may_read(third))
        self.budget.close(second)
        self.assertTrue(self.budget.may_read(first))

    def test_counts_return_to_zero(self) -> None:
        """Guards against a budget that shrinks with each connection."""
        for seed in range(50):
            randomness = random.Random(seed)
            accounts = [self.budget.open(0.0) for _ in range(10)]
            for step in range(200):
                account = randomness.choice(accounts)
                size = randomness.randrange(50_000)
                match randomness.randrange(4):
                    case 0:
                        self.budget.set_unread(account, randomness.randrange(3), size)
                    case 1:
                        self.budget.set_unsent(account, size, step * 0.1, size)
                    case 2:
                        self.budget.assign(account, randomness.choice("abc"))
                    case _:
                        self.budget.close(account)
                        self.budget.set_unsent(account, size, step * 0.1)
            for account in accounts:
                self.budget.close(account)
            self.assertEqual(self.budget.total, 0)
            self.assertEqual(self.budget.list_backlogs(), ())
            self.assertEqual(self.budget.list_evictions(10_000.0), ())


if __name__ == "__main__":
    unittest.main()
