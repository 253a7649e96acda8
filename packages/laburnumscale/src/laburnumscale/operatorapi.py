"""Operator API.

The HTTP interface for operators, health checks and metrics.
"""

from sanic import HTTPResponse, Request, Sanic
from sanic.response import json, text

from laburnumscale.accountsapi import AccountsApi
from laburnumscale.members import Members
from laburnumscale.metrics import Metrics
from laburnumscale.quarantineapi import QuarantineApi
from laburnumscale.routing import Router, selection_to_dict
from laburnumscale.settingsapi import SettingsApi, message_to_dict
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.targetregistry import TargetRegistry
from laburnumscale.webserver import new_app

__all__ = ["OperatorApi"]


class OperatorApi:
    """Handles the requests of operators, of health checks and for metrics.

    :param settings: handles the requests that concern the settings.
    :param quarantine: handles the requests that concern quarantined calls.
    :param accounts: handles the requests that concern client accounts.
    """

    def __init__(
        self,
        members: Members,
        feed: SettingsFeed,
        targets: TargetRegistry,
        router: Router,
        metrics: Metrics,
        settings: SettingsApi,
        quarantine: QuarantineApi,
        accounts: AccountsApi,
    ) -> None:
        self._members = members
        self._feed = feed
        self._targets = targets
        self._router = router
        self._metrics = metrics
        self._settings_api = settings
        self._quarantine_api = quarantine
        self._accounts_api = accounts

    def app(self) -> Sanic:
        """Return the HTTP application for operators."""
        app = new_app(f"{self._members.own.daemon}-operators")
        app.add_route(self.livez, "/livez")
        app.add_route(self.readyz, "/readyz")
        app.add_route(self.metrics, "/metrics")
        app.add_route(self.status, "/v1/status")
        app.add_route(self.selection, "/v1/selection/<service:str>")
        self._settings_api.add_routes(app)
        self._quarantine_api.add_routes(app)
        self._accounts_api.add_routes(app)
        app.add_route(
            self.drain, "/v1/drain/<service:str>/<endpoint:str>", methods=["POST"]
        )
        return app

    def readiness_app(self, path: str) -> Sanic:
        """Return the HTTP application that serves only the readiness check.

        :param path: URL path of the check.
        """
        app = new_app(f"{self._members.own.daemon}-readiness")
        app.add_route(self.readyz, path)
        return app

    def metrics_app(self) -> Sanic:
        """Return the HTTP application that serves only the metrics."""
        app = new_app(f"{self._members.own.daemon}-metrics")
        app.add_route(self.metrics, "/metrics")
        return app

    async def livez(self, request: Request) -> HTTPResponse:
        """Respond to a liveness check."""
        return text("ok\n")

    async def readyz(self, request: Request) -> HTTPResponse:
        """Respond to a readiness check: whether this daemon accepts calls.

        If it does not, the status is 503 and the body states the reason.
        """
        if not self._feed.has_tree:
            return text("no settings yet\n", status=503)
        if self._members.name_taken is not None:
            return text(f"{self._members.name_taken}\n", status=503)
        if not self._members.serving:
            return text("joining\n", status=503)
        if self._members.own.draining:
            return text("draining\n", status=503)
        if self._feed.is_stale():
            age_s = int(self._feed.contact_age_s())
            return text(f"neither log nor peer heard for {age_s} s\n", status=503)
        return text("ok\n")

    async def metrics(self, request: Request) -> HTTPResponse:
        """Return the metrics in the Prometheus text format."""
        return text(self._metrics.render())

    async def status(self, request: Request) -> HTTPResponse:
        """Return the members of the fleet and the settings revision."""
        members = [message_to_dict(member) for member in self._members.all()]
        return json(
            {
                "daemon": self._members.own.daemon,
                "revision": self._feed.tree.revision,
                "has_settings": self._feed.has_tree,
                "settings_problems": self._feed.describe_problems(),
                "settings_digest": f"{self._feed.tree.digest:016x}",
                "members": members,
            }
        )

    async def selection(self, request: Request, service: str) -> HTTPResponse:
        """Return which endpoints of a service this daemon sends calls to."""
        return json(selection_to_dict(self._router.selection(service)))

    async def drain(
        self, request: Request, service: str, endpoint: str
    ) -> HTTPResponse:
        """Drain a target that is announced to this daemon."""
        found = self._targets.drain(service, endpoint)
        return json({}, status=200 if found else 404)
