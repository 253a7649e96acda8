"""Errors.

Every failure of the library has a type here; its message says what and where.
"""

from dataclasses import dataclass
from typing import ClassVar

__all__ = [
    "AddressInUse",
    "AddressInvalid",
    "AddressNotLoopback",
    "AnswerMismatched",
    "AnswerUnframed",
    "AttemptSentTwice",
    "BodyBroken",
    "BodyTooLarge",
    "DaemonNameTaken",
    "DatagramInvalid",
    "EndpointMoved",
    "FileSyntaxInvalid",
    "FileUnreadable",
    "LaburnumscaleError",
    "LogReplyInvalid",
    "LogUnavailable",
    "LogUnreachable",
    "OptionMissing",
    "OptionOutOfRange",
    "OptionUnknown",
    "OptionValueInvalid",
    "PartFailed",
    "PlaceInvalid",
    "PlatformUnknown",
    "RecordInvalid",
    "RequestInvalid",
    "SettingsReadOnly",
    "SettingsUnavailable",
]


@dataclass(eq=False)
class LaburnumscaleError(Exception):
    """Base of all typed errors; ``template`` is filled from the fields."""

    template: ClassVar[str] = "unspecified failure"

    def __str__(self) -> str:
        return self.template.format(**vars(self))


@dataclass(eq=False)
class FileUnreadable(LaburnumscaleError):
    """A settings file cannot be opened or decoded."""

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
    """The value of a setting has the wrong form."""

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
    """An address is not ``IP:PORT``."""

    where: str
    option: str
    value: str
    template: ClassVar[str] = '{where}: setting "{option}": "{value}" is not IP:PORT'


@dataclass(eq=False)
class AddressNotLoopback(LaburnumscaleError):
    """An address that must stay on the host is reachable from outside."""

    where: str
    option: str
    value: str
    template: ClassVar[str] = '{where}: setting "{option}": "{value}" is not loopback'


@dataclass(eq=False)
class AddressInUse(LaburnumscaleError):
    """A process cannot listen on an address of its settings."""

    option: str
    value: str
    reason: str
    template: ClassVar[str] = 'setting "{option}": cannot listen on {value}: {reason}'


@dataclass(eq=False)
class DaemonNameTaken(LaburnumscaleError):
    """A later process runs under the name of this daemon."""

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
    """A datagram of the gossip cannot be used."""

    source: str
    reason: str
    template: ClassVar[str] = "datagram from {source}: {reason}"


@dataclass(eq=False)
class EndpointMoved(LaburnumscaleError):
    """An endpoint was announced later beside another daemon."""

    service: str
    endpoint: str
    daemon: str
    template: ClassVar[str] = (
        'endpoint "{endpoint}" of "{service}" has moved to daemon "{daemon}"'
    )


@dataclass(eq=False)
class PartFailed(LaburnumscaleError):
    """A part of a daemon ended with an error that it does not expect."""

    part: str
    reason: str
    template: ClassVar[str] = "{part}: {reason}"


@dataclass(eq=False)
class PlaceInvalid(LaburnumscaleError):
    """The text form of a place cannot be parsed."""

    text: str
    template: ClassVar[str] = '"{text}" names no place'


@dataclass(eq=False)
class LogUnavailable(LaburnumscaleError):
    """The platform's log did not answer; an append may have taken effect."""

    url: str
    reason: str
    template: ClassVar[str] = "log {url}: no answer: {reason}"


@dataclass(eq=False)
class LogUnreachable(LogUnavailable):
    """No connection to the platform's log; nothing was sent."""

    template: ClassVar[str] = "log {url}: no connection: {reason}"


@dataclass(eq=False)
class LogReplyInvalid(LaburnumscaleError):
    """The platform's log answered with something that is not its protocol."""

    url: str
    reason: str
    template: ClassVar[str] = "log {url}: invalid answer: {reason}"


@dataclass(eq=False)
class RecordInvalid(LaburnumscaleError):
    """A record of a stream cannot be used."""

    stream: str
    offset: int
    reason: str
    template: ClassVar[str] = 'stream "{stream}", offset {offset}: {reason}'


@dataclass(eq=False)
class RequestInvalid(LaburnumscaleError):
    """A caller, target or operator sent a request that cannot be used."""

    where: str
    reason: str
    template: ClassVar[str] = "{where}: {reason}"


@dataclass(eq=False)
class BodyTooLarge(LaburnumscaleError):
    """A body is larger than its limit."""

    where: str
    limit_bytes: int
    template: ClassVar[str] = "{where}: the body is larger than {limit_bytes} bytes"


@dataclass(eq=False)
class BodyBroken(LaburnumscaleError):
    """The body of a request ended in an error while it was passed on."""

    request_id: str
    reason: str
    template: ClassVar[str] = "body of request {request_id}: {reason}"


@dataclass(eq=False)
class SettingsUnavailable(LaburnumscaleError):
    """A daemon has no settings tree yet."""

    daemon: str
    template: ClassVar[str] = 'daemon "{daemon}" has no settings yet'


@dataclass(eq=False)
class AttemptSentTwice(LaburnumscaleError):
    """A request that went to a target is about to be sent to it again."""

    state: str
    template: ClassVar[str] = "the attempt is {state}, so it is not sent again"


@dataclass(eq=False)
class AnswerUnframed(LaburnumscaleError):
    """The end of an answer cannot be told from a lost connection."""

    url: str
    template: ClassVar[str] = "{url}: the answer has neither a length nor chunks"


@dataclass(eq=False)
class PlatformUnknown(LaburnumscaleError):
    """The package of a platform cannot be imported."""

    platform: str
    reason: str
    template: ClassVar[str] = 'platform "{platform}": {reason}'


@dataclass(eq=False)
class SettingsReadOnly(LaburnumscaleError):
    """Operators write the settings to the platform, not through daemons."""

    daemon: str
    template: ClassVar[str] = (
        'daemon "{daemon}" takes its settings from the platform\'s documents; '
        "write them there"
    )


@dataclass(eq=False)
class AnswerMismatched(LaburnumscaleError):
    """An answer belongs to another request than the one that was sent."""

    url: str
    request_id: str
    answered_id: str
    template: ClassVar[str] = (
        '{url}: the answer to request "{request_id}" is for "{answered_id}"'
    )
