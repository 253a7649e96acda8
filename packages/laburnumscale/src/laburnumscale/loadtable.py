"""Load table.

What the guards' latest replies said about their endpoints, and how old that is.
"""

import statistics
import time
from collections import Counter

import attrs

from laburnumscale.members import EndpointView
from laburnumscale_schema import peer_pb2

__all__ = ["EndpointLoad", "LoadTable"]

REPORT_HALF_LIFE_S = 0.2
LATENCY_HALF_LIFE_S = 1.0
REFERENCE_AGE_S = 10.0
REFERENCE_RENEWAL_S = 0.1
LEAST_COMPARED = 2
DEFAULT_LATENCY_US = 10_000

Key = tuple[str, str, int]


@attrs.define
class _Heard:
    report: peer_pb2.LoadReport
    at_s: float
    own_outstanding: int


@attrs.frozen
class EndpointLoad:
    """An endpoint as this entry sees it now.

    :ivar in_system: calls that run or wait there, as far as this entry can tell.
    :ivar open_slots: calls that it runs at a time, fewer in the slow start.
    """

    view: EndpointView
    ejected: bool
    severity_percent: int
    on_trial: bool
    in_system: float
    open_slots: int
    latency_us: int
    path_broken: bool = False

    @property
    def utilisation(self) -> float:
        """Return the calls in the system for each open slot."""
        return self.in_system / max(1, self.open_slots)

    @property
    def left_out(self) -> bool:
        """Tell whether it gets calls only because of the floor or as a trial."""
        return self.ejected or self.on_trial or self.path_broken


def _key(view: EndpointView) -> Key:
    return view.service, view.endpoint, view.incarnation


class LoadTable:
    """The load reports of the endpoints that this entry has called."""

    def __init__(self) -> None:
        self._heard: dict[Key, _Heard] = {}
        self._outstanding: Counter[Key] = Counter()
        self._medians: dict[str, int] = {}
        self._references: dict[str, tuple[float, int]] = {}

    def started(self, view: EndpointView) -> None:
        """Note that an attempt to an endpoint starts."""
        self._outstanding[_key(view)] += 1

    def ended(self, view: EndpointView) -> None:
        """Note that an attempt to an endpoint has ended."""
        key = _key(view)
        self._outstanding[key] -= 1
        if self._outstanding[key] <= 0:
            del self._outstanding[key]

    def heard(self, view: EndpointView, report: peer_pb2.LoadReport) -> None:
        """Take the load report that came with a reply."""
        key = _key(view)
        known = self._heard.get(key)
        if known and report.verdict_version < known.report.verdict_version:
            return
        self._heard[key] = _Heard(report, time.monotonic(), self._outstanding[key])

    def outstanding(self, view: EndpointView) -> int:
        """Return the attempts of this entry that are at an endpoint."""
        return self._outstanding[_key(view)]

    def load(self, view: EndpointView, path_broken: bool = False) -> EndpointLoad:
        """Return the endpoint as this entry sees it now."""
        heard = self._heard.get(_key(view))
        own = self._outstanding[_key(view)]
        if heard is None:
            heard = _Heard(peer_pb2.LoadReport(), 0.0, 0)
        report = heard.report
        newest = report if report.verdict_version >= view.verdict_version else view
        return EndpointLoad(
            view=view,
            ejected=newest.ejected,
            severity_percent=newest.severity_percent,
            on_trial=newest.on_trial,
            in_system=own + _others(heard),
            open_slots=report.open_slots or view.slots,
            latency_us=self._aged_latency_us(view.service, heard),
            path_broken=path_broken,
        )

    def reference_us(self, service: str, views: list[EndpointView]) -> int:
        """Return the median latency of a service's endpoints.

        :returns: 0 if too few are known, or if most endpoints look bad, so that
            there is nothing to compare with.
        """
        now_s = time.monotonic()
        found = self._references.get(service)
        if found is None or now_s - found[0] > REFERENCE_RENEWAL_S:
            found = (now_s, self._median_us(service, views, now_s))
            self._references[service] = found
        return found[1]

    def _aged_latency_us(self, service: str, heard: _Heard) -> int:
        """Return the reported latency, which tends to the median as it ages.

        So an endpoint that was slow once gets calls again that show what it does.
        """
        median_us = self._medians.get(service) or DEFAULT_LATENCY_US
        reported_us = heard.report.latency_us or median_us
        age_s = time.monotonic() - heard.at_s
        weight = 0.5 ** (age_s / LATENCY_HALF_LIFE_S)
        return int(median_us + weight * (reported_us - median_us))

    def _median_us(self, service: str, views: list[EndpointView], now_s: float) -> int:
        loads = [self.load(view) for view in views]
        bad = sum(load.ejected for load in loads)
        latencies = [
            heard.report.latency_us
            for heard in (self._heard.get(_key(view)) for view in views)
            if heard
            and heard.report.latency_us
            and now_s - heard.at_s < REFERENCE_AGE_S
        ]
        if not latencies:
            return 0
        self._medians[service] = int(statistics.median_low(latencies))
        if len(latencies) < LEAST_COMPARED or 2 * bad >= len(loads):
            return 0
        return self._medians[service]


def _others(heard: _Heard) -> float:
    """Return the calls of other entries, which weigh less as the report ages."""
    reported = heard.report.running + heard.report.queued
    others = max(0, reported - heard.own_outstanding)
    age_s = time.monotonic() - heard.at_s
    return others * 0.5 ** (age_s / REPORT_HALF_LIFE_S)
