"""Places.

The nodes of the settings tree, from the fleet down to one endpoint.
"""

import re

import attrs

from laburnumscale.errors import PlaceInvalid

__all__ = [
    "FLEET",
    "AccountPlace",
    "DataCentrePlace",
    "EndpointPlace",
    "FleetPlace",
    "Place",
    "RoutePlace",
    "ServiceInDataCentrePlace",
    "ServicePlace",
    "parse_place",
]

NAME_PATTERN = r"[a-z0-9](?:[a-z0-9._-]*[a-z0-9])?"


class Place:
    """Base class of places; ``str`` returns the text form.

    :cvar pattern: regular expression for the text form.
    """

    pattern = ""


@attrs.frozen
class FleetPlace(Place):
    """The root of the settings tree, which applies to all services."""

    pattern = r"fleet"

    def __str__(self) -> str:
        return "fleet"


@attrs.frozen
class DataCentrePlace(Place):
    """All services in one data centre."""

    pattern = rf"dc:(?P<data_centre>{NAME_PATTERN})"
    data_centre: str

    def __str__(self) -> str:
        return f"dc:{self.data_centre}"


@attrs.frozen
class ServicePlace(Place):
    """One service in all data centres."""

    pattern = rf"service:(?P<service>{NAME_PATTERN})"
    service: str

    def __str__(self) -> str:
        return f"service:{self.service}"


@attrs.frozen
class ServiceInDataCentrePlace(Place):
    """One service in one data centre."""

    pattern = rf"service:(?P<service>{NAME_PATTERN})@(?P<data_centre>{NAME_PATTERN})"
    service: str
    data_centre: str

    def __str__(self) -> str:
        return f"service:{self.service}@{self.data_centre}"


@attrs.frozen
class EndpointPlace(Place):
    """One endpoint of a service."""

    pattern = rf"endpoint:(?P<service>{NAME_PATTERN})/(?P<endpoint>{NAME_PATTERN})"
    service: str
    endpoint: str

    def __str__(self) -> str:
        return f"endpoint:{self.service}/{self.endpoint}"


@attrs.frozen
class RoutePlace(Place):
    """The route of a host and path prefix; an empty host stands for any host."""

    pattern = r"route:(?P<host>[^/]*)(?P<path_prefix>/.*)"
    host: str
    path_prefix: str

    def __str__(self) -> str:
        return f"route:{self.host}{self.path_prefix}"


@attrs.frozen
class AccountPlace(Place):
    """One client account, by its encoded name."""

    pattern = rf"account:(?P<account>{NAME_PATTERN})"
    account: str

    def __str__(self) -> str:
        return f"account:{self.account}"


FLEET = FleetPlace()

_PLACE_TYPES = (
    FleetPlace,
    DataCentrePlace,
    ServicePlace,
    ServiceInDataCentrePlace,
    EndpointPlace,
    RoutePlace,
    AccountPlace,
)
#: Patterns and types by the part of the text form before the first colon. Trees may
#: have many accounts, and trying all patterns took a quarter of the time of a check.
_PLACE_TYPES_BY_KIND = {
    kind: [
        (re.compile(place_type.pattern), place_type)
        for place_type in _PLACE_TYPES
        if place_type.pattern.partition(":")[0] == kind
    ]
    for kind in {each.pattern.partition(":")[0] for each in _PLACE_TYPES}
}


def parse_place(text: str) -> Place:
    """Parse the text form of a place, such as ``service:slot-desk@makati``.

    :raises PlaceInvalid: the text matches none of the forms.
    """
    for pattern, place_type in _PLACE_TYPES_BY_KIND.get(text.partition(":")[0], ()):
        match = pattern.fullmatch(text)
        if match:
            return place_type(**match.groupdict())
    raise PlaceInvalid(text)
