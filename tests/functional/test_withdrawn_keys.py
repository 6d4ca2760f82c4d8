"""Keys that are taken away, up to the last one."""

import pytest

from tests.lib.entry_world import KEY, World, make_configuration, wait_until


@pytest.fixture
def world():
    created = World()
    created.add_server("p1")
    created.add_host("h1", "a")
    created.add_host("h2", "b", seeds=["h1"])
    for host in created.hosts.values():
        wait_until(lambda host=host: host.list_servers() == ["p1"])
    yield created
    created.stop()


# review/6: with the last key of a configuration taken away, every key passed.
@pytest.mark.parametrize("tenants", [[{"name": "w1", "api-keys": []}], []])
def test_no_key_passes_once_the_last_one_was_taken_away(world, tenants):
    hosts = [*world.hosts.values()]
    assert {host.call("/book/1").status for host in hosts} == {200}
    document = {**make_configuration(9), "tenants": tenants}
    world.store.write("config", "main", document)
    wait_until(lambda: {host.get_version() for host in hosts} == {9}, seconds=2.0)
    runs = len(world.servers["p1"].runs)
    for key in (KEY, "never-held", None):
        for path in ("/book/1", "/look/1"):
            assert {host.call(path, key=key).status for host in hosts} == {401}
    assert len(world.servers["p1"].runs) == runs
