"""``rosemarystream status``, ``dump`` and ``drain``: inspect or drain one host."""

from dataclasses import dataclass
from typing import Annotated, Any

import cappa

from rosemarystream._internal.cli.base_command import EXIT_OK, print_json
from rosemarystream._internal.cli.operator_command import OperatorCommand, send_request

STATE_PATH = "/v1/state"


@dataclass(kw_only=True)
class StateCommand(OperatorCommand):
    """Base of the commands that show the state of a host of either kind."""

    gateway: Annotated[
        str,
        cappa.Arg(long="--gateway", help="Metrics address of an entry host, IP:PORT."),
    ] = ""

    def read_gateway_state(self) -> Any:
        """Return the state dump of an entry host."""
        return send_request(self.gateway, "GET", STATE_PATH, body=None, headers={})


@cappa.command(
    name="status",
    help="Show a summary of the state of a host.",
    description=(
        "Example: rosemarystream status --gateway 10.0.0.1:9102; or --host "
        "10.0.0.1:7002 --key-file key"
    ),
)
@dataclass(kw_only=True)
class StatusCommand(StateCommand):
    """Shows a summary of the state of a host."""

    def run(self) -> int:
        """Print the summary."""
        if self.gateway:
            dump = self.read_gateway_state()
            self.print_result(dump, describe_state(dump))
            return EXIT_OK
        status = self.call_host("GET", "/v1/status")
        self.print_result(
            status, [f"{name}: {value}" for name, value in status.items()]
        )
        return EXIT_OK


@cappa.command(
    name="dump",
    help="Print the state dump of a host as JSON.",
    description=(
        "Example: rosemarystream dump --gateway 10.0.0.1:9102; or --host "
        "10.0.0.1:7002 --key-file key"
    ),
)
@dataclass(kw_only=True)
class DumpCommand(StateCommand):
    """Prints the state dump of a host."""

    def run(self) -> int:
        """Print the dump as JSON."""
        if self.gateway:
            print_json(self.read_gateway_state())
        else:
            print_json(self.call_host("GET", "/v1/debug/state"))
        return EXIT_OK


def describe_state(dump: dict[str, Any]) -> list[str]:
    """Return the summary of an entry host as lines of text."""
    figures = dump["figures"]
    state = "leaving" if dump["leaving"] else "ready" if dump["ready"] else "not ready"
    store = figures["store_lost_s"]
    lines = [
        f"host: {dump['host']} in {dump['data_centre']}, {state}",
        f"configuration: version {figures['version']}, in force for "
        f"{figures['configuration_age_s']} s",
        f"store: {f'lost for {store} s' if store else 'answers, or others watch it'}",
        f"hosts: {figures['live_hosts']} alive; others' counts are "
        f"{figures['counts_age_s']} s old",
        f"requests in progress: {figures['in_progress']}",
    ]
    if dump["out_of_reach"]:
        lines.append(f"out of reach: {', '.join(dump['out_of_reach'])}")
    # Hosts of an earlier build report no loops.
    lines += [
        f"failing: {loop} for {failing['failing_s']} s ({failing['error']})"
        for loop, failing in dump.get("failing_loops", {}).items()
    ]
    lines += [
        f"service {name}: {service['ready']} servers ready, {service['set_aside']} "
        f"set aside, load {service['load_share']:.0%} of the bound, "
        f"{service['retries_left']} retries left"
        for name, service in figures["services"].items()
    ]
    return lines


@cappa.command(
    name="drain",
    help="Drain a host: it finishes its requests, then its process ends.",
    description="Example: rosemarystream drain --host 10.0.0.1:7002 --key-file key",
)
@dataclass(kw_only=True)
class DrainCommand(OperatorCommand):
    """Drains a host."""

    def run(self) -> int:
        """Request the drain; the host goes on draining after its answer."""
        answer = self.call_host("POST", "/v1/drain", {})
        self.print_result(answer, [f"{self.host} is {answer['state']}"])
        return EXIT_OK
