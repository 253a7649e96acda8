"""Routing entry.

A router with a real membership table, for tests and measurements without a network.
"""

from types import SimpleNamespace

from laburnumscale.callstate import Call
from laburnumscale.deadlines import Deadline
from laburnumscale.health import TargetHealth
from laburnumscale.members import Members
from laburnumscale.metrics import Metrics
from laburnumscale.recovery import TargetRecovery
from laburnumscale.routing import Router
from laburnumscale.settingstree import EffectiveSettings
from laburnumscale.stalls import LoopStalls
from laburnumscale_schema import peer_pb2

__all__ = ["FLOOR_PERCENT", "SERVICE", "RoutingEntry", "SwitchedPaths", "new_call"]

SERVICE = "slot-desk"
FLOOR_PERCENT = 60
TIME_LIMIT_MS = 10_000


def new_call(idempotent=False, body=b"", request=None, attempt_limit=3):
    """Return a call of the service, with ten seconds left."""
    return Call(
        request=request,
        request_id="a",
        service=SERVICE,
        path_and_query="/",
        settings=EffectiveSettings(attempt_limit=attempt_limit),
        idempotent=idempotent,
        deadline=Deadline.after_ms(TIME_LIMIT_MS),
        body=body,
    )


class SwitchedPaths:
    """Paths that break and recover when the test says so."""

    def __init__(self):
        self.broken = set()
        self._listeners = []

    def on_change(self, listener):
        self._listeners.append(listener)

    def is_broken(self, address):
        return address in self.broken

    def schedule_check(self, address):
        """Schedule no check; paths break only when the test says so."""

    def toggle(self, address):
        self.broken ^= {address}
        for listener in self._listeners:
            listener(address)


class RoutingEntry:
    """A router with the membership table, paths and settings that it depends on."""

    def __init__(self):
        own = peer_pb2.Member(
            daemon="entry", incarnation=1, peer_address="127.0.0.1:1", data_centre="dc0"
        )
        self.members = Members(own)
        self.paths = SwitchedPaths()
        effective = EffectiveSettings(floor_percent=FLOOR_PERCENT)
        tree = SimpleNamespace(effective_settings=lambda *place: effective)
        metrics = Metrics()
        recovery = TargetRecovery(None, metrics, lambda: None)
        self.router = Router(
            self.members,
            SimpleNamespace(tree=tree),
            self.paths,
            TargetHealth(recovery, LoopStalls(), metrics),
        )
        self.versions = {}

    def merge(self, index, data_centres=2, **changes):
        """Merge a newer entry of a daemon that lists one endpoint."""
        version = self.versions[index] = self.versions.get(index, 0) + 1
        member = peer_pb2.Member(
            daemon=f"d{index}",
            incarnation=1,
            version=version,
            endpoints_version=version,
            peer_address=f"127.0.0.1:{1000 + index}",
            data_centre=f"dc{index % data_centres}",
            state=changes.get("member_state", peer_pb2.MEMBER_STATE_ALIVE),
            draining=changes.get("draining", False),
        )
        member.endpoints.add(
            service=SERVICE,
            endpoint=changes.get("endpoint", f"e{index}"),
            slots=changes.get("slots", 4),
            state=changes.get("state", peer_pb2.TARGET_STATE_READY),
            ejected=changes.get("ejected", False),
            on_trial=changes.get("on_trial", False),
            severity_percent=changes.get("severity_percent", 0),
            verdict_version=changes.get("verdict_version", 0),
            announced_us=version,
            version=version,
        )
        self.members.merge(member)

    def report(self, index, **changes):
        """Record a load report of an endpoint that the table lists."""
        view = self.members.endpoint(SERVICE, f"e{index}")
        if view is not None:
            self.router.load_table.record_report(
                view, 7, peer_pb2.LoadReport(**changes)
            )
