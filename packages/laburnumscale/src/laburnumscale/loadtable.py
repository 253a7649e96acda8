"""Load table.

Stores the latest load report of each endpoint and estimates its current load; the
older a report is, the less it counts.
"""

import itertools
import time
from collections import OrderedDict
from collections.abc import Callable, Iterator
from typing import Protocol

import attrs

from laburnumscale.latencyreports import EndpointKey, LatencyReports
from laburnumscale.members import EndpointView
from laburnumscale_schema import peer_pb2

__all__ = [
    "EndpointHealth",
    "EndpointLoad",
    "ListedEndpoints",
    "LoadTable",
    "OutstandingAttempt",
    "ServiceBaseline",
]

REPORT_HALF_LIFE_S = 0.2
UNRESPONSIVE_FACTOR = 2
UNRESPONSIVE_EXCESS_US = 50_000
MIN_UNRESPONSIVE_ENDPOINTS = 2
US_PER_S = 1_000_000
MAX_BASELINE_AGE_S = 0.02
MAX_QUEUE_AGE_S = 0.1  # later, the queue may be empty again
MAX_DOUBT_AGE_S = 2.0  # later, the guard is asked again
MAX_BASELINES = 1024
EXPIRY_INTERVAL_S = 60.0
REPORT_EXPIRY_S = 600.0


@attrs.define
class _ReceivedReport:
    """A load report.

    :ivar received_at_s: monotonic time at which it was received.
    :ivar own_outstanding: attempts of this entry at the endpoint at that time.
    """

    report: peer_pb2.LoadReport
    received_at_s: float
    own_outstanding: int


_NO_REPORT = _ReceivedReport(peer_pb2.LoadReport(), 0.0, 0)


@attrs.frozen(eq=False)
class OutstandingAttempt:
    """An attempt of this entry that has not ended.

    :ivar started_at_s: monotonic time of its start.
    :ivar overdue_at_s: monotonic time from which its endpoint looks unresponsive.
    """

    started_at_s: float
    overdue_at_s: float


@attrs.frozen
class ServiceBaseline:
    """The values that the endpoints of a service are compared with.

    :ivar computed_at_s: monotonic time at which it was computed.
    :ivar median_latency_us: median of their latencies for one route, 0 if too few are
        known.
    :ivar most_look_bad: whether most of them are ejected or unresponsive.
    """

    computed_at_s: float
    median_latency_us: int
    most_look_bad: bool


@attrs.frozen(kw_only=True)
class EndpointHealth:
    """The health of an endpoint as this entry knows it."""

    view: EndpointView
    ejected: bool
    severity_percent: int
    on_trial: bool
    path_broken: bool = False

    @property
    def unhealthy(self) -> bool:
        """Return whether it gets calls only because of the floor or as a trial."""
        return self.ejected or self.on_trial or self.path_broken


@attrs.frozen(kw_only=True)
class EndpointLoad(EndpointHealth):
    """The health and the load of an endpoint as this entry knows them.

    :ivar in_system: estimated number of calls that run or wait at the endpoint.
    :ivar in_doubt: some of its latest calls failed, according to a recent report.
    :ivar is_limited: it names a limit, and this entry has used up its share.
    :ivar is_due: it names a limit, and this entry has a call left in its share.
    :ivar open_slots: calls that it runs at a time; fewer during its slow start.
    """

    in_system: float
    open_slots: int
    latency_us: int
    in_doubt: bool = False
    is_limited: bool = False
    is_due: bool = False

    @property
    def utilisation(self) -> float:
        """Return the calls in the system for each open slot."""
        return self.in_system / max(1, self.open_slots)


def _key(view: EndpointView) -> EndpointKey:
    return view.service, view.endpoint, view.incarnation


class ListedEndpoints(Protocol):
    """The endpoints that a service lists.

    :ivar ejected_count: endpoints that their guards have ejected.
    """

    ejected_count: int

    def __len__(self) -> int: ...

    def health(self, endpoint: str) -> EndpointHealth | None:
        """Return the health of an endpoint, or None if the service does not list it."""


class LoadTable:
    """The load reports of the endpoints that this entry has called."""

    def __init__(self) -> None:
        self._reports: dict[str, OrderedDict[EndpointKey, _ReceivedReport]] = {}
        self._outstanding: dict[str, dict[EndpointKey, list[OutstandingAttempt]]] = {}
        self._latencies = LatencyReports()
        self._last_expiry_s = 0.0
        self._baselines: dict[tuple[str, int], ServiceBaseline] = {}
        self._listeners: list[Callable[[str, str], None]] = []

    def on_change(self, listener: Callable[[str, str], None]) -> None:
        """Register a function that is called when a report arrives or expires.

        It gets the service and the name of the endpoint.
        """
        self._listeners.append(listener)

    def record_start(self, view: EndpointView, route: int = 0) -> OutstandingAttempt:
        """Record the start of an attempt at an endpoint.

        :param route: hash of the route of the call.
        :returns: the attempt, to be passed to :meth:`record_end`.
        """
        median_us = self._latencies.last_median_us((view.service, route))
        limit_us = max(
            UNRESPONSIVE_FACTOR * median_us, median_us + UNRESPONSIVE_EXCESS_US
        )
        now_s = time.monotonic()
        attempt = OutstandingAttempt(now_s, now_s + limit_us / US_PER_S)
        in_service = self._outstanding.setdefault(view.service, {})
        in_service.setdefault(_key(view), []).append(attempt)
        return attempt

    def record_end(self, view: EndpointView, attempt: OutstandingAttempt) -> None:
        """Record the end of an attempt at an endpoint."""
        key = _key(view)
        in_service = self._outstanding[view.service]
        in_service[key].remove(attempt)
        if not in_service[key]:
            del in_service[key]
        if not in_service:
            del self._outstanding[view.service]

    def record_report(
        self, view: EndpointView, route: int, report: peer_pb2.LoadReport
    ) -> None:
        """Store the load report of a reply, unless a newer verdict is known.

        :param route: hash of the route whose latency the report contains.
        """
        key = _key(view)
        reports = self._reports.setdefault(view.service, OrderedDict())
        known = reports.get(key)
        if known and report.verdict_version < known.report.verdict_version:
            return
        reports[key] = _ReceivedReport(
            report, time.monotonic(), self.count_outstanding(view)
        )
        reports.move_to_end(key)
        self._latencies.record((view.service, route), key, report.latency_us)
        self._notify(key)
        self._expire_reports()

    def _expire_reports(self) -> None:
        now_s = time.monotonic()
        if now_s - self._last_expiry_s < EXPIRY_INTERVAL_S:
            return
        self._last_expiry_s = now_s
        oldest_s = now_s - REPORT_EXPIRY_S
        for service, reports in list(self._reports.items()):
            for key in _received_before(reports, oldest_s):
                del reports[key]
                self._notify(key)
            if not reports:
                del self._reports[service]

    def _notify(self, key: EndpointKey) -> None:
        service, endpoint, _ = key
        for listener in self._listeners:
            listener(service, endpoint)

    def count_outstanding(self, view: EndpointView) -> int:
        """Return the number of attempts of this entry that are at an endpoint."""
        in_service = self._outstanding.get(view.service)
        return len(in_service.get(_key(view), ())) if in_service else 0

    def has_queue(self, view: EndpointView) -> bool:
        """Return whether calls wait for a slot of an endpoint, by a recent report."""
        received = self._received(view)
        age_s = time.monotonic() - received.received_at_s
        return received.report.queued > 0 and age_s < MAX_QUEUE_AGE_S

    def endpoint_health(
        self, view: EndpointView, path_broken: bool = False
    ) -> EndpointHealth:
        """Return the health of an endpoint as this entry knows it."""
        newest = _newest_verdict(self._received(view).report, view)
        return EndpointHealth(
            view=view,
            ejected=newest.ejected,
            severity_percent=newest.severity_percent,
            on_trial=newest.on_trial,
            path_broken=path_broken,
        )

    def endpoint_load(
        self,
        view: EndpointView,
        path_broken: bool = False,
        route: int = 0,
        is_limited: bool = False,
        is_due: bool = False,
    ) -> EndpointLoad:
        """Return the health and the load of an endpoint as this entry knows them.

        :param route: hash of the route whose latency is returned.
        :param is_limited: whether the entry has used up its share of a limit.
        :param is_due: whether the entry has a call left in its share of a limit.
        """
        received = self._received(view)
        report = received.report
        newest = _newest_verdict(report, view)
        own = self.count_outstanding(view)
        return EndpointLoad(
            view=view,
            ejected=newest.ejected,
            severity_percent=newest.severity_percent,
            on_trial=newest.on_trial,
            in_system=own + _calls_of_other_entries(received),
            open_slots=report.open_slots or view.slots,
            latency_us=self._latencies.estimate_us((view.service, route), _key(view)),
            path_broken=path_broken,
            in_doubt=report.in_doubt and _is_recent(received),
            is_limited=is_limited,
            is_due=is_due,
        )

    def _received(self, view: EndpointView) -> _ReceivedReport:
        """Return the latest report of an endpoint, or an empty one."""
        reports = self._reports.get(view.service)
        return (reports and reports.get(_key(view))) or _NO_REPORT

    def baseline(
        self, service: str, listed: ListedEndpoints, route: int = 0
    ) -> ServiceBaseline:
        """Return the values that the endpoints of a service are compared with.

        :param listed: the endpoints of the service.
        :param route: hash of the route whose median latency is returned.
        """
        now_s = time.monotonic()
        key = (service, route)
        found = self._baselines.get(key)
        if found is None or now_s - found.computed_at_s > MAX_BASELINE_AGE_S:
            found = ServiceBaseline(
                now_s,
                self._latencies.compute_median_us(key),
                self._most_look_bad(service, listed),
            )
            if len(self._baselines) >= MAX_BASELINES:
                self._baselines.clear()
            self._baselines[key] = found
        return found

    def _most_look_bad(self, service: str, listed: ListedEndpoints) -> bool:
        """Return whether most endpoints are ejected or unresponsive.

        An endpoint is unresponsive if an attempt has waited long for its reply. The
        unresponsive endpoints are the majority if at most half as many endpoints
        have replied since the oldest of these attempts started.

        The time that this takes grows with the attempts in flight, not with the
        endpoints.
        """
        if 2 * listed.ejected_count > len(listed):
            return True
        waiting_since_s = self._waiting_since_s(service, listed)
        if len(waiting_since_s) < MIN_UNRESPONSIVE_ENDPOINTS:
            return False
        replied = self._replied_since(min(waiting_since_s), service, listed)
        most_replied = len(waiting_since_s) // 2 + 1
        return sum(1 for _ in itertools.islice(replied, most_replied)) < most_replied

    def _replied_since(
        self, since_s: float, service: str, listed: ListedEndpoints
    ) -> Iterator[EndpointKey]:
        """Yield the endpoints with a report after a time, the latest first."""
        reports = self._reports.get(service, {})
        for key in reversed(reports):
            if reports[key].received_at_s <= since_s:
                return
            if _is_listed(key, listed):
                yield key

    def _waiting_since_s(self, service: str, listed: ListedEndpoints) -> list[float]:
        """Return the start of the oldest overdue attempt at each endpoint with one."""
        now_s = time.monotonic()
        overdue = (
            [each.started_at_s for each in attempts if each.overdue_at_s < now_s]
            for key, attempts in self._outstanding.get(service, {}).items()
            if _is_listed(key, listed)
        )
        return [min(times_s) for times_s in overdue if times_s]


def _is_listed(key: EndpointKey, listed: ListedEndpoints) -> bool:
    _, endpoint, incarnation = key
    health = listed.health(endpoint)
    return health is not None and health.view.incarnation == incarnation


def _newest_verdict(
    report: peer_pb2.LoadReport, view: EndpointView
) -> peer_pb2.LoadReport | EndpointView:
    return report if report.verdict_version >= view.verdict_version else view


def _received_before(
    reports: OrderedDict[EndpointKey, _ReceivedReport], time_s: float
) -> list[EndpointKey]:
    """Return the endpoints whose report is older than a time."""
    return list(
        itertools.takewhile(
            lambda key: reports[key].received_at_s < time_s, list(reports)
        )
    )


def _is_recent(received: _ReceivedReport) -> bool:
    return time.monotonic() - received.received_at_s < MAX_DOUBT_AGE_S


def _calls_of_other_entries(received: _ReceivedReport) -> float:
    """Return the estimated calls of other entries, which decay as the report ages."""
    reported = received.report.running + received.report.queued
    others = max(0, reported - received.own_outstanding)
    age_s = time.monotonic() - received.received_at_s
    return others * 0.5 ** (age_s / REPORT_HALF_LIFE_S)
