"""A configuration that can't be used leaves the older one in force."""

import gevent
import msgspec
import pytest

from tests.lib.entry_world import (
    ROUTES,
    World,
    make_configuration,
    make_route,
    wait_until,
)

CALLS = 8
DEEP = 5_000


def change_route(**changes):
    routes = [{**make_route("look", "idempotent"), **changes}, *ROUTES[1:]]
    return make_configuration(4, routes)


def change_limits(**changes):
    document = make_configuration(4)
    names = {name.replace("_", "-"): value for name, value in changes.items()}
    return {**document, "limits": {**document["limits"], **names}}


def change_service(**changes):
    names = {name.replace("_", "-"): value for name, value in changes.items()}
    services = [{"name": "plain", **names}, {"name": "engines"}]
    return {**make_configuration(4), "services": services}


def change_tenant(**changes):
    tenant = {"name": "w1", "api-keys": ["k"], **changes}
    return {**make_configuration(4), "tenants": [tenant]}


def raw(text):
    return msgspec.Raw(text)


WEIGHTED = {"service": None, "weighted-clusters": [{"service": "plain", "weight": -1}]}
UNUSABLE = {
    "no_target": change_route(service=None),
    "empty_target": change_route(service=""),
    "negative_weight": change_route(**WEIGHTED),
    "negative_timeout": change_route(**{"timeout-ms": -1}),
    "no_timeout": change_route(**{"timeout-ms": 0}),
    "endless_timeout": change_route(**{"timeout-ms": raw(b"1e300")}),
    "infinite_timeout": change_route(**{"timeout-ms": raw(b"1e999")}),
    "long_timeout": change_route(**{"timeout-ms": raw(b"9" * 5_000)}),
    "negative_objective": change_route(**{"slo-ms": -5}),
    "negative_gap": change_route(**{"gap-aim-ms": -5}),
    "negative_attempts": change_route(**{"max-attempts": -1}),
    "many_attempts": change_route(**{"max-attempts": raw(b"9" * 40)}),
    "negative_priority": change_route(priority=-1),
    "large_priority": change_route(priority=raw(b"9" * 40)),
    "unknown_kind": change_route(kind="odd"),
    "negative_idle_timeout": change_limits(idle_timeout_ms=-1),
    "no_idle_timeout": change_limits(idle_timeout_ms=0),
    "endless_idle_timeout": change_limits(idle_timeout_ms=raw(b"1e300")),
    "negative_head_timeout": change_limits(header_timeout_ms=-1),
    "negative_head_size": change_limits(max_header_bytes=-1),
    "no_head_size": change_limits(max_header_bytes=0),
    "large_head_size": change_limits(max_header_bytes=raw(b"9" * 40)),
    "negative_body_size": change_limits(max_body_bytes=-1),
    "no_connections": change_service(max_connections=0),
    "negative_connections": change_service(max_connections=-3),
    "negative_memory": change_service(engine={"kv-capacity": -1}),
    "large_memory": change_service(engine={"kv-capacity": raw(b"9" * 40)}),
    "tenant_that_breaks_a_head": change_tenant(name="w\r\nx: 1"),
    "negative_rank_of_a_tenant": change_tenant(priority=-1),
    "large_version": {**make_configuration(4), "version": raw(b"9" * 40)},
    "negative_version": {**make_configuration(4), "version": -4},
    "nested": {**make_configuration(4), "extra": raw(b"[" * DEEP + b"]" * DEEP)},
    "no_object": raw(b"17"),
    "bad_text": raw(b'"\xff"'),
}
USABLE = {
    "tenant_of_another_script": change_tenant(name="\u65e5\u672c", **{"api-keys": []}),
    "no_body": change_limits(max_body_bytes=0),
    "no_objective": change_route(**{"slo-ms": 0}),
    "unknown_service": change_route(service="later"),
    "weights_of_nought": change_route(
        service=None, **{"weighted-clusters": [{"service": "plain", "weight": 0}]}
    ),
    "unknown_field": {**make_configuration(4), "later": {"a": [1]}},
    "fractions": change_limits(idle_timeout_ms=1500.5),
}


@pytest.fixture
def world():
    created = World()
    created.add_server("p1")
    created.add_host("h1")
    wait_until(lambda: created.hosts["h1"].list_servers() == ["p1"])
    yield created
    created.stop()


def call_many(host):
    callers = [gevent.spawn(host.call, f"/look/{n}") for n in range(CALLS)]
    gevent.joinall(callers)
    # What a refusal says is shown if a test fails.
    return [(c.value.status, c.value.body[:300]) for c in callers]


@pytest.mark.parametrize("name", UNUSABLE)
def test_an_unusable_configuration_leaves_the_older_one_in_force(world, name):
    host = world.hosts["h1"]
    world.store.write("config", "main", UNUSABLE[name])
    gevent.sleep(0.25)
    starting = world.add_host("h2", seeds=["h1"])
    for each in (host, starting):
        assert each.get_version() == 3
        replies = call_many(each)
        assert [status for status, _ in replies] == [200] * CALLS, replies
    world.store.write("config", "main", make_configuration(5))
    for each in (host, starting):
        wait_until(lambda each=each: each.get_version() == 5)


@pytest.mark.parametrize("name", USABLE)
def test_a_configuration_as_the_page_allows_it_comes_into_force(world, name):
    host = world.hosts["h1"]
    world.store.write("config", "main", USABLE[name])
    wait_until(lambda: host.get_version() == 4)


def test_the_name_of_a_tenant_in_another_script_reaches_the_server(world):
    host = world.hosts["h1"]
    document = change_tenant(name="\u65e5\u672c")
    world.store.write("config", "main", document)
    wait_until(lambda: host.get_version() == 4)
    assert host.call("/look/1", key="k").status == 200
    run = world.servers["p1"].runs[-1]
    assert run.headers[b"x-rosemarystream-tenant"] == "\u65e5\u672c".encode()
