"""Daemon settings.

Reads and validates the settings of a daemon.
"""

import math

import attrs
from google.protobuf import json_format

from laburnumscale.addresses import (
    Address,
    parse_ip_port,
    parse_loopback_ip_port,
)
from laburnumscale.errors import OptionMissing, OptionUnknown, OptionValueInvalid
from laburnumscale.settingsconfirmation import (
    DEFAULT_APPLY_LIMIT_MS as DEFAULT_SETTINGS_APPLY_MS,
)
from laburnumscale.settingsfile import SettingsFile, read_settings_file
from laburnumscale_schema import daemon_pb2

__all__ = [
    "DEFAULT_ANSWER_LIMIT_BYTES",
    "DEFAULT_TRANSFER_STALL_MS",
    "DaemonSettings",
    "read_daemon_settings",
]

DEFAULT_DRAIN_MS = 10_000
DEFAULT_ISOLATION_MS = 60_000
DEFAULT_SNAPSHOT_INTERVAL_MS = 3_600_000
DEFAULT_KEY_LIFE_MS = 600_000
DEFAULT_BODY_LIMIT_BYTES = 256 * 1024 * 1024
DEFAULT_ANSWER_LIMIT_BYTES = 256 * 1024 * 1024
DEFAULT_ANNOUNCEMENT_INTERVAL_MS = 1_000
MIN_SETTINGS_APPLY_MS = 500
DEFAULT_QUOTA_WINDOW_MS = 5_000
DEFAULT_QUOTA_OVER_PERCENT = 0
DEFAULT_QUOTA_SLACK_CALLS = 0
#: Of the smallest hosts in use.
DEFAULT_MEMORY_LIMIT_MB = 200
#: Callers may pause for 15 s within a request; the rest is for the network.
DEFAULT_TRANSFER_STALL_MS = 20_000
DEFAULT_LOG_FORMAT = "json"
LOG_FORMATS = ("json", "console")
#: How to round settings that templates compute from ratios and seconds, so that the
#: rounded value never allows more than the exact one.
ROUNDING = {
    "retry_slack_attempts": math.floor,
    "retry_budget_percent": math.floor,
    "floor_percent": math.ceil,
    "drain_ms": math.floor,
    "announcement_interval_ms": math.ceil,
    "settings_apply_ms": math.floor,
    "quota_window_ms": math.floor,
    "quota_over_percent": math.floor,
    "quota_slack_calls": math.floor,
    "memory_limit_mb": math.floor,
    "transfer_stall_ms": math.floor,
}


@attrs.frozen
class DaemonSettings:
    """Validated settings of one daemon.

    :ivar drain_ms: time in milliseconds for calls in flight to end after SIGTERM.
    :ivar isolation_ms: time in milliseconds without contact with the log or a peer
        after which the daemon is not ready.
    :ivar snapshot_interval_ms: maximum time in milliseconds between two snapshots in
        the log.
    :ivar key_life_ms: time in milliseconds for which an operation key is valid.
    :ivar platform: package that adapts the daemon to its platform, or empty.
    :ivar caller_service: service on whose behalf calls through this daemon are made.
    :ivar readiness_address: additional address for the platform's readiness checks.
    :ivar metrics_address: additional address for metrics; they are always served at
        the operators' address.
    :ivar routes_only: whether requests that match no route are refused.
    :ivar retry_slack_attempts: retries that the fleet may make for a service in one
        window beyond the retry budget.
    :ivar floor_percent: share of the announced slots that ejection must leave in use,
        if the platform's documents do not set it.
    :ivar retry_budget_percent: retries in percent of the calls of a service, if the
        platform's documents do not set it.
    :ivar announcement_interval_ms: expected time in milliseconds between two
        announcements of a target.
    :ivar settings_apply_ms: time in milliseconds after which a change of the fleet's
        settings must be in force on each daemon.
    :ivar quota_window_ms: window in milliseconds over which the quotas of client
        accounts are kept.
    :ivar quota_over_percent: calls in percent of a quota that the fleet may accept
        beyond it in one window while the keeper of the quota cannot be reached.
    :ivar quota_slack_calls: calls beyond each quota, in addition to the percentage.
    :ivar memory_limit_mb: memory of the process in units of 1,000,000 bytes.
    :ivar transfer_stall_ms: time in milliseconds without progress after which a request
        body or the delivery of a response is given up.
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
    answer_limit_bytes: int = DEFAULT_ANSWER_LIMIT_BYTES
    settings_apply_ms: int = DEFAULT_SETTINGS_APPLY_MS
    quota_window_ms: int = DEFAULT_QUOTA_WINDOW_MS
    quota_over_percent: int = DEFAULT_QUOTA_OVER_PERCENT
    quota_slack_calls: int = DEFAULT_QUOTA_SLACK_CALLS
    memory_limit_mb: int = DEFAULT_MEMORY_LIMIT_MB
    transfer_stall_ms: int = DEFAULT_TRANSFER_STALL_MS


def read_daemon_settings(path: str) -> DaemonSettings:
    """Read and validate the settings of a daemon.

    :param path: path of a file with JSON and comments.
    :raises LaburnumscaleError: the file is invalid; the error names the file, the line
        and the setting.
    """
    return _build_settings(read_settings_file(path))


def _parse(file: SettingsFile) -> daemon_pb2.DaemonSettings:
    message = daemon_pb2.DaemonSettings()
    known_fields = message.DESCRIPTOR.fields_by_name
    for name, value in file.value.items():
        if name not in known_fields:
            raise OptionUnknown(file.location(name), name)
        try:
            json_format.ParseDict({name: _round(name, value)}, message)
        except json_format.ParseError as error:
            raise OptionValueInvalid(file.location(name), name, str(error)) from error
    return message


def _round(name: str, value: object) -> object:
    if name not in ROUNDING or not isinstance(value, float) or not math.isfinite(value):
        return value
    return ROUNDING[name](value)


def _build_settings(file: SettingsFile) -> DaemonSettings:
    message = _parse(file)

    def required_text(name: str) -> str:
        value = getattr(message, name)
        if not value:
            raise OptionMissing(file.location(name), name)
        return value

    def required_address(name: str) -> Address:
        return parse_ip_port(file.location(name), name, required_text(name))

    def optional_address(name: str) -> Address | None:
        return required_address(name) if getattr(message, name) else None

    seeds = tuple(
        parse_ip_port(file.location("seed_addresses", seed), "seed_addresses", seed)
        for seed in message.seed_addresses
    )
    log_format = message.log_format or DEFAULT_LOG_FORMAT
    if log_format not in LOG_FORMATS:
        reason = f'"{log_format}" is none of {", ".join(LOG_FORMATS)}'
        raise OptionValueInvalid(file.location("log_format"), "log_format", reason)
    return DaemonSettings(
        daemon=required_text("daemon"),
        data_centre=required_text("data_centre"),
        caller_address=required_address("caller_address"),
        operator_address=required_address("operator_address"),
        peer_address=required_address("peer_address"),
        target_address=_parse_target_address(
            file, message, required_text("target_address")
        ),
        log_url=required_text("log_url").rstrip("/"),
        seed_addresses=seeds,
        log_format=log_format,
        drain_ms=message.drain_ms or DEFAULT_DRAIN_MS,
        isolation_ms=message.isolation_ms or DEFAULT_ISOLATION_MS,
        body_limit_bytes=message.body_limit_bytes or DEFAULT_BODY_LIMIT_BYTES,
        peer_address_overrides=_read_overrides(file, message),
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
        answer_limit_bytes=message.answer_limit_bytes or DEFAULT_ANSWER_LIMIT_BYTES,
        settings_apply_ms=_read_settings_apply_ms(file, message),
        quota_window_ms=message.quota_window_ms or DEFAULT_QUOTA_WINDOW_MS,
        quota_over_percent=message.quota_over_percent,
        quota_slack_calls=message.quota_slack_calls,
        memory_limit_mb=message.memory_limit_mb or DEFAULT_MEMORY_LIMIT_MB,
        transfer_stall_ms=message.transfer_stall_ms or DEFAULT_TRANSFER_STALL_MS,
    )


def _read_settings_apply_ms(
    file: SettingsFile, message: daemon_pb2.DaemonSettings
) -> int:
    value_ms = message.settings_apply_ms or DEFAULT_SETTINGS_APPLY_MS
    if value_ms < MIN_SETTINGS_APPLY_MS:
        option = "settings_apply_ms"
        reason = f"{value_ms} is less than {MIN_SETTINGS_APPLY_MS}"
        raise OptionValueInvalid(file.location(option), option, reason)
    return value_ms


def _parse_target_address(
    file: SettingsFile, message: daemon_pb2.DaemonSettings, value: str
) -> Address:
    """Return the address for targets.

    It must be on loopback, unless a platform package is set, which controls access.
    """
    parse_address = parse_ip_port if message.platform else parse_loopback_ip_port
    return parse_address(file.location("target_address"), "target_address", value)


def _read_overrides(
    file: SettingsFile, message: daemon_pb2.DaemonSettings
) -> dict[str, str]:
    option = "peer_address_overrides"
    for announced_address, reachable_address in message.peer_address_overrides.items():
        location = file.location(option, announced_address)
        parse_ip_port(location, option, announced_address)
        parse_ip_port(location, option, reachable_address)
    return dict(message.peer_address_overrides)
