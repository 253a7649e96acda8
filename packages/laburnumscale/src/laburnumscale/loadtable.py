"""Load table.

What the guards' latest replies said about their endpoints, and how old that is.
"""

import statistics
import time

import attrs

from laburnumscale.members import EndpointView
from laburnumscale_schema import peer_pb2

__all__ = ["Comparison", "EndpointLoad", "LoadTable"]

REPORT_HALF_LIFE_S = 0.2
LATENCY_HALF_LIFE_S = 1.0
SILENT_FACTOR = 2
SILENT_EXCESS_US = 50_000
LEAST_SILENT = 2
US_PER_S = 1_000_000
REFERENCE_AGE_S = 10.0
COMPARISON_RENEWAL_S = 0.02
FORGET_INTERVAL_S = 60.0
FORGOTTEN_AGE_S = 600.0
LEAST_COMPARED = 2
DEFAULT_LATENCY_US = 10_000

Key = tuple[str, str, int]


@attrs.define
class _Heard:
    report: peer_pb2.LoadReport
    at_s: float
    own_outstanding: int


@attrs.frozen
class Comparison:
    """What the latencies of a service's endpoints are compared with.

    :ivar at_s: monotonic time at which it was made.
    :ivar median_us: median of their latencies, 0 if too few are known.
    :ivar most_look_bad: most of them are ejected or silent.
    """

    at_s: float
    median_us: int
    most_look_bad: bool


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
        self._outstanding: dict[Key, list[float]] = {}
        self._medians: dict[str, int] = {}
        self._forgot_at_s = 0.0
        self._comparisons: dict[str, Comparison] = {}

    def started(self, view: EndpointView) -> None:
        """Note that an attempt to an endpoint starts."""
        self._outstanding.setdefault(_key(view), []).append(time.monotonic())

    def ended(self, view: EndpointView) -> None:
        """Note that an attempt to an endpoint has ended."""
        key = _key(view)
        self._outstanding[key].pop(0)
        if not self._outstanding[key]:
            del self._outstanding[key]

    def heard(self, view: EndpointView, report: peer_pb2.LoadReport) -> None:
        """Take the load report that came with a reply."""
        key = _key(view)
        known = self._heard.get(key)
        if known and report.verdict_version < known.report.verdict_version:
            return
        self._heard[key] = _Heard(report, time.monotonic(), self.outstanding(view))
        self._forget_old()

    def _forget_old(self) -> None:
        now_s = time.monotonic()
        if now_s - self._forgot_at_s < FORGET_INTERVAL_S:
            return
        self._forgot_at_s = now_s
        oldest_s = now_s - FORGOTTEN_AGE_S
        for key in [k for k, heard in self._heard.items() if heard.at_s < oldest_s]:
            del self._heard[key]

    def outstanding(self, view: EndpointView) -> int:
        """Return the attempts of this entry that are at an endpoint."""
        return len(self._outstanding.get(_key(view), ()))

    def load(self, view: EndpointView, path_broken: bool = False) -> EndpointLoad:
        """Return the endpoint as this entry sees it now."""
        heard = self._heard.get(_key(view))
        own = self.outstanding(view)
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

    def comparison(self, service: str, views: list[EndpointView]) -> Comparison:
        """Return what the endpoints of a service are compared with."""
        now_s = time.monotonic()
        found = self._comparisons.get(service)
        if found is None or now_s - found.at_s > COMPARISON_RENEWAL_S:
            median_us = self._median_us(service, views, now_s)
            found = Comparison(now_s, median_us, self._most_look_bad(service, views))
            self._comparisons[service] = found
        return found

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
        if len(latencies) < LEAST_COMPARED:
            return 0
        return self._medians[service]

    def _most_look_bad(self, service: str, views: list[EndpointView]) -> bool:
        """Tell whether most endpoints are ejected or silent.

        Endpoints are silent if they leave an attempt unanswered for long; they are
        most if half as many have answered since the oldest such attempt.
        """
        ejected = sum(self.load(view).ejected for view in views)
        if 2 * ejected > len(views):
            return True
        silent = self._silent_since_s(service, views)
        if len(silent) < LEAST_SILENT:
            return False
        heard = (self._heard.get(_key(view)) for view in views)
        answered = sum(each is not None and each.at_s > min(silent) for each in heard)
        return 2 * answered <= len(silent)

    def _silent_since_s(self, service: str, views: list[EndpointView]) -> list[float]:
        median_us = self._medians.get(service, DEFAULT_LATENCY_US)
        silent_us = max(SILENT_FACTOR * median_us, median_us + SILENT_EXCESS_US)
        started_before_s = time.monotonic() - silent_us / US_PER_S
        outstanding = (self._outstanding.get(_key(view)) for view in views)
        oldest = [times[0] for times in outstanding if times]
        return [at_s for at_s in oldest if at_s < started_before_s]


def _others(heard: _Heard) -> float:
    """Return the calls of other entries, which weigh less as the report ages."""
    reported = heard.report.running + heard.report.queued
    others = max(0, reported - heard.own_outstanding)
    age_s = time.monotonic() - heard.at_s
    return others * 0.5 ** (age_s / REPORT_HALF_LIFE_S)
