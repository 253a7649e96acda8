"""Operators.

The HTTP interface for operators and for the platform's checks.
"""

import time

from google.protobuf import json_format
from google.protobuf.message import Message
from sanic import HTTPResponse, Request, Sanic
from sanic.response import json, text

from laburnumscale.errors import LaburnumscaleError
from laburnumscale.members import Members
from laburnumscale.metrics import Metrics
from laburnumscale.places import parse_place
from laburnumscale.routing import Router, selection_dict
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.targets import LocalTargets
from laburnumscale.webserver import new_app
from laburnumscale_schema import settings_pb2

__all__ = ["Operators"]

PUBLISH_WAIT_S = 5.0


def _message_dict(message: Message) -> dict:
    return json_format.MessageToDict(message, preserving_proto_field_name=True)


def _read_change(body: bytes) -> settings_pb2.Change:
    change = json_format.Parse(body, settings_pb2.Change())
    for edit in change.edits:
        parse_place(edit.place)
    return change


class Operators:
    """Answers operators and the platform's checks.

    :param isolation_ms: age of the last contact after which the daemon is not ready.
    """

    def __init__(
        self,
        members: Members,
        feed: SettingsFeed,
        targets: LocalTargets,
        router: Router,
        metrics: Metrics,
        isolation_ms: int,
    ) -> None:
        self._members = members
        self._feed = feed
        self._targets = targets
        self._router = router
        self._metrics = metrics
        self._isolation_ms = isolation_ms

    def app(self) -> Sanic:
        """Return the HTTP application for operators."""
        app = new_app(f"{self._members.own.daemon}-operators")
        app.add_route(self.livez, "/livez")
        app.add_route(self.readyz, "/readyz")
        app.add_route(self.metrics, "/metrics")
        app.add_route(self.status, "/v1/status")
        app.add_route(self.selection, "/v1/selection/<service:str>")
        app.add_route(self.settings, "/v1/settings")
        app.add_route(self.publish, "/v1/changes", methods=["POST"])
        app.add_route(
            self.drain, "/v1/drain/<service:str>/<endpoint:str>", methods=["POST"]
        )
        return app

    async def livez(self, request: Request) -> HTTPResponse:
        """Tell that the process answers."""
        return text("ok\n")

    async def readyz(self, request: Request) -> HTTPResponse:
        """Tell whether callers may be sent here."""
        if not self._feed.has_tree:
            return text("no settings yet\n", status=503)
        if self._members.name_taken is not None:
            return text(f"{self._members.name_taken}\n", status=503)
        if self._members.own.draining:
            return text("draining\n", status=503)
        age_ms = (time.monotonic() - self._feed.contact_at_s) * 1000
        if age_ms > self._isolation_ms:
            return text(f"isolated for {int(age_ms)} ms\n", status=503)
        return text("ok\n")

    async def metrics(self, request: Request) -> HTTPResponse:
        """Return the metrics in the Prometheus text form."""
        return text(self._metrics.render())

    async def status(self, request: Request) -> HTTPResponse:
        """Return the membership and the settings revision."""
        members = [_message_dict(member) for member in self._members.all()]
        return json(
            {
                "daemon": self._members.own.daemon,
                "revision": self._feed.tree.revision,
                "members": members,
            }
        )

    async def selection(self, request: Request, service: str) -> HTTPResponse:
        """Return which endpoints of a service take calls of this entry."""
        return json(selection_dict(self._router.selection(service)))

    async def settings(self, request: Request) -> HTTPResponse:
        """Return the whole tree."""
        return json(_message_dict(self._feed.tree.snapshot()))

    async def publish(self, request: Request) -> HTTPResponse:
        """Append a change and tell what became of it."""
        try:
            change = _read_change(request.body)
        except (json_format.ParseError, LaburnumscaleError) as error:
            return json({"error": str(error)}, status=400)
        return json(_message_dict(await self._feed.publish(change, PUBLISH_WAIT_S)))

    async def drain(
        self, request: Request, service: str, endpoint: str
    ) -> HTTPResponse:
        """Drain a target beside this daemon."""
        found = self._targets.drain(service, endpoint)
        return json({}, status=200 if found else 404)
