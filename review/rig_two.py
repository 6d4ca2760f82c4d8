"""Stand-ins and helpers of the cases 6 to 10: store, servers, callers, hosts.

Only the standard library is used, so nothing has to be built. All addresses are in one
free network of the loopback range, so that each host has the same ports.
"""

import asyncio
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
FRONT, READY, CONTROL, PEER, METRICS, STORE, SERVER = (
    18_227,
    18_220,
    18_229,
    17_340,
    9102,
    18_223,
    18_120,
)
HEARTBEAT_S = 1.2
READ_LIMIT = 8_000_000
HOLDS, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """The lines of `record.txt`, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the time since the start in seconds."""
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        """Write a line to the file and to the standard output."""
        line = f"{self.now():8.3f} {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


# HTTP


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes] | None:
    """Read a request with a length; None if the connection has ended before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")[:-2]
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


def encode_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return a whole answer with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Reply:
    """What a caller got; status 0 if no whole head came."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_whole = False
        self.error = ""


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    wait_s: float,
    on_bytes: Callable[[bytes], None] = lambda data: None,
) -> Reply:
    """Send a request on a new connection and read the answer."""
    reply = Reply()
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(*address, limit=READ_LIMIT)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            first, *rest = head.split("\r\n")[:-2]
            reply.status = int(first.split()[1])
            for line in rest:
                name, _, value = line.partition(":")
                reply.headers[name.strip().lower()] = value.strip()
            if reply.headers.get("transfer-encoding") == "chunked":
                while size := int(await reader.readline(), 16):
                    data = await reader.readexactly(size)
                    await reader.readexactly(2)
                    reply.body += data
                    on_bytes(data)
                await reader.readexactly(2)
            else:
                length = int(reply.headers.get("content-length", "0"))
                reply.body = await reader.readexactly(length)
            reply.is_whole = True
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as error:
        reply.error = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return reply


# The platform's store


class Store:
    """The object store of PROTOCOL.md, in memory.

    Attributes
    ----------
    loses : callable
        Returns whether the answer to a call is lost, by its method, its target and the
        address that was called: nothing more comes on its connection, which stays open.
    refuses : callable
        Returns whether a call gets 503, by the address that is called and the kind of
        the objects. Each host has an address of its own, as all callers on loopback
        have the same one.
    """

    def __init__(self, record: Record, ip: str) -> None:
        self.address = (ip, STORE)
        self.revision = 1
        self.loses: Callable[[str, str, str], bool] = lambda *call: False
        self.refuses: Callable[[str, str], bool] = lambda *call: False
        self._record = record
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()

    async def start(self, ips: list[str]) -> None:
        """Listen at its own address and at others."""
        for ip in [self.address[0], *ips]:
            await asyncio.start_server(self._serve, ip, STORE)

    def write(self, kind: str, name: str, spec: Any) -> int:
        """Write an object as its owner does; return the revision."""
        objects = self._objects.setdefault(kind, {})
        self.revision += 1
        known = objects.get(name)
        created = known["metadata"]["create-rev"] if known else self.revision
        metadata = {
            "name": name,
            "revision": self.revision,
            "create-rev": created,
            "finalizers": [],
            "deleting": False,
        }
        objects[name] = {"metadata": metadata, "spec": spec, "status": None}
        self._tell(kind, objects[name], False)
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self._objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self._tell(kind, item, True)

    def _tell(self, kind: str, item: dict[str, Any], deleted: bool) -> None:
        self._history.append((self.revision, kind, item, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        called = writer.get_extra_info("sockname")[0]
        try:
            while (message := await read_message(reader)) is not None:
                first, _, body = message
                method, target, _ = first.split()
                status, answer = 503, {}
                kind = re.split("[/?]", target.removeprefix("/v1/objects/"))[0]
                if not self.refuses(called, kind):
                    status, answer = await self._answer(method, target, body, called)
                if self.loses(method, target, called):
                    call_text = f"{method} {target} at {called}"
                    self._record.write(f"store: the answer to {call_text} is lost")
                    # The connection returns nothing further, and isn't closed.
                    while await reader.read(65_536):
                        pass
                    break
                data = json.dumps(answer).encode()
                said = {"Content-Type": "application/json"}
                writer.write(encode_answer(status, said, data))
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, method: str, target: str, body: bytes, called: str
    ) -> tuple[int, Any]:
        path, _, query_text = target.partition("?")
        kind, _, name = path.removeprefix("/v1/objects/").partition("/")
        query = dict(pair.split("=") for pair in query_text.split("&") if pair)
        objects = self._objects.setdefault(kind, {})
        if method == "GET" and name:
            return (200, objects[name]) if name in objects else (404, {})
        if method == "GET" and "watch" in query:
            return await self._watch(kind, query, called)
        if method == "GET":
            names = sorted(n for n in objects if n > query.get("after", ""))
            items = [objects[n] for n in names]
            return 200, {"items": items, "more": False, "current-rev": self.revision}
        if method == "DELETE":
            if name not in objects:
                return 404, {}
            self.remove(kind, name)
            return 200, {}
        document = json.loads(body)
        name = name or document["metadata"]["name"]
        if method == "POST" and name in objects:
            return 409, objects[name]
        if method == "PUT" and name not in objects:
            return 404, {}
        self.write(kind, name, document.get("spec"))
        return 200, objects[name]

    async def _watch(
        self, kind: str, query: dict[str, str], called: str
    ) -> tuple[int, Any]:
        ends_at = time.monotonic() + min(30.0, int(query.get("wait-ms", "0")) / 1000)
        while True:
            changed = self._changed
            events = [
                {"object": item, "deleted": deleted}
                for at, of, item, deleted in self._history
                if of == kind and at > int(query["watch"])
            ]
            left_s = ends_at - time.monotonic()
            if self.refuses(called, kind):
                return 503, {}
            if events or left_s <= 0:
                return 200, {"events": events, "current-rev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), min(left_s, 0.25))
            except TimeoutError:
                continue


# Servers


class Server:
    """A sound backend server that registers itself, and does a request's work.

    Attributes
    ----------
    arrivals : list of tuple of (float, str, str)
        When requests reached it, with their ids and what became of them.
    """

    def __init__(
        self,
        record: Record,
        store: Store,
        *,
        name: str,
        service: str,
        ip: str,
        zone: str,
        slots: int = 8,
        work_s: float = 0.03,
    ) -> None:
        self.name, self.service, self.zone = name, service, zone
        self.address = (ip, SERVER)
        self.slots, self.work_s = slots, work_s
        self.arrivals: list[tuple[float, str, dict[str, str]]] = []
        self.state = "ready"
        self.is_leaving = False
        self.running = 0
        self.born = int(time.time() * 1000)
        self._record, self._store = record, store
        self._seq = 0
        self._listener: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._beats: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen and register."""
        self._listener = await asyncio.start_server(self._accept, *self.address)
        self._beats = asyncio.create_task(self._beat())
        await asyncio.sleep(0)

    async def stop(self) -> None:
        """End the process: what runs is cut, nothing listens any more."""
        if self._listener is not None:
            self._listener.close()
        for task in [*self._tasks]:
            task.cancel()

    def end_beats(self) -> None:
        """Write no entries from now on."""
        if self._beats is not None:
            self._beats.cancel()

    def register(self) -> int:
        """Write the entry; return the store's revision."""
        self._seq += 1
        spec = {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup-left-ms": 0,
            "seq": self._seq,
            "born": self.born,
        }
        return self._store.write("servers", self.name, spec)

    async def _beat(self) -> None:
        self.register()
        # Servers don't write at the same moments.
        await asyncio.sleep(random.uniform(0.0, HEARTBEAT_S))
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while (message := await read_message(reader)) is not None:
                if not await self._answer(message, reader, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _answer(
        self,
        message: tuple[str, dict[str, str], bytes],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        first, headers, _ = message
        request_id = headers.get("x-rosemarystream-attempt-id", "")
        said = {
            "X-Rosemarystream-Attempt-Id": request_id,
            "X-Rosemarystream-Instance-Id": self.name,
            "X-Rosemarystream-Server-Load": f"{self.running},0,{self.slots}",
            "Keep-Alive": "timeout=5",
        }
        if self.is_leaving:
            said["Server-Leaving"] = "1"
            said["Connection"] = "close"
        expected = headers.get("x-rosemarystream-expect-instance", self.name)
        if expected != self.name:
            writer.write(encode_answer(421, said, b""))
            return True
        if not request_id:
            said["X-Rosemarystream-Not-Executed"] = "1"
            writer.write(encode_answer(400, said, b""))
            return True
        self.arrivals.append((time.monotonic(), request_id, headers))
        self._record.write(f"{self.name}: {first!r} {request_id} arrives and runs")
        self.running += 1
        try:
            await self.work(request_id, headers, said, reader, writer)
        finally:
            self.running -= 1
        return not self.is_leaving

    async def work(
        self,
        request_id: str,
        headers: dict[str, str],
        said: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Do the work of a request and answer it."""
        await asyncio.sleep(self.work_s)
        said["X-Rosemarystream-Response-Seal"] = f"seal.{self.name}.{request_id}"
        writer.write(encode_answer(200, said, f"done {request_id}".encode()))


# Hosts

_FIELD = re.compile(r"\{\{([\w.-]+)(\|json)?\}\}")
_SECTION = re.compile(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)


def _find(fields: dict[str, Any], name: str) -> Any:
    if name in fields:
        return fields[name]
    whole, _, place = name.rpartition(".")
    found = fields.get(whole)
    return found[int(place)] if isinstance(found, list) else None


def _render(template: str, fields: dict[str, Any]) -> str:
    """Fill a template in as DEPLOY.md tells it, as far as this project's needs it."""

    def fill(match: re.Match[str]) -> str:
        value = _find(fields, match.group(1))
        if match.group(2) or isinstance(value, bool):
            return json.dumps(value)
        return "" if value is None else str(value)

    def keep(match: re.Match[str]) -> str:
        return match.group(2) if _find(fields, match.group(1)) else ""

    return _FIELD.sub(fill, _SECTION.sub(keep, template))


class Host:
    """An entry host: the `run` line of the deploy file in a process of its own."""

    def __init__(
        self,
        rig: "Rig",
        *,
        name: str,
        ip: str,
        zone: str,
        seeds: list[str],
        peer_port: int,
    ) -> None:
        self.name, self.ip, self.zone = name, ip, zone
        self.peer_port = peer_port
        self.front = (ip, FRONT)
        # Where it calls the store.
        self.store_ip = rig.take_ip()
        self.process: asyncio.subprocess.Process | None = None
        self._rig = rig
        self._fields = {
            "node": name,
            "zone": zone,
            "ip": ip,
            "listen.front": f"{ip}:{FRONT}",
            "listen.ready": f"{ip}:{READY}",
            "listen.control": f"{ip}:{CONTROL}",
            "internal-port-range": [peer_port, peer_port + 15],
            "seeds": [f"{seed}:{CONTROL}" for seed in seeds],
            "bootstrap": True,
            "platform.address": f"{self.store_ip}:{STORE}",
            "limits.memory-mb": 300,
            "limits.max-fds": 4100,
            **{f"bounds.{name}": value for name, value in rig.bounds.items()},
        }

    async def start(self) -> None:
        """Start the process."""
        template = (ROOT / "deploy" / "settings.toml").read_text()
        settings = self._rig.folder / f"{self.name}.toml"
        settings.write_text(_render(template, self._fields))
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["ROSEMARYSTREAM_SETTINGS"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = (self._rig.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "deploy/launch.py",
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        self._fields["bootstrap"] = False
        self._rig.record.write(f"host {self.name} started, process {self.process.pid}")

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, unless it has ended."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def wait_ready(self, wait_s: float = 20.0) -> None:
        """Wait until the host says that it is ready."""
        ends_at = time.monotonic() + wait_s
        while time.monotonic() < ends_at:
            headers = {"Host": "ready"}
            reply = await call(
                (self.ip, READY), "GET", "/v1/readyz", headers, wait_s=1.0
            )
            if reply.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"host {self.name} isn't ready after {wait_s} s")

    def read_log(self) -> str:
        """Return what the process has written."""
        return (self._rig.folder / f"{self.name}.log").read_text()


class Cut:
    """The way between two groups of hosts, which can be cut.

    The hosts of a group have the same port for each other. What one sends to a host of
    the other group goes to its own port at that host's address, where a proxy of this
    class passes it on to the port of that host, or drops it.
    """

    def __init__(self) -> None:
        self.is_cut = False
        self.dropped = 0

    async def start(self, hosts: list["Host"], ports: list[int]) -> None:
        """Listen for all hosts, at the ports of the other groups."""
        for host in hosts:
            for port in ports:
                if port != host.peer_port:
                    await self._listen((host.ip, port), (host.ip, host.peer_port))

    async def _listen(self, at: tuple[str, int], to: tuple[str, int]) -> None:
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: _DatagramProxy(self, to), local_addr=at
        )

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._pass_on(reader, writer, to)

        await asyncio.start_server(serve, *at)

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        to: tuple[str, int],
    ) -> None:
        other: asyncio.StreamWriter | None = None
        try:
            while self.is_cut:
                await asyncio.sleep(0.1)
            answers, other = await asyncio.open_connection(*to)
            await asyncio.gather(self._copy(reader, other), self._copy(answers, writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for opened in (writer, other):
                if opened is not None:
                    opened.close()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65_536):
            while self.is_cut:
                await asyncio.sleep(0.1)
            writer.write(data)
            await writer.drain()
        writer.write_eof()


class _DatagramProxy(asyncio.DatagramProtocol):
    def __init__(self, cut: Cut, to: tuple[str, int]) -> None:
        self._cut, self._to = cut, to
        self._out = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        if self._cut.is_cut:
            self._cut.dropped += 1
        else:
            self._out.sendto(data, self._to)


class CannotRunError(Exception):
    """The case can't be run here."""


class Rig:
    """A small deployment on loopback."""

    def __init__(self, case: Path, folder: Path) -> None:
        self.case = case
        self.folder = folder
        self.record = Record(case / "record.txt")
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.bounds: dict[str, Any] = {
            "grace-s": 8,
            "retry-budget-ratio": 0.2,
            "budget-window-s": 10,
            "budget-slack": 56,
            "cap-x": 2,
        }
        self._net = _take_network()
        self._last = 1
        self.store = Store(self.record, self.take_ip())
        self.hosts: list[Host] = []
        self.servers: list[Server] = []
        self._numbers = random.Random(self._net)

    def take_ip(self) -> str:
        """Return an address that nothing else uses."""
        self._last += 1
        return f"{self._net}.{self._last}"

    def add_host(self, name: str, zone: str, *, peer_port: int = PEER) -> Host:
        """Add a host, not started yet."""
        seeds = [host.ip for host in self.hosts[:3]]
        host = Host(
            self,
            name=name,
            ip=self.take_ip(),
            zone=zone,
            seeds=seeds,
            peer_port=peer_port,
        )
        self.hosts.append(host)
        return host

    def add_server(self, name: str, service: str, zone: str, **changes: Any) -> Server:
        """Add a server, not started yet."""
        kind = changes.pop("kind", Server)
        server = kind(
            self.record,
            self.store,
            name=name,
            service=service,
            ip=self.take_ip(),
            zone=zone,
            **changes,
        )
        self.servers.append(server)
        return server

    def make_id(self) -> str:
        """Return the id of a new attempt."""
        return f"{self._numbers.getrandbits(64):016x}"

    async def start(self) -> None:
        """Start the store, the servers and the hosts, and wait until all are ready."""
        await self.store.start([host.store_ip for host in self.hosts])
        for server in self.servers:
            await server.start()
        for host in self.hosts:
            await host.start()
        for host in self.hosts:
            await host.wait_ready()
        self.record.write("all hosts are ready")

    async def stop(self) -> None:
        """Kill the processes that this case has started."""
        for host in self.hosts:
            host.send(signal.SIGCONT)
            host.send(signal.SIGKILL)
            if host.process is not None:
                await host.process.wait()


def _take_network() -> str:
    """Return the first three numbers of a free network in the loopback range."""
    for _ in range(50):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            with socket.socket() as probe:
                probe.bind((f"{net}.2", STORE))
            return net
        except OSError:
            continue
    raise CannotRunError("no free network on loopback")


def make_route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    route = {
        "name": f"r-{name}",
        "host": "ficu95.example",
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 1500,
        "slo-ms": 100,
        "priority": 2,
        "service": service,
        "max-attempts": 2,
        "allow-anonymous": False,
        "sticky": False,
        "resumable": False,
    }
    return {**route, **changes}


def make_configuration(
    version: int,
    routes: list[dict[str, Any]],
    services: list[str],
    tenants: list[dict[str, Any]],
) -> dict[str, Any]:
    """Return a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health-path": "/healthz",
                "max-connections": 110,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15_000,
        },
        "tenants": tenants,
    }


def run_case(
    file: str, play: Callable[[Rig], Awaitable[bool]], *, most_s: float = 110.0
) -> None:
    """Play a case and exit: 0 if the rule held, 1 if it was broken, 2 if it can't run.

    `play` returns whether the rule held.
    """
    case = Path(file).resolve().parent
    with tempfile.TemporaryDirectory(prefix="rig-") as folder:
        code = asyncio.run(_run(case, Path(folder), play, most_s))
    sys.exit(code)


async def _run(
    case: Path, folder: Path, play: Callable[[Rig], Awaitable[bool]], most_s: float
) -> int:
    rig = Rig(case, folder)
    try:
        async with asyncio.timeout(most_s):
            has_held = await play(rig)
    except (CannotRunError, TimeoutError, OSError) as error:
        rig.record.write(f"the case can't run: {type(error).__name__}: {error}")
        return NOT_RUN
    finally:
        await rig.stop()
    rig.record.write("the rule HELD" if has_held else "the rule was BROKEN")
    return HOLDS if has_held else BROKEN
