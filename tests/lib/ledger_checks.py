"""Compares the ledgers of hosts with their callers' own lists of requests."""

from collections import Counter
from typing import NamedTuple

from rosemarystream._internal.models.log_entries.endings import (
    RequestsCounted,
    RequestsUnbalanced,
    RequestUnanswered,
)
from rosemarystream._internal.operators.tracing import read_entries

UNANSWERED, COUNTED, UNBALANCED = (
    kind.message for kind in (RequestUnanswered, RequestsCounted, RequestsUnbalanced)
)
DROPPED = "log entries dropped"
# A header that servers' answers have, and a host's own have not.
SERVER_HEADER = b"x-rosemarystream-response-seal"


class HostLog(NamedTuple):
    """What the log of a host has of its ledger.

    Attributes
    ----------
    unanswered : dict of str to str
        Cause of each ending without a whole answer, by request.
    repeated : list of str
        Requests with more than one such entry.
    counted : list of dict
        Counts at the planned stops.
    unbalanced : list of dict
        Differences that the host has found.
    left_out : int
        Entries of endings that were dropped.
    """

    unanswered: dict[str, str]
    repeated: list[str]
    counted: list[dict]
    unbalanced: list[dict]
    left_out: int


def read_host_log(path):
    """Return what the log file of a host has of its ledger."""
    entries = [*read_entries([path])]
    raw = {
        kind: [x.raw for x in entries if x.message == kind]
        for kind in (UNANSWERED, COUNTED, UNBALANCED, DROPPED)
    }
    times = Counter(x["request"] for x in raw[UNANSWERED])
    left_out = [
        count
        for x in raw[DROPPED]
        for kind, count in x["counts"].items()
        if kind.startswith(UNANSWERED)
    ]
    return HostLog(
        {x["request"]: x["cause"] for x in raw[UNANSWERED]},
        [name for name, count in times.items() if count > 1],
        raw[COUNTED],
        raw[UNBALANCED],
        sum(left_out),
    )


def is_of_server(reply):
    """Return whether a whole answer came from a server."""
    return SERVER_HEADER in reply.headers


def list_log_problems(log, replies, causes):
    """Return what the log of a host has wrong, or what it should not have.

    Parameters
    ----------
    replies : dict of str to Reply
        What the callers of all hosts got, by request.
    causes : set of str
        Causes of endings without an answer that the run has brought about.
    """
    problems = [f"unbalanced: {x}" for x in log.unbalanced]
    problems += [f"{name} ended more than once" for name in log.repeated]
    for counts in log.counted:
        ended = sum(counts["ended"].values())
        if counts["in_progress"] or counts["begun"] != ended:
            problems.append(f"not all had ended at the stop: {counts}")
    for name, cause in log.unanswered.items():
        if cause not in causes:
            problems.append(f"{name} ended as {cause}, which nothing brought about")
        if name not in replies:
            problems.append(f"{name} ended as {cause}, and no caller sent it")
        elif replies[name].complete:
            problems.append(f"{name} ended as {cause}, and its caller has an answer")
    return problems


def list_balance_problems(balance, replies, unanswered, left):
    """Return where a host's counts differ from the callers' own lists.

    Parameters
    ----------
    balance : dict
        The counts in the state dump of the host, which alone served the callers.
    unanswered : dict of str to str
        Cause of each ending without a whole answer, by request.
    left : set of str
        Requests whose callers left: what they would have got, only the host knows.
    """
    stayed = {name: reply for name, reply in replies.items() if name not in left}
    whole = [reply for reply in stayed.values() if reply.complete]
    by_server = sum(map(is_of_server, whole))
    by_host = len(whole) - by_server
    ended = {cause: count for cause, count in balance["ended"].items() if count}
    answered = {"server_answered": by_server, "host_answered": by_host}
    unread = len(left - {*unanswered})
    problems = []
    if balance["begun"] != len(replies):
        problems.append(f"{len(replies)} sent, {balance['begun']} begun")
    if balance["difference"] or balance["in_progress"]:
        problems.append(f"not balanced: {balance}")
    for cause, seen in answered.items():
        if not seen <= ended.get(cause, 0) <= seen + unread:
            problems.append(f"{cause}: {ended.get(cause)} counted, {seen} got")
    if sum(ended.pop(cause, 0) for cause in answered) != len(whole) + unread:
        problems.append(f"{len(whole)} answers got, {unread} unread: {balance}")
    if ended != Counter(unanswered.values()):
        problems.append(f"counted {ended}, logged {Counter(unanswered.values())}")
    lost = {name for name, reply in stayed.items() if not reply.complete}
    problems += [
        f"{name} got no answer, and has no entry" for name in lost - {*unanswered}
    ]
    return problems
