"""Consecutive errors.

The ejection by counting that measurements compare with: one entry counts errors in
a row and caps the share of endpoints that it leaves out.
"""

import time

import attrs

from laburnumscale.loadtable import EndpointLoad
from laburnumscale.members import EndpointView
from laburnumscale_schema import peer_pb2

__all__ = ["ConsecutiveErrors"]

ERRORS_IN_A_ROW = 5
EJECTION_S = 30.0
HIGHEST_EJECTED_SHARE = 0.5
SERVER_ERROR = 500


@attrs.define
class _Count:
    errors: int = 0
    ejected_until_s: float = 0.0


class ConsecutiveErrors:
    """The counts of one entry."""

    def __init__(self) -> None:
        self._counts: dict[tuple[str, str], _Count] = {}

    def observe(self, view: EndpointView, reply: peer_pb2.CallReply) -> None:
        """Take the first reply of an attempt into account."""
        count = self._counts.setdefault((view.service, view.endpoint), _Count())
        bad = reply.HasField("unknown") or reply.head.status >= SERVER_ERROR
        if not bad:
            count.errors = 0
            return
        count.errors += 1
        if count.errors >= ERRORS_IN_A_ROW:
            count.errors = 0
            count.ejected_until_s = time.monotonic() + EJECTION_S

    def in_use(self, loads: list[EndpointLoad]) -> list[EndpointLoad]:
        """Return the endpoints that are not left out."""
        left_out = [load for load in loads if self._is_ejected(load.view)]
        allowed = int(len(loads) * HIGHEST_EJECTED_SHARE)
        dropped = {load.view.endpoint for load in left_out[:allowed]}
        return [load for load in loads if load.view.endpoint not in dropped]

    def _is_ejected(self, view: EndpointView) -> bool:
        count = self._counts.get((view.service, view.endpoint))
        return count is not None and time.monotonic() < count.ejected_until_s
