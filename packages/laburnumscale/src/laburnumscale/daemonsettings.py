"""Daemon settings.

The settings that one daemon reads at its start, checked.
"""

import attrs
from google.protobuf import json_format

from laburnumscale.addresses import (
    Address,
    get_address_opt,
    get_loopback_address_opt,
)
from laburnumscale.errors import OptionMissing, OptionUnknown, OptionValueInvalid
from laburnumscale.settingsfile import SettingsFile, read_settings_file
from laburnumscale_schema import daemon_pb2

__all__ = ["DaemonSettings", "read_daemon_settings"]

DEFAULT_DRAIN_MS = 10_000
DEFAULT_ISOLATION_MS = 60_000
DEFAULT_SNAPSHOT_INTERVAL_MS = 3_600_000
DEFAULT_KEY_LIFE_MS = 600_000
DEFAULT_BODY_LIMIT_BYTES = 256 * 1024 * 1024
DEFAULT_ANNOUNCEMENT_INTERVAL_MS = 1_000
DEFAULT_LOG_FORMAT = "json"
LOG_FORMATS = ("json", "console")


@attrs.frozen
class DaemonSettings:
    """Checked settings of one daemon.

    :ivar drain_ms: how long calls in flight may take after SIGTERM.
    :ivar isolation_ms: age of the last contact with the log or a peer after which
        the daemon is not ready.
    :ivar snapshot_interval_ms: longest time between two snapshots in the log.
    :ivar key_life_ms: how long an operation key can be used after it was minted.
    :ivar platform: package that adapts the daemon to its platform, or empty.
    :ivar caller_service: service on whose behalf the callers of this daemon call.
    :ivar readiness_address: where the platform asks for readiness besides operators.
    :ivar metrics_address: where metrics are served besides the operators' address.
    :ivar routes_only: requests that no route matches are refused.
    :ivar retry_slack_attempts: retries of the fleet in a window beyond its budget.
    :ivar floor_percent: share of the slots that ejection leaves in use, where the
        platform's documents do not say.
    :ivar retry_budget_percent: retries in percent of calls, likewise.
    :ivar announcement_interval_ms: expected time between announcements of a target.
    """

    daemon: str
    data_centre: str
    caller_address: Address
    operator_address: Address
    peer_address: Address
    target_address: Address
    log_url: str
    seed_addresses: tuple[Address, ...]
    log_format: str
    drain_ms: int
    isolation_ms: int
    body_limit_bytes: int
    peer_address_overrides: dict[str, str]
    snapshot_interval_ms: int
    key_life_ms: int
    platform: str = ""
    caller_service: str = ""
    readiness_address: Address | None = None
    metrics_address: Address | None = None
    routes_only: bool = False
    retry_slack_attempts: int = 0
    floor_percent: int = 0
    retry_budget_percent: int = 0
    announcement_interval_ms: int = DEFAULT_ANNOUNCEMENT_INTERVAL_MS


def read_daemon_settings(path: str) -> DaemonSettings:
    """Read and check the settings of a daemon.

    :param path: a file of JSON with comments.
    :raises LaburnumscaleError: names the file, the line and the setting.
    """
    return _check(read_settings_file(path))


def _parse(file: SettingsFile) -> daemon_pb2.DaemonSettings:
    message = daemon_pb2.DaemonSettings()
    known = message.DESCRIPTOR.fields_by_name
    for name, value in file.value.items():
        if name not in known:
            raise OptionUnknown(file.where(name), name)
        try:
            json_format.ParseDict({name: value}, message)
        except json_format.ParseError as error:
            raise OptionValueInvalid(file.where(name), name, str(error)) from error
    return message


def _check(file: SettingsFile) -> DaemonSettings:
    message = _parse(file)

    def text(name: str) -> str:
        value = getattr(message, name)
        if not value:
            raise OptionMissing(file.where(name), name)
        return value

    def address(name: str) -> Address:
        return get_address_opt(file.where(name), name, text(name))

    def optional_address(name: str) -> Address | None:
        return address(name) if getattr(message, name) else None

    seeds = tuple(
        get_address_opt(file.where("seed_addresses", seed), "seed_addresses", seed)
        for seed in message.seed_addresses
    )
    log_format = message.log_format or DEFAULT_LOG_FORMAT
    if log_format not in LOG_FORMATS:
        reason = f'"{log_format}" is none of {", ".join(LOG_FORMATS)}'
        raise OptionValueInvalid(file.where("log_format"), "log_format", reason)
    return DaemonSettings(
        daemon=text("daemon"),
        data_centre=text("data_centre"),
        caller_address=address("caller_address"),
        operator_address=address("operator_address"),
        peer_address=address("peer_address"),
        target_address=_target_address(file, message, text("target_address")),
        log_url=text("log_url").rstrip("/"),
        seed_addresses=seeds,
        log_format=log_format,
        drain_ms=message.drain_ms or DEFAULT_DRAIN_MS,
        isolation_ms=message.isolation_ms or DEFAULT_ISOLATION_MS,
        body_limit_bytes=message.body_limit_bytes or DEFAULT_BODY_LIMIT_BYTES,
        peer_address_overrides=_overrides(file, message),
        snapshot_interval_ms=(
            message.snapshot_interval_ms or DEFAULT_SNAPSHOT_INTERVAL_MS
        ),
        key_life_ms=message.key_life_ms or DEFAULT_KEY_LIFE_MS,
        platform=message.platform,
        caller_service=message.caller_service,
        readiness_address=optional_address("readiness_address"),
        metrics_address=optional_address("metrics_address"),
        routes_only=message.routes_only,
        retry_slack_attempts=message.retry_slack_attempts,
        floor_percent=message.floor_percent,
        retry_budget_percent=message.retry_budget_percent,
        announcement_interval_ms=(
            message.announcement_interval_ms or DEFAULT_ANNOUNCEMENT_INTERVAL_MS
        ),
    )


def _target_address(
    file: SettingsFile, message: daemon_pb2.DaemonSettings, value: str
) -> Address:
    """Return the address for targets: on loopback, unless a platform guards it."""
    check = get_address_opt if message.platform else get_loopback_address_opt
    return check(file.where("target_address"), "target_address", value)


def _overrides(
    file: SettingsFile, message: daemon_pb2.DaemonSettings
) -> dict[str, str]:
    option = "peer_address_overrides"
    for announced, reached in message.peer_address_overrides.items():
        where = file.where(option, announced)
        get_address_opt(where, option, announced)
        get_address_opt(where, option, reached)
    return dict(message.peer_address_overrides)
