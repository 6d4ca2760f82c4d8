"""Parts that all cases share: addresses, entry hosts as deployed, clients, a record.

Everything runs on loopback, in a network of its own, and ends with the script.
"""

import itertools
import json
import os
import re
import signal
import socket as plain_socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
for _path in (ROOT, ROOT / "src", ROOT / "target" / "deps"):
    if str(_path) not in sys.path:
        sys.path.insert(0, str(_path))

import gevent  # noqa: E402
import h11  # noqa: E402
from gevent import socket  # noqa: E402

CALLER_PORT, READY_PORT, CONTROL_PORT, PEER_PORT = 18_227, 18_220, 18_229, 17_340
STORE_PORT, SERVER_PORT = 18_223, 18_120
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
WITH_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Bounds of the small sites, as their sheets state them.
BOUNDS = {
    "seed-lag-s": 3,
    "reuse-after-s": 2,
    "contact-ms": 3000,
    "ack-ms": 4000,
    "catch-up-s": 4,
    "drain-ms": 2000,
    "grace-s": 8,
    "loss-slack-ms": 200,
    "config-apply-ms": 2000,
    "rollback-slack-ms": 250,
    "outer-ms": 5000,
    "retry-budget-ratio": 0.2,
    "budget-window-s": 10,
    "budget-slack": 56,
    "recover-s": 12,
    "pass-ms": 120,
    "again-s": 10,
    "cap-x": 2,
}

_ids = itertools.count(1)


def choose_net():
    """Return the first three octets of a loopback network that nothing uses."""
    for attempt in itertools.count(os.getpid()):
        net = f"127.{20 + attempt % 200}.{1 + attempt // 200 % 250}"
        with plain_socket.socket() as probe:
            try:
                probe.bind((f"{net}.1", STORE_PORT))
            except OSError:
                continue
            return net


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, script):
        self._file = (Path(script).parent / "record.txt").open("w")
        self._began_at = time.monotonic()

    def write(self, text):
        ms = (time.monotonic() - self._began_at) * 1000
        self._file.write(f"{ms:9.1f} ms  {text}\n")

    def finish(self, broken):
        """Write the result and exit with the code that it has."""
        text = f"the rule was broken: {broken}" if broken else "the rule held"
        self.write(text)
        self._file.close()
        print(text)
        sys.stdout.flush()
        os._exit(1 if broken else 0)


# Settings, filled in as DEPLOY.md says of templates.


def _find(fields, name):
    if name in (".", ""):
        return fields["."]
    value = fields
    for word in name.split("."):
        try:
            value = value[int(word)] if isinstance(value, list) else value[word]
        except (KeyError, IndexError, ValueError, TypeError):
            return None
    return value


def _show(value):
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(_show(item) for item in value)
    if isinstance(value, dict):
        return json.dumps(value)
    if isinstance(value, bool):
        return str(value).lower()
    return str(value)


def fill_in(template, fields):
    """Fill in a template: sections for single values, values, and values as JSON."""

    def fill_section(match):
        value = _find(fields, match[1])
        present = value is not None and value is not False
        return fill_in(match[2], {**fields, ".": value}) if present else ""

    def fill_value(match):
        name, as_json = match[1], match[2]
        value = _find(fields, name)
        return json.dumps(value) if as_json else _show(value)

    text = re.sub(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", fill_section, template)
    return re.sub(r"\{\{([\w.-]+)(\|json)?\}\}", fill_value, text)


class EntryHost:
    """An entry host: a process of the command in the deploy file."""

    def __init__(self, *, name, zone, ip, store, seeds, folder, bounds=BOUNDS):
        self.name, self.zone, self.ip = name, zone, ip
        self.log = Path(folder) / f"{name}.log"
        self._settings = Path(folder) / f"{name}.conf"
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self._role = next(iter(role.values()))
        self._fields = {
            "node": name,
            "zone": zone,
            "ip": ip,
            "listen": {
                "front": f"{ip}:{CALLER_PORT}",
                "ready": f"{ip}:{READY_PORT}",
                "control": f"{ip}:{CONTROL_PORT}",
            },
            "internal-port-range": [PEER_PORT, PEER_PORT + 15],
            "seeds": seeds,
            "bootstrap": True,
            "bounds": dict(bounds),
            "platform": {"address": store},
        }
        self.process = None
        self.write_settings()

    def write_settings(self, **bounds):
        """Write the settings as the platform does, with changed bounds."""
        self._fields["bounds"].update(bounds)
        template = (ROOT / self._role["template"]).read_text()
        self._settings.write_text(fill_in(template, self._fields))

    def set_store(self, address):
        """Set the address of the store."""
        self._fields["platform"]["address"] = address
        self.write_settings()

    def set_seeds(self, seeds):
        """Set the hosts that it contacts first."""
        self._fields["seeds"] = seeds
        self.write_settings()

    def start(self):
        """Start a process; a later one is not the first of the whole system."""
        if self.process is not None:
            self._fields["bootstrap"] = False
            self.write_settings()
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self._role["run"].split(),
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": os.environ.get("LANG", "C.UTF-8"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "ROSEMARYSTREAM_SETTINGS": str(self._settings),
                },
            )

    def send_signal(self, number):
        """Send a signal, unless the process has ended."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def is_ready(self):
        """Return whether the host answers 200 at its ready address."""
        try:
            return (
                call(self.ip, "/v1/readyz", port=READY_PORT, method="GET").status == 200
            )
        except OSError:
            return False

    def stop(self):
        """Kill the process."""
        if self.process is not None:
            self.send_signal(signal.SIGKILL)
            self.process.wait()


class Reply:
    """An answer to a client; `whole` tells whether it is complete."""

    def __init__(self):
        self.status, self.headers, self.body, self.whole = 0, {}, b"", False


class Client:
    """A client with one connection to an entry host."""

    def __init__(self, ip, port=CALLER_PORT, timeout=10.0):
        self.socket = socket.create_connection((ip, port), timeout=timeout)

    def send(
        self, path, *, request_id, method="POST", body=b"", headers=(), wait_ms=1500
    ):
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Rosemarystream-Attempt-Id: {request_id}",
            f"X-Rosemarystream-Deadline-Ms: {wait_ms}",
            f"Api-Key: {KEY}",
            *(f"{name}: {value}" for name, value in headers),
        ]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        self.socket.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def read(self):
        reply = Reply()
        protocol = h11.Connection(h11.CLIENT)
        protocol.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
        protocol.send(h11.EndOfMessage())
        while True:
            try:
                event = protocol.next_event()
                if event is h11.NEED_DATA:
                    protocol.receive_data(self.socket.recv(65_536))
                elif isinstance(event, h11.Response):
                    reply.status, reply.headers = event.status_code, dict(event.headers)
                elif isinstance(event, h11.Data):
                    reply.body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    reply.whole = True
                    return reply
                elif isinstance(event, h11.ConnectionClosed):
                    return reply
            except (OSError, h11.ProtocolError):
                return reply

    def close(self):
        self.socket.close()


def make_id():
    """Return an identifier that no other client attempt has."""
    return f"{os.getpid():x}{next(_ids):06x}"


def call(ip, path, *, port=CALLER_PORT, request_id=None, **changes):
    """Send one request on a new connection and return the answer."""
    client = Client(ip, port)
    try:
        client.send(path, request_id=request_id or make_id(), **changes)
        return client.read()
    finally:
        client.close()


def make_route(name, kind, service, **changes):
    """Return a route of a configuration."""
    route = {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 1500,
        "slo-ms": 125,
        "priority": 2,
        "service": service,
        "max-attempts": 2,
        "allow-anonymous": False,
    }
    return {**route, **changes}


def make_configuration(version, routes, services, **changes):
    """Return a configuration document."""
    document = {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 1_048_576,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15_000,
        },
        "tenants": [{"name": TENANT, "api-keys": [KEY]}],
    }
    return {**document, **changes}


def wait_until(condition, seconds):
    """Wait for a condition; return whether it came about in time."""
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        if condition():
            return True
        gevent.sleep(0.02)
    return False


class Deployment:
    """Entry hosts and a folder for their files; exits with 2 if the case can't run."""

    def __init__(self, script, *, store, net):
        self.record = Record(script)
        self.net = net
        self.store = store
        self.hosts = []
        self._folder = tempfile.TemporaryDirectory()

    def add_host(self, name, zone, **changes):
        number = len(self.hosts)
        host = EntryHost(
            name=name,
            zone=zone,
            ip=f"{self.net}.{10 + number}",
            store=f"{self.net}.1:{STORE_PORT}",
            seeds=[f"{self.net}.10:{CONTROL_PORT}"],
            folder=self._folder.name,
            **changes,
        )
        self.hosts.append(host)
        return host

    def set_seeds(self):
        """Give all hosts the first host of each zone as seeds."""
        first = {}
        for host in self.hosts:
            first.setdefault(host.zone, f"{host.ip}:{CONTROL_PORT}")
        for host in self.hosts:
            host.set_seeds([*first.values()])

    def start(self):
        for host in self.hosts:
            host.start()
        if not wait_until(lambda: all(host.is_ready() for host in self.hosts), 20):
            self.give_up("the hosts don't become ready")
        gevent.sleep(1.0)

    def give_up(self, reason):
        self.stop()
        print(f"the case can't run: {reason}")
        sys.stdout.flush()
        os._exit(2)

    def finish(self, broken):
        self.stop()
        self.record.finish(broken)

    def stop(self):
        for host in self.hosts:
            host.stop()
        if os.environ.get("KEEP_LOGS"):
            for host in self.hosts:
                target = Path(os.environ["KEEP_LOGS"]) / host.log.name
                target.write_bytes(host.log.read_bytes())
        self._folder.cleanup()


def run_case(main):
    """Run a case; any error means that it couldn't run."""
    try:
        main()
    except Exception:
        import traceback

        traceback.print_exc()
        os._exit(2)
