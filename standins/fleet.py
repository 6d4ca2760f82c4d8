"""Start stand-ins and entry hosts as processes, for tests and demonstrations."""

import hashlib
import itertools
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec

from standins.calls import request_json

START_SECONDS = 15.0
ENGINE_DEFAULTS = {"slots": 8, "token_ms": 5}
WORKSPACE_KEY = "demo-key"
OPERATOR_KEY = "operator-key"
# Ports of one process, below the ephemeral range from which the kernel picks those of
# outgoing connections.
FIRST_PORT, PORTS_OF_PROCESS, PROCESSES = 10_000, 200, 100
_held: list[socket.socket] = []
_ports: list[Iterator[int]] = []

HOST_PROGRAM = os.environ.get(
    "ROSEMARYSTREAM_PROGRAM", f"{sys.executable} -m rosemarystream"
).split()
FAST_TIMES = {
    "peers": {
        "heartbeat_ms": 200,
        "suspect_ms": 800,
        "takeover_ms": 200,
        "remove_ms": 2000,
    },
    "platform": {"timeout_ms": 500, "watch_ms": 2000, "hosts_interval_ms": 200},
    "limits": {
        "poll_ms": 100,
        "poll_bytes_per_second": 100_000,
        "first_token_ms": 3000,
        "between_tokens_ms": 1000,
    },
    "control": {"lease_ms": 1500, "order_flight_ms": 500},
}


def hash_key(key: str) -> str:
    """Return the SHA-256 of a key in hexadecimal, as sheets and settings store it."""
    return hashlib.sha256(key.encode()).hexdigest()


def take_port() -> int:
    """Return a loopback port on which nothing listens."""
    if not _ports:
        _ports.append(itertools.count(_take_ports()))
    while True:
        port = next(_ports[0])
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def _take_ports() -> int:
    """Return the first of the ports that this process uses.

    The port before it is held, so that no other process takes the same ones.
    """
    for offset in range(PROCESSES):
        number = (os.getpid() + offset) % PROCESSES
        first = FIRST_PORT + number * PORTS_OF_PROCESS
        held = socket.socket()
        try:
            held.bind(("127.0.0.1", first))
        except OSError:
            held.close()
            continue
        _held.append(held)
        return first + 1
    raise RuntimeError("the ports of all processes are taken; end other runs")


def wait_until(check: Callable[[], Any], *, seconds: float, what: str) -> Any:
    """Call a check until its result is true and return that result.

    Parameters
    ----------
    seconds : float
        Longest wait in seconds.
    what : str
        Awaited condition, for the message of the AssertionError.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            result = check()
        except OSError:
            result = None
        if result:
            return result
        time.sleep(0.02)
    raise AssertionError(f"not within {seconds} s: {what}")


class Process:
    """A child process that listens on a port."""

    def __init__(self, *, name: str, arguments: list[str], port: int, log: Path):
        self.name = name
        self.port = port
        self.address = f"127.0.0.1:{port}"
        self._arguments = arguments
        self._log = log
        self.child: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process without waiting; see `wait_open`."""
        with self._log.open("ab") as log:
            self.child = subprocess.Popen(self._arguments, stdout=log, stderr=log)

    def wait_open(self) -> None:
        """Wait until the process listens on its port."""
        wait_until(self._is_open, seconds=START_SECONDS, what=f"{self.name} listens")

    def _is_open(self) -> bool:
        if self.child is not None and self.child.poll() is not None:
            raise AssertionError(f"{self.name} ended:\n{self.read_log()[-2000:]}")
        with socket.create_connection(("127.0.0.1", self.port), timeout=1):
            return True

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.child is not None
        self.child.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.child is not None and self.child.poll() is None:
            self.child.kill()
            self.child.wait()

    def wait_end(self, seconds: float) -> int:
        """Wait for the process to end and return its exit code."""
        assert self.child is not None
        return self.child.wait(timeout=seconds)

    def read_log(self) -> str:
        """Return the output of the process so far."""
        return self._log.read_text(errors="replace")

    def control(self, **body: Any) -> Any:
        """Set attributes of a stand-in; without any, return its counters."""
        if body:
            return request_json("POST", self.address, "/control", body)
        return request_json("GET", self.address, "/control")


class Host(Process):
    """The process of an entry host."""

    def __init__(self, *, settings: dict[str, Any], log: Path, file: Path):
        address = settings["host"]["caller_address"]
        arguments = [*HOST_PROGRAM, "serve"]
        super().__init__(
            name=settings["host"]["name"],
            arguments=[*arguments, "--settings", str(file)],
            port=int(address.rpartition(":")[2]),
            log=log,
        )
        self.settings = settings
        self.operator_address = settings["host"]["operator_address"]
        file.write_text(write_toml(settings))
        self.file = file

    def dump(self) -> dict[str, Any]:
        """Return the state dump of the host."""
        return request_json(
            "GET",
            self.operator_address,
            "/v1/debug/state",
            headers={"Authorization": f"Bearer root:{OPERATOR_KEY}"},
        )

    @property
    def peer_address(self) -> str:
        """Control address at which other hosts reach this one."""
        section = self.settings["host"]
        return section.get("advertised_peer_address", section["peer_address"])

    def is_ready(self) -> bool:
        """Return whether the host reports that it is ready for callers."""
        return request_json("GET", self.address, "/health/ready")["state"] == "ready"


def write_toml(settings: dict[str, Any]) -> str:
    """Return settings as TOML; each section holds plain values or a list of tables."""
    lines = []
    for section, values in settings.items():
        tables = values if isinstance(values, list) else [values]
        header = f"[[{section}]]" if isinstance(values, list) else f"[{section}]"
        for table in tables:
            lines.append(header)
            lines += [
                f"{k} = {msgspec.json.encode(v).decode()}" for k, v in table.items()
            ]
    return "\n".join(lines) + "\n"


class Fleet:
    """Stand-ins and entry hosts on loopback.

    Used as a context manager, it kills all processes at the end.
    """

    def __init__(self, *, region: str = "vestland") -> None:
        self.region = region
        self.folder = Path(tempfile.mkdtemp(prefix="fleet-"))
        self.processes: dict[str, Process] = {}
        self.servers: dict[str, dict[str, Any]] = {}
        self.proxies: dict[str, ProxyHandle] = {}
        self.platform = self._add_standin("platform", "platform")

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *args: object) -> None:
        for process in self.processes.values():
            process.kill()

    def _add_standin(
        self, kind: str, name: str, options: dict[str, Any] | None = None
    ) -> Process:
        port = take_port()
        arguments = [sys.executable, "-m", "standins", kind, str(port)]
        if options is not None:
            arguments.append(msgspec.json.encode(options).decode())
        process = Process(
            name=name, arguments=arguments, port=port, log=self.folder / f"{name}.log"
        )
        process.start()
        self.processes[name] = process
        return process

    def add_engine(
        self, name: str, data_centre: str, *, pool: str = "lm", **options: Any
    ) -> Process:
        """Start a model engine; `publish_hosts` puts it on the host list."""
        engine = self._add_standin(
            "engine", name, {**ENGINE_DEFAULTS, **options, "name": name}
        )
        self._register_server(engine, data_centre, pool, options)
        return engine

    def add_service(
        self, name: str, data_centre: str, *, pool: str = "ledger", **options: Any
    ) -> Process:
        """Start a plain service; `publish_hosts` puts it on the host list."""
        service = self._add_standin("service", name, {**options, "name": name})
        self._register_server(service, data_centre, pool, options)
        return service

    def _register_server(
        self, process: Process, data_centre: str, pool: str, options: dict[str, Any]
    ) -> None:
        self.servers[process.name] = {
            "name": process.name,
            "pool": pool,
            "data_centre": data_centre,
            "region": self.region,
            "address": process.address,
            "incarnation": options.get("incarnation", 1),
            "leaving": False,
        }

    def add_proxy(self, name: str, target: str) -> "ProxyHandle":
        """Start a fault proxy in front of an address."""
        control_port = take_port()
        options = {"control_port": control_port, "target": target}
        process = self._add_standin("proxy", f"proxy-{name}", options)
        handle = ProxyHandle(process, f"127.0.0.1:{control_port}")
        self.proxies[name] = handle
        return handle

    def proxy_server(self, name: str) -> "ProxyHandle":
        """Put a fault proxy in front of a server of the host list."""
        row = self.servers[name]
        proxy = self.add_proxy(name, row["address"])
        row["address"] = proxy.address
        return proxy

    def publish_hosts(self, lag_ms: int = 0) -> None:
        """Publish the servers on the platform's host list, `lag_ms` later."""
        self.platform.wait_open()
        body = {"servers": list(self.servers.values()), "lag_ms": lag_ms}
        request_json("POST", self.platform.address, "/hosts", body)

    def set_fault(self, mode: str, delay_ms: int = 0) -> None:
        """Set the fault mode of the platform."""
        body = {"mode": mode, "delay_ms": delay_ms}
        request_json("POST", self.platform.address, "/faults", body)

    def make_host(
        self, name: str, data_centre: str, seeds: list[str], **changes: dict[str, Any]
    ) -> Host:
        """Create a host without starting it; `changes` override its settings."""
        address = f"127.0.0.1:{take_port()}"
        settings: dict[str, Any] = {
            "host": {
                "name": name,
                "data_centre": data_centre,
                "region": self.region,
                "caller_address": f"127.0.0.1:{take_port()}",
                "operator_address": f"127.0.0.1:{take_port()}",
                "peer_address": address,
                "hop_address": f"127.0.0.1:{take_port()}",
            },
            "platform": {"address": self.platform.address},
            "peers": {"seeds": seeds},
            "operators": [
                {"name": "root", "role": "admin", "key_sha256": hash_key(OPERATOR_KEY)}
            ],
        }
        for section, values in (*FAST_TIMES.items(), *changes.items()):
            settings[section] = {**settings.get(section, {}), **values}
        host = Host(
            settings=settings,
            log=self.folder / f"{name}.log",
            file=self.folder / f"{name}.toml",
        )
        self.processes[name] = host
        return host

    def add_hosts(
        self,
        names: dict[str, str],
        *,
        proxy_hops: bool = False,
        proxy_peers: bool = False,
        proxy_platform: bool = False,
        **changes: dict[str, Any],
    ) -> list[Host]:
        """Start hosts that are seeds of each other.

        Parameters
        ----------
        names : dict of str to str
            Data centre of each host by the host's name.
        proxy_hops, proxy_peers, proxy_platform : bool
            Whether fault proxies carry hops, control connections, and calls to
            the platform.
        """
        hosts = [self.make_host(name, dc, [], **changes) for name, dc in names.items()]
        for host in hosts:
            section = host.settings["host"]
            if proxy_hops:
                proxy = self.add_proxy(f"hop-{host.name}", section["hop_address"])
                section["advertised_hop_address"] = proxy.address
            if proxy_peers:
                proxy = self.add_proxy(f"peer-{host.name}", section["peer_address"])
                section["advertised_peer_address"] = proxy.address
            if proxy_platform:
                proxy = self.add_proxy(f"platform-{host.name}", self.platform.address)
                host.settings["platform"]["address"] = proxy.address
        seeds = [host.peer_address for host in hosts]
        for host in hosts:
            host.settings["peers"]["seeds"] = seeds
            host.file.write_text(write_toml(host.settings))
        for proxy in self.proxies.values():
            proxy.process.wait_open()
        for host in hosts:
            host.start()
        return hosts

    def hosts(self) -> Iterator[Host]:
        """Yield all entry hosts."""
        return (p for p in self.processes.values() if isinstance(p, Host))

    def wait_ready(self) -> None:
        """Wait until all hosts are ready for callers."""
        for host in self.hosts():
            host.wait_open()
            wait_until(host.is_ready, seconds=START_SECONDS, what=f"{host.name} ready")

    def stop_host(self, host: Host, seconds: float = 30.0) -> int:
        """Shut a host down by SIGTERM and return its exit code."""
        host.signal(signal.SIGTERM)
        return host.wait_end(seconds)


class ProxyHandle:
    """Handle of a running fault proxy."""

    def __init__(self, process: Process, control_address: str) -> None:
        self.process = process
        self.address = process.address
        self._control_address = control_address

    def set_fault(self, mode: str, **options: Any) -> Any:
        """Set the fault for new connections, with ``open=True`` for open ones too."""
        body = {"mode": mode, **options}
        return request_json("POST", self._control_address, "/control", body)
