"""Measures of the health bench.

Turns what an episode left behind into the figures of the brief.
"""

import json
import statistics
from datetime import datetime
from pathlib import Path

import attrs

from bench.healthfaults import Fault, ServiceShape
from bench.healthload import CallResult

__all__ = ["Episode", "Verdict", "measure", "read_verdicts", "summarise"]

QUIET_S = 1.5
OK = 200
S_PER_HOUR = 3600
SLOTS = 5


@attrs.frozen
class Verdict:
    """A line of a daemon's log about one target."""

    at_s: float
    event: str
    service: str
    endpoint: str


@attrs.define
class Episode:
    """One fault in one service, with one seed.

    :ivar started: when work started, by endpoint.
    :ivar spare_slots: least slots in use above the floor, in any daemon's view.
    :ivar healthy_slots: least slots in use of targets that do not fail.
    """

    shape: ServiceShape
    fault: Fault
    seed: int
    service: str
    victims: set[str]
    onset_s: float = 0.0
    end_s: float = 0.0
    calls: list[CallResult] = attrs.field(factory=list)
    started: dict[str, list[float]] = attrs.field(factory=dict)
    spare_slots: int | None = None
    healthy_slots: int | None = None


def read_verdicts(directory: Path) -> list[Verdict]:
    """Return the verdicts that the daemons logged."""
    verdicts = []
    for path in directory.glob("d?.log"):
        for line in path.read_text(errors="replace").splitlines():
            if '"target ' not in line:
                continue
            value = json.loads(line)
            at_s = datetime.fromisoformat(value["timestamp"]).timestamp()
            verdicts.append(
                Verdict(at_s, value["event"], value["service"], value["endpoint"])
            )
    return sorted(verdicts, key=lambda verdict: verdict.at_s)


def measure(episode: Episode, verdicts: list[Verdict]) -> dict:
    """Return the figures of one episode."""
    ejections = [
        verdict
        for verdict in verdicts
        if verdict.service == episode.service and verdict.event == "target ejected"
    ]
    right = [verdict for verdict in ejections if _is_right(episode, verdict)]
    sent = [
        at_s - episode.onset_s
        for endpoint in episode.victims
        for at_s in episode.started.get(endpoint, [])
        if episode.onset_s <= at_s < episode.end_s
    ]
    calls = [c for c in episode.calls if episode.onset_s <= c.at_s < episode.end_s]
    answered = [call for call in calls if call.status == OK]
    in_time = [c for c in answered if c.elapsed_ms <= episode.shape.in_time_ms]
    added_ms = sorted(call.elapsed_ms - call.work_ms for call in answered)
    hours = (episode.end_s - episode.onset_s) / S_PER_HOUR
    return {
        "service": episode.shape.service,
        "fault": episode.fault.name,
        "seed": episode.seed,
        "detected_s": [
            round(min(v.at_s for v in right if v.endpoint == victim), 3)
            - episode.onset_s
            for victim in episode.victims
            if any(v.endpoint == victim for v in right)
        ],
        "quiet_s": [_quiet_s(episode, victim) for victim in sorted(episode.victims)],
        "victims": len(episode.victims),
        "sent": len(sent),
        "sent_after_1s": sum(at_s > 1 for at_s in sent),
        "ejections": len(ejections),
        "false_ejections": len(ejections) - len(right),
        "target_hours": episode.shape.endpoints * hours,
        "spare_slots": episode.spare_slots,
        "healthy_slots": episode.healthy_slots,
        "slots": episode.shape.endpoints * SLOTS,
        "calls": len(calls),
        "in_time": len(in_time),
        "added_p50_ms": _percentile(added_ms, 50),
        "added_p99_ms": _percentile(added_ms, 99),
    }


def _is_right(episode: Episode, verdict: Verdict) -> bool:
    if not episode.fault.ill or verdict.endpoint not in episode.victims:
        return False
    return episode.onset_s <= verdict.at_s < episode.end_s + 1


def _quiet_s(episode: Episode, victim: str) -> float:
    """Return the time until a target got no work for a while, or the whole time."""
    started = [
        at_s
        for at_s in sorted(episode.started.get(victim, []))
        if episode.onset_s <= at_s < episode.end_s
    ]
    last_s = episode.onset_s
    for at_s in [*started, episode.end_s + QUIET_S]:
        if at_s - last_s >= QUIET_S:
            break
        last_s = at_s
    return round(last_s - episode.onset_s, 3)


def _percentile(values: list[float], percent: int) -> float | None:
    if not values:
        return None
    index = min(len(values) - 1, len(values) * percent // 100)
    return round(values[index], 2)


def summarise(rows: list[dict]) -> list[dict]:
    """Return one row for each service and fault."""
    groups: dict[tuple[str, str], list[dict]] = {}
    for row in rows:
        groups.setdefault((row["service"], row["fault"]), []).append(row)
    return [_summary(service, fault, g) for (service, fault), g in groups.items()]


def _summary(service: str, fault: str, rows: list[dict]) -> dict:
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
        "detected_median_s": _rounded(statistics.median, detected),
        "detected_worst_s": _rounded(max, detected),
        "quiet_median_s": _rounded(statistics.median, quiet),
        "quiet_worst_s": _rounded(max, quiet),
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
        "added_p50_ms": _rounded(statistics.median, p50),
        "added_p99_ms": _rounded(max, p99),
    }


def _rounded(function, values: list[float]) -> float | None:
    return round(function(values), 2) if values else None
