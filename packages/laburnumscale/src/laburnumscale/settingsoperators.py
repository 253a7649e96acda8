"""Settings for operators.

The operators' HTTP interface to the settings: tree, changes, history, explanation.
"""

from google.protobuf import json_format
from google.protobuf.message import Message
from sanic import HTTPResponse, Request, Sanic
from sanic.response import json

from laburnumscale.errors import LaburnumscaleError, SettingsUnavailable
from laburnumscale.members import Members
from laburnumscale.platformlog import Log
from laburnumscale.settingsexplanation import explain
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.settingshistory import read_history
from laburnumscale.settingspublisher import SettingsPublisher
from laburnumscale_schema import settings_pb2

__all__ = ["SettingsOperators", "message_dict"]

STATUS_INVALID = 400
STATUS_STARTING = 503


def message_dict(message: Message) -> dict:
    """Return a message in its JSON form."""
    return json_format.MessageToDict(message, preserving_proto_field_name=True)


def _error(error: Exception, status: int = STATUS_INVALID) -> HTTPResponse:
    return json({"error": str(error)}, status=status)


class SettingsOperators:
    """Answers operators about the settings."""

    def __init__(
        self,
        feed: SettingsFeed,
        publisher: SettingsPublisher,
        log: Log,
        members: Members,
    ) -> None:
        self._feed = feed
        self._publisher = publisher
        self._log = log
        self._members = members

    def add_routes(self, app: Sanic) -> None:
        """Add the handlers to the application for operators."""
        app.add_route(self.settings, "/v1/settings")
        app.add_route(self.publish, "/v1/changes", methods=["POST"])
        app.add_route(
            self.settle, "/v1/changes/<change_id:str>/settle", methods=["POST"]
        )
        app.add_route(self.history, "/v1/history")
        app.add_route(self.explain, "/v1/explain")

    async def settings(self, request: Request) -> HTTPResponse:
        """Return the whole tree without the outcomes of changes."""
        if not self._feed.has_tree:
            return self._unavailable()
        snapshot = self._feed.tree.snapshot()
        snapshot.ClearField("outcomes")
        return json(message_dict(snapshot))

    async def publish(self, request: Request) -> HTTPResponse:
        """Append a change and tell what became of it."""
        try:
            change = json_format.Parse(request.body, settings_pb2.Change())
            outcome = await self._publisher.publish(change)
        except SettingsUnavailable as error:
            return _error(error, STATUS_STARTING)
        except (json_format.ParseError, LaburnumscaleError) as error:
            return _error(error)
        return json(message_dict(outcome))

    async def settle(self, request: Request, change_id: str) -> HTTPResponse:
        """Tell what became of a change; ``cancel_author`` rules a lost one out."""
        try:
            outcome = await self._publisher.settle(
                change_id, request.args.get("cancel_author", "")
            )
        except SettingsUnavailable as error:
            return _error(error, STATUS_STARTING)
        except LaburnumscaleError as error:
            return _error(error)
        return json(message_dict(outcome))

    async def history(self, request: Request) -> HTTPResponse:
        """Return the audit trail, all of it or the entries of one place."""
        place = request.args.get("place", "")
        limit = request.args.get("limit", "0")
        if not limit.isdecimal():
            return json({"error": f'limit "{limit}" is no number'}, STATUS_INVALID)
        history = await read_history(self._log, self._feed.tree, place, int(limit))
        return json(message_dict(history))

    async def explain(self, request: Request) -> HTTPResponse:
        """Return the settings of a place and the place of each."""
        if not self._feed.has_tree:
            return self._unavailable()
        place = request.args.get("place", "")
        data_centre = request.args.get("data_centre", "")
        try:
            explanation = explain(
                self._feed.tree, place, data_centre or self._data_centre_of(place)
            )
        except LaburnumscaleError as error:
            return _error(error)
        return json(message_dict(explanation))

    def _data_centre_of(self, place: str) -> str:
        """Return the data centre of an announced endpoint, or empty."""
        service, _, endpoint = place.removeprefix("endpoint:").partition("/")
        for view in self._members.endpoints(service):
            if view.endpoint == endpoint:
                return view.data_centre
        return ""

    def _unavailable(self) -> HTTPResponse:
        own = self._members.own.daemon
        return _error(SettingsUnavailable(own), STATUS_STARTING)
