from behave import then
from hypothesis import given, settings, strategies as st

from laburnumscale.metrics import Metrics
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.settingstree import EffectiveSettings, SettingsTree
from laburnumscale_schema import settings_pb2

PLACES = ("fleet", "dc:makati", "service:a", "service:a@makati", "endpoint:a/e")
DAEMON_COUNT = 4
DETERMINISTIC = settings(
    derandomize=True, deadline=None, max_examples=200, database=None
)

edits = st.dictionaries(
    st.sampled_from(PLACES),
    st.tuples(st.integers(0, 12), st.none() | st.integers(1, 9)),
    min_size=1,
    max_size=3,
)
changes = st.tuples(st.integers(0, 9), edits, st.booleans())
records = st.one_of(changes, st.binary(max_size=8), st.none())
daemon_indices = st.integers(0, DAEMON_COUNT - 1)
exchanges = st.lists(
    st.tuples(daemon_indices, daemon_indices, st.booleans()), max_size=30
)


def build_change(number, edits, cancel):
    change = settings_pb2.Change(change_id=f"c{number}", author="test", cancel=cancel)
    for place, (revision, slots) in {} if cancel else edits.items():
        edit = change.edits.add(place=place, based_on_revision=revision)
        if slots is None:
            edit.removal.SetInParent()
        else:
            edit.settings.slots = slots
    return change


def build_payload(value):
    if isinstance(value, bytes):
        return value
    record = settings_pb2.SettingsRecord()
    if value is None:
        record.snapshot.revision = 0
    else:
        record.change.CopyFrom(build_change(*value))
    return record.SerializeToString()


def fold_by_model(values):
    """Return the tree and the verdicts of a model that does not use the library.

    :returns: revision and slots by place, and whether each change was accepted.
    """
    places, accepted_by_number = {}, {}
    for offset, value in enumerate(values):
        if not isinstance(value, tuple) or value[0] in accepted_by_number:
            continue
        number, edits, cancel = value
        accepts = all(places.get(p, (0, 0))[0] == r for p, (r, _) in edits.items())
        accepted_by_number[number] = accepts and not cancel
        if accepted_by_number[number]:
            for place, (_, slots) in edits.items():
                places[place] = (offset + 1, slots)
                if slots is None:
                    del places[place]
    return places, accepted_by_number


@DETERMINISTIC
@given(st.lists(records, max_size=25), exchanges)
def check_random_folds(values, exchanges):
    payloads = [build_payload(value) for value in values]
    feeds = [SettingsFeed(Metrics()) for _ in range(DAEMON_COUNT)]
    for offset, payload in enumerate(payloads):
        assert feeds[0].apply_record(offset, payload)
        for source, destination, whole in exchanges[offset % 5 :: 5]:
            exchange_settings(feeds[source], feeds[destination], whole)
    for number in range(1, DAEMON_COUNT):
        exchange_settings(feeds[number - 1], feeds[number], whole=False)
        assert feeds[number].tree.snapshot() == feeds[0].tree.snapshot()
    places, accepted_by_number = fold_by_model(values)
    tree = feeds[0].tree
    assert tree.revision == len(values)
    assert places == {p: (s.revision, s.settings.slots) for p, s in tree.places.items()}
    accepted = settings_pb2.VERDICT_ACCEPTED
    verdicts = {c: o.verdict == accepted for c, o in tree.outcomes.items()}
    assert verdicts == {
        f"c{number}": accepts for number, accepts in accepted_by_number.items()
    }


def exchange_settings(source, destination, whole):
    revision = destination.tree.revision
    reply = source.whole_tree_reply() if whole else source.reply_after(revision)
    destination.apply_reply(reply)
    assert destination.tree.revision >= revision


@DETERMINISTIC
@given(st.dictionaries(st.sampled_from(PLACES), st.integers(1, 9)))
def check_random_inheritance(slots):
    tree = SettingsTree()
    for revision, (place, value) in enumerate(slots.items(), 1):
        edits = {place: (0, value)}
        tree.apply_change(revision, build_change(revision, edits, False))
    most_specific_first = [slots[place] for place in reversed(PLACES) if place in slots]
    expected_slots = [*most_specific_first, EffectiveSettings().slots][0]
    assert tree.effective_settings("a", "makati", "e").slots == expected_slots
    assert tree.effective_settings("b", "pasig", "e").slots == slots.get(
        "fleet", EffectiveSettings().slots
    )


@then("a random stream yields the same tree folded whole, in parts and from snapshots")
def step_check_random_folds(context):
    check_random_folds()


@then("the setting of the most specific place applies in random trees")
def step_check_random_inheritance(context):
    check_random_inheritance()
