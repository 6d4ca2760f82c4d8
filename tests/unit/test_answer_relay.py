"""A stream's events are relayed without keeping other requests waiting."""

import time
from types import SimpleNamespace

import gevent

from rosemarystream._internal.gateway.answer_relay import AnswerRelay
from rosemarystream._internal.utils.loop_share import MAX_USE_S

REPEATED_EVENTS = b"id: 1\ndata: x\n\n" * 50_000
# Share of the loop that a greenlet may exceed its own by: one step, and the pause.
SLACK = 5


def make_relay():
    answer = SimpleNamespace(
        has_begun=False,
        was_blocked=False,
        send_head=lambda *a: None,
        end=lambda: None,
        hold=lambda size: None,
    )
    router = SimpleNamespace(record_outcome=lambda *a, **b: None)
    crashes = SimpleNamespace(record_answer=lambda *a: None)
    route = SimpleNamespace(resumable=True, objective_s=1.0, gap_objective_s=1.0)
    return AnswerRelay(
        call=SimpleNamespace(last_event_id=b"1"),
        route=route,
        shared_parts=(),
        deadline=time.monotonic() + 10,
        answer=answer,
        router=router,
        crashes=crashes,
        clock=time.monotonic,
        on_event=lambda: None,
        on_progress=lambda: None,
        leave_unresponsive=lambda: True,
    )


def test_a_piece_with_thousands_of_events_leaves_the_loop_to_others():
    pieces = [REPEATED_EVENTS, None]
    attempt = SimpleNamespace(read_piece=lambda at: pieces.pop(0), endpoint=None)
    head = SimpleNamespace(
        is_event_stream=True, is_success=True, is_delimited=True, status=200, headers=[]
    )
    relaying = gevent.spawn(make_relay().relay, attempt, head)
    longest_s = 0.0
    while not relaying.ready():
        # Processor time, as other processes don't count.
        began = time.thread_time()
        gevent.sleep(0)
        longest_s = max(longest_s, time.thread_time() - began)
    relaying.get()
    assert longest_s <= SLACK * MAX_USE_S
