"""Accounts.

The command that shows the client accounts.
"""

import argparse
import json
import sys

from laburnumscale.accounts import digest_key
from laburnumscalectl.client import OperatorClient

__all__ = ["show_accounts"]


def show_accounts(options: argparse.Namespace, client: OperatorClient) -> int:
    """Show the client accounts, and their calls at the daemon by outcome.

    A key is read from standard input, as arguments are visible to other users of the
    host. Only its digest is sent to the daemon.
    """
    query = {"offset": options.offset, "limit": options.limit}
    if options.name:
        query = {"name": options.name}
    elif options.find_key:
        query = {"key_digest": digest_key(sys.stdin.readline().strip()).hex()}
        print(f"digest of the key: {query['key_digest']}", file=sys.stderr)
    report = client.accounts(query)
    if options.json:
        print(json.dumps(report, indent=2, ensure_ascii=False))
        return 0
    required = "required" if report["keys_required"] else "not required"
    print(f"revision {report['revision']}, keys are {required}")
    print(f"{len(report['accounts'])} of {report['count']} accounts")
    for account in report["accounts"]:
        print(_format_account(account))
    return 0


def _format_account(account: dict) -> str:
    priority = account["priority"]
    calls = account["calls"]
    quota = "no quota"
    if account["calls_per_s"]:
        quota = f"{account['calls_per_s']:g}/s, burst {account['burst_calls']:g}"
    parts = [
        f"priority {'of the route' if priority is None else priority}",
        quota,
        f"keys: {account['keys']}",
    ]
    if calls is None:
        parts.append("calls: not counted")
    else:
        counts = " ".join(f"{name} {count}" for name, count in sorted(calls.items()))
        parts.append(f"calls: {counts}")
    return f"{account['name']} ({account['place']}): {', '.join(parts)}"
