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
from laburnumscalectl.output import format_time, print_message

__all__ = ["changes_value", "publish", "remove", "settle"]

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_UNDETERMINED = 3
EXIT_BY_VERDICT = {
    settings_pb2.VERDICT_ACCEPTED: EXIT_OK,
    settings_pb2.VERDICT_REFUSED: EXIT_REFUSED,
}
BASED_ON_PATTERN = re.compile(r"(?:(?P<place>.+)=)?(?P<revision>[0-9]+)")


@dataclass(eq=False)
class BasedOnInvalid(LaburnumscaleError):
    """A value of ``--based-on`` is invalid."""

    value: str
    reason: str
    template: ClassVar[str] = '--based-on "{value}": {reason}'


@dataclass(eq=False)
class PlaceNotSet(LaburnumscaleError):
    """The place to remove is not set in the tree."""

    place: str
    template: ClassVar[str] = 'place "{place}" is not set'


def publish(options: argparse.Namespace, client: OperatorClient) -> int:
    """Publish the places of a settings file that differ from the daemon's tree."""
    edits = read_edits(read_settings_file(options.file))
    return _publish_edits(options, client, edits)


def remove(options: argparse.Namespace, client: OperatorClient) -> int:
    """Remove places from the tree, so that they inherit all their settings."""
    edits = []
    for text in options.place:
        edit = settings_pb2.Edit(place=str(parse_place(text)))
        edit.removal.SetInParent()
        edits.append(edit)
    return _publish_edits(options, client, edits)


def settle(options: argparse.Namespace, client: OperatorClient) -> int:
    """Show the outcome of a change, or cancel it if it is not in the log yet."""
    cancel_author = options.author if options.cancel else ""
    outcome = client.settle(options.change, cancel_author)
    return _report_outcome(options, client, outcome)


def _publish_edits(
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
    base_revision = _parse_based_on(options.based_on, edits)
    for edit in edits:
        edit.based_on_revision = base_revision(edit)
    edits = [edit for edit in edits if _changes_state(edit, states.get(edit.place))]
    if not edits:
        print("nothing to change", file=sys.stderr)
        return EXIT_OK
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
    return _report_outcome(options, client, outcome)


def _parse_based_on(values: list[str], edits: list[settings_pb2.Edit]):
    """Return a function that returns the revision on which an edit is based.

    ``REVISION`` is the revision of the tree that the operator has read. If a place was
    set after that revision, its edit is based on an outdated state and conflicts.

    :param values: the values of ``--based-on``, ``REVISION`` or ``PLACE=REVISION``.
    :raises BasedOnInvalid: a value has another form or names a place without an edit.
    """
    tree_revision = None
    revision_by_place = {}
    for value in values:
        match = BASED_ON_PATTERN.fullmatch(value)
        if not match:
            raise BasedOnInvalid(value, "expected REVISION or PLACE=REVISION")
        if match["place"] is None:
            tree_revision = int(match["revision"])
        elif match["place"] not in {edit.place for edit in edits}:
            raise BasedOnInvalid(value, "the place is not part of the change")
        else:
            revision_by_place[match["place"]] = int(match["revision"])

    def base_revision(edit: settings_pb2.Edit) -> int:
        if edit.place in revision_by_place:
            return revision_by_place[edit.place]
        if tree_revision is not None:
            return min(edit.based_on_revision, tree_revision)
        return edit.based_on_revision

    return base_revision


def _changes_state(
    edit: settings_pb2.Edit, state: settings_pb2.PlaceState | None
) -> bool:
    """Return whether an edit changes its place or conflicts with its state."""
    has_conflict = state is not None and edit.based_on_revision != state.revision
    return has_conflict or changes_value(edit, state)


def changes_value(
    edit: settings_pb2.Edit, state: settings_pb2.PlaceState | None
) -> bool:
    """Return whether an edit changes the value of its place.

    :param state: state of the place; None if it is not set.
    """
    kind = edit.WhichOneof("value")
    if state is None:
        return kind != "removal"
    return kind == "removal" or getattr(edit, kind) != getattr(state, kind)


def _report_dry_run(
    options: argparse.Namespace,
    change: settings_pb2.Change,
    states: dict[str, settings_pb2.PlaceState],
) -> int:
    """Print the effect of a change without publishing it.

    :returns: the exit code, ``EXIT_REFUSED`` if an edit conflicts with the daemon's
        tree.
    """
    conflicts = 0
    for edit in change.edits:
        state = states.get(edit.place)
        current_revision = state.revision if state else 0
        if current_revision != edit.based_on_revision:
            conflicts += 1
            effect = f"conflict, the place is at revision {current_revision}"
        else:
            effect = "remove" if edit.HasField("removal") else "set"
        if not options.json:
            print(
                f"{edit.place} (based on revision {edit.based_on_revision}): {effect}"
            )
    if options.json:
        print_message(change)
    return EXIT_REFUSED if conflicts else EXIT_OK


def _report_outcome(
    options: argparse.Namespace,
    client: OperatorClient,
    outcome: settings_pb2.ChangeOutcome,
) -> int:
    if options.json:
        print_message(outcome)
    else:
        print(_format_outcome(outcome, client.address))
    return EXIT_BY_VERDICT.get(outcome.verdict, EXIT_UNDETERMINED)


def _format_outcome(outcome: settings_pb2.ChangeOutcome, address: str) -> str:
    name = settings_pb2.Verdict.Name(outcome.verdict)
    verdict = name.removeprefix("VERDICT_").lower()
    summary = f"change {outcome.change_id}: {verdict}"
    if outcome.verdict == settings_pb2.VERDICT_ACCEPTED:
        data_centres = ", ".join(outcome.held_in_data_centres)
        return f"{summary} at revision {outcome.revision}, held in {data_centres}"
    if outcome.verdict == settings_pb2.VERDICT_REFUSED:
        return f"{summary}: {_format_refusal(outcome)}"
    command = f"laburnumscalectl --daemon {address} settle {outcome.change_id}"
    if outcome.held_by_daemons:
        holders = ", ".join(outcome.held_by_daemons)
        reason = f"in the log, but known to be held only by {holders}"
    else:
        reason = f"not found in the log up to revision {outcome.revision}"
        command += "\nto cancel it, add --cancel"
    return f"{summary}: {reason}\nto check it later: {command}"


def _format_refusal(outcome: settings_pb2.ChangeOutcome) -> str:
    if outcome.reason == settings_pb2.REFUSAL_REASON_CONFLICT:
        if not outcome.winning_change_id:
            return f"{outcome.place} was changed or removed in the meantime"
        when = format_time(outcome.winning_written_at_unix_ms)
        return (
            f"{outcome.place} was changed by change {outcome.winning_change_id}"
            f" by {outcome.winning_author} at {when}"
        )
    name = settings_pb2.RefusalReason.Name(outcome.reason)
    return name.removeprefix("REFUSAL_REASON_").lower().replace("_", " ")
