"""Consecutive errors.

Implements the ejection policy "consecutive-errors", which benchmarks compare with:
each entry counts errors in a row and limits the share of endpoints that it ejects.
"""

import time

import attrs

from laburnumscale.loadtable import EndpointLoad
from laburnumscale.members import EndpointView
from laburnumscale_schema import peer_pb2

__all__ = ["ConsecutiveErrors"]

EJECTION_THRESHOLD = 5
EJECTION_DURATION_S = 30.0
MAX_EJECTED_SHARE = 0.5
SERVER_ERROR = 500


@attrs.define
class _ErrorCount:
    errors: int = 0
    ejected_until_s: float = 0.0


class ConsecutiveErrors:
    """The error counts of one entry, by service and endpoint."""

    def __init__(self) -> None:
        self._counts: dict[tuple[str, str], _ErrorCount] = {}

    def record_reply(self, view: EndpointView, reply: peer_pb2.CallReply) -> None:
        """Count the first reply of an attempt, and eject the endpoint if needed."""
        count = self._counts.setdefault((view.service, view.endpoint), _ErrorCount())
        failed = reply.HasField("unknown") or reply.head.status >= SERVER_ERROR
        if not failed:
            count.errors = 0
            return
        count.errors += 1
        if count.errors >= EJECTION_THRESHOLD:
            count.errors = 0
            count.ejected_until_s = time.monotonic() + EJECTION_DURATION_S

    def exclude_ejected(self, loads: list[EndpointLoad]) -> list[EndpointLoad]:
        """Return the endpoints without the ejected ones.

        At most ``MAX_EJECTED_SHARE`` of the endpoints are removed.
        """
        ejected = [load for load in loads if self._is_ejected(load.view)]
        max_ejected = int(len(loads) * MAX_EJECTED_SHARE)
        excluded = {load.view.endpoint for load in ejected[:max_ejected]}
        return [load for load in loads if load.view.endpoint not in excluded]

    def _is_ejected(self, view: EndpointView) -> bool:
        count = self._counts.get((view.service, view.endpoint))
        return count is not None and time.monotonic() < count.ejected_until_s
