"""Max-min division of a capacity."""

import math
import unittest

from hypothesis import given
from hypothesis import strategies as st

from damsonlane.fairness import FLOOR_SHARE, Demand, divide_capacity

_DEMANDS = st.dictionaries(
    st.sampled_from("abcdefghij"),
    st.builds(
        Demand,
        amount=st.floats(min_value=0.01, max_value=1000.0),
        weight=st.floats(min_value=0.1, max_value=10.0),
    ),
    min_size=1,
)


def divide(capacity: float, **amounts: float) -> dict[str, float]:
    demands = {name: Demand(amount=amount) for name, amount in amounts.items()}
    parts = divide_capacity(capacity, demands)
    return {name: round(part, 6) for name, part in parts.items()}


class DivisionTest(unittest.TestCase):
    def test_all_demands_that_fit_are_unlimited(self) -> None:
        self.assertEqual(divide(10.0, a=6.0, b=4.0), {"a": math.inf, "b": math.inf})

    def test_what_one_leaves_is_divided_among_the_others(self) -> None:
        self.assertEqual(divide(10.0, a=2.0, b=9.0, c=9.0), {"a": 4.0, "b": 4.0, "c": 4.0})

    def test_weights_divide_in_their_ratio(self) -> None:
        demands = {"a": Demand(amount=90.0, weight=3.0), "b": Demand(amount=90.0)}
        parts = divide_capacity(8.0, demands)
        self.assertAlmostEqual(parts["a"], 6.0)
        self.assertAlmostEqual(parts["b"], 2.0)

    def test_a_demand_of_ten_times_the_share_gets_a_quarter_of_the_usual_part(self) -> None:
        """Guards against serving the worst-served organisation hardly at all."""
        names = "bcdefghijklmnop"
        parts = divide(16.0, a=10.0, **dict.fromkeys(names, 1.0))
        self.assertAlmostEqual(parts["a"], 10.0 * FLOOR_SHARE * 16.0 / 25.0)
        self.assertAlmostEqual(parts["b"], (16.0 - parts["a"]) / len(names), places=5)

    def test_no_capacity_is_divided_without_error(self) -> None:
        """Guards against an error while a pool has no usable target."""
        self.assertEqual(divide(0.0, a=1.0, b=2.0), {"a": 0.0, "b": 0.0})

    @given(demands=_DEMANDS, share=st.floats(min_value=0.05, max_value=0.95))
    def test_granted_work_fills_the_capacity_and_no_more(
        self, demands: dict[str, Demand], share: float
    ) -> None:
        """Guards against idle capacity, and against granting what does not exist."""
        capacity = share * sum(demand.amount for demand in demands.values())
        parts = divide_capacity(capacity, demands)
        granted = sum(min(demand.amount, parts[name]) for name, demand in demands.items())
        self.assertAlmostEqual(granted / capacity, 1.0, places=5)


if __name__ == "__main__":
    unittest.main()
