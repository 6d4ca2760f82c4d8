"""Objects of the store that other writers have left cost nobody but themselves."""

import gevent
import msgspec
import pytest

from rosemarystream._internal.gateway import store_watches
from rosemarystream._internal.models.log_entries import HistoryGone, ServerEntryInvalid
from standins.object_store import StoreFault
from tests.lib.entry_world import METRICS_PORT, World, get, wait_until

CALLS = 24
DEEP = 5_000
LONG_NUMBER = b"9" * 5_000
# Entries of the store, by what is odd about them.
BODY = {"service": "plain", "zone": "a", "state": "ready", "version": "1", "seq": 1}
SOUND = {**BODY, "slots": 8, "address": "127.9.9.9:1"}


def nest(depth):
    return msgspec.Raw(b"[" * depth + b"]" * depth)


def make_entry(**changes):
    return {**SOUND, **changes}


CONTENTS = {
    "nested_1500": make_entry(extra=nest(1_500)),
    "nested_200000": nest(200_000),
    "nested_objects": msgspec.Raw(b'{"a":' * DEEP + b"1" + b"}" * DEEP),
    "long_number": make_entry(slots=msgspec.Raw(LONG_NUMBER)),
    "large_number": make_entry(slots=msgspec.Raw(b"9" * 30)),
    "large_float": make_entry(slots=msgspec.Raw(b"1e999")),
    "no_number": msgspec.Raw(b'{"slots": NaN}'),
    "no_slots": make_entry(slots=0),
    "negative_slots": make_entry(slots=-1),
    "long_born": make_entry(born=msgspec.Raw(b"9" * 40)),
    "negative_born": make_entry(born=-1),
    "port_too_large": make_entry(address="127.9.9.9:70000"),
    "port_zero": make_entry(address="127.9.9.9:0"),
    "long_port": make_entry(address="127.9.9.9:" + "9" * 5_000),
    "no_port": make_entry(address="127.9.9.9"),
    "named_host": make_entry(address="a.b.c.example:80"),
    "large_octet": make_entry(address="1.2.3.400:80"),
    "three_octets": make_entry(address="1.2.3:80"),
    "ip_of_no_host": make_entry(address="0.0.0.0:80"),
    "multicast": make_entry(address="224.0.0.1:80"),
    "no_host": make_entry(address=":80"),
    "ipv6": make_entry(address="[::ffff:1.2.3.4]:80"),
    "ipv6_junk": make_entry(address="[1.2.3.4:::80"),
    "odd_digits": make_entry(address="1.2.3.4:\u0661\u0662"),
    "zero_byte": make_entry(address="127.9.9.9\0:80"),
    "long_service": make_entry(service="s" * 100_000),
    "long_zone": make_entry(zone="z" * 100_000),
    "bad_text": msgspec.Raw(b'{"service": "\xff\xfe"}'),
}


def make_object(metadata):
    return b'{"metadata":%s,"spec":%s}' % (metadata, msgspec.json.encode(SOUND))


def make_named(name, revision=b"9"):
    return make_object(b'{"name":"%s","revision":%s}' % (name, revision))


# Whole objects, by what is odd about their metadata.
OBJECTS = {
    "large_revision": make_named(b"odd", b"9" * 30),
    "long_revision": make_named(b"odd", LONG_NUMBER),
    "text_revision": make_named(b"odd", b'"x"'),
    "negative_revision": make_named(b"odd", b"-4"),
    "long_name": make_named(b"o" * 100_000),
    "empty_name": make_named(b""),
    "name_that_breaks_a_head": make_named(rb"o\r\nx: 1"),
    "name_of_another_script": make_named("\u65e5".encode()),
    "unreadable_name": make_named(b"\xff"),
    "no_name": make_object(b"{}"),
    "no_metadata": b'{"spec":%s}' % msgspec.json.encode(SOUND),
    "deep_metadata": make_object(bytes(nest(DEEP))),
    "deep_status": make_named(b"odd")[:-1] + b',"status":%s}' % bytes(nest(DEEP)),
    "number": b"17",
    "null": b"null",
}


@pytest.fixture
def world():
    created = World()
    created.add_server("p1")
    created.add_server("p9")
    yield created
    created.stop()


def write_odd(world, odd):
    if odd in CONTENTS:
        world.store.write("servers", "p5", CONTENTS[odd])
    else:
        world.store.write_text("servers", "p5", OBJECTS[odd])


def call_many(host):
    callers = [gevent.spawn(host.call, f"/look/{n}") for n in range(CALLS)]
    gevent.joinall(callers)
    return [caller.value.status for caller in callers]


@pytest.mark.parametrize("odd", [*CONTENTS, *OBJECTS])
def test_an_odd_entry_costs_no_caller_and_hides_no_server(world, odd):
    watching = world.add_host("h1")
    wait_until(lambda: watching.list_servers() == ["p1", "p9"])
    write_odd(world, odd)
    world.add_server("p7")
    wait_until(lambda: watching.list_servers() == ["p1", "p7", "p9"])
    starting = world.add_host("h2")
    wait_until(lambda: starting.list_servers() == ["p1", "p7", "p9"])
    for host in (watching, starting):
        assert call_many(host) == [200] * CALLS


def test_an_odd_entry_among_others_of_one_answer_costs_none_of_them(world):
    host = world.add_host("h1")
    world.store.fault = StoreFault.BUSY
    gevent.sleep(0.3)
    for name in ("p2", "p8"):
        world.add_server(name)
        for odd in ("nested_1500", "unreadable_name", "port_too_large"):
            text = OBJECTS.get(odd)
            if text is None:
                world.store.write("servers", f"{name}-{odd}", CONTENTS[odd])
            else:
                world.store.write_text("servers", f"{name}-{odd}", text)
    world.store.fault = StoreFault.NONE
    wait_until(lambda: host.list_servers() == ["p1", "p2", "p8", "p9"])
    assert call_many(host) == [200] * CALLS


@pytest.mark.parametrize("last", ["p5 & x", "p5?after=z", "p5\u65e5", "p5\r\nx"])
def test_the_list_goes_on_after_a_page_that_ends_with_an_odd_name(
    world, monkeypatch, last
):
    monkeypatch.setattr("standins.object_store.PAGE_SIZE", 2)
    world.store.write("servers", last, nest(DEEP))
    host = world.add_host("h1")
    wait_until(lambda: host.list_servers() == ["p1", "p9"])


def test_an_odd_entry_that_is_removed_leaves_the_list(world):
    host = world.add_host("h1")
    world.store.write("servers", "p9", nest(DEEP))
    world.add_server("p7")
    wait_until(lambda: "p7" in host.list_servers())
    world.store.remove("servers", "p9")
    wait_until(lambda: host.list_servers() == ["p1", "p7"])


@pytest.mark.parametrize("odd", ["nested_1500", "port_too_large", "deep_status"])
def test_an_odd_entry_is_named_and_logged_once_a_revision(world, monkeypatch, odd):
    entries = []
    monkeypatch.setattr(
        store_watches, "write_log_entry", lambda log, entry: entries.append(entry)
    )
    host = world.add_host("h1")
    write_odd(world, odd)
    wait_until(lambda: host.read_state()["left_out"])
    world.store.drop_history()
    wait_until(lambda: any(isinstance(entry, HistoryGone) for entry in entries))
    world.add_server("p7")
    wait_until(lambda: "p7" in host.list_servers())
    name = "servers/p5" if odd in CONTENTS else "servers/odd"
    assert [*host.read_state()["left_out"]] == [name]
    assert sum(isinstance(entry, ServerEntryInvalid) for entry in entries) == 1
    metrics = get(host.ip, METRICS_PORT, "/").body
    assert b'rosemarystream_objects_left_out_total{kind="servers"} 1.0' in metrics
    world.store.write("servers", "p5", CONTENTS["no_slots"])
    wait_until(lambda: "servers/p5" in host.read_state()["left_out"])
    world.store.remove("servers", "p5")
    wait_until(lambda: "servers/p5" not in host.read_state()["left_out"])
