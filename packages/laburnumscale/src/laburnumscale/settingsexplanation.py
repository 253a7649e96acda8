"""Settings explanation.

Reports for each setting of a place from which place its value is inherited.
"""

import json
from collections.abc import Iterator
from functools import singledispatch

import attrs

from laburnumscale.places import (
    AccountPlace,
    DataCentrePlace,
    EndpointPlace,
    FleetPlace,
    Place,
    RoutePlace,
    ServiceInDataCentrePlace,
    ServicePlace,
    parse_place,
)
from laburnumscale.settingstree import EffectiveSettings, SettingsTree, python_value
from laburnumscale_schema import settings_pb2

__all__ = ["DEFAULT_SOURCE", "explain"]

DEFAULT_SOURCE = "default"


@singledispatch
def lineage_of(place: Place, data_centre: str) -> list[Place]:
    """Return the places from which a place inherits, from general to specific.

    :param data_centre: data centre of a service or endpoint whose place does not name
        one; empty to leave out the settings of data centres.
    """
    raise TypeError(type(place).__name__)


@lineage_of.register
def _(place: FleetPlace, data_centre: str) -> list[Place]:
    return SettingsTree.lineage("", "", "")


@lineage_of.register
def _(place: DataCentrePlace, data_centre: str) -> list[Place]:
    return SettingsTree.lineage("", place.data_centre, "")


@lineage_of.register
def _(place: ServicePlace, data_centre: str) -> list[Place]:
    return SettingsTree.lineage(place.service, data_centre, "")


@lineage_of.register
def _(place: ServiceInDataCentrePlace, data_centre: str) -> list[Place]:
    return SettingsTree.lineage(place.service, place.data_centre, "")


@lineage_of.register
def _(place: EndpointPlace, data_centre: str) -> list[Place]:
    return SettingsTree.lineage(place.service, data_centre, place.endpoint)


@lineage_of.register
def _(place: RoutePlace, data_centre: str) -> list[Place]:
    return [place]


@lineage_of.register
def _(place: AccountPlace, data_centre: str) -> list[Place]:
    return [place]


def explain(
    tree: SettingsTree, text: str, data_centre: str = ""
) -> settings_pb2.Explanation:
    """Return every setting of a place and the place where it is set.

    :param text: text form of the place.
    :param data_centre: data centre of a service or endpoint; may be empty.
    :raises PlaceInvalid: the text is not a valid place.
    """
    place = parse_place(text)
    lineage = lineage_of(place, data_centre)
    explanation = settings_pb2.Explanation(
        place=text,
        revision=tree.revision,
        lineage=[str(ancestor) for ancestor in lineage],
    )
    if isinstance(place, RoutePlace | AccountPlace):
        explanation.settings.extend(_explain_value(tree, text))
        return explanation
    setting_sources = dict(tree.setting_sources(lineage))
    for field in attrs.fields(EffectiveSettings):
        state = setting_sources.get(field.name)
        explanation.settings.append(_explain_setting(field, state))
    return explanation


def _explain_setting(
    field: attrs.Attribute, state: settings_pb2.PlaceState | None
) -> settings_pb2.ExplainedSetting:
    if state is None:
        return settings_pb2.ExplainedSetting(
            setting=field.name, value_json=_to_json(field.default), place=DEFAULT_SOURCE
        )
    return settings_pb2.ExplainedSetting(
        setting=field.name,
        value_json=_to_json(python_value(state.settings, field.name)),
        place=state.place,
        revision=state.revision,
        change_id=state.change_id,
    )


def _explain_value(
    tree: SettingsTree, text: str
) -> list[settings_pb2.ExplainedSetting]:
    """Return the values of a place that inherits nothing."""
    state = tree.places.get(text)
    if state is None:
        return []
    return [
        settings_pb2.ExplainedSetting(
            setting=name,
            value_json=_to_json(value),
            place=text,
            revision=state.revision,
            change_id=state.change_id,
        )
        for name, value in _own_values(state)
    ]


def _own_values(
    state: settings_pb2.PlaceState,
) -> Iterator[tuple[str, str | bool | float]]:
    if state.HasField("route"):
        yield "service", state.route.service
        if state.route.public:
            yield "public", True
        return
    account = state.account
    yield "name", account.name
    yield "keys", len(account.key_digests)
    if account.HasField("priority"):
        yield "priority", account.priority
    yield "calls_per_s", account.calls_per_s
    yield "burst_calls", account.burst_calls


def _to_json(value) -> str:
    if isinstance(value, (str, bool, int, float)):
        return json.dumps(value)
    return json.dumps(sorted(value))
