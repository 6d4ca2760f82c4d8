"""Steps for bad input and for the command line."""

import os
import socket
import subprocess
import sys
import time

import msgspec
from behave import then

from standins.calls import make_headers, request
from standins.fleet import OPERATOR_KEY, WORKSPACE_KEY
from standins.sheets import write_sheet

TURN = {"pool": "lm", "prompt": "hello", "max_tokens": 2, "stream": False}
PATH = "/v1/chats/c1/turns"
VALID_HEADERS = make_headers("depot", WORKSPACE_KEY)


def send(context, expected, kind, body=TURN, path=PATH, headers=VALID_HEADERS):
    reply = request("POST", context.hosts[0].address, path, body, headers)
    assert reply.status == expected, (kind, reply)
    if kind is not None:
        assert reply.json()["error"] == kind, reply.body


def send_raw(context, data, wait=True):
    host, port = context.hosts[0].address.split(":")
    with socket.create_connection((host, int(port)), timeout=20) as connection:
        connection.sendall(data)
        if not wait:
            return b""
        received = b""
        while chunk := connection.recv(4096):
            received += chunk
            if b"\r\n\r\n" in received:
                break
        return received


@then("each bad request gets its error and no host suffers")
def check_bad_requests(context):
    send(context, 400, "bad_request", headers={})
    send(context, 404, "not_found", headers=make_headers("nobody", WORKSPACE_KEY))
    send(context, 401, "unauthorized", headers=make_headers("depot", "wrong"))
    send(context, 401, "unauthorized", headers={"X-Workspace": "depot"})
    send(context, 400, "bad_request", headers={**VALID_HEADERS, "X-Rank": "first"})
    send(context, 400, "bad_request", headers={**VALID_HEADERS, "X-Timeout-Ms": "soon"})
    send(context, 404, "not_found", body={**TURN, "pool": "nothing"})
    send(context, 404, "not_found", body={**TURN, "pool": "ledger"})
    send(context, 400, "bad_request", body={**TURN, "extra": 1})
    send(context, 400, "bad_request", body={"pool": "lm"})
    send(context, 413, "too_large", body={**TURN, "max_tokens": 10**9})
    send(context, 413, "too_large", body={**TURN, "prompt": "x" * 1_100_000})
    send(context, 200, None, headers={**VALID_HEADERS, "X-Context-Hint": "forged!"})
    calls = "/v1/services/ledger/calls"
    body = {"payload": {"id": "x"}, "idempotent": False}
    send(context, 400, "bad_request", body=body, path=calls)
    long_key = {**VALID_HEADERS, "Idempotency-Key": "k" * 500}
    send(context, 400, "bad_request", body=body, path=calls, headers=long_key)
    check_raw(context)
    send(context, 200, None)


def check_raw(context):
    head = (
        f"POST {PATH} HTTP/1.1\r\nHost: x\r\nX-Workspace: depot\r\n"
        f"Authorization: Bearer {WORKSPACE_KEY}\r\n"
    ).encode()
    assert b" 400 " in send_raw(context, head + b"Content-Length: 4\r\n\r\n{{{{")
    assert b" 400 " in send_raw(context, b"GARBAGE\r\n\r\n")
    injected = head + b"X-Rank: urgent\r\n X-Evil: 1\r\nContent-Length: 2\r\n\r\n{}"
    assert b" 400 " in send_raw(context, injected)
    send_raw(context, head + b"Content-Length: 100\r\n\r\nhalf", wait=False)
    started = time.monotonic()
    slow = send_raw(context, head + b"Content-Length: 100\r\n\r\nhalf")
    assert b" 400 " in slow, slow
    assert time.monotonic() - started < 10


def run_program(context, *arguments, code=0, operator="root"):
    environment = {
        **os.environ,
        "ROSEMARYSTREAM_OPERATOR": f"{operator}:{OPERATOR_KEY}",
    }
    completed = subprocess.run(
        [sys.executable, "-m", "rosemarystream", *arguments],
        env=environment,
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == code, (arguments, completed)
    assert OPERATOR_KEY not in completed.stdout + completed.stderr
    return completed.stdout


@then("the command line plans, applies, recalls, lifts, shows and drains")
def check_program(context):
    host = ["--host", context.hosts[0].operator_address]
    sheet = context.fleet.folder / "sheet.csv"
    sheet.write_text(write_sheet(workspaces=("depot", "new")))
    run_program(context, "sheet", "check", str(sheet))
    plan = msgspec.json.decode(
        run_program(context, "sheet", "plan", str(sheet), "--json", *host)
    )
    changes = {(change["name"], change["change"]) for change in plan["changes"]}
    assert changes == {("members", "remove"), ("new", "add")}
    base = ["--base", str(plan["base"])]
    run_program(context, "sheet", "apply", str(sheet), *base, *host)
    run_program(context, "sheet", "apply", str(sheet), *base, *host, code=3)
    sheet.write_text("[pools]\nname\n")
    run_program(context, "sheet", "check", str(sheet), code=2)
    added = msgspec.json.decode(
        run_program(context, "recall", "add", "server", "e2", "--json", *host)
    )
    assert "e2" in run_program(context, "recall", "list", *host)
    run_program(context, "recall", "lift", added["recall_id"], *host)
    assert "no recalls" in run_program(context, "recall", "list", *host)
    assert "ready: True" in run_program(context, "status", *host)
    dump = run_program(context, "dump", *host)
    assert "key_sha256" not in dump
    run_program(context, "status", *host, code=1, operator="stranger")
    run_program(context, "status", "--host", "127.0.0.1:9", code=4)
    run_program(context, "drain", *host)
    assert context.hosts[0].wait_end(20) == 0
