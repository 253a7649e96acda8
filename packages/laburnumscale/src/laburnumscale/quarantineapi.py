"""Quarantine API.

The HTTP interface through which operators see and release quarantined calls.
"""

from sanic import HTTPResponse, Request, Sanic
from sanic.response import json

from laburnumscale.quarantine import Quarantine
from laburnumscale.suspectcall import SuspectCall

__all__ = ["QuarantineApi"]

STATUS_NOT_FOUND = 404
STATUS_BAD_REQUEST = 400


class QuarantineApi:
    """Handles the requests of operators that concern quarantined calls."""

    def __init__(self, quarantine: Quarantine) -> None:
        self._quarantine = quarantine

    def add_routes(self, app: Sanic) -> None:
        """Add the routes to the HTTP application for operators."""
        app.add_route(self.get_calls, "/v1/quarantine")
        app.add_route(
            self.release_call,
            "/v1/quarantine/<fingerprint:str>/release",
            methods=["POST"],
        )

    async def get_calls(self, request: Request) -> HTTPResponse:
        """Return the calls that are suspect or refused."""
        calls = [_to_dict(each) for each in self._quarantine.suspects()]
        return json({"calls": calls})

    async def release_call(self, request: Request, fingerprint: str) -> HTTPResponse:
        """Release a call in the whole fleet; its earlier ends of targets are void."""
        try:
            key = bytes.fromhex(fingerprint)
        except ValueError:
            error = f"fingerprint {fingerprint!r} is not hexadecimal"
            return json({"error": error}, status=STATUS_BAD_REQUEST)
        if self._quarantine.release(key):
            return json({"released": fingerprint})
        error = f"no suspect call has the fingerprint {fingerprint}"
        return json({"error": error}, status=STATUS_NOT_FOUND)


def _to_dict(suspect: SuspectCall) -> dict:
    return {
        "fingerprint": suspect.fingerprint.hex(),
        "service": suspect.service,
        "method": suspect.method,
        "path": suspect.path,
        "target_ends": len(suspect.target_ends),
        "refused_for_ms": suspect.refusal_deadline.left_ms(),
        "expires_in_ms": suspect.expiry_deadline.left_ms(),
    }
