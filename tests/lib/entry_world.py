"""Entry hosts, a store and backend servers in one process on loopback.

Each world has its own network on loopback, so that worlds don't interfere.
"""

import itertools
import time
from pathlib import Path
from typing import NamedTuple

import gevent
import h11
import msgspec
from gevent import socket

from rosemarystream._internal.decisions.live_hosts import DEAD_AFTER_S
from rosemarystream._internal.gateway.process import Gateway
from rosemarystream._internal.gateway.settings import GatewaySettings
from rosemarystream._internal.utils.address import split_address
from standins.backend_server import BackendServer
from standins.object_store import ObjectStore
from tests.lib.networks import take_network

CALLER_PORT, READY_PORT, PEER_PORT, METRICS_PORT = 18_080, 18_081, 18_082, 18_083
STORE_PORT, SERVER_PORT = 18_084, 18_085
KEY = "key-of-w1"
HOST = "chats.example"
_request_ids = itertools.count(1)


class Reply(NamedTuple):
    """Answer to a caller; `complete` is False if the connection broke within it."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    complete: bool


def make_route(name, kind, *, service="plain", **changes):
    route = {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 2000,
        "slo-ms": 200,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
        "allow-anonymous": False,
    }
    return {**route, **changes}


ROUTES = [
    make_route("look", "idempotent"),
    make_route("book", "non_idempotent"),
    make_route("chat", "streaming", service="engines", sticky=True, resumable=True),
    make_route("brief", "streaming", service="engines", sticky=True),
]


def make_configuration(version, routes=None, keys=(KEY,)):
    return {
        "version": version,
        "routes": ROUTES if routes is None else routes,
        "services": [
            {"name": "plain", "max-connections": 50},
            {"name": "engines", "max-connections": 50, "engine": {"kv-capacity": 9}},
        ],
        "limits": {
            "max-header-bytes": 4096,
            "max-body-bytes": 100_000,
            "header-timeout-ms": 600,
            "idle-timeout-ms": 1500,
        },
        "tenants": [{"name": "w1", "api-keys": list(keys)}],
    }


def make_entry(address, service="plain"):
    """Return what a server that is ready registers."""
    return {
        "service": service,
        "address": address,
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "seq": 1,
        "born": 1_000,
    }


class World:
    """Object store, backend servers and entry hosts of a small deployment."""

    def __init__(self):
        self.net = take_network()
        self.store = ObjectStore(address=(f"{self.net}.1", STORE_PORT))
        self.servers = {}
        self.hosts = {}
        self._ips = itertools.count(10)
        self.store.start()
        self.store.write("config", "main", make_configuration(3))

    def add_server(self, name, service="plain", **changes):
        ip = f"{self.net}.{next(self._ips)}"
        server = BackendServer(
            name=name,
            service=service,
            address=(ip, SERVER_PORT),
            events=service == "engines",
            **changes,
        )
        server.start()
        self.servers[name] = server
        self.store.write("servers", name, server.describe())
        return server

    def replace_server(self, server):
        """Start and return a new server at the address of one that has crashed."""
        self.store.remove("servers", server.name)
        successor = BackendServer(
            name=f"{server.name}'",
            service=server.service,
            address=split_address(server.address),
            events=True,
            work_s=server.work_s,
        )
        successor.crashing_parts = server.crashing_parts
        successor.on_crash = server.on_crash
        successor.start()
        self.servers[successor.name] = successor
        self.store.write("servers", successor.name, successor.describe())
        return successor

    def add_host(self, name, data_centre="a", *, seeds=(), wait=True, shutdown_ms=3000):
        ip = f"{self.net}.{next(self._ips)}"
        store_address = self.store.add_address(
            (f"{self.net}.{next(self._ips)}", STORE_PORT)
        )
        document = {
            "host": {
                "name": name,
                "data_centre": data_centre,
                "ip": ip,
                "caller_address": f"{ip}:{CALLER_PORT}",
                "ready_address": f"{ip}:{READY_PORT}",
                "peer_port": PEER_PORT,
                "metrics_port": METRICS_PORT,
                "seeds": [f"{self.hosts[seed].ip}:1" for seed in seeds],
            },
            "platform": {"address": store_address},
            "bounds": {"shutdown_ms": shutdown_ms},
        }
        settings = msgspec.convert(document, GatewaySettings)
        gateway = Gateway(settings=settings, path=Path("none"))
        host = Host(ip, store_address, gateway)
        host.gateway.start()
        self.hosts[name] = host
        if wait:
            wait_until(host.is_ready)
        return host

    def stop(self):
        for host in self.hosts.values():
            host.gateway.stop()
        for server in self.servers.values():
            server.stop()
        self.store.stop()


class HostClient:
    """What callers and operators ask an entry host, wherever it runs."""

    ip: str

    def is_ready(self):
        try:
            return get(self.ip, READY_PORT, "/v1/readyz").status == 200
        except OSError:
            return False

    def read_state(self):
        return msgspec.json.decode(get(self.ip, METRICS_PORT, "/v1/state").body)

    def get_version(self):
        return self.read_state()["figures"]["version"]

    def list_servers(self, service=None):
        servers = self.read_state()["servers"]
        return sorted(
            name
            for name, server in servers.items()
            if service in (None, server["service"]) and server["state"] == "ready"
        )

    def list_incarnations(self):
        servers = self.read_state()["servers"].values()
        return sorted(server["incarnation"] for server in servers)

    def list_hosts(self):
        peers = self.read_state()["peers"]
        live_ages_ms = range(int(DEAD_AFTER_S * 1000) + 1)
        return sorted(
            name for name, x in peers.items() if int(x["heard_ms"]) in live_ages_ms
        )

    def count_load(self, server):
        return self.read_state()["servers"][server]["requests"]

    def call(self, path, *, body=b"", headers=(), key=KEY, **changes):
        caller = Caller(self.ip)
        try:
            return caller.call(path, body=body, headers=headers, key=key, **changes)
        finally:
            caller.close()


class Host(HostClient):
    """An entry host of this process, and the address at which it calls the store."""

    def __init__(self, ip, store_address, gateway):
        self.ip = ip
        self.store_address = store_address
        self.gateway = gateway


class Caller:
    """A caller with one connection to an entry host."""

    def __init__(self, ip, port=CALLER_PORT):
        self.opened_at = self.used_at = time.monotonic()
        self.socket = socket.create_connection((ip, port), timeout=5)

    def send(
        self,
        path,
        *,
        method="POST",
        body=b"",
        headers=(),
        key=KEY,
        request_id=None,
        wait_ms=2000,
    ):
        request_id = request_id or f"r{next(_request_ids)}"
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Rosemarystream-Attempt-Id: {request_id}",
            f"X-Rosemarystream-Deadline-Ms: {wait_ms}",
            f"Content-Length: {len(body)}",
        ]
        if key:
            lines.append(f"Api-Key: {key}")
        lines += [f"{name}: {value}" for name, value in headers]
        self.socket.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return request_id

    def read(self):
        protocol = h11.Connection(h11.CLIENT)
        protocol.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
        protocol.send(h11.EndOfMessage())
        status, headers, body = 0, {}, b""
        while True:
            try:
                event = protocol.next_event()
                if event is h11.NEED_DATA:
                    protocol.receive_data(self.socket.recv(65_536))
                elif isinstance(event, h11.Response):
                    status, headers = event.status_code, dict(event.headers)
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    return Reply(status, headers, body, True)
                elif isinstance(event, h11.ConnectionClosed):
                    return Reply(status, headers, body, False)
            except (OSError, h11.ProtocolError):
                return Reply(status, headers, body, False)

    def call(self, path, **changes):
        self.send(path, **changes)
        return self.read()

    def close(self):
        self.socket.close()


def list_event_ids(body):
    return [
        int(line[4:]) for line in body.decode().splitlines() if line.startswith("id: ")
    ]


def get(ip, port, path):
    caller = Caller(ip, port)
    try:
        return caller.call(path, method="GET")
    finally:
        caller.close()


def wait_until(condition, seconds=5.0):
    with gevent.Timeout(seconds, AssertionError(f"not within {seconds} s")):
        while not condition():
            gevent.sleep(0.01)
