"""What the quarantine says about one request, at the targets that may serve it."""

import contextlib
from collections.abc import Callable, Collection
from dataclasses import replace
from typing import Final

from damsonlane.quarantine import (
    InterruptedRequest,
    QuarantinedRequest,
    RequestCauses,
    list_shared_causes,
)
from damsonlaned.quarantine._quarantine import Quarantine


class RequestQuarantine:
    """Finds out whether one request may be sent to targets, and to which versions of them.

    Args:
        quarantine: the quarantine of this entry.
        causes: what may make targets of the last step exit.
        service: service of the last step.
        stage_causes: what may make targets of the stages exit.
        stages: services of the stages.
        list_versions: returns the versions of the targets that may get the last step.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        *,
        causes: RequestCauses,
        service: str,
        stage_causes: RequestCauses,
        stages: Collection[str],
        list_versions: Callable[[], Collection[str]],
    ) -> None:
        self._quarantine: Final = quarantine
        self._causes: Final = causes
        self._service: Final = service
        self._stage_causes: Final = stage_causes
        self._stages: Final = stages
        self._list_versions: Final = list_versions
        #: Version of the target that has the request now; None if none has it.
        self._version: str | None = None
        #: What that target copies cached prompt segments from, as a cause; none if it does not.
        self._copies: tuple[str, ...] = ()

    def find(self) -> QuarantinedRequest | None:
        """Return why the request may be sent to no target, or why the one that has it may exit."""
        if self._quarantine.is_list_empty():
            return None
        if self._version is not None:
            return self._find_at(self._version)
        for service in self._stages:
            found = self._quarantine.find_quarantined(self._list_stage_names(service))
            if found is not None:
                return found
        versions = self._list_versions()
        found_at = [self._find_at(version) for version in versions]
        return found_at[0] if found_at and None not in found_at else None

    def is_quarantined(self) -> bool:
        """Return whether the request is quarantined."""
        return self.find() is not None

    def list_excluded_versions(self) -> frozenset[str]:
        """Return the versions whose targets may not get the request."""
        if self._quarantine.is_list_empty():
            return frozenset()
        return frozenset(
            version for version in self._list_versions() if self._find_at(version) is not None
        )

    def may_copy(self, source: str, version: str) -> bool:
        """Return whether a target may copy cached prompt segments from another one.

        Args:
            source: address of the other one.
            version: version of the target.
        """
        if self._quarantine.is_list_empty():
            return True
        causes = RequestCauses(shared=list_shared_causes(copy_source=source))
        return self._quarantine.find_quarantined(causes.list_names(self._service, version)) is None

    def begin_attempt(self, version: str, copy_source: str) -> None:
        """Record that a target gets the request.

        Args:
            version: version of the target.
            copy_source: address from which it copies cached prompt segments, or an empty string.
        """
        self._version = version
        self._copies = list_shared_causes(copy_source=copy_source)

    def end_attempt(self) -> None:
        """Record that no target has the request any more."""
        self._version = None
        self._copies = ()

    async def wait_until_confirmed(self) -> None:
        """Wait until it is known whether what the request shares is quarantined."""
        if self._quarantine.is_list_empty():
            return
        for service in self._stages:
            await self._quarantine.wait_until_confirmed(self._list_stage_names(service))
        for version in self._list_versions():
            await self._quarantine.wait_until_confirmed(self._list_names(version))

    async def wait_until_reported(self) -> None:
        """Wait for a limited time until control has the exits that this entry saw."""
        names = self._find_attempted().list_names(self._service, self._version or "")
        await self._quarantine.wait_until_reported(names)

    def watch(self, notify: Callable[[], None]) -> contextlib.AbstractContextManager[None]:
        """Return a context in which a function is called when the request is quarantined."""
        return self._quarantine.watch(self.is_quarantined, notify)

    def make_run(self, seconds: float) -> InterruptedRequest:
        """Return the record of an answer that broke off at the target that has the request.

        Args:
            seconds: time since the request was sent.
        """
        return self._make_run(self._version or "", self._copies, seconds)

    def make_run_at(self, version: str, copy_source: str, seconds: float) -> InterruptedRequest:
        """Return the record of an answer that broke off at a target which had the request.

        Args:
            version: version of the target.
            copy_source: address from which it copied cached prompt segments, or an empty string.
            seconds: time since the request was sent.
        """
        copies = list_shared_causes(copy_source=copy_source)
        return self._make_run(version, copies, seconds)

    def record_served(self) -> None:
        """Record that the target that has the request served it."""
        names = self._find_attempted().list_names(self._service, self._version or "")
        self._quarantine.record_served(names)

    def record_writing(self) -> None:
        """Record that the target has been writing the answer for a while.

        That shows nothing of the request as a whole, which may still exhaust the target's memory.
        """
        names = self._find_attempted().list_shared(self._service, self._version or "")
        self._quarantine.record_served(names)

    def _make_run(
        self, version: str, copies: tuple[str, ...], seconds: float
    ) -> InterruptedRequest:
        causes = replace(self._causes, shared=(*self._causes.shared, *copies))
        shared = causes.list_shared(self._service, version)
        return InterruptedRequest(fingerprint=self._causes.request, seconds=seconds, shared=shared)

    def _find_attempted(self) -> RequestCauses:
        """Return what may make the target that has the request exit."""
        return replace(self._causes, shared=(*self._causes.shared, *self._copies))

    def _find_at(self, version: str) -> QuarantinedRequest | None:
        return self._quarantine.find_quarantined(self._list_names(version))

    def _list_stage_names(self, service: str) -> frozenset[str]:
        return self._stage_causes.list_names(service, "")

    def _list_names(self, version: str) -> frozenset[str]:
        return self._causes.list_names(self._service, version)
