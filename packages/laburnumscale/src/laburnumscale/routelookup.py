"""Route lookup.

Finds the route, the service and the client account of a call. That there is none is a
final response, so it is given only from settings that are current as far as this daemon
can know.
"""

import random

import attrs

from laburnumscale.accounts import digest_key
from laburnumscale.outcomes import NotRun
from laburnumscale.settingsfeed import (
    BEHIND_RETRY_AFTER_MS,
    CATCH_UP_WAIT_MS,
    SettingsFeed,
)
from laburnumscale_schema import peer_pb2, settings_pb2

__all__ = ["RouteLookup", "Routed", "choose_backend"]

UNCONFIRMED_RETRY_AFTER_MS = 1000
STALE_SETTINGS = peer_pb2.NOT_RUN_REASON_STALE_SETTINGS


@attrs.frozen
class Routed:
    """The route of a call.

    :ivar service: the service that runs the call.
    :ivar path_and_query: path and query to send to the service.
    :ivar route: the route; None if the path names the service.
    :ivar account: the client account that the key of the request identifies; None if
        the call needs no key.
    """

    service: str
    path_and_query: str
    route: settings_pb2.Route | None = None
    account: settings_pb2.ClientAccount | None = None

    @property
    def priority(self) -> int:
        """Return the priority of the call, which an account sets before its route."""
        if self.account is not None and self.account.HasField("priority"):
            return self.account.priority
        return self.route.priority if self.route is not None else 0


class RouteLookup:
    """Finds routes and accounts in the settings of this daemon.

    :param routes_only: whether requests that match no route are refused. Otherwise
        the first segment of their path is the name of the service.
    """

    def __init__(self, feed: SettingsFeed, routes_only: bool) -> None:
        self._feed = feed
        self._routes_only = routes_only

    async def find(
        self,
        host: str,
        path_and_query: str,
        time_left_ms: float = CATCH_UP_WAIT_MS,
        key: str = "",
    ) -> Routed | NotRun:
        """Return the route and the account of a call, or why it has none.

        A route is used, and a response without one is final, only if the settings are
        known to have been the newest within the time that a change may take. Otherwise
        the lookup waits for a confirmation or for newer settings. A route is then also
        used if nothing newer is known and the log does not respond; any other call may
        be retried. The same applies to accounts.

        :param time_left_ms: how long the caller waits at most, in milliseconds.
        :param key: account key of the request; empty if it has none.
        """
        feed = self._feed
        wanted_revision = feed.lag.wanted_revision
        found = self._find_now(host, path_and_query, key)
        if not self._is_final(found, wanted_revision) and feed.may_become_current():
            await feed.wait_until_current(wanted_revision, time_left_ms)
            found = self._find_now(host, path_and_query, key)
        if self._is_final(found, wanted_revision):
            return found
        if feed.tree.revision < wanted_revision:
            return NotRun(STALE_SETTINGS, BEHIND_RETRY_AFTER_MS)
        if isinstance(found, NotRun):
            return NotRun(STALE_SETTINGS, UNCONFIRMED_RETRY_AFTER_MS)
        return found

    def _is_final(self, found: Routed | NotRun, wanted_revision: int) -> bool:
        """Return whether the settings are young enough for this result.

        Until a newer revision has to be in force, routes and accounts that exist may be
        used; a missing one may have been added by it.

        :param wanted_revision: newest revision that was known when the call arrived.
        """
        if isinstance(found, NotRun):
            return self._feed.is_current(wanted_revision)
        return self._feed.confirmation.is_valid()

    def _find_now(self, host: str, path_and_query: str, key: str) -> Routed | NotRun:
        found = self._find_route(host, path_and_query)
        if isinstance(found, NotRun) or not self._needs_key(found.route):
            return found
        account = self._feed.tree.accounts.find(digest_key(key)) if key else None
        if account is None:
            return NotRun(peer_pb2.NOT_RUN_REASON_UNAUTHORIZED)
        return attrs.evolve(found, account=account)

    def _needs_key(self, route: settings_pb2.Route | None) -> bool:
        is_public = route is not None and route.public
        return not is_public and self._feed.tree.requires_account_key

    def _find_route(self, host: str, path_and_query: str) -> Routed | NotRun:
        path, _, _ = path_and_query.partition("?")
        route = self._feed.tree.route(host, path)
        if route is not None:
            return Routed(choose_backend(route), path_and_query, route)
        if self._routes_only:
            return NotRun(peer_pb2.NOT_RUN_REASON_NO_ROUTE)
        service, _, service_path = path_and_query.removeprefix("/").partition("/")
        if service not in self._feed.tree.services():
            return NotRun(peer_pb2.NOT_RUN_REASON_NO_SUCH_SERVICE)
        return Routed(service, "/" + service_path)


def choose_backend(route: settings_pb2.Route) -> str:
    """Return the service for one call on a route.

    If the route has several backends, one is chosen at random by weight. The choice
    is independent for each call and ignores load: a backend without free capacity
    refuses its own calls, and the shares of the other backends do not change.
    """
    if not route.backends:
        return route.service
    weights = [backend.weight for backend in route.backends]
    return random.choices(route.backends, weights)[0].service
