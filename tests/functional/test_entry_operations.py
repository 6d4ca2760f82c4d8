"""Operator interfaces of an entry host: state dump, metrics, logs, reload."""

import signal
import subprocess

import gevent
import msgspec
import pytest
from gevent import socket
from prometheus_client.parser import text_string_to_metric_families

from rosemarystream._internal.cli.host import describe_state
from rosemarystream._internal.gateway.metrics import StatsdSender
from rosemarystream._internal.operators.tracing import read_entries, trace_request
from standins.backend_server import Fault
from tests.lib.entry_world import KEY, METRICS_PORT, Caller, World, get, wait_until
from tests.lib.host_process import make_single_host

STREAM_HEADERS = (
    ("X-Rosemarystream-Model", "m"),
    ("X-Rosemarystream-Prompt-Prefix", "a:9,b:1"),
)


@pytest.fixture
def world():
    created = World()
    created.add_server("p1")
    created.add_server("e1", "engines")
    yield created
    created.stop()


@pytest.fixture
def host(world):
    created = world.add_host("h1")
    wait_until(lambda: len(created.list_servers()) == 2)
    return created


@pytest.fixture
def start(world, tmp_path):
    """Start entry hosts as processes of their own."""
    started = []

    def start_host(**changes):
        process = make_single_host(world, tmp_path, **changes)
        process.start()
        started.append(process)
        wait_until(process.is_ready)
        return process

    yield start_host
    for process in started:
        process.stop()


def read_metrics(host):
    text = get(host.ip, METRICS_PORT, "/metrics").body.decode()
    return {
        (sample.name, *sample.labels.values()): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


def test_metrics_count_requests_and_describe_the_state(host):
    host.call("/look/1")
    host.call("/none/1")
    metrics = read_metrics(host)
    assert metrics["rosemarystream_requests_total", "answered"] == 1
    assert metrics["rosemarystream_requests_total", "not_found"] == 1
    assert metrics["rosemarystream_request_seconds_count",] == 2
    assert metrics["rosemarystream_servers_ready", "plain"] == 1
    assert metrics["rosemarystream_configuration_version",] == 3
    assert metrics["rosemarystream_store_calls_total", "200"] >= 2


def test_the_state_dump_describes_the_state_without_keys(host):
    body = get(host.ip, METRICS_PORT, "/v1/state").body
    dump = msgspec.json.decode(body)
    assert dump["ready"] is True
    assert dump["workspaces"] == ["w1"]
    assert dump["servers"]["p1"]["state"] == "ready"
    assert KEY.encode() not in body
    text = "\n".join(describe_state(dump))
    assert "h1 in a, ready" in text
    assert "service plain: 1 servers ready" in text


def test_statsd_receives_counter_increments(host):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind((host.ip, 0))
        server.settimeout(2)
        sender = StatsdSender(
            address=server.getsockname(), host="h1", metrics=host.gateway._metrics
        )
        host.call("/look/1")
        sender.send()
        sender.send()
        text = b""
        with gevent.Timeout(0.5, False):
            while True:
                text += server.recv(65_536) + b"\n"
    counts = [
        line.rpartition(b":")[2]
        for line in text.splitlines()
        if line.startswith(b"rosemarystream.h1.requests_total.answered:")
    ]
    assert counts == [b"1.0|c", b"0.0|c"]


def test_a_reload_logs_its_changes_in_one_record(start):
    host = start()
    text = host.settings.read_text()
    text = text.replace("shutdown_ms = 3000", "shutdown_ms = 2500")
    text = text.replace(str(METRICS_PORT), str(METRICS_PORT + 9))
    host.settings.write_text(text)
    host.send(signal.SIGHUP)

    def list_reloads():
        return [
            x.entry for x in read_entries([host.log]) if x.message.startswith("sett")
        ]

    wait_until(list_reloads)
    (entry,) = list_reloads()
    assert "bounds.shutdown_ms: 3000 to 2500" in entry.changed
    (late,) = entry.at_next_start
    assert late.startswith("host.metrics_port")


def test_an_invalid_reload_keeps_the_settings(start):
    host = start()
    host.settings.write_text("[host]\n")
    host.send(signal.SIGHUP)
    wait_until(
        lambda: any(
            x.message == "settings not reloaded" for x in read_entries([host.log])
        )
    )
    assert host.is_ready()


def test_a_request_is_traced_in_the_log_of_a_real_process(world, start):
    host = start()
    caller = Caller(host.ip)
    request_id = caller.send("/look/1")
    assert caller.read().status == 200
    caller.close()
    wait_until(lambda: trace_request(request_id, [host.log]).entries)
    trace = trace_request(request_id, [host.log])
    assert "passed on the answer 200 of p1" in trace.summary
    assert KEY not in host.log.read_text()


def trace_in(host, request_id):
    wait_until(lambda: trace_request(request_id, [host.log]).entries)
    return trace_request(request_id, [host.log])


def call(host, path, **changes):
    caller = Caller(host.ip)
    request_id = caller.send(path, **changes)
    reply = caller.read()
    caller.close()
    return request_id, reply


def test_a_refusal_is_traced_to_servers_that_cannot_be_reached(world, start):
    host = start()
    world.servers["p1"].stop()
    request_id, reply = call(host, "/book/1")
    assert reply.status == 503
    trace = trace_in(host, request_id)
    assert "ended it as no_backend, status 503" in trace.summary
    assert "has not run and never will; p1 could not be reached" in trace.summary
    assert "server ejected" in [entry.message for entry in trace.context]


def test_a_stream_that_ends_early_is_traced_to_its_server(world, start):
    host = start()
    world.servers["e1"].faults = [Fault.CUT]
    request_id, reply = call(host, "/brief/1", headers=STREAM_HEADERS)
    assert not reply.complete
    trace = trace_in(host, request_id)
    assert "ended it as stream_broken, status 200" in trace.summary
    assert "e1 broke off" in trace.summary
    assert "closed before its answer was whole" in trace.summary


def test_an_unknown_outcome_is_traced_to_the_server_that_may_have_run_it(world, start):
    host = start()
    world.servers["p1"].faults = [Fault.CLOSE]
    request_id, reply = call(host, "/book/1")
    assert reply.status == 502
    trace = trace_in(host, request_id)
    assert "it may have run; the records of p1 show whether it did" in trace.summary
    assert [run.request_id for run in world.servers["p1"].runs] == [request_id]


def test_a_blocked_standard_output_does_not_affect_requests(start):
    # Nothing reads the pipe, which holds some 64 KiB: about 150 log lines.
    host = start(stdout=subprocess.PIPE)
    caller = Caller(host.ip)
    statuses = [caller.call("/look/1").status for _ in range(600)]
    caller.close()
    assert statuses == [200] * 600
    assert host.is_ready()
    host.send(signal.SIGTERM)
    assert host.process.wait(timeout=10) == 0
