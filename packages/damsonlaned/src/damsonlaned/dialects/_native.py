"""The native dialect."""

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
    """Uses ``Damsonlane-`` headers and bodies that are the product's own types as JSON."""

    headers = HeaderNames(
        request_id="Damsonlane-Request-Id",
        deadline_ms="Damsonlane-Deadline-Ms",
        key="Authorization",
        key_scheme="Bearer ",
        organisation="Damsonlane-Organisation",
        target="Damsonlane-Target",
        target_start="Damsonlane-Target-Start",
        not_run="Damsonlane-Run-No",
        leaving="Damsonlane-Leaving",
        rate_limit="Damsonlane-Rate-Limit",
        rejection_limit="Damsonlane-Rejection-Limit",
        load="Damsonlane-Load",
        urgency="Damsonlane-Urgency",
        model="Damsonlane-Model",
        prefix="Damsonlane-Prefix",
        tokens="Damsonlane-Tokens",
        pieces="Damsonlane-Pieces",
        material_key="Damsonlane-Material-Key",
        inputs="Damsonlane-Inputs",
        last_event="Last-Event-Id",
        resumes="Damsonlane-Resumes",
        source="Damsonlane-Source",
    )
    paths = PathNames(
        ready="/readyz",
        targets="/v1/targets/",
        document="/v1/routes",
        evacuations="/v1/evacuations/",
        compute_pieces="/v1/pieces",
        release_results="/v1/pieces/free",
    )

    def make_pool_call(self, target: str, orders: Sequence[PieceOrder]) -> HttpRequest:
        """Return the call that has a pool target compute pieces."""
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
        return self._make_post(self.paths.compute_pieces, {"pieces": pieces}, target)

    def read_pool_reply(self, body: bytes, count: int) -> tuple[ComputedPiece, ...]:
        """Return the result of each piece, in the order of the call."""
        try:
            pieces = json.loads(body)["pieces"]
            results = tuple(
                ComputedPiece(handle=piece.get("handle", ""), fault=piece.get("fault", ""))
                for piece in pieces
            )
        except (ValueError, KeyError, TypeError, AttributeError):
            raise BadRequestError("the pool reply is malformed") from None
        self._check_count(len(results), count)
        return results

    def make_release_call(self, handles: Sequence[str]) -> HttpRequest:
        """Return the call that has a pool target release results."""
        return self._make_post(self.paths.release_results, {"handles": list(handles)})

    def read_heartbeat(self, target: str, body: bytes) -> TargetRecord:
        """Decode a heartbeat."""
        try:
            record = decode_bytes(body, TargetRecord)
        except ValidationError as error:
            raise BadRequestError(f"not a heartbeat: {error.errors()[0]['msg']}") from None
        if record.target != target:
            raise BadRequestError("the path and the body name different targets")
        return record

    def read_deregistration(self, body: bytes) -> int:
        """Return 0: deregistrations of this dialect have no body."""
        return 0

    def render_heartbeat_reply(self, address: str) -> HttpResponse:
        """Return the acknowledgement of a heartbeat."""
        return self._render_ok({"next_address": address} if address else {})

    def read_document(self, text: bytes) -> RoutingDocument:
        """Decode a routing document without checking its content."""
        try:
            return decode_bytes(text, RoutingDocument)
        except ValidationError as error:
            raise SettingsError(list_findings(error)) from None
