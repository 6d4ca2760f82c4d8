"""Greenlets whose unexpected errors nobody would notice."""

import ast
from pathlib import Path

import rosemarystream

INTERNAL = Path(rosemarystream.__file__).parent / "_internal"
# Names by which gevent starts a greenlet.
STARTERS = frozenset(
    {
        "Greenlet",
        "apply_async",
        "map_async",
        "spawn",
        "spawn_later",
        "spawn_raw",
        "start_later",
        "start_new_thread",
        # Modules whose import counts, as their names occur in other senses too.
        "gevent.greenlet",
        "gevent.pool",
        "gevent.threadpool",
    }
)
# Servers start one greenlet a connection, signal handlers one a signal.
HANDLERS = frozenset({"StreamServer", "WSGIServer", "DatagramServer", "signal_handler"})
# The entry host's code, with the modules that it uses.
ENTRY_HOST = ("gateway/", "utils/", "decisions/", "models/", "platform/store.py")
# Each reports unexpected errors: the supervisor logs and counts them, the sender hands
# them to the reader of the answer.
ALLOWED_STARTS = {
    "gateway/supervisor.py": ["spawn", "spawn_later"],
    "utils/remainder_sender.py": ["spawn"],
}
# The pulls' server runs its handler as a task, and so does SIGHUP. The handlers of
# SIGTERM and SIGINT only set an event.
ALLOWED_HANDLERS = {
    "gateway/listener.py": ["StreamServer"],
    "gateway/process.py": ["signal_handler"] * 3,
    "gateway/state_pulls.py": ["StreamServer"],
}
# Other programs than the entry host; they have no supervisor.
OTHER_STARTS = {
    "backends/orders.py": ["spawn"],
    "backends/poller.py": ["gevent.pool", "spawn", "spawn"],
    "host.py": ["spawn", "spawn"],
    "peers/transport.py": ["spawn"],
    "platform/call_runner.py": ["spawn"],
    "platform/recall_keeper.py": ["spawn"],
    "platform/watcher.py": ["spawn", "spawn", "spawn"],
}


def list_calls(source, names):
    """Return the names in a module's code that are called or passed on."""
    found = []
    for node in ast.walk(ast.parse(source)):
        name = getattr(node, "attr", None) or getattr(node, "id", None)
        is_loaded = isinstance(getattr(node, "ctx", None), ast.Load)
        if is_loaded and name in names:
            found.append(name)
        if isinstance(node, ast.ImportFrom) and node.module == "gevent":
            found += [x.name for x in node.names if x.name in names]
        if isinstance(node, ast.ImportFrom) and node.module in names:
            found.append(node.module)
    return sorted(found)


def list_annotations(source):
    """Return the names that occur in type annotations, which start nothing."""
    found = []
    for node in ast.walk(ast.parse(source)):
        for field in ("annotation", "returns"):
            annotation = getattr(node, field, None)
            if annotation is not None:
                found += list_calls(ast.unparse(annotation), STARTERS)
    return found


def find_starts(names):
    found = {}
    for path in sorted(INTERNAL.rglob("*.py")):
        source = path.read_text()
        calls = list_calls(source, names)
        for name in list_annotations(source):
            if name in calls:
                calls.remove(name)
        if calls:
            found[str(path.relative_to(INTERNAL))] = calls
    return found


def is_of_entry_host(path):
    return path.startswith(ENTRY_HOST)


def test_greenlets_of_an_entry_host_are_started_by_the_supervisor():
    starts = find_starts(STARTERS)
    found = {path: x for path, x in starts.items() if is_of_entry_host(path)}
    assert found == ALLOWED_STARTS


def test_handlers_of_an_entry_host_are_known():
    handlers = find_starts(HANDLERS)
    found = {path: x for path, x in handlers.items() if is_of_entry_host(path)}
    assert found == ALLOWED_HANDLERS


def test_other_programs_start_no_further_greenlets():
    starts = find_starts(STARTERS)
    found = {path: x for path, x in starts.items() if not is_of_entry_host(path)}
    assert found == OTHER_STARTS


def test_the_search_finds_each_way_to_start_a_greenlet():
    for line in (
        "gevent.spawn(run)",
        "start = gevent.spawn\nstart(run)",
        "from gevent import spawn",
        "gevent.spawn_later(1.0, run)",
        "gevent.Greenlet(run).start()",
        "Greenlet.spawn(run)",
        "map(gevent.spawn, runs)",
        "from gevent.pool import Pool",
    ):
        assert list_calls(line, STARTERS), line
    assert list_calls("gevent.sleep(1)", STARTERS) == []
