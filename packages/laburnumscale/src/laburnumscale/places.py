"""Places.

The nodes of the settings tree, from the fleet down to one endpoint.
"""

import re

import attrs

from laburnumscale.errors import PlaceInvalid

__all__ = [
    "FLEET",
    "DataCentrePlace",
    "EndpointPlace",
    "FleetPlace",
    "Place",
    "RoutePlace",
    "ServiceInDataCentrePlace",
    "ServicePlace",
    "parse_place",
]

NAME = r"[a-z0-9](?:[a-z0-9._-]*[a-z0-9])?"


class Place:
    """Base of all places; ``str`` gives the text form that ``pattern`` matches."""

    pattern = ""


@attrs.frozen
class FleetPlace(Place):
    """The root of the tree."""

    pattern = r"fleet"

    def __str__(self) -> str:
        return "fleet"


@attrs.frozen
class DataCentrePlace(Place):
    """All services in one data centre."""

    pattern = rf"dc:(?P<data_centre>{NAME})"
    data_centre: str

    def __str__(self) -> str:
        return f"dc:{self.data_centre}"


@attrs.frozen
class ServicePlace(Place):
    """One service in all data centres."""

    pattern = rf"service:(?P<service>{NAME})"
    service: str

    def __str__(self) -> str:
        return f"service:{self.service}"


@attrs.frozen
class ServiceInDataCentrePlace(Place):
    """One service in one data centre."""

    pattern = rf"service:(?P<service>{NAME})@(?P<data_centre>{NAME})"
    service: str
    data_centre: str

    def __str__(self) -> str:
        return f"service:{self.service}@{self.data_centre}"


@attrs.frozen
class EndpointPlace(Place):
    """One endpoint of a service."""

    pattern = rf"endpoint:(?P<service>{NAME})/(?P<endpoint>{NAME})"
    service: str
    endpoint: str

    def __str__(self) -> str:
        return f"endpoint:{self.service}/{self.endpoint}"


@attrs.frozen
class RoutePlace(Place):
    """The route of a host and path prefix."""

    pattern = r"route:(?P<host>[^/]*)(?P<path_prefix>/.*)"
    host: str
    path_prefix: str

    def __str__(self) -> str:
        return f"route:{self.host}{self.path_prefix}"


FLEET = FleetPlace()

_KINDS = tuple(
    (re.compile(kind.pattern), kind)
    for kind in (
        FleetPlace,
        DataCentrePlace,
        ServicePlace,
        ServiceInDataCentrePlace,
        EndpointPlace,
        RoutePlace,
    )
)


def parse_place(text: str) -> Place:
    """Parse the text form of a place, such as ``service:slot-desk@makati``.

    :raises PlaceInvalid: the text has no such form.
    """
    for pattern, kind in _KINDS:
        match = pattern.fullmatch(text)
        if match:
            return kind(**match.groupdict())
    raise PlaceInvalid(text)
