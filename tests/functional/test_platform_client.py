"""The client of the older way's platform tells the era of each answer."""

import time

import pytest

from rosemarystream._internal.exceptions import PlatformError
from rosemarystream._internal.http_server import make_http_server
from rosemarystream._internal.platform.client import PlatformClient
from standins.platform import Store, make_app


@pytest.fixture
def store():
    return Store()


@pytest.fixture
def client(store):
    server = make_http_server("127.0.0.1:0", make_app(store))
    server.start()
    address = f"127.0.0.1:{server.server_port}"
    yield PlatformClient(address=address, timeout=2.0, clock=time.time)
    server.stop(timeout=0.1)


def test_reads_and_writes_tell_the_era(store, client):
    assert client.write("leases", "a", b"1", expected=0) == (1, 0)
    store.era = 7
    assert client.read("leases", "a") == (1, b"1", 7)
    assert client.read("leases", "b") == (0, b"", 7)
    store.era = 8
    assert client.write("leases", "a", b"2", expected=1) == (2, 8)


def test_an_answer_of_an_era_that_is_over_is_not_used(store, client):
    store.era = 8
    client.read("leases", "a")
    store.era = 7
    with pytest.raises(PlatformError):
        client.read("leases", "a")


def test_an_era_that_cannot_be_used_counts_as_the_last_one(store, client):
    store.era = 8
    client.read("leases", "a")
    for odd in ("x", "9" * 30, "8.5"):
        store.era = odd
        assert client.read("leases", "a").era == 8
