"""Benchmark of client accounts.

Measures the memory of a tree with many accounts (the argument, or 190,000) and the time
to apply a version in which one of them has changed, as a change, snapshot or document.
"""

import gc
import json
import logging
import os
import sys
import time
from pathlib import Path

import structlog

from laburnumscale.accounts import account_place, digest_key
from laburnumscale.metrics import Metrics
from laburnumscale.settingschecks import check_snapshot
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.settingstree import SettingsTree
from laburnumscale_platform.configuration import decode_configuration
from laburnumscale_schema import settings_pb2

__all__ = ["measure_accounts"]

ACCOUNT_COUNT = 190_000
LOOKUPS = 100_000
REPEATS = 20
MS_PER_S = 1000


def resident_memory_bytes() -> int:
    """Return the resident memory of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def key_of(index: int, version: int = 1) -> str:
    """Return the key of an account; the first account has another in each version."""
    return f"key-{index:06d}-{version if index == 0 else 0:08d}"


def create_document(version: int, account_count: int) -> bytes:
    """Return a document of the platform with all accounts."""
    tenants = [
        {
            "name": f"account-{index:06d}",
            "api_keys": [key_of(index, version)],
            "priority": index % 3,
            "rate_per_s": 10.5,
            "burst": 20,
        }
        for index in range(account_count)
    ]
    document = {"version": version, "services": [], "routes": [], "tenants": tenants}
    return json.dumps(document).encode()


def time_ms(action) -> tuple[float, object]:
    """Return the time that an action takes, and its result."""
    started_at_s = time.perf_counter()
    result = action()
    return (time.perf_counter() - started_at_s) * MS_PER_S, result


def change_one(feed: SettingsFeed, number: int) -> float:
    """Apply a change of one account, and look up what the tree caches.

    :returns: the time in milliseconds.
    """
    name = "account-000000"
    place = str(account_place(name))
    revision = feed.tree.revision
    change = settings_pb2.Change(
        change_id=f"c{number}", author="operator", read_revision=revision
    )
    edit = change.edits.add(
        place=place, based_on_revision=feed.tree.place_revision(place)
    )
    edit.account.name = name
    edit.account.key_digests.append(digest_key(f"new-{number}"))
    record = settings_pb2.SettingsRecord(change=change).SerializeToString()

    def apply() -> None:
        assert feed.apply_record(revision, record)
        feed.tree.route("desk.example", "/lookup/1")
        feed.tree.services()

    elapsed_ms, _ = time_ms(apply)
    assert feed.tree.accounts.find(digest_key(f"new-{number}")) is not None
    return elapsed_ms


def measure_accounts(account_count: int) -> dict[str, float]:
    """Build the tree and return the measured values by name."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    values: dict[str, float] = {}
    payload = decode_configuration(
        create_document(1, account_count), {}
    ).SerializeToString()
    gc.collect()
    before_bytes = resident_memory_bytes()
    feed = SettingsFeed(Metrics())
    feed.tree.restore(settings_pb2.Snapshot.FromString(payload))
    gc.collect()
    grown_bytes = resident_memory_bytes() - before_bytes
    values["message bytes per account"] = len(payload) / account_count
    values["resident bytes per account"] = grown_bytes / account_count
    values["resident MB"] = grown_bytes / 1e6

    changes_ms = [change_one(feed, number) for number in range(REPEATS)]
    values["change of one account with the next look-up, ms (median)"] = sorted(
        changes_ms
    )[REPEATS // 2]

    second = create_document(100, account_count)
    values["document KB"] = len(second) / 1000
    values["decode document, ms"], snapshot = time_ms(
        lambda: decode_configuration(second, {})
    )
    text = snapshot.SerializeToString()
    values["parse message, ms"], snapshot = time_ms(
        lambda: settings_pb2.Snapshot.FromString(text)
    )
    values["check snapshot, ms"], _ = time_ms(lambda: check_snapshot(snapshot))
    values["check snapshot with a known tree, ms"], _ = time_ms(
        lambda: check_snapshot(snapshot, feed.tree.places)
    )
    values["restore snapshot, ms"], _ = time_ms(lambda: feed.tree.restore(snapshot))
    assert feed.tree.accounts.find(digest_key(key_of(0, 100))) is not None
    empty = SettingsTree()
    values["restore into an empty tree, ms"], _ = time_ms(
        lambda: empty.restore(snapshot)
    )

    for name, prefix in (("right", "key"), ("wrong", "kay")):
        keys = [
            prefix + key_of(index)[3:]
            for index in range(1, min(LOOKUPS, account_count))
        ]
        find = feed.tree.accounts.find
        elapsed_ms, _ = time_ms(lambda: [find(digest_key(key)) for key in keys])  # noqa: B023
        values[f"look-up of a {name} key, us"] = elapsed_ms / len(keys) * 1000
    return values


if __name__ == "__main__":
    account_count = int(sys.argv[1]) if len(sys.argv) > 1 else ACCOUNT_COUNT
    for name, value in measure_accounts(account_count).items():
        print(f"{name}: {value:,.2f}")
