"""Client.

Sends requests to the operator address of a daemon.
"""

import http.client
import json
import urllib.error
import urllib.parse
import urllib.request
from dataclasses import dataclass
from typing import ClassVar

from google.protobuf import json_format

from laburnumscale.errors import LaburnumscaleError
from laburnumscale_schema import settings_pb2

__all__ = ["DaemonRefused", "DaemonUnreachable", "OperatorClient"]

REQUEST_TIMEOUT_S = 15.0


@dataclass(eq=False)
class DaemonUnreachable(LaburnumscaleError):
    """The daemon did not answer, or not with valid JSON."""

    url: str
    reason: str
    template: ClassVar[str] = "{url}: no answer: {reason}"


@dataclass(eq=False)
class DaemonRefused(LaburnumscaleError):
    """The daemon answered the request with an error status."""

    url: str
    status: int
    reason: str
    template: ClassVar[str] = "{url}: status {status}: {reason}"


class OperatorClient:
    """HTTP client of the operator address of a daemon.

    :param address: operator address of the daemon, ``IP:PORT``.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._base_url = f"http://{address}"

    def status(self) -> dict:
        """Return the daemon's view of the fleet."""
        return self._request("GET", "/v1/status")

    def settings(self) -> settings_pb2.Snapshot:
        """Return the daemon's settings tree."""
        value = self._request("GET", "/v1/settings")
        return json_format.ParseDict(value, settings_pb2.Snapshot())

    def publish(self, change: settings_pb2.Change) -> settings_pb2.ChangeOutcome:
        """Publish a change and return its outcome."""
        body = json_format.MessageToJson(change).encode()
        value = self._request("POST", "/v1/changes", body)
        return json_format.ParseDict(value, settings_pb2.ChangeOutcome())

    def settle(
        self, change_id: str, cancel_author: str = ""
    ) -> settings_pb2.ChangeOutcome:
        """Return the outcome of a change whose verdict was undetermined.

        :param cancel_author: author of the cancellation if the change is not in the
            log; empty to leave it as it is.
        """
        query = urllib.parse.urlencode({"cancel_author": cancel_author})
        path = f"/v1/changes/{urllib.parse.quote(change_id, safe='')}/settle?{query}"
        value = self._request("POST", path, b"")
        return json_format.ParseDict(value, settings_pb2.ChangeOutcome())

    def history(self, place: str = "", limit: int = 0) -> settings_pb2.History:
        """Return the audit trail.

        :param place: restricts it to changes of this place, unless empty.
        :param limit: restricts it to the last changes, unless 0.
        """
        query = urllib.parse.urlencode({"place": place, "limit": limit})
        value = self._request("GET", f"/v1/history?{query}")
        return json_format.ParseDict(value, settings_pb2.History())

    def explain(self, place: str, data_centre: str = "") -> settings_pb2.Explanation:
        """Return the settings that apply to a place and where each is set.

        :param data_centre: of the service or endpoint; empty for that of the
            announced endpoint.
        """
        query = urllib.parse.urlencode({"place": place, "data_centre": data_centre})
        value = self._request("GET", f"/v1/explain?{query}")
        return json_format.ParseDict(value, settings_pb2.Explanation())

    def quarantine(self) -> list[dict]:
        """Return the calls that are suspect or refused because targets ended."""
        return self._request("GET", "/v1/quarantine")["calls"]

    def accounts(self, query: dict[str, str | int]) -> dict:
        """Return client accounts.

        :param query: ``offset`` and ``limit``, or ``name``, or ``key_digest``.
        """
        return self._request("GET", f"/v1/accounts?{urllib.parse.urlencode(query)}")

    def release(self, fingerprint: str) -> None:
        """Release a suspect or refused call."""
        quoted = urllib.parse.quote(fingerprint, safe="")
        self._request("POST", f"/v1/quarantine/{quoted}/release", b"")

    def drain(self, service: str, endpoint: str) -> None:
        """Drain a target on the host of the daemon."""
        self._request("POST", f"/v1/drain/{service}/{endpoint}", b"")

    def _request(self, method: str, path: str, body: bytes | None = None) -> dict:
        url = self._base_url + path
        request = urllib.request.Request(url, data=body, method=method)
        opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
        try:
            with opener.open(request, timeout=REQUEST_TIMEOUT_S) as response:
                return json.loads(response.read())
        except urllib.error.HTTPError as error:
            raise DaemonRefused(url, error.code, _error_text(error)) from error
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise DaemonUnreachable(url, str(error)) from error


def _error_text(error: urllib.error.HTTPError) -> str:
    text = error.read().decode(errors="replace").strip()
    try:
        return json.loads(text)["error"]
    except (ValueError, KeyError, TypeError):
        return text
