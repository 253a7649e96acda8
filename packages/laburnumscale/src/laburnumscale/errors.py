"""Errors.

Defines the exceptions of the library; each message states the cause and the place.
"""

from dataclasses import dataclass
from typing import ClassVar

__all__ = [
    "AddressInUse",
    "AddressInvalid",
    "AddressNotLoopback",
    "AnswerMismatched",
    "AnswerStatusInvalid",
    "AnswerTooLarge",
    "AnswerUnframed",
    "AttemptSentTwice",
    "BackgroundTaskFailed",
    "BodyIncomplete",
    "BodyStalled",
    "BodyTooLarge",
    "ConnectionUnsuitable",
    "DaemonNameTaken",
    "DatagramInvalid",
    "EndpointMoved",
    "FieldAdjusted",
    "FileSyntaxInvalid",
    "FileUnreadable",
    "HandOverRefused",
    "LaburnumscaleError",
    "LogReplyInvalid",
    "LogReplyOutdated",
    "LogUnavailable",
    "LogUnreachable",
    "OptionMissing",
    "OptionOutOfRange",
    "OptionUnknown",
    "OptionValueInvalid",
    "PlaceInvalid",
    "PlatformUnknown",
    "RecordInvalid",
    "RequestInvalid",
    "SettingsReadOnly",
    "SettingsUnavailable",
    "WorkCutOff",
]


@dataclass(eq=False)
class LaburnumscaleError(Exception):
    """Base of all exceptions; ``template`` is formatted with the fields."""

    template: ClassVar[str] = "unspecified error"

    def __str__(self) -> str:
        return self.template.format(**vars(self))


@dataclass(eq=False)
class FileUnreadable(LaburnumscaleError):
    """A settings file cannot be read or decoded."""

    path: str
    reason: str
    template: ClassVar[str] = "{path}: cannot be read: {reason}"


@dataclass(eq=False)
class FileSyntaxInvalid(LaburnumscaleError):
    """A settings file is not JSON with comments."""

    path: str
    line: int
    reason: str
    template: ClassVar[str] = "{path}:{line}: {reason}"


@dataclass(eq=False)
class OptionUnknown(LaburnumscaleError):
    """A setting does not exist."""

    where: str
    option: str
    template: ClassVar[str] = '{where}: setting "{option}" does not exist'


@dataclass(eq=False)
class OptionMissing(LaburnumscaleError):
    """A required setting is absent."""

    where: str
    option: str
    template: ClassVar[str] = '{where}: setting "{option}" is missing'


@dataclass(eq=False)
class OptionValueInvalid(LaburnumscaleError):
    """The value of a setting has the wrong type or format."""

    where: str
    option: str
    reason: str
    template: ClassVar[str] = '{where}: setting "{option}": {reason}'


@dataclass(eq=False)
class OptionOutOfRange(LaburnumscaleError):
    """The value of a setting is outside its range."""

    where: str
    option: str
    value: int
    lowest: int
    highest: int
    template: ClassVar[str] = (
        '{where}: setting "{option}" is {value}, not within {lowest} to {highest}'
    )


@dataclass(eq=False)
class AddressInvalid(LaburnumscaleError):
    """An address does not have the form ``IP:PORT``."""

    where: str
    option: str
    value: str
    template: ClassVar[str] = '{where}: setting "{option}": "{value}" is not IP:PORT'


@dataclass(eq=False)
class AddressNotLoopback(LaburnumscaleError):
    """An address that must be on loopback is reachable from other hosts."""

    where: str
    option: str
    value: str
    template: ClassVar[str] = '{where}: setting "{option}": "{value}" is not loopback'


@dataclass(eq=False)
class AddressInUse(LaburnumscaleError):
    """A process cannot listen on a configured address."""

    option: str
    value: str
    reason: str
    template: ClassVar[str] = 'setting "{option}": cannot listen on {value}: {reason}'


@dataclass(eq=False)
class DaemonNameTaken(LaburnumscaleError):
    """A process that started later uses the name of this daemon."""

    daemon: str
    incarnation: int
    taken_by_incarnation: int
    taken_by_address: str
    template: ClassVar[str] = (
        'daemon "{daemon}", incarnation {incarnation}: its name was taken by '
        "incarnation {taken_by_incarnation} at {taken_by_address}"
    )


@dataclass(eq=False)
class DatagramInvalid(LaburnumscaleError):
    """A gossip datagram is invalid."""

    source: str
    reason: str
    template: ClassVar[str] = "invalid datagram from {source}: {reason}"


@dataclass(eq=False)
class EndpointMoved(LaburnumscaleError):
    """An endpoint has since been announced to another daemon."""

    service: str
    endpoint: str
    daemon: str
    template: ClassVar[str] = (
        'endpoint "{endpoint}" of "{service}" has moved to daemon "{daemon}"'
    )


@dataclass(eq=False)
class BackgroundTaskFailed(LaburnumscaleError):
    """A background task of a daemon ended with an unexpected exception."""

    part: str
    reason: str
    template: ClassVar[str] = "{part} failed: {reason}"


@dataclass(eq=False)
class FieldAdjusted(LaburnumscaleError):
    """A value of a settings document is out of range; another is in force."""

    where: str
    name: str
    value: str
    used: str
    template: ClassVar[str] = "{where}: {name} is {value}; {used} is in force"


@dataclass(eq=False)
class PlaceInvalid(LaburnumscaleError):
    """The text form of a place cannot be parsed."""

    text: str
    template: ClassVar[str] = '"{text}" is not a valid place'


@dataclass(eq=False)
class LogUnavailable(LaburnumscaleError):
    """The platform's log did not respond; an append may still have been stored."""

    url: str
    reason: str
    template: ClassVar[str] = "log {url}: no answer: {reason}"


@dataclass(eq=False)
class LogUnreachable(LogUnavailable):
    """The connection to the platform's log failed; nothing was sent."""

    template: ClassVar[str] = "log {url}: no connection: {reason}"


@dataclass(eq=False)
class DepartureNotRecorded(LaburnumscaleError):
    """A departure is in effect, but would be forgotten if all daemons ended."""

    endpoint: str
    template: ClassVar[str] = (
        'departure of "{endpoint}": not in the log yet; send it again'
    )


@dataclass(eq=False)
class LogReplyInvalid(LaburnumscaleError):
    """The platform's log sent a response that violates its protocol."""

    url: str
    reason: str
    template: ClassVar[str] = "log {url}: invalid answer: {reason}"


@dataclass(eq=False)
class LogReplyOutdated(LaburnumscaleError):
    """A response of the log is from before its return from an older copy."""

    stream: str
    era: int
    newest_era: int
    template: ClassVar[str] = (
        'stream "{stream}": response of era {era}, after one of era {newest_era}'
    )


@dataclass(eq=False)
class RecordInvalid(LaburnumscaleError):
    """A record of a stream is invalid."""

    stream: str
    offset: int
    reason: str
    template: ClassVar[str] = 'stream "{stream}", offset {offset}: {reason}'


@dataclass(eq=False)
class RequestInvalid(LaburnumscaleError):
    """A caller, target or operator sent an invalid request."""

    where: str
    reason: str
    template: ClassVar[str] = "{where}: {reason}"


@dataclass(eq=False)
class BodyTooLarge(LaburnumscaleError):
    """A body exceeds its size limit."""

    where: str
    limit_bytes: int
    template: ClassVar[str] = (
        "{where}: the body exceeds the limit of {limit_bytes} bytes"
    )


@dataclass(eq=False)
class BodyStalled(RequestInvalid):
    """The caller has stopped sending the body of its request."""


@dataclass(eq=False)
class BodyIncomplete(LaburnumscaleError):
    """The body of a request was not received completely while it was forwarded."""

    request_id: str
    reason: str
    template: ClassVar[str] = 'body of request "{request_id}" is incomplete: {reason}'


@dataclass(eq=False)
class SettingsUnavailable(LaburnumscaleError):
    """A daemon has not received a settings tree yet."""

    daemon: str
    template: ClassVar[str] = 'daemon "{daemon}" has no settings yet'


@dataclass(eq=False)
class WorkCutOff(LaburnumscaleError):
    """The daemon exits before its work in progress has ended."""

    template: ClassVar[str] = "the daemon exits before the work has ended"


@dataclass(eq=False)
class AttemptSentTwice(LaburnumscaleError):
    """An attempt that has already been sent to its target must not be sent again."""

    state: str
    template: ClassVar[str] = "an attempt in state {state} must not be sent again"


@dataclass(eq=False)
class ConnectionUnsuitable(LaburnumscaleError):
    """A kept connection to a target has carried the same request before."""

    request_id: str
    template: ClassVar[str] = 'request "{request_id}" was sent on the connection before'


@dataclass(eq=False)
class AnswerUnframed(LaburnumscaleError):
    """The end of a response cannot be distinguished from a lost connection."""

    url: str
    template: ClassVar[str] = (
        "{url}: the response has neither a length nor chunked encoding"
    )


@dataclass(eq=False)
class AnswerTooLarge(LaburnumscaleError):
    """The body of a response is larger than allowed, or does not end."""

    url: str
    limit_bytes: int
    template: ClassVar[str] = (
        "{url}: the response is larger than {limit_bytes} bytes or does not end"
    )


@dataclass(eq=False)
class PlatformUnknown(LaburnumscaleError):
    """The package of a platform cannot be imported."""

    platform: str
    reason: str
    template: ClassVar[str] = 'platform "{platform}": {reason}'


@dataclass(eq=False)
class SettingsReadOnly(LaburnumscaleError):
    """Settings cannot be changed through this daemon, only on the platform."""

    daemon: str
    template: ClassVar[str] = (
        'daemon "{daemon}" reads its settings from the platform\'s documents; '
        "change them there"
    )


@dataclass(eq=False)
class AnswerStatusInvalid(LaburnumscaleError):
    """The status of a response is none that a response can have."""

    url: str
    status: int
    template: ClassVar[str] = "{url}: the response has the invalid status {status:03}"


@dataclass(eq=False)
class AnswerMismatched(LaburnumscaleError):
    """A response belongs to a different request than the one that was sent."""

    url: str
    request_id: str
    answered_id: str
    template: ClassVar[str] = (
        '{url}: the response to request "{request_id}" is for "{answered_id}"'
    )


@dataclass(eq=False)
class HandOverRefused(LaburnumscaleError):
    """A daemon that has handed over its own operation keys takes over no others."""

    daemon: str
    template: ClassVar[str] = "daemon {daemon} has handed over its operation keys"
