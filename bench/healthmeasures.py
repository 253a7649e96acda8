"""Metrics of the health bench.

Computes detection, traffic and latency figures from the data recorded in an episode.
"""

import json
import statistics
from datetime import datetime
from pathlib import Path

import attrs

from bench.healthfaults import Fault, ServiceSpec
from bench.healthload import CallResult

__all__ = [
    "Episode",
    "TargetEvent",
    "measure_episode",
    "read_target_events",
    "summarise",
]

#: Time without calls after which a target counts as no longer used.
QUIET_PERIOD_S = 1.5
HTTP_OK = 200
S_PER_HOUR = 3600
SLOTS_PER_TARGET = 5


@attrs.frozen
class TargetEvent:
    """Log line of a daemon about one target.

    :ivar logged_at_s: Unix time of the line.
    :ivar name: log event, such as "target ejected".
    :ivar service: name of the service.
    :ivar endpoint: name of the target.
    """

    logged_at_s: float
    name: str
    service: str
    endpoint: str


@attrs.define
class Episode:
    """One fault in one service, with one seed.

    :ivar spec: size and workload of the service.
    :ivar fault: kind of fault.
    :ivar seed: seed of the scenario.
    :ivar service: name of the service in this episode.
    :ivar victims: names of the targets that fail.
    :ivar fault_start_s: Unix time at which the fault starts.
    :ivar fault_end_s: Unix time at which the fault ends.
    :ivar calls: results of the calls to the service.
    :ivar work_starts_s: Unix times at which each target received calls, by endpoint.
    :ivar spare_slots: minimum number of slots in use above the floor, over all daemons.
    :ivar healthy_slots: minimum number of slots in use at targets that do not fail,
        over all daemons.
    """

    spec: ServiceSpec
    fault: Fault
    seed: int
    service: str
    victims: set[str]
    fault_start_s: float = 0.0
    fault_end_s: float = 0.0
    calls: list[CallResult] = attrs.field(factory=list)
    work_starts_s: dict[str, list[float]] = attrs.field(factory=dict)
    spare_slots: int | None = None
    healthy_slots: int | None = None


def read_target_events(directory: Path) -> list[TargetEvent]:
    """Return the target events that the daemons logged, in chronological order.

    :param directory: directory of the log files.
    """
    target_events = []
    for path in directory.glob("d?.log"):
        for line in path.read_text(errors="replace").splitlines():
            if '"target ' not in line:
                continue
            value = json.loads(line)
            logged_at_s = datetime.fromisoformat(value["timestamp"]).timestamp()
            target_events.append(
                TargetEvent(
                    logged_at_s, value["event"], value["service"], value["endpoint"]
                )
            )
    return sorted(target_events, key=lambda event: event.logged_at_s)


def measure_episode(episode: Episode, target_events: list[TargetEvent]) -> dict:
    """Return the figures of one episode, by the names used in the result file."""
    ejections = [
        event
        for event in target_events
        if event.service == episode.service and event.name == "target ejected"
    ]
    true_positives = [event for event in ejections if _is_true_positive(episode, event)]
    sent = [
        started_at_s - episode.fault_start_s
        for endpoint in episode.victims
        for started_at_s in episode.work_starts_s.get(endpoint, [])
        if episode.fault_start_s <= started_at_s < episode.fault_end_s
    ]
    calls = [
        c
        for c in episode.calls
        if episode.fault_start_s <= c.started_at_s < episode.fault_end_s
    ]
    answered = [call for call in calls if call.status == HTTP_OK]
    in_time = [c for c in answered if c.elapsed_ms <= episode.spec.max_latency_ms]
    added_ms = sorted(call.elapsed_ms - call.work_ms for call in answered)
    hours = (episode.fault_end_s - episode.fault_start_s) / S_PER_HOUR
    return {
        "service": episode.spec.service,
        "fault": episode.fault.name,
        "seed": episode.seed,
        "detected_s": [
            round(
                min(
                    event.logged_at_s
                    for event in true_positives
                    if event.endpoint == victim
                ),
                3,
            )
            - episode.fault_start_s
            for victim in episode.victims
            if any(event.endpoint == victim for event in true_positives)
        ],
        "quiet_s": [_quiet_s(episode, victim) for victim in sorted(episode.victims)],
        "victims": len(episode.victims),
        "sent": len(sent),
        "sent_after_1s": sum(elapsed_s > 1 for elapsed_s in sent),
        "ejections": len(ejections),
        "false_ejections": len(ejections) - len(true_positives),
        "target_hours": episode.spec.endpoints * hours,
        "spare_slots": episode.spare_slots,
        "healthy_slots": episode.healthy_slots,
        "slots": episode.spec.endpoints * SLOTS_PER_TARGET,
        "calls": len(calls),
        "in_time": len(in_time),
        "added_p50_ms": _percentile(added_ms, 50),
        "added_p99_ms": _percentile(added_ms, 99),
    }


def _is_true_positive(episode: Episode, event: TargetEvent) -> bool:
    if not episode.fault.ejection_expected or event.endpoint not in episode.victims:
        return False
    return episode.fault_start_s <= event.logged_at_s < episode.fault_end_s + 1


def _quiet_s(episode: Episode, victim: str) -> float:
    """Return the time from the start of the fault until a victim gets no more calls.

    That is the last call before a gap of at least ``QUIET_PERIOD_S``, or 0 if such a
    gap follows the start of the fault.
    """
    work_starts_s = [
        started_at_s
        for started_at_s in sorted(episode.work_starts_s.get(victim, []))
        if episode.fault_start_s <= started_at_s < episode.fault_end_s
    ]
    last_s = episode.fault_start_s
    for started_at_s in [*work_starts_s, episode.fault_end_s + QUIET_PERIOD_S]:
        if started_at_s - last_s >= QUIET_PERIOD_S:
            break
        last_s = started_at_s
    return round(last_s - episode.fault_start_s, 3)


def _percentile(values: list[float], percent: int) -> float | None:
    if not values:
        return None
    index = min(len(values) - 1, len(values) * percent // 100)
    return round(values[index], 2)


def summarise(rows: list[dict]) -> list[dict]:
    """Return one row of aggregated figures for each service and fault."""
    groups: dict[tuple[str, str], list[dict]] = {}
    for row in rows:
        groups.setdefault((row["service"], row["fault"]), []).append(row)
    return [
        _summarise_group(service, fault, g) for (service, fault), g in groups.items()
    ]


def _summarise_group(service: str, fault: str, rows: list[dict]) -> dict:
    detected = [value for row in rows for value in row["detected_s"]]
    quiet = [value for row in rows for value in row["quiet_s"]]
    hours = sum(row["target_hours"] for row in rows)
    calls = sum(row["calls"] for row in rows)
    p99 = [row["added_p99_ms"] for row in rows if row["added_p99_ms"] is not None]
    p50 = [row["added_p50_ms"] for row in rows if row["added_p50_ms"] is not None]
    spare = [r["spare_slots"] for r in rows if r["spare_slots"] is not None]
    healthy = [r["healthy_slots"] for r in rows if r["healthy_slots"] is not None]
    return {
        "service": service,
        "fault": fault,
        "episodes": len(rows),
        "victims": sum(row["victims"] for row in rows),
        "detected": len(detected),
        "detected_median_s": _rounded_or_none(statistics.median, detected),
        "detected_worst_s": _rounded_or_none(max, detected),
        "quiet_median_s": _rounded_or_none(statistics.median, quiet),
        "quiet_worst_s": _rounded_or_none(max, quiet),
        "sent": sum(row["sent"] for row in rows),
        "sent_after_1s": sum(row["sent_after_1s"] for row in rows),
        "false_ejections": sum(row["false_ejections"] for row in rows),
        "false_per_target_hour": round(
            sum(row["false_ejections"] for row in rows) / hours, 2
        ),
        "least_spare_slots": min(spare, default=None),
        "least_healthy_slots": min(healthy, default=None),
        "slots": rows[0]["slots"],
        "in_time_percent": round(100 * sum(r["in_time"] for r in rows) / calls, 2),
        "added_p50_ms": _rounded_or_none(statistics.median, p50),
        "added_p99_ms": _rounded_or_none(max, p99),
    }


def _rounded_or_none(function, values: list[float]) -> float | None:
    return round(function(values), 2) if values else None
