"""The stand-in of the store keeps what the store's protocol promises."""

import json
import time
from urllib.request import urlopen

import gevent
import pytest

from standins.object_store import ObjectStore
from tests.lib.networks import take_network


@pytest.fixture
def store():
    created = ObjectStore(address=(f"{take_network()}.1", 18_084))
    created.start()
    yield created
    created.stop()


def watch(store, revision, wait_s):
    """Begin a waiting call in a thread; return the task, whose value is the answer."""
    url = f"http://{store.address}/v1/objects/config?watch={revision}"
    task = gevent.get_hub().threadpool.spawn(
        lambda: json.load(urlopen(f"{url}&wait-ms={wait_s * 1000:.0f}"))
    )
    while not store.calls:
        gevent.sleep(0.001)
    return task


# test_store_copies failed by chance where changes came right as waiting calls ended:
# their answers had the new revision without the changes.
def test_an_answer_tells_all_changes_up_to_its_revision(store):
    answer = watch(store, store.revision, 0.1)
    # The write is due right before the end of the wait, in the same turn of the loop.
    gevent.spawn_later(0.05, store.write, "config", "main", {})
    time.sleep(0.2)
    told = answer.get(timeout=5)
    assert (told["current-rev"], len(told["events"])) == (store.revision, 1)
