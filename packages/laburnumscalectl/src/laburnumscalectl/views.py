"""Views.

The read-only commands: show, explain, history and status.
"""

import argparse
import json

from laburnumscale_schema import settings_pb2
from laburnumscalectl.client import OperatorClient
from laburnumscalectl.output import format_settings, format_time, print_message

__all__ = ["explain", "history", "show", "status"]


def show(options: argparse.Namespace, client: OperatorClient) -> int:
    """Show the settings tree or one place of it."""
    snapshot = client.settings()
    places = [s for s in snapshot.places if options.place in (None, s.place)]
    if options.json:
        selection = settings_pb2.Snapshot(
            revision=snapshot.revision, places=places, digest=snapshot.digest
        )
        print_message(selection)
        return 0
    print(f"revision {snapshot.revision}")
    for state in sorted(places, key=lambda state: state.place):
        when = format_time(state.written_at_unix_ms)
        print(f"{state.place} (revision {state.revision}, {state.author}, {when})")
        print(f"  {format_settings(getattr(state, state.WhichOneof('value')))}")
    return 0


def explain(options: argparse.Namespace, client: OperatorClient) -> int:
    """Show the settings in effect at a place and where each of them is set."""
    explanation = client.explain(options.place, options.data_centre)
    if options.json:
        print_message(explanation)
        return 0
    print(f"{explanation.place} at revision {explanation.revision}")
    print(f"places that apply: {', '.join(explanation.lineage)}")
    for setting in explanation.settings:
        source = setting.place
        if setting.revision:
            source += f" (revision {setting.revision})"
        print(f"  {setting.setting} = {setting.value_json}  from {source}")
    return 0


def history(options: argparse.Namespace, client: OperatorClient) -> int:
    """Show the audit trail of settings changes."""
    audit_trail = client.history(options.place, options.limit)
    if options.json:
        print_message(audit_trail)
        return 0
    for entry in audit_trail.entries:
        print("\n".join(_format_entry(entry)))
    if not audit_trail.complete:
        print("the log is unreachable: only the verdicts of recent changes are known")
    return 0


def _format_entry(entry: settings_pb2.AuditEntry) -> list[str]:
    outcome = entry.outcome
    name = settings_pb2.Verdict.Name(outcome.verdict)
    verdict = name.removeprefix("VERDICT_").lower()
    when = format_time(outcome.written_at_unix_ms)
    line = f"{outcome.revision} {when} {outcome.author} {outcome.change_id} {verdict}"
    if outcome.reason:
        reason = settings_pb2.RefusalReason.Name(outcome.reason)
        line += f" ({reason.removeprefix('REFUSAL_REASON_').lower()})"
    if outcome.winning_change_id:
        line += f": {outcome.place} was changed by change {outcome.winning_change_id}"
    lines = [line]
    for edit in entry.edits:
        lines.append(f"  {edit.place}")
        lines.append(f"    before: {_format_state(edit.before)}")
        lines.append(f"    after:  {_format_state(edit.after)}")
    return lines


def _format_state(state: settings_pb2.PlaceState) -> str:
    kind = state.WhichOneof("value")
    return format_settings(getattr(state, kind)) if kind else "not set"


def status(options: argparse.Namespace, client: OperatorClient) -> int:
    """Show the daemons and endpoints that a daemon knows."""
    report = client.status()
    if options.json:
        print(json.dumps(report, indent=2))
        return 0
    print(f"daemon {report['daemon']}, settings revision {report['revision']}")
    for problem in report.get("settings_problems", []):
        print(f"settings not in force as written: {problem}")
    for member in report["members"]:
        state = member["state"].removeprefix("MEMBER_STATE_").lower()
        print(f"{member['daemon']} {member['data_centre']} {state}")
        for endpoint in member.get("endpoints", []):
            state = endpoint["state"].removeprefix("TARGET_STATE_").lower()
            name = f"{endpoint['service']}/{endpoint['endpoint']}"
            print(f"  {name} {state} slots={endpoint['slots']}")
    return 0
