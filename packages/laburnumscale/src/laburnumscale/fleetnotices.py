"""Fleet notices.

What daemons tell each other beside the membership.
"""

import attrs

from laburnumscale.departures import Departures
from laburnumscale.metrics import Metrics
from laburnumscale.quarantine import Quarantine
from laburnumscale_schema import gossip_pb2, peer_pb2

__all__ = ["FleetNotices"]


@attrs.frozen(eq=False)
class FleetNotices:
    """The notices that a daemon knows.

    :ivar quarantine: the calls under which targets ended.
    :ivar departures: the processes of targets that leave or have left.
    """

    quarantine: Quarantine
    departures: Departures

    @classmethod
    def create(cls, metrics: Metrics) -> "FleetNotices":
        """Return the notices of a daemon that knows none yet."""
        return cls(Quarantine(metrics), Departures(metrics))

    def merge(self, message: gossip_pb2.Datagram | peer_pb2.MemberTable) -> None:
        """Take over the notices in a message of another daemon."""
        for suspect in message.suspect_calls:
            self.quarantine.merge(suspect)
        for departure in message.departures:
            self.departures.merge(departure)
