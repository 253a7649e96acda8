"""Daemon parts.

The parts of a daemon that have to do with departures of targets, without its servers.
"""

import asyncio

from laburnumscale.addresses import Address
from laburnumscale.deadlines import Deadline
from laburnumscale.departurerecords import DepartureRecords
from laburnumscale.departurereplicator import DepartureReplicator
from laburnumscale.fleetnotices import FleetNotices
from laburnumscale.localtarget import LocalTarget
from laburnumscale.memberentries import ALIVE
from laburnumscale.members import Members, new_incarnation
from laburnumscale.merger import EntryMerger
from laburnumscale.metrics import Metrics
from laburnumscale.presence import PresenceStream
from laburnumscale.tableexchange import TableExchange
from laburnumscale.targetregistry import TargetRegistry
from laburnumscale_schema import peer_pb2
from tests.standins.linkedchannels import LinkedChannels

__all__ = ["PORT", "READY", "DaemonParts", "new_member"]

READY = peer_pb2.TARGET_STATE_READY
PORT = 9000


def new_member(name, port):
    """Return the entry of a daemon that starts now."""
    return peer_pb2.Member(
        daemon=name,
        incarnation=new_incarnation(),
        version=1,
        peer_address=f"127.0.0.1:{port}",
        state=ALIVE,
    )


class DaemonParts:
    """The parts of a daemon that have to do with departures."""

    def __init__(self, name, port, log=None):
        metrics = Metrics()
        self.members = Members(new_member(name, port))
        self.notices = FleetNotices.create(metrics)
        self.channels = LinkedChannels()
        self.exchange = TableExchange(
            self.members,
            EntryMerger(self.members, lambda member: None, metrics),
            self.channels,
            metrics,
            self.notices,
        )
        self.targets = TargetRegistry(
            name, self.members, metrics, self.notices.departures
        )
        self.presence = None
        if log is not None:
            departures = self.notices.departures
            self.presence = PresenceStream(log, self.members, metrics, departures)
        self.records = DepartureRecords(self.members, self.presence, metrics)
        self.replicator = DepartureReplicator(self.members, self.exchange, self.records)

    def link(self, peer):
        self.channels.peer, peer.channels.peer = peer, self
        for first, second in ((self, peer), (peer, self)):
            own = peer_pb2.Member()
            own.CopyFrom(second.members.own)
            first.members.merge(own)

    def announce(self, start, number, **fields):
        target = {
            "service": "slot-desk",
            "endpoint": "i-1",
            "address": Address("127.0.0.1", PORT),
            "slots": 5,
            "state": READY,
            "lease_deadline": Deadline.after_ms(30_000),
            "started_at_unix_ms": start,
            "sequence": number,
        }
        may_replace = fields.pop("may_replace", True)
        return self.targets.announce(LocalTarget(**(target | fields)), may_replace)

    def acknowledge(self, departure):
        if self.members.peers():
            asyncio.run(self.replicator.replicate(departure))
        elif self.presence is not None:
            asyncio.run(self.replicate_and_write(departure))

    async def replicate_and_write(self, *departures):
        """Replicate departures while the task runs that writes records."""
        writing = asyncio.create_task(self.records.write_forever())
        await asyncio.gather(*map(self.replicator.replicate, departures))
        writing.cancel()

    def published(self):
        return {each.endpoint: each.state for each in self.members.own.endpoints}
