"""Output.

Formats protobuf messages and times for the terminal.
"""

from datetime import UTC, datetime

from google.protobuf import json_format
from google.protobuf.message import Message

__all__ = ["format_settings", "format_time", "print_message"]

MS_PER_S = 1000


def print_message(message: Message) -> None:
    """Print a protobuf message as JSON."""
    print(json_format.MessageToJson(message, preserving_proto_field_name=True))


def format_time(unix_ms: int) -> str:
    """Return a time as text, in UTC.

    :param unix_ms: Unix time in milliseconds.
    """
    moment = datetime.fromtimestamp(unix_ms / MS_PER_S, UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%SZ")


def format_settings(message: Message) -> str:
    """Return the fields that are set in a message as one line."""
    value = json_format.MessageToDict(message, preserving_proto_field_name=True)
    return ", ".join(
        f"{name}={_format_value(setting)}" for name, setting in value.items()
    )


def _format_value(value) -> str:
    if isinstance(value, dict):
        return "+".join(str(item) for items in value.values() for item in items)
    return str(value)
