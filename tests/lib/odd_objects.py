"""Objects of the store, messages and documents that no host can use."""

import msgspec

DEEP = 5_000
LONG_NUMBER = b"9" * 5_000
BODY = {"service": "plain", "zone": "a", "state": "ready", "version": "1", "seq": 1}
SOUND = {**BODY, "slots": 8, "address": "127.9.9.9:1"}


def nest(depth):
    return msgspec.Raw(b"[" * depth + b"]" * depth)


def make_entry(**changes):
    return {**SOUND, **changes}


# Entries of servers, by what is odd about them.
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


def write_odd(store, name, odd):
    """Write an entry of a server."""
    if odd in CONTENTS:
        store.write("servers", name, CONTENTS[odd])
    else:
        store.write_text("servers", name, OBJECTS[odd])


# Configurations, without their version.
UNUSABLE_ROUTE = {"name": "look", "host": "chats.example", "path-prefix": "/look/"}
CONFIGURATIONS = [
    {"routes": [{**UNUSABLE_ROUTE, "kind": "idempotent", "timeout-ms": 900}]},
    {"limits": {"idle-timeout-ms": -1}},
    {"limits": {"header-timeout-ms": msgspec.Raw(b"9" * 400)}},
    {"routes": nest(DEEP)},
    {"tenants": [{"name": "a\r\nb", "api-keys": ["k"]}]},
]
# Datagrams of a host of a broken build.
SENDER = ["odd", "a", "127.7.7.7"]
DATAGRAMS = [
    b"",
    b"\xc1" * 50,
    msgspec.msgpack.encode([SENDER, 1, 2**64 - 1, 0, 0, 1]),
    msgspec.msgpack.encode([SENDER, 1, 0, 2**64 - 1, 0, 1]),
    msgspec.msgpack.encode([SENDER, 1, 0, 0, 0, 1, {1: 2**64 - 1}]),
    msgspec.msgpack.encode([["odd", "a", "1.2.3"], 1, 0, 0, 0, 1]),
    msgspec.msgpack.encode([SENDER, 1, 0, 0, 0, 1, {}, {}, [], [], [["x", "a", "y"]]]),
    b"\x97"
    + msgspec.msgpack.encode(SENDER)
    + b"\x01\x00\x00\x00\x01"
    + b"\x91" * 9_000,
]
