"""Requests go to targets that serve their model, and streams on to the same weights if they can."""

import unittest
from dataclasses import replace

from damsonlane.targets import ServedModel, TargetRecord
from damsonlaned.gateway.tests.fleet import Fleet
from damsonlaned.gateway.tests.harness import DOCUMENT, Response
from damsonlaned.versions.tests.streams import (
    EVENT_COUNT,
    VersionedTarget,
    begin,
    read_events,
    resume,
)

#: Requests in each case.
REQUEST_COUNT = 8


class ModelsTest(unittest.IsolatedAsyncioTestCase):
    async def start_fleet(self, **models: tuple[ServedModel, ...]) -> None:
        """Start two entries and one target for each name, which reports these models."""
        self.records: dict[str, TargetRecord] = {}
        for name, reported in models.items():
            target = VersionedTarget(name, name)
            self.addAsyncCleanup(target.stop)
            # The events name the target; the registered versions are equal.
            self.records[name] = replace(await target.start(), version="v1", models=reported)
        self.fleet = Fleet(2, DOCUMENT)
        await self.fleet.start(self, list(self.records.values()))

    async def request(self, number: int, model: str) -> Response:
        return await self.fleet.entries[0].call(
            "/chat/a", headers=f"Damsonlane-Model: {model}\r\n", request_id=f"a{number}"
        )

    async def list_targets(self, model: str) -> set[str]:
        """Return the names of the targets that served requests for a model."""
        responses = [await self.request(number, model) for number in range(REQUEST_COUNT)]
        return {event.version for response in responses for event in read_events(response)}

    async def test_a_request_goes_to_targets_that_serve_its_model(self) -> None:
        await self.start_fleet(t1=(ServedModel(name="m"),), t2=(ServedModel(name="n"),))
        self.assertEqual(await self.list_targets("m"), {"t1"})
        self.assertEqual(await self.list_targets("n"), {"t2"})

    async def test_a_target_that_reports_no_models_serves_any(self) -> None:
        await self.start_fleet(t1=(), t2=(ServedModel(name="n"),))
        self.assertEqual(await self.list_targets("m"), {"t1", "t2"})

    async def test_a_model_that_no_target_reports_goes_to_any(self) -> None:
        await self.start_fleet(t1=(ServedModel(name="m"),), t2=(ServedModel(name="n"),))
        self.assertEqual(await self.list_targets("alias"), {"t1", "t2"})

    async def test_a_stream_goes_on_at_its_weights_while_a_target_has_them(self) -> None:
        old, new = ServedModel(name="m", weights=1), ServedModel(name="m", weights=2)
        await self.start_fleet(t1=(old,), t2=(new,), t3=(new,))
        for number in range(REQUEST_COUNT):
            events = await begin(self.fleet.entries[0], f"b{number}", model="m")
            response = await resume(
                self.fleet.entries[1], f"c{number}", f"b{number}", events, model="m"
            )
            went_on = {event.version for event in read_events(response)}
            first = events[0].version
            self.assertLessEqual(went_on, {"t1"} if first == "t1" else {"t2", "t3"})

    async def test_a_stream_goes_on_at_other_weights_if_none_are_left(self) -> None:
        old, new = ServedModel(name="m", weights=1), ServedModel(name="m", weights=2)
        await self.start_fleet(t1=(old,))
        events = await begin(self.fleet.entries[0], "b", model="m")
        self.fleet.put_targets(replace(self.records["t1"], models=(new,)))
        response = await resume(self.fleet.entries[1], "c", "b", events, model="m")
        numbers = [event.number for event in [*events, *read_events(response)]]
        self.assertEqual(numbers, list(range(1, EVENT_COUNT + 1)))


if __name__ == "__main__":
    unittest.main()
