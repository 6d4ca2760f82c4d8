"""Small deployment for the scripts of the third review.

Entry hosts run as separate processes with the command of the deploy file. The store,
the backend servers and the callers are stand-ins in this process, all on loopback.
"""

import itertools
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import NamedTuple

import gevent
import h11
from gevent import socket

from standins.backend_server import BackendServer

ROOT = Path(__file__).resolve().parent.parent
CALLER_PORT, READY_PORT, PEER_PORT, METRICS_PORT = 18_080, 18_081, 18_082, 9102
STORE_PORT, SERVER_PORT = 18_084, 18_085
KEY = "key-of-w1"
HOST = "chats.example"
# As in the sheets of the small deployments.
HEARTBEAT_S = 1.2
CONTACT_S = 3.0
DRAIN_S = 2.0
EVACUATE_S = 5.0
HELD, BROKEN, NOT_RUN = 0, 1, 2
# A script may run for 120 s.
LONGEST_S = 112.0


class SetUpError(Exception):
    """The case could not run."""


class Reply(NamedTuple):
    """Answer to a caller; `complete` is False if the connection broke within it."""

    status: int
    headers: dict
    body: bytes
    complete: bool
    seconds: float


class Server(BackendServer):
    """A backend server whose arrivals are recorded with their times."""

    def __init__(self, rig, **changes):
        super().__init__(**changes)
        self.rig = rig
        self.seq = 0
        self.state = "ready"
        self.is_up = False

    def start(self):
        super().start()
        self.is_up = True

    def stop(self):
        self.is_up = False
        super().stop()

    def register(self):
        """Write the entry of the server, as at its start and with each heartbeat."""
        self.seq += 1
        entry = {**self.describe(self.state, self.seq), "slots": 64}
        self.rig.write("servers", self.name, entry)

    def _work(self, connection, protocol, run, fault, identity):
        self.rig.note("run", server=self.name, request=run.request_id)
        self.rig.runs.append((time.monotonic(), self, run))
        return super()._work(connection, protocol, run, fault, identity)


class Rig:
    """Store, servers, hosts and callers of a small deployment, and the record."""

    def __init__(self, folder, make_store):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.random = random.Random(1)
        self.runs = []
        self.servers = {}
        self.hosts = {}
        self._record = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_at = time.monotonic()
        self._folder = Path(tempfile.mkdtemp(prefix="rosemarystream-review-"))
        self._tasks = []
        self._numbers = itertools.count(1)
        self._ips = itertools.count(10)
        self._net = _take_network()
        self.store = make_store((f"{self._net}.1", STORE_PORT))
        self.store.start()

    def note(self, what, **fields):
        """Write a line of the record."""
        at = time.monotonic() - self._began_at
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._record.write(f"{at:9.3f} {what} {text}\n")

    def spawn(self, run, *arguments):
        """Run a stand-in's loop until the end."""
        self._tasks.append(gevent.spawn(run, *arguments))

    def write(self, kind, name, spec):
        """Write an object as the operator or a server does."""
        write = getattr(self.store, "write_as_owner", self.store.write)
        return write(kind, name, spec)

    # Servers

    def add_server(
        self, name, service, *, zone="a", address=None, kind=None, **changes
    ):
        """Start a server, of a class of its own if need be, and register it."""
        address = address or (f"{self._net}.{next(self._ips)}", SERVER_PORT)
        server = (kind or Server)(
            self,
            name=name,
            service=service,
            address=address,
            data_centre=zone,
            events=service == "engines",
            **changes,
        )
        server.born = int(time.time() * 1000)
        server.start()
        self.servers[name] = server
        server.register()
        return server

    def beat(self):
        """Write the heartbeats of all servers that are up."""
        while True:
            gevent.sleep(HEARTBEAT_S)
            for server in [*self.servers.values()]:
                if server.is_up:
                    server.register()

    # Hosts

    def add_host(self, name, zone):
        """Start an entry host as the deploy file says, on an address of its own."""
        host = HostProcess(
            name, zone, f"{self._net}.{next(self._ips)}", self, self._folder
        )
        self.hosts[name] = host
        host.start()
        return host

    def wait_ready(self, seconds=20.0):
        """Wait until all hosts are ready and know all servers that are registered."""
        ends_at = time.monotonic() + seconds
        names = sorted(self.servers)
        while time.monotonic() < ends_at:
            if all(h.is_ready() and h.list_servers() == names for h in self._live()):
                self.note("ready", hosts=len(self.hosts))
                return
            gevent.sleep(0.1)
        raise SetUpError("the hosts were not ready in time")

    def _live(self):
        return [*self.hosts.values()]

    # Callers

    def call(self, host, path, *, key=KEY, headers=(), body=b"", wait_ms=3000, id_=""):
        """Send a request over a new connection and return the answer."""
        request = id_ or f"r{next(self._numbers)}"
        began_at = time.monotonic()
        self.note("send", request=request, host=host.name, path=path)
        try:
            with_socket = socket.create_connection((host.ip, CALLER_PORT), timeout=1)
        except OSError as error:
            self.note("no_connection", request=request, error=error)
            return Reply(0, {}, b"", False, time.monotonic() - began_at)
        try:
            with_socket.settimeout(wait_ms / 1000 + 1)
            with_socket.sendall(
                _encode_request(request, path, key, headers, body, wait_ms)
            )
            reply = _read_reply(with_socket, began_at)
        finally:
            with_socket.close()
        self.note(
            "answer",
            request=request,
            status=reply.status,
            complete=reply.complete,
            ms=round(reply.seconds * 1000),
            body=reply.body[:60],
        )
        return reply

    def choose_host(self):
        """Return a host as the platform's balancer may choose it."""
        return self.random.choice([*self.hosts.values()])

    def end(self):
        """End all processes and stand-ins that were started."""
        gevent.killall(self._tasks)
        for host in self.hosts.values():
            host.stop()
        for server in self.servers.values():
            server.stop()
        self.store.stop()
        self._record.close()
        shutil.rmtree(self._folder, ignore_errors=True)


class HostProcess:
    """An entry host in a process of its own."""

    def __init__(self, name, zone, ip, rig, folder):
        self.name = name
        self.zone = zone
        self.ip = ip
        self._rig = rig
        self._settings = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        seeds = [f"{host.ip}:8229" for host in [*rig.hosts.values()][:3]]
        self._settings.write_text(
            f'[host]\nname = "{name}"\ndata_centre = "{zone}"\nip = "{ip}"\n'
            f'caller_address = "{ip}:{CALLER_PORT}"\n'
            f'ready_address = "{ip}:{READY_PORT}"\n'
            f"peer_port = {PEER_PORT}\nmetrics_port = {METRICS_PORT}\n"
            f"seeds = {json.dumps(seeds)}\nfirst_start = true\n"
            f'[platform]\naddress = "{rig.store.address}"\n'
            "[bounds]\nshutdown_s = 8\nretry_ratio = 0.2\nretry_window_s = 10\n"
            "retry_slack = 56\nload_multiple = 2\n"
            "[resources]\nmemory_mb = 300\nmax_descriptors = 4100\n"
        )
        self.process = None

    def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        environment = {
            **{k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ},
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "ROSEMARYSTREAM_SETTINGS": str(self._settings),
        }
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._rig.note("start", host=self.name)

    def send_signal(self, number):
        """Send a signal to the process."""
        self._rig.note("signal", host=self.name, signal=number)
        self.process.send_signal(number)

    def is_ready(self):
        """Return whether the host says that it is ready."""
        return _get(self.ip, READY_PORT, "/v1/readyz").status == 200

    def read_state(self):
        """Return the state dump; used only to wait for the start, never to judge."""
        return json.loads(_get(self.ip, METRICS_PORT, "/v1/state").body or b"{}")

    def list_servers(self):
        """Return the names of the servers that the host knows."""
        return sorted(self.read_state().get("servers", {}))

    def stop(self):
        """Kill the process and wait for its end."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGKILL)
            self.process.wait()


def make_route(name, kind, service, **changes):
    """Return a route as it stands in a configuration."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 3000,
        "slo-ms": 500,
        "gap-aim-ms": 250,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
        "allow-anonymous": False,
        **changes,
    }


def make_configuration(version, routes, keys=(KEY,)):
    """Return a configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "plain", "max-connections": 110},
            {"name": "engines", "max-connections": 370, "engine": {"kv-capacity": 9}},
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15_000,
        },
        "tenants": [{"name": "w1", "api-keys": list(keys)}],
    }


def run_case(script, make_store, check):
    """Run a case and exit with 1 if the rule was broken, 0 if it held, 2 if not run."""
    folder = Path(script).resolve().parent
    rig = None
    try:
        with gevent.Timeout(LONGEST_S, SetUpError("the case took too long")):
            rig = Rig(folder, make_store)
            broken = check(rig)
        rig.note("result", broken=broken)
        print("broken:" if broken else "held", broken)
        code = BROKEN if broken else HELD
    except Exception as error:
        print(f"could not run: {type(error).__name__}: {error}")
        if rig is not None:
            rig.note("could_not_run", error=error)
        code = NOT_RUN
    finally:
        if rig is not None:
            rig.end()
    sys.exit(code)


def _encode_request(request, path, key, headers, body, wait_ms):
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Rosemarystream-Attempt-Id: {request}",
        f"X-Rosemarystream-Deadline-Ms: {wait_ms}",
        f"Content-Length: {len(body)}",
        *([f"Api-Key: {key}"] if key else []),
        *[f"{name}: {value}" for name, value in headers],
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def _read_reply(opened, began_at):
    protocol = h11.Connection(h11.CLIENT)
    protocol.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    protocol.send(h11.EndOfMessage())
    status, headers, body, complete = 0, {}, b"", False
    while True:
        try:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(opened.recv(65_536))
                continue
        except (OSError, h11.ProtocolError):
            break
        if isinstance(event, h11.Response):
            status, headers = event.status_code, dict(event.headers)
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        else:
            complete = isinstance(event, h11.EndOfMessage)
            break
    return Reply(status, headers, body, complete, time.monotonic() - began_at)


def _get(ip, port, path):
    began_at = time.monotonic()
    try:
        with socket.create_connection((ip, port), timeout=1) as opened:
            opened.settimeout(2)
            head = f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n"
            opened.sendall(head.encode())
            return _read_reply(opened, began_at)
    except OSError:
        return Reply(0, {}, b"", False, 0.0)


def _take_network():
    """Return the first three octets of a network on loopback that is free."""
    for number in range(200):
        octet = 20 + (os.getpid() + number) % 200
        net = f"127.{octet}.77"
        try:
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
                probe.bind((f"{net}.1", STORE_PORT))
                return net
        except OSError:
            continue
    raise SetUpError("no free network on loopback")
