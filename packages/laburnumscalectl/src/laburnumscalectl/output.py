"""Output.

Prints messages for scripts and times for people.
"""

from datetime import UTC, datetime

from google.protobuf import json_format
from google.protobuf.message import Message

__all__ = ["print_message", "settings_text", "time_text"]

MS_PER_S = 1000


def print_message(message: Message) -> None:
    """Print a message as JSON."""
    print(json_format.MessageToJson(message, preserving_proto_field_name=True))


def time_text(unix_ms: int) -> str:
    """Return a point in time in UTC."""
    moment = datetime.fromtimestamp(unix_ms / MS_PER_S, UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%SZ")


def settings_text(message: Message) -> str:
    """Return the set fields of a message on one line."""
    value = json_format.MessageToDict(message, preserving_proto_field_name=True)
    return ", ".join(f"{name}={_flat(setting)}" for name, setting in value.items())


def _flat(value) -> str:
    if isinstance(value, dict):
        return "+".join(str(item) for items in value.values() for item in items)
    return str(value)
