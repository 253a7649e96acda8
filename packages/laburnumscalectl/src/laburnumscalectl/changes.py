"""Changes.

The commands that change settings: publish, remove and settle.
"""

import argparse
import re
import sys
import time
import uuid
from dataclasses import dataclass
from typing import ClassVar

from laburnumscale.errors import LaburnumscaleError
from laburnumscale.places import parse_place
from laburnumscale.publishing import read_edits
from laburnumscale.settingschecks import check_change
from laburnumscale.settingsfile import read_settings_file
from laburnumscale_schema import settings_pb2
from laburnumscalectl.client import DaemonUnreachable, OperatorClient
from laburnumscalectl.output import print_message, time_text

__all__ = ["publish", "remove", "settle"]

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_UNDETERMINED = 3
EXIT_BY_VERDICT = {
    settings_pb2.VERDICT_ACCEPTED: EXIT_DONE,
    settings_pb2.VERDICT_REFUSED: EXIT_REFUSED,
}
BASED_ON = re.compile(r"(?:(?P<place>.+)=)?(?P<revision>[0-9]+)")


@dataclass(eq=False)
class BasedOnInvalid(LaburnumscaleError):
    """The value of ``--based-on`` cannot be used."""

    value: str
    reason: str
    template: ClassVar[str] = '--based-on "{value}": {reason}'


@dataclass(eq=False)
class PlaceNotSet(LaburnumscaleError):
    """A place to be removed is not set."""

    place: str
    template: ClassVar[str] = 'place "{place}" is not set'


def publish(options: argparse.Namespace, client: OperatorClient) -> int:
    """Publish the places of a settings file that differ from the daemon's tree."""
    edits = read_edits(read_settings_file(options.file))
    return _publish(options, client, edits)


def remove(options: argparse.Namespace, client: OperatorClient) -> int:
    """Remove places, so that they inherit everything again."""
    edits = []
    for text in options.place:
        edit = settings_pb2.Edit(place=str(parse_place(text)))
        edit.removal.SetInParent()
        edits.append(edit)
    return _publish(options, client, edits)


def settle(options: argparse.Namespace, client: OperatorClient) -> int:
    """Tell what became of a change, or cancel it if it is not in the log."""
    cancel_author = options.author if options.cancel else ""
    outcome = client.settle(options.change, cancel_author)
    return _report(options, client, outcome)


def _publish(
    options: argparse.Namespace,
    client: OperatorClient,
    edits: list[settings_pb2.Edit],
) -> int:
    snapshot = client.settings()
    states = {state.place: state for state in snapshot.places}
    if options.command == "remove":
        for edit in edits:
            if edit.place not in states:
                raise PlaceNotSet(edit.place)
    for edit in edits:
        state = states.get(edit.place)
        edit.based_on_revision = state.revision if state else 0
    based_on = _read_based_on(options.based_on, edits)
    for edit in edits:
        edit.based_on_revision = based_on(edit)
    edits = [edit for edit in edits if _differs(edit, states.get(edit.place))]
    if not edits:
        print("nothing to change", file=sys.stderr)
        return EXIT_DONE
    change = settings_pb2.Change(
        change_id=uuid.uuid4().hex,
        author=options.author,
        written_at_unix_ms=time.time_ns() // 1_000_000,
        read_revision=snapshot.revision,
        edits=edits,
    )
    check_change(change)
    if options.dry_run:
        return _report_dry_run(options, change, states)
    try:
        outcome = client.publish(change)
    except DaemonUnreachable as error:
        print(f"laburnumscalectl: {error}", file=sys.stderr)
        outcome = settings_pb2.ChangeOutcome(
            change_id=change.change_id, verdict=settings_pb2.VERDICT_UNDETERMINED
        )
    return _report(options, client, outcome)


def _read_based_on(values: list[str], edits: list[settings_pb2.Edit]):
    """Return the function that gives the revision on which an edit is based.

    ``REVISION`` is a revision of the tree: a place that was set later has another
    revision than the operator saw, and the edit is based on the one that was seen.
    """
    tree_revision = None
    by_place = {}
    for value in values:
        match = BASED_ON.fullmatch(value)
        if not match:
            raise BasedOnInvalid(value, "it is neither REVISION nor PLACE=REVISION")
        if match["place"] is None:
            tree_revision = int(match["revision"])
        elif match["place"] not in {edit.place for edit in edits}:
            raise BasedOnInvalid(value, "the change does not edit this place")
        else:
            by_place[match["place"]] = int(match["revision"])

    def based_on(edit: settings_pb2.Edit) -> int:
        if edit.place in by_place:
            return by_place[edit.place]
        if tree_revision is not None:
            return min(edit.based_on_revision, tree_revision)
        return edit.based_on_revision

    return based_on


def _differs(edit: settings_pb2.Edit, state: settings_pb2.PlaceState | None) -> bool:
    kind = edit.WhichOneof("value")
    if state is None:
        return kind != "removal"
    if edit.based_on_revision != state.revision:
        return True
    return kind == "removal" or getattr(edit, kind) != getattr(state, kind)


def _report_dry_run(
    options: argparse.Namespace,
    change: settings_pb2.Change,
    states: dict[str, settings_pb2.PlaceState],
) -> int:
    """Print what the change would do; exit 1 if the daemon's tree refuses it."""
    conflicts = 0
    for edit in change.edits:
        state = states.get(edit.place)
        present = state.revision if state else 0
        if present != edit.based_on_revision:
            conflicts += 1
            note = f"conflict, the place is at revision {present}"
        else:
            note = "remove" if edit.HasField("removal") else "set"
        if not options.json:
            print(f"{edit.place} (based on revision {edit.based_on_revision}): {note}")
    if options.json:
        print_message(change)
    return EXIT_REFUSED if conflicts else EXIT_DONE


def _report(
    options: argparse.Namespace,
    client: OperatorClient,
    outcome: settings_pb2.ChangeOutcome,
) -> int:
    if options.json:
        print_message(outcome)
    else:
        print(_outcome_text(outcome, client.address))
    return EXIT_BY_VERDICT.get(outcome.verdict, EXIT_UNDETERMINED)


def _outcome_text(outcome: settings_pb2.ChangeOutcome, address: str) -> str:
    name = settings_pb2.Verdict.Name(outcome.verdict)
    verdict = name.removeprefix("VERDICT_").lower()
    start = f"change {outcome.change_id}: {verdict}"
    if outcome.verdict == settings_pb2.VERDICT_ACCEPTED:
        where = ", ".join(outcome.held_in_data_centres)
        return f"{start} at revision {outcome.revision}, held in {where}"
    if outcome.verdict == settings_pb2.VERDICT_REFUSED:
        return f"{start}: {_refusal_text(outcome)}"
    command = f"laburnumscalectl --daemon {address} settle {outcome.change_id}"
    if outcome.held_by_daemons:
        holders = ", ".join(outcome.held_by_daemons)
        reason = f"in the log, but known to be held only by {holders}"
    else:
        reason = f"not seen in the log up to revision {outcome.revision}"
        command += "\nto rule it out, add --cancel"
    return f"{start}: {reason}\nto settle it later: {command}"


def _refusal_text(outcome: settings_pb2.ChangeOutcome) -> str:
    if outcome.reason == settings_pb2.REFUSAL_REASON_CONFLICT:
        if not outcome.winning_change_id:
            return f"{outcome.place} was changed or removed since"
        when = time_text(outcome.winning_written_at_unix_ms)
        return (
            f"{outcome.place} was changed by change {outcome.winning_change_id}"
            f" of {outcome.winning_author} at {when}"
        )
    name = settings_pb2.RefusalReason.Name(outcome.reason)
    return name.removeprefix("REFUSAL_REASON_").lower().replace("_", " ")
