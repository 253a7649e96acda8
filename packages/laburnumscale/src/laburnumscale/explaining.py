"""Explaining.

Names the place from which each setting of a place comes.
"""

import json
from functools import singledispatch

import attrs

from laburnumscale.places import (
    DataCentrePlace,
    EndpointPlace,
    FleetPlace,
    Place,
    RoutePlace,
    ServiceInDataCentrePlace,
    ServicePlace,
    parse_place,
)
from laburnumscale.tree import EffectiveSettings, SettingsTree, plain_value
from laburnumscale_schema import settings_pb2

__all__ = ["DEFAULT_SOURCE", "explain"]

DEFAULT_SOURCE = "default"


@singledispatch
def lineage_of(place: Place, data_centre: str) -> list[Place]:
    """Return the places that decide the settings of a place, widest first.

    :param data_centre: data centre of a service or endpoint whose place names none.
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


def explain(
    tree: SettingsTree, text: str, data_centre: str = ""
) -> settings_pb2.Explanation:
    """Return every setting of a place and where it is set.

    :param text: text form of the place.
    :raises PlaceInvalid: the text names no place.
    """
    place = parse_place(text)
    lineage = lineage_of(place, data_centre)
    explanation = settings_pb2.Explanation(
        place=text,
        revision=tree.revision,
        lineage=[str(each) for each in lineage],
    )
    if isinstance(place, RoutePlace):
        explanation.settings.extend(_route(tree, text))
        return explanation
    sources = dict(tree.sources(lineage))
    for field in attrs.fields(EffectiveSettings):
        state = sources.get(field.name)
        explanation.settings.append(_explained(field, state))
    return explanation


def _explained(
    field: attrs.Attribute, state: settings_pb2.PlaceState | None
) -> settings_pb2.ExplainedSetting:
    if state is None:
        return settings_pb2.ExplainedSetting(
            setting=field.name, value_json=_json(field.default), place=DEFAULT_SOURCE
        )
    return settings_pb2.ExplainedSetting(
        setting=field.name,
        value_json=_json(plain_value(state.settings, field.name)),
        place=state.place,
        revision=state.revision,
        change_id=state.change_id,
    )


def _route(tree: SettingsTree, text: str) -> list[settings_pb2.ExplainedSetting]:
    state = tree.places.get(text)
    if state is None:
        return []
    return [
        settings_pb2.ExplainedSetting(
            setting="service",
            value_json=_json(state.route.service),
            place=text,
            revision=state.revision,
            change_id=state.change_id,
        )
    ]


def _json(value) -> str:
    if isinstance(value, (str, bool, int, float)):
        return json.dumps(value)
    return json.dumps(sorted(value))
