"""Membership views.

Samples the membership view of each daemon of a fleet during a scenario.
"""

import json
import time

from tests.standins.fleet import DaemonProcess, Fleet, request
from tests.standins.loops import WorkerThreads

__all__ = ["ViewWatcher", "member_states", "present_members"]

SAMPLE_INTERVAL_S = 0.1
STATUS_TIMEOUT_S = 1.0
STATE_PREFIX = "MEMBER_STATE_"


def member_states(daemon: DaemonProcess) -> dict[str, tuple[str, int]]:
    """Return the state and incarnation of each member in the view of a daemon.

    :returns: pairs by member name; empty if the daemon does not answer with 200.
    """
    url = f"http://{daemon.operator_address}/v1/status"
    reply = request("GET", url, timeout_s=STATUS_TIMEOUT_S)
    if reply.status != 200:
        return {}
    return {
        member["daemon"]: (
            member["state"].removeprefix(STATE_PREFIX),
            int(member["incarnation"]),
        )
        for member in json.loads(reply.body)["members"]
    }


def present_members(view: dict[str, tuple[str, int]]) -> set[str]:
    """Return the members that are alive or suspected in a view."""
    return {name for name, (state, _) in view.items() if state in ("ALIVE", "SUSPECT")}


class ViewWatcher(WorkerThreads):
    """Records which members were ever missing from the view of each daemon.

    :ivar missing: names of members that were missing at least once, by observer.
    """

    def __init__(self, fleet: Fleet, names: set[str]) -> None:
        self.missing: dict[str, set[str]] = {name: set() for name in names}
        self._fleet = fleet
        self._names = names
        super().__init__(sorted(names))

    def _run(self, name: str) -> None:
        while not self._stopping.is_set():
            started_at_s = time.monotonic()
            view = member_states(self._fleet.daemons[name])
            if view:
                self.missing[name] |= self._names - present_members(view)
            remaining_s = started_at_s + SAMPLE_INTERVAL_S - time.monotonic()
            self._stopping.wait(max(0.0, remaining_s))
