from behave import then
from hypothesis import given, settings, strategies as st

from laburnumscale.metrics import Metrics
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.settingstree import EffectiveSettings, SettingsTree
from laburnumscale_schema import settings_pb2

PLACES = ("fleet", "dc:makati", "service:a", "service:a@makati", "endpoint:a/e")
DAEMONS = 4
FIXED = settings(derandomize=True, deadline=None, max_examples=200, database=None)

edits = st.dictionaries(
    st.sampled_from(PLACES),
    st.tuples(st.integers(0, 12), st.none() | st.integers(1, 9)),
    min_size=1,
    max_size=3,
)
changes = st.tuples(st.integers(0, 9), edits, st.booleans())
records = st.one_of(changes, st.binary(max_size=8), st.none())
numbers = st.integers(0, DAEMONS - 1)
steps = st.lists(st.tuples(numbers, numbers, st.booleans()), max_size=30)


def change_of(number, edits, cancel):
    change = settings_pb2.Change(change_id=f"c{number}", author="test", cancel=cancel)
    for place, (revision, slots) in {} if cancel else edits.items():
        edit = change.edits.add(place=place, based_on_revision=revision)
        if slots is None:
            edit.removal.SetInParent()
        else:
            edit.settings.slots = slots
    return change


def payload_of(value):
    if isinstance(value, bytes):
        return value
    record = settings_pb2.SettingsRecord()
    if value is None:
        record.snapshot.revision = 0
    else:
        record.change.CopyFrom(change_of(*value))
    return record.SerializeToString()


def model_fold(values):
    """Fold by the words of the design, without the library."""
    places, taken = {}, {}
    for offset, value in enumerate(values):
        if not isinstance(value, tuple) or value[0] in taken:
            continue
        number, wanted, cancel = value
        fits = all(places.get(p, (0, 0))[0] == r for p, (r, _) in wanted.items())
        taken[number] = fits and not cancel
        if taken[number]:
            for place, (_, slots) in wanted.items():
                places[place] = (offset + 1, slots)
                if slots is None:
                    del places[place]
    return places, taken


@FIXED
@given(st.lists(records, max_size=25), steps)
def check_fold(values, steps):
    payloads = [payload_of(value) for value in values]
    feeds = [SettingsFeed(Metrics()) for _ in range(DAEMONS)]
    for offset, payload in enumerate(payloads):
        assert feeds[0].apply_record(offset, payload)
        for source, destination, whole in steps[offset % 5 :: 5]:
            exchange(feeds[source], feeds[destination], whole)
    for number in range(1, DAEMONS):
        exchange(feeds[number - 1], feeds[number], whole=False)
        assert feeds[number].tree.snapshot() == feeds[0].tree.snapshot()
    places, taken = model_fold(values)
    tree = feeds[0].tree
    assert tree.revision == len(values)
    assert places == {p: (s.revision, s.settings.slots) for p, s in tree.places.items()}
    accepted = settings_pb2.VERDICT_ACCEPTED
    folded = {c: o.verdict == accepted for c, o in tree.outcomes.items()}
    assert folded == {f"c{number}": fits for number, fits in taken.items()}


def exchange(source, destination, whole):
    revision = destination.tree.revision
    reply = source.whole_tree_reply() if whole else source.reply_after(revision)
    destination.apply_reply(reply)
    assert destination.tree.revision >= revision


@FIXED
@given(st.dictionaries(st.sampled_from(PLACES), st.integers(1, 9)))
def check_inheritance(slots):
    tree = SettingsTree()
    for revision, (place, value) in enumerate(slots.items(), 1):
        edits = {place: (0, value)}
        tree.apply_change(revision, change_of(revision, edits, False))
    nearest_first = [slots[place] for place in reversed(PLACES) if place in slots]
    wanted = [*nearest_first, EffectiveSettings().slots][0]
    assert tree.effective_settings("a", "makati", "e").slots == wanted
    assert tree.effective_settings("b", "pasig", "e").slots == slots.get(
        "fleet", EffectiveSettings().slots
    )


@then("a random stream is folded alike whole, in pieces, and from snapshots")
def step_fold(context):
    check_fold()


@then("the nearest setting wins in random trees")
def step_inheritance(context):
    check_inheritance()
