"""Views.

The commands that show a daemon's view: settings, history and status.
"""

import argparse
import json

from laburnumscale_schema import settings_pb2
from laburnumscalectl.client import OperatorClient
from laburnumscalectl.output import print_message, settings_text, time_text

__all__ = ["explain", "history", "show", "status"]


def show(options: argparse.Namespace, client: OperatorClient) -> int:
    """Show the settings tree, or one place of it."""
    snapshot = client.settings()
    places = [p for p in snapshot.places if options.place in (None, p.place)]
    if options.json:
        shown = settings_pb2.Snapshot(
            revision=snapshot.revision, places=places, digest=snapshot.digest
        )
        print_message(shown)
        return 0
    print(f"revision {snapshot.revision}")
    for state in sorted(places, key=lambda place: place.place):
        when = time_text(state.written_at_unix_ms)
        print(f"{state.place} (revision {state.revision}, {state.author}, {when})")
        print(f"  {settings_text(getattr(state, state.WhichOneof('value')))}")
    return 0


def explain(options: argparse.Namespace, client: OperatorClient) -> int:
    """Show each setting of a place and the place from which it comes."""
    explanation = client.explain(options.place, options.data_centre)
    if options.json:
        print_message(explanation)
        return 0
    print(f"{explanation.place} at revision {explanation.revision}")
    print(f"looked at: {', '.join(explanation.lineage)}")
    for setting in explanation.settings:
        source = setting.place
        if setting.revision:
            source += f" (revision {setting.revision})"
        print(f"  {setting.setting} = {setting.value_json}  from {source}")
    return 0


def history(options: argparse.Namespace, client: OperatorClient) -> int:
    """Show the audit trail."""
    found = client.history(options.place, options.limit)
    if options.json:
        print_message(found)
        return 0
    for entry in found.entries:
        print("\n".join(_entry_lines(entry)))
    if not found.complete:
        print("the log is away: only the verdicts of recent changes are known")
    return 0


def _entry_lines(entry: settings_pb2.AuditEntry) -> list[str]:
    outcome = entry.outcome
    name = settings_pb2.Verdict.Name(outcome.verdict)
    verdict = name.removeprefix("VERDICT_").lower()
    when = time_text(outcome.written_at_unix_ms)
    line = f"{outcome.revision} {when} {outcome.author} {outcome.change_id} {verdict}"
    if outcome.reason:
        reason = settings_pb2.RefusalReason.Name(outcome.reason)
        line += f" ({reason.removeprefix('REFUSAL_REASON_').lower()})"
    if outcome.winning_change_id:
        line += f": {outcome.place} was taken by {outcome.winning_change_id}"
    lines = [line]
    for edit in entry.edits:
        lines.append(f"  {edit.place}")
        lines.append(f"    before: {_state_text(edit.before)}")
        lines.append(f"    after:  {_state_text(edit.after)}")
    return lines


def _state_text(state: settings_pb2.PlaceState) -> str:
    kind = state.WhichOneof("value")
    return settings_text(getattr(state, kind)) if kind else "not set"


def status(options: argparse.Namespace, client: OperatorClient) -> int:
    """Show the daemons and endpoints that a daemon knows."""
    value = client.status()
    if options.json:
        print(json.dumps(value, indent=2))
        return 0
    print(f"daemon {value['daemon']}, settings revision {value['revision']}")
    for member in value["members"]:
        state = member["state"].removeprefix("MEMBER_STATE_").lower()
        print(f"{member['daemon']} {member['data_centre']} {state}")
        for endpoint in member.get("endpoints", []):
            state = endpoint["state"].removeprefix("TARGET_STATE_").lower()
            name = f"{endpoint['service']}/{endpoint['endpoint']}"
            print(f"  {name} {state} slots={endpoint['slots']}")
    return 0
