"""Fleets of host and stand-in processes for the tests."""

from standins.calls import request
from standins.fleet import OPERATOR_KEY, Fleet, Host
from standins.sheets import write_sheet

ADMIN = {"Authorization": f"Bearer root:{OPERATOR_KEY}"}


def apply_sheet(host: Host, text: str) -> int:
    """Plan and apply a sheet; return its generation."""
    plan = request(
        "POST", host.operator_address, "/v1/sheet/plan", {"sheet": text}, ADMIN
    )
    assert plan.status == 200, plan.body
    body = {"sheet": text, "base": plan.json()["base"]}
    reply = request("POST", host.operator_address, "/v1/sheet/apply", body, ADMIN)
    assert reply.status == 200, reply.body
    return reply.json()["generation"]


def start_fleet(
    *,
    hosts: dict[str, str],
    engines: dict[str, str] | None = None,
    sheet: str | None = None,
    engine_options: dict | None = None,
    proxied: tuple[str, ...] = (),
    proxy_hops: bool = False,
    proxy_peers: bool = False,
    proxy_platform: bool = False,
    **changes: dict,
) -> Fleet:
    """Start stand-ins and hosts, apply a sheet and wait until all are ready.

    Fault proxies are placed in front of the servers named in `proxied`, of the hop
    and control addresses of every host with `proxy_hops` and `proxy_peers`, and,
    one for each host, of the platform with `proxy_platform`.
    """
    fleet = Fleet()
    try:
        for name, centre in (
            engines or {"e1": "dc1", "e2": "dc2", "e3": "dc2"}
        ).items():
            fleet.add_engine(name, centre, **(engine_options or {}))
        fleet.add_service("ledger1", "dc1")
        for name in proxied:
            fleet.proxy_server(name)
        fleet.publish_hosts()
        first = fleet.add_hosts(
            hosts,
            proxy_hops=proxy_hops,
            proxy_peers=proxy_peers,
            proxy_platform=proxy_platform,
            **changes,
        )[0]
        first.wait_open()
        for process in fleet.processes.values():
            process.wait_open()
        apply_sheet(first, sheet or write_sheet())
        fleet.wait_ready()
    except BaseException:
        fleet.__exit__()
        raise
    return fleet
