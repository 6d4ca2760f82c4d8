"""Priorities of requests that wait for the same engine."""

from rosemarystream._internal.decisions.priorities import (
    LEVELS,
    PriorityTable,
    build_priority_table,
)
from rosemarystream._internal.models.route import (
    CallerLimits,
    FleetConfiguration,
    Route,
    RouteKind,
    Target,
    Workspace,
)


def make_route(name, objective_s, rank):
    return Route(
        name=name,
        host="x",
        path_prefix=f"/{name}/",
        kind=RouteKind.STREAM,
        timeout_s=5.0,
        objective_s=objective_s,
        gap_objective_s=0.25,
        max_attempts=2,
        rank=rank,
        targets=(Target("pool", 1),),
        is_anonymous=False,
        keeps_context=True,
        resumable=True,
    )


def make_configuration(*ranks):
    routes = (make_route("digest", 1.2, 2), make_route("chat", 0.25, 0))
    workspaces = {f"k{n}": Workspace(f"w{n}", rank) for n, rank in enumerate(ranks)}
    return FleetConfiguration(1, {"x": routes}, {}, CallerLimits(), workspaces)


def test_among_equal_ranks_the_shorter_objective_goes_first():
    table = build_priority_table(make_configuration(1, 1))
    assert table.find(1, 0.25).level < table.find(1, 1.2).level


def test_rank_takes_precedence_over_objective():
    table = build_priority_table(make_configuration(1, 3))
    assert table.find(1, 1.2).level < table.find(3, 0.25).level


def test_share_of_the_last_priority_is_all_waiting_work():
    table = build_priority_table(make_configuration(1, 3))
    assert table.find(3, 1.2).share == 1.0
    assert table.find(1, 0.25).share == 0.25


def test_many_ranks_are_mapped_to_the_levels_in_order():
    table = PriorityTable(pairs=[(rank, 1.0) for rank in range(40)])
    levels = [table.find(rank, 1.0).level for rank in range(40)]
    assert levels == sorted(levels)
    assert levels[0] == 0
    assert levels[-1] == LEVELS - 1


def test_an_unknown_request_goes_last():
    assert build_priority_table(make_configuration(1)).find(7, 9.0).level == LEVELS - 1
