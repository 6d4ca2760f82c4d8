"""Configuration never reverts and recalls converge, in any order of messages."""

import hypothesis.strategies as st
from hypothesis import given

from rosemarystream._internal.decisions.configuration import (
    Configuration,
    digest_document,
    encode_documents,
)
from rosemarystream._internal.decisions.host_list import HostList
from rosemarystream._internal.decisions.recalls import (
    Recalls,
    digest_recalls,
    merge_recalls,
)
from rosemarystream._internal.models.configuration import (
    Manifest,
    Recall,
    RecallKind,
)
from rosemarystream._internal.models.events import (
    DocumentLearned,
    HostListLearned,
    ManifestLearned,
    RecallSetsLearned,
    ServerReported,
)
from rosemarystream._internal.models.messages import RecallSets
from rosemarystream._internal.models.server import (
    BackendServer,
    HostChanges,
    ServerReport,
)
from tests.lib.sheets import make_sheet

GENERATIONS = 5


def make_generation(number):
    """Return the manifest and documents of one generation."""
    sheet = make_sheet(workspaces=tuple(f"w{i}" for i in range(number)))
    documents = encode_documents(sheet)
    digests = {name: digest_document(content) for name, content in documents.items()}
    manifest = Manifest(number, f"change-{number}", "op", digests)
    return manifest, documents


HISTORY = [make_generation(number) for number in range(1, GENERATIONS + 1)]
messages = st.one_of(
    st.integers(0, GENERATIONS - 1).map(lambda i: ManifestLearned(HISTORY[i][0])),
    st.integers(0, GENERATIONS - 1).flatmap(
        lambda i: st.sampled_from(sorted(HISTORY[i][1].values())).map(
            lambda content: DocumentLearned(digest_document(content), content)
        )
    ),
    st.integers(1, 5).map(lambda v: HostListLearned(HostChanges(0, v, (), ()))),
    st.just(DocumentLearned("0" * 32, b"[]")),
)


def list_generation_messages(index):
    """Return all messages of one generation in the order that a peer sends them."""
    manifest, documents = HISTORY[index]
    contents = documents.values()
    learned = [DocumentLearned(digest_document(c), c) for c in contents]
    return [ManifestLearned(manifest), *learned]


batches = st.one_of(
    messages.map(lambda message: [message]),
    st.integers(0, GENERATIONS - 1).map(list_generation_messages),
)


@given(st.lists(batches, max_size=30))
def test_a_host_never_goes_back_whatever_arrives_late_or_twice(batches):
    configuration = Configuration()
    generation = version = 0
    for event in (event for batch in batches for event in batch):
        list(configuration.handle(event, 0.0))
        assert configuration.generation >= generation
        assert configuration.hosts_version >= version
        generation = configuration.generation
        version = configuration.hosts_version
        if generation:
            wanted = HISTORY[generation - 1][0]
            assert configuration.manifest == wanted
            assert len(configuration.sheet().workspaces) == generation


def test_manifest_takes_effect_with_its_last_document():
    configuration = Configuration()
    manifest, documents = HISTORY[-1]
    list(configuration.handle(ManifestLearned(manifest), 0.0))
    for content in documents.values():
        assert configuration.generation == 0
        event = DocumentLearned(digest_document(content), content)
        list(configuration.handle(event, 0.0))
    assert configuration.generation == manifest.generation


ids = st.sampled_from("abcdef")
recall_sets = st.builds(
    lambda added, lifted: RecallSets(
        tuple(Recall(i, RecallKind.SERVER, f"e-{i}", "op") for i in sorted(added)),
        tuple(sorted(lifted)),
    ),
    st.sets(ids),
    st.sets(ids),
)


@given(recall_sets, recall_sets, recall_sets)
def test_merging_recalls_is_commutative_associative_and_idempotent(one, two, three):
    assert merge_recalls(one, two) == merge_recalls(two, one)
    left = merge_recalls(merge_recalls(one, two), three)
    right = merge_recalls(one, merge_recalls(two, three))
    assert left == right
    assert merge_recalls(left, left) == left
    assert digest_recalls(left) == digest_recalls(right)


@given(st.lists(recall_sets, max_size=10), st.randoms(use_true_random=False))
def test_hosts_agree_whatever_the_order_and_a_lift_is_final(sets, random):
    hosts = [Recalls(), Recalls()]
    for host in hosts:
        shuffled = sets + sets[: len(sets) // 2]
        random.shuffle(shuffled)
        for one in shuffled:
            list(host.handle(RecallSetsLearned(one), 0.0))
    assert hosts[0].list_active() == hosts[1].list_active()
    assert hosts[0].digest == hosts[1].digest
    lifted = {i for one in sets for i in one.lifted}
    assert not lifted & {recall.recall_id for recall in hosts[0].list_active()}


def make_server(name):
    return BackendServer(name, "lm", "dc1", "r1", "1:1", 1, False)


@given(st.sampled_from(list(RecallKind)), st.booleans())
def test_a_recall_withdraws_servers_that_join_later_too(kind, before):
    recalls = Recalls()
    target = {"model": "lm@9", "adapter": "ad@2", "server": "e1"}[kind]
    recall = RecallSets((Recall("r", kind, target, "op"),), ())
    report = ServerReport(1, 0, ("lm@9",), ("ad@2",), False)
    events = [RecallSetsLearned(recall), ServerReported("e1", report, 0.0)]
    for event in events if before else reversed(events):
        list(recalls.handle(event, 0.0))
    assert recalls.find_recall(make_server("e1")) == "r"
    if kind is RecallKind.SERVER:
        assert recalls.find_recall(make_server("e2")) is None


@given(
    st.lists(st.dictionaries(st.sampled_from("abcde"), st.integers(1, 3)), max_size=12),
    st.data(),
)
def test_changes_of_the_host_list_lead_to_the_same_list_as_the_whole(states, data):
    source, copy = HostList(), HostList()
    for version, state in enumerate(states, start=1):
        servers = tuple(
            make_server(name)._replace(incarnation=number)
            for name, number in state.items()
        )
        source.apply(HostChanges(0, version, servers, ()))
        if data.draw(st.booleans()):
            changes = source.changes_since(copy.version)
            assert copy.apply(changes)
            assert not copy.apply(changes)
            assert set(copy.servers()) == set(source.servers())
    assert source.changes_since(source.version) is None
