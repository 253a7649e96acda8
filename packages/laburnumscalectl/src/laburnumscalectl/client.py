"""Client.

Talks to the operator address of one daemon.
"""

import http.client
import json
import urllib.error
import urllib.request
from dataclasses import dataclass
from typing import ClassVar

from google.protobuf import json_format

from laburnumscale.errors import LaburnumscaleError
from laburnumscale_schema import settings_pb2

__all__ = ["DaemonRefused", "DaemonUnreachable", "OperatorClient"]

TIMEOUT_S = 15.0


@dataclass(eq=False)
class DaemonUnreachable(LaburnumscaleError):
    """The daemon did not answer."""

    url: str
    reason: str
    template: ClassVar[str] = "{url}: no answer: {reason}"


@dataclass(eq=False)
class DaemonRefused(LaburnumscaleError):
    """The daemon refused the request."""

    url: str
    status: int
    reason: str
    template: ClassVar[str] = "{url}: status {status}: {reason}"


class OperatorClient:
    """Requests to one daemon.

    :param address: ``IP:PORT`` of the daemon for operators.
    """

    def __init__(self, address: str) -> None:
        self._base = f"http://{address}"

    def status(self) -> dict:
        """Return the daemon's view of the fleet."""
        return self._request("GET", "/v1/status")

    def settings(self) -> settings_pb2.Snapshot:
        """Return the daemon's settings tree."""
        value = self._request("GET", "/v1/settings")
        return json_format.ParseDict(value, settings_pb2.Snapshot())

    def publish(self, change: settings_pb2.Change) -> settings_pb2.ChangeOutcome:
        """Publish a change and return what became of it."""
        body = json_format.MessageToJson(change).encode()
        value = self._request("POST", "/v1/changes", body)
        return json_format.ParseDict(value, settings_pb2.ChangeOutcome())

    def drain(self, service: str, endpoint: str) -> None:
        """Drain a target beside the daemon."""
        self._request("POST", f"/v1/drain/{service}/{endpoint}", b"")

    def _request(self, method: str, path: str, body: bytes | None = None) -> dict:
        url = self._base + path
        request = urllib.request.Request(url, data=body, method=method)
        opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
        try:
            with opener.open(request, timeout=TIMEOUT_S) as response:
                return json.loads(response.read())
        except urllib.error.HTTPError as error:
            reason = error.read().decode(errors="replace").strip()
            raise DaemonRefused(url, error.code, reason) from error
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise DaemonUnreachable(url, str(error)) from error
