"""Settings API.

The HTTP interface through which operators read and change the settings.
"""

from google.protobuf import json_format
from google.protobuf.message import Message
from sanic import HTTPResponse, Request, Sanic
from sanic.response import json

from laburnumscale.errors import LaburnumscaleError, SettingsUnavailable
from laburnumscale.members import Members
from laburnumscale.platformlog import LogClient
from laburnumscale.settingsexplanation import explain
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.settingshistory import read_history
from laburnumscale.settingspublisher import SettingsPublisher
from laburnumscale_schema import settings_pb2

__all__ = ["SettingsApi", "message_to_dict"]

STATUS_BAD_REQUEST = 400
STATUS_SERVICE_UNAVAILABLE = 503


def message_to_dict(message: Message) -> dict:
    """Return a protobuf message as a dictionary in its JSON form."""
    return json_format.MessageToDict(message, preserving_proto_field_name=True)


def _error_response(error: Exception, status: int = STATUS_BAD_REQUEST) -> HTTPResponse:
    return json({"error": str(error)}, status=status)


class SettingsApi:
    """Handles the requests of operators that concern the settings."""

    def __init__(
        self,
        feed: SettingsFeed,
        publisher: SettingsPublisher,
        log: LogClient,
        members: Members,
    ) -> None:
        self._feed = feed
        self._publisher = publisher
        self._log = log
        self._members = members

    def add_routes(self, app: Sanic) -> None:
        """Add the routes to the HTTP application for operators."""
        app.add_route(self.get_settings, "/v1/settings")
        app.add_route(self.publish_change, "/v1/changes", methods=["POST"])
        app.add_route(
            self.settle_change, "/v1/changes/<change_id:str>/settle", methods=["POST"]
        )
        app.add_route(self.get_history, "/v1/history")
        app.add_route(self.explain_place, "/v1/explain")

    async def get_settings(self, request: Request) -> HTTPResponse:
        """Return the settings tree without the outcomes of changes."""
        if not self._feed.has_tree:
            return self._unavailable_response()
        snapshot = self._feed.tree.snapshot()
        snapshot.ClearField("outcomes")
        return json(message_to_dict(snapshot))

    async def publish_change(self, request: Request) -> HTTPResponse:
        """Append a change and return its outcome."""
        try:
            change = json_format.Parse(request.body, settings_pb2.Change())
            outcome = await self._publisher.publish(change)
        except SettingsUnavailable as error:
            return _error_response(error, STATUS_SERVICE_UNAVAILABLE)
        except (json_format.ParseError, LaburnumscaleError) as error:
            return _error_response(error)
        return json(message_to_dict(outcome))

    async def settle_change(self, request: Request, change_id: str) -> HTTPResponse:
        """Return the outcome of a change that was undetermined before.

        With the query parameter ``cancel_author``, cancel the change if it is not in
        the log.
        """
        try:
            outcome = await self._publisher.settle(
                change_id, request.args.get("cancel_author", "")
            )
        except SettingsUnavailable as error:
            return _error_response(error, STATUS_SERVICE_UNAVAILABLE)
        except LaburnumscaleError as error:
            return _error_response(error)
        return json(message_to_dict(outcome))

    async def get_history(self, request: Request) -> HTTPResponse:
        """Return the audit trail, either all entries or those of one place."""
        place = request.args.get("place", "")
        limit = request.args.get("limit", "0")
        if not limit.isdecimal():
            return json(
                {"error": f'limit "{limit}" is not a number'}, STATUS_BAD_REQUEST
            )
        history = await read_history(self._log, self._feed.tree, place, int(limit))
        return json(message_to_dict(history))

    async def explain_place(self, request: Request) -> HTTPResponse:
        """Return the settings in force at a place and where each of them is set."""
        if not self._feed.has_tree:
            return self._unavailable_response()
        place = request.args.get("place", "")
        data_centre = request.args.get("data_centre", "")
        try:
            explanation = explain(
                self._feed.tree, place, data_centre or self._data_centre_of(place)
            )
        except LaburnumscaleError as error:
            return _error_response(error)
        return json(message_to_dict(explanation))

    def _data_centre_of(self, place: str) -> str:
        """Return the data centre of an announced endpoint, or an empty string."""
        service, _, endpoint = place.removeprefix("endpoint:").partition("/")
        for view in self._members.endpoints(service):
            if view.endpoint == endpoint:
                return view.data_centre
        return ""

    def _unavailable_response(self) -> HTTPResponse:
        own = self._members.own.daemon
        return _error_response(SettingsUnavailable(own), STATUS_SERVICE_UNAVAILABLE)
