"""Announcements.

Serves the HTTP interface on loopback through which targets announce themselves.
"""

import ujson
from google.protobuf import json_format
from sanic import HTTPResponse, Request, Sanic
from sanic.response import json

from laburnumscale.acceptance import (
    MAX_SLOTS,
    accept_count,
    accept_name,
    accept_start_time_ms,
)
from laburnumscale.addresses import parse_loopback_ip_port
from laburnumscale.deadlines import Deadline
from laburnumscale.errors import (
    EndpointMoved,
    LaburnumscaleError,
    OptionOutOfRange,
    RequestInvalid,
)
from laburnumscale.localtarget import LocalTarget
from laburnumscale.places import EndpointPlace, parse_place
from laburnumscale.targetregistry import TargetRegistry
from laburnumscale.webserver import new_app
from laburnumscale_schema import peer_pb2, target_pb2

__all__ = ["announcement_app"]

PATH = "/_laburnumscale/v1/targets/<service:str>/<endpoint:str>"
DEFAULT_SLOTS = 5
DEFAULT_LEASE_MS = 3_000
MAX_LEASE_MS = 3_600_000
READY = peer_pb2.TARGET_STATE_READY
STATES = {
    "starting": peer_pb2.TARGET_STATE_STARTING,
    "ready": READY,
    "draining": peer_pb2.TARGET_STATE_DRAINING,
}


def _parse_announcement(request: Request, service: str, endpoint: str) -> LocalTarget:
    place = str(EndpointPlace(service, endpoint))
    parse_place(place)
    accept_name(place, "service", service)
    accept_name(place, "endpoint", endpoint)
    try:
        message = _parse_body(request.body)
    except (json_format.ParseError, AttributeError, TypeError, ValueError) as error:
        raise RequestInvalid(place, str(error)) from error
    address = parse_loopback_ip_port(place, "address", message.address)
    slots = message.slots or DEFAULT_SLOTS
    if slots > MAX_SLOTS:
        raise OptionOutOfRange(place, "slots", slots, 0, MAX_SLOTS)
    lease_ms = message.lease_ms or DEFAULT_LEASE_MS
    if lease_ms > MAX_LEASE_MS:
        raise OptionOutOfRange(place, "lease_ms", lease_ms, 0, MAX_LEASE_MS)
    return LocalTarget(
        service=service,
        endpoint=endpoint,
        address=address,
        slots=slots,
        state=message.state or READY,
        lease_deadline=Deadline.after_ms(lease_ms),
        started_at_unix_ms=accept_start_time_ms(
            place, "started_at_unix_ms", message.started_at_unix_ms
        ),
        sequence=accept_count(place, "sequence", message.sequence),
    )


def _parse_body(body: bytes) -> target_pb2.TargetAnnouncement:
    value = ujson.loads(body)
    if isinstance(value, dict) and value.get("state") in STATES:
        value["state"] = STATES[value["state"]]
    return json_format.ParseDict(value, target_pb2.TargetAnnouncement())


def announcement_app(daemon: str, targets: TargetRegistry) -> Sanic:
    """Return the HTTP application for the targets of this host.

    :param daemon: name of the daemon.
    :param targets: registry that stores the announced targets.
    """
    app = new_app(f"{daemon}-targets")

    @app.put(PATH)
    async def announce(request: Request, service: str, endpoint: str) -> HTTPResponse:
        try:
            targets.announce(_parse_announcement(request, service, endpoint))
        except EndpointMoved as error:
            return json({"error": str(error)}, status=409)
        except LaburnumscaleError as error:
            return json({"error": str(error)}, status=400)
        return json({})

    @app.delete(PATH)
    async def withdraw(request: Request, service: str, endpoint: str) -> HTTPResponse:
        found = targets.withdraw(service, endpoint)
        return json({}, status=200 if found else 404)

    return app
