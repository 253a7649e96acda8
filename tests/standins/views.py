"""Views of the membership.

Samples what every daemon of a fleet holds of the others, all along a scenario.
"""

import json
import time

from tests.standins.fleet import DaemonProcess, Fleet, request
from tests.standins.loops import WorkerThreads

__all__ = ["ViewWatcher", "listed", "member_states"]

SAMPLE_INTERVAL_S = 0.1
STATUS_TIMEOUT_S = 1.0
PREFIX = "MEMBER_STATE_"


def member_states(daemon: DaemonProcess) -> dict[str, tuple[str, int]]:
    """Return state and incarnation of each member in one view, {} for no answer."""
    url = f"http://{daemon.operator_address}/v1/status"
    reply = request("GET", url, timeout_s=STATUS_TIMEOUT_S)
    if reply.status != 200:
        return {}
    return {
        member["daemon"]: (
            member["state"].removeprefix(PREFIX),
            int(member["incarnation"]),
        )
        for member in json.loads(reply.body)["members"]
    }


def listed(view: dict[str, tuple[str, int]]) -> set[str]:
    """Return the members that count as present in a view."""
    return {name for name, (state, _) in view.items() if state in ("ALIVE", "SUSPECT")}


class ViewWatcher(WorkerThreads):
    """Notes who was ever dropped from which view since ``start``.

    :ivar dropped: names that were missing at least once, by observer.
    """

    def __init__(self, fleet: Fleet, names: set[str]) -> None:
        self.dropped: dict[str, set[str]] = {name: set() for name in names}
        self._fleet = fleet
        self._names = names
        super().__init__(sorted(names))

    def _run(self, name: str) -> None:
        while not self._stopping.is_set():
            started_at_s = time.monotonic()
            view = member_states(self._fleet.daemons[name])
            if view:
                self.dropped[name] |= self._names - listed(view)
            left_s = started_at_s + SAMPLE_INTERVAL_S - time.monotonic()
            self._stopping.wait(max(0.0, left_s))
