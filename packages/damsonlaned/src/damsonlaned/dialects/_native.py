"""The product's own dialect."""

import json
from collections.abc import Sequence
from typing import final

from pydantic import ValidationError

from damsonlane.codec import decode_bytes
from damsonlane.errors import SettingsError
from damsonlane.findings import list_findings
from damsonlane.pools import PieceOrder
from damsonlane.routes import RoutingDocument
from damsonlane.targets import TargetRecord
from damsonlaned.dialects._header_dialect import HeaderDialect
from damsonlaned.dialects._interface import dialect
from damsonlaned.dialects._names import HeaderNames, PathNames
from damsonlaned.dialects._types import BadRequestError, ComputedPiece
from damsonlaned.http import HttpRequest, HttpResponse


@final
@dialect("damsonlane")
class NativeDialect(HeaderDialect):
    """Headers that begin with ``Damsonlane-`` and bodies that are our own types as JSON."""

    headers = HeaderNames(
        request_id="Damsonlane-Request-Id",
        deadline_ms="Damsonlane-Deadline-Ms",
        key="Authorization",
        key_scheme="Bearer ",
        organisation="Damsonlane-Organisation",
        target="Damsonlane-Target",
        not_run="Damsonlane-Run-No",
        leaving="Damsonlane-Leaving",
        rate_limit="Damsonlane-Rate-Limit",
        load="Damsonlane-Load",
        urgency="Damsonlane-Urgency",
        prefix="Damsonlane-Prefix",
        tokens="Damsonlane-Tokens",
        pieces="Damsonlane-Pieces",
        material_key="Damsonlane-Material-Key",
        inputs="Damsonlane-Inputs",
        last_event="Last-Event-Id",
        source="Damsonlane-Source",
    )
    paths = PathNames(
        ready="/readyz",
        targets="/v1/targets/",
        document="/v1/routes",
        evacuations="/v1/evacuations/",
        make_pieces="/v1/pieces",
        free_results="/v1/pieces/free",
    )

    def make_pool_call(self, target: str, orders: Sequence[PieceOrder]) -> HttpRequest:
        """Return the call that makes pieces."""
        pieces = [
            {
                "request": order.request,
                "stage": order.stage,
                "piece": order.piece,
                "left_seconds": order.left_seconds,
                "material_key": order.material_key,
                "inputs": order.inputs,
            }
            for order in orders
        ]
        return self._post(self.paths.make_pieces, {"pieces": pieces}, target)

    def read_pool_reply(self, body: bytes, count: int) -> tuple[ComputedPiece, ...]:
        """Return what became of each piece, in the order of the call."""
        try:
            pieces = json.loads(body)["pieces"]
            made = tuple(
                ComputedPiece(handle=piece.get("handle", ""), fault=piece.get("fault", ""))
                for piece in pieces
            )
        except (ValueError, KeyError, TypeError, AttributeError):
            raise BadRequestError("the reply holds no pieces") from None
        self._check_count(len(made), count)
        return made

    def make_release_call(self, handles: Sequence[str]) -> HttpRequest:
        """Return the call that gives results up."""
        return self._post(self.paths.free_results, {"handles": list(handles)})

    def read_heartbeat(self, target: str, body: bytes) -> TargetRecord:
        """Return what a target says of itself."""
        try:
            record = decode_bytes(body, TargetRecord)
        except ValidationError as error:
            raise BadRequestError(f"not a heartbeat: {error.errors()[0]['msg']}") from None
        if record.target != target:
            raise BadRequestError("the path and the body name different targets")
        return record

    def read_departure(self, body: bytes) -> int:
        """Return the start of a target that leaves; its call has no body."""
        return 0

    def render_heartbeat_reply(self, address: str) -> HttpResponse:
        """Return the acknowledgement of a heartbeat."""
        return self._accept({"next_address": address} if address else {})

    def read_document(self, text: bytes) -> RoutingDocument:
        """Return the routing document in a text, unchecked."""
        try:
            return decode_bytes(text, RoutingDocument)
        except ValidationError as error:
            raise SettingsError(list_findings(error)) from None
