"""Accounts API.

The HTTP interface through which operators see the client accounts.
"""

from collections.abc import Callable
from itertools import islice

from sanic import HTTPResponse, Request, Sanic
from sanic.response import json

from laburnumscale.accounts import AccountCallCounts, account_place
from laburnumscale.callerrequests import is_number
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale_schema import settings_pb2

__all__ = ["AccountsApi"]

#: Accounts in one response, which takes about 200 bytes for each.
DEFAULT_PAGE_ACCOUNTS = 100
MAX_PAGE_ACCOUNTS = 1000
STATUS_BAD_REQUEST = 400


class AccountsApi:
    """Handles the requests of operators that concern client accounts.

    :param describe_quota: returns the keeper and the use of the quota of an account.
    """

    def __init__(
        self,
        feed: SettingsFeed,
        counts: AccountCallCounts,
        describe_quota: Callable[[str], dict[str, object]] = lambda name: {},
    ) -> None:
        self._feed = feed
        self._counts = counts
        self._describe_quota = describe_quota

    def add_routes(self, app: Sanic) -> None:
        """Add the routes to the HTTP application for operators."""
        app.add_route(self.get_accounts, "/v1/accounts")

    async def get_accounts(self, request: Request) -> HTTPResponse:
        """Return a page of the accounts, or those that the query selects.

        ``offset`` and ``limit`` select a page, ``name`` an account by its name, and
        ``key_digest`` the one that a key identifies.
        """
        accounts = self._feed.tree.accounts
        try:
            selected = self._select(request)
        except ValueError as error:
            return json({"error": str(error)}, status=STATUS_BAD_REQUEST)
        return json(
            {
                "revision": self._feed.tree.revision,
                "keys_required": self._feed.tree.requires_account_key,
                "count": accounts.count,
                "accounts": [self._to_dict(each) for each in selected],
            }
        )

    def _select(self, request: Request) -> list[settings_pb2.ClientAccount]:
        accounts = self._feed.tree.accounts
        name, digest = request.args.get("name"), request.args.get("key_digest")
        if name or digest:
            found = accounts.get(name) if name else accounts.find(_parse_digest(digest))
            return [found] if found is not None else []
        offset = _parse_number(request, "offset", 0)
        limit = _parse_number(request, "limit", DEFAULT_PAGE_ACCOUNTS)
        end = offset + min(limit, MAX_PAGE_ACCOUNTS)
        return list(islice(accounts, offset, end))

    def _to_dict(self, account: settings_pb2.ClientAccount) -> dict:
        has_priority = account.HasField("priority")
        return {
            "name": account.name,
            "place": str(account_place(account.name)),
            "priority": account.priority if has_priority else None,
            "calls_per_s": account.calls_per_s,
            "burst_calls": account.burst_calls,
            "keys": len(account.key_digests),
            "calls": self._counts.get(account.name),
            "quota": self._describe_quota(account.name),
        }


def _parse_digest(text: str) -> bytes:
    try:
        return bytes.fromhex(text)
    except ValueError:
        raise ValueError("key_digest is not hexadecimal") from None


def _parse_number(request: Request, name: str, default: int) -> int:
    text = request.args.get(name, str(default))
    if not is_number(text):
        raise ValueError(f"{name} is not a number")
    return int(text)
