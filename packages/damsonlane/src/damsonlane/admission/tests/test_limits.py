"""Limits of requests in flight, and forecasts of the time of a stage."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from damsonlane.admission import AdmissionRequest, InFlightLimits, ServiceMeter, WorkClass

_WORK = WorkClass(organisation="o", pipeline="p", stage="s")


def _make_request(
    name: str, weight: float = 1.0, limit: int = 12, own_limit: int = 0
) -> AdmissionRequest:
    return AdmissionRequest(
        organisation=name, lane="standard", weight=weight, limit=limit, own_limit=own_limit
    )


def _fill(
    limits: InFlightLimits, request: AdmissionRequest, attempts: int, now: float = 0.0
) -> int:
    return sum(limits.try_acquire(request, now) for _ in range(attempts))


class InFlightLimitsTest(unittest.TestCase):
    def test_a_single_organisation_may_use_the_whole_limit(self) -> None:
        self.assertEqual(_fill(InFlightLimits(), _make_request("a"), 20), 12)

    def test_a_borrowed_share_is_available_at_once(self) -> None:
        limits = InFlightLimits()
        _fill(limits, _make_request("a"), 20)
        self.assertEqual(_fill(limits, _make_request("b", weight=2.0), 20), 8)
        self.assertEqual(_fill(limits, _make_request("a"), 20), 0)

    def test_lanes_are_independent(self) -> None:
        limits = InFlightLimits()
        _fill(limits, _make_request("a"), 20)
        lookup = AdmissionRequest(organisation="a", lane="lookup", weight=1, limit=3)
        self.assertEqual(_fill(limits, lookup, 9), 3)

    def test_the_limit_of_an_organisation_applies_over_all_lanes(self) -> None:
        self.assertEqual(_fill(InFlightLimits(), _make_request("a", own_limit=5), 20), 5)

    def test_a_completed_request_makes_room_for_another(self) -> None:
        limits = InFlightLimits()
        request = _make_request("a")
        _fill(limits, request, 20)
        limits.release(request)
        self.assertEqual((_fill(limits, request, 5), limits.in_flight()), (1, 12))

    @settings(derandomize=True, database=None, max_examples=200)
    @given(
        st.lists(st.tuples(st.sampled_from("abc"), st.booleans(), st.floats(0, 3)), max_size=120)
    )
    def test_bounds_hold_whatever_comes(self, moves: list[tuple[str, bool, float]]) -> None:
        """Whoever is within its share gets in, and a lane never holds twice its limit."""
        limits, inside, now = InFlightLimits(), {"a": 0, "b": 0, "c": 0}, 0.0
        weights = {"a": 1.0, "b": 2.0, "c": 3.0}
        for name, enters, pause in moves:
            now += pause
            request = _make_request(name, weight=weights[name])
            if not enters:
                if inside[name]:
                    limits.release(request)
                    inside[name] -= 1
                continue
            is_inside = limits.try_acquire(request, now)
            if inside[name] < int(12 * weights[name] / 6) and sum(inside.values()) < 24:
                self.assertTrue(is_inside, "an organisation within its least share was refused")
            inside[name] += is_inside
            self.assertLessEqual(limits.in_flight(), 24)


class ServiceMeterTest(unittest.TestCase):
    def test_the_forecast_is_zero_before_the_first_sample(self) -> None:
        self.assertEqual(ServiceMeter().predict(_WORK, 0.0), 0.0)

    def test_without_queueing_the_forecast_is_the_usual_time(self) -> None:
        meter = ServiceMeter()
        for number in range(50):
            meter.begin()
            meter.finish(_WORK, number * 0.1, 0.1)
        self.assertAlmostEqual(meter.predict(_WORK, 5.0), 0.1)

    def test_with_queueing_the_forecast_follows_littles_law(self) -> None:
        meter = ServiceMeter()
        meter.begin()
        meter.finish(_WORK, 0.0, 0.1)
        for _ in range(60):
            meter.begin()
        for number in range(20):
            meter.finish(_WORK, 1.0 + number * 0.05, 1.0)
        self.assertAlmostEqual(meter.predict(_WORK, 1.95), 2.05, delta=0.25)

    def test_the_forecast_recovers_while_the_service_is_idle(self) -> None:
        """Guards against refusing forever because only new answers could correct the forecast."""
        meter = ServiceMeter()
        for number in range(50):
            meter.begin()
            meter.finish(_WORK, 0.0, 0.1 if number == 0 else 5.0)
        self.assertLess(meter.predict(_WORK, 10.0), 1.5)


if __name__ == "__main__":
    unittest.main()
