"""A host process that was stopped for a moment takes no sound server for dead.

The connections that it makes meanwhile come late as well: the servers accept none, and
the queues of their sockets are full.
"""

import signal
from contextlib import ExitStack

import gevent
import pytest
from gevent import socket

from rosemarystream._internal.utils.address import split_address
from tests.lib.entry_world import World, wait_until
from tests.lib.host_process import HostProcess

CALLS = 24
SERVERS = ["p1", "p2", "p3"]
# Connections that fill the queue of a socket that has the shortest one.
FILLERS = 4


@pytest.fixture
def world(tmp_path):
    created = World()
    for name in SERVERS:
        created.add_server(name)
    host = HostProcess(
        name="h1",
        data_centre="a",
        ip=f"{created.net}.200",
        store=created.store.address,
        seeds=[f"{created.net}.200:1"],
        folder=tmp_path,
    )
    host.start()
    try:
        wait_until(host.is_ready, seconds=20.0)
        wait_until(lambda: len(host.read_state()["servers"]) == len(SERVERS))
        created.host = host
        yield created
    finally:
        host.stop()
        created.stop()


def list_set_aside(host):
    servers = host.read_state()["servers"]
    return [name for name, server in servers.items() if server["set_aside"]]


def stall(server, stack):
    """Make a server accept no connection, nor its machine, until the stack ends."""
    listener = server._server
    listener.stop_accepting()
    listener.socket.listen(0)
    stack.callback(listener.start_accepting)
    stack.callback(listener.socket.listen, CALLS)
    for _ in range(FILLERS):
        filler = stack.enter_context(socket.socket())
        filler._sock.setblocking(False)
        filler._sock.connect_ex(split_address(server.address))


def call(host):
    return host.call("/book/1", wait_ms=4000).status


def call_while_stopped(world, delay_s, *, dead=()):
    """Stop the host while it connects to servers; return the statuses of the calls."""
    with ExitStack() as until_end, ExitStack() as until_resumed:
        for server in world.servers.values():
            stall(server, until_end if server.name in dead else until_resumed)
        calls = [gevent.spawn(call, world.host) for _ in range(CALLS)]
        gevent.sleep(0.1)
        world.host.send(signal.SIGSTOP)
        gevent.sleep(delay_s)
        until_resumed.close()
        world.host.send(signal.SIGCONT)
        gevent.joinall(calls, raise_error=True)
        set_aside = list_set_aside(world.host)
        return {each.value for each in calls}, set_aside


@pytest.mark.parametrize("delay_s", [0.3, 0.6, 1.5])
def test_a_host_that_was_stopped_refuses_nobody(world, delay_s):
    assert call_while_stopped(world, delay_s) == ({200}, [])


@pytest.mark.parametrize("delay_s", [0.3, 0.6, 1.5])
def test_a_server_that_is_dead_at_the_same_time_is_found(world, delay_s):
    assert call_while_stopped(world, delay_s, dead=["p2"]) == ({200}, ["p2"])
