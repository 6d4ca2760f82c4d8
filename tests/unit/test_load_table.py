"""Load counts of a fleet whose reports can be late or lost."""

from rosemarystream._internal.decisions.load_table import (
    REPORT_TTL_S,
    LoadReport,
    LoadTable,
)


def test_counts_of_all_hosts_are_summed():
    table = LoadTable()
    table.begin(1)
    table.accept_host("h2", LoadReport(1, 0.0, {1: 2, 2: 1}, {1: 500}))
    table.accept_data_centre("b", LoadReport(1, 0.0, {1: 3}))
    assert table.sum_data_centre(0.1).counts == {1: 3, 2: 1}
    assert table.sum_fleet(0.1).counts == {1: 6, 2: 1}
    assert table.sum_fleet(0.1).prefill == {1: 500}


def test_collector_reports_to_a_host_the_load_of_all_others():
    collector, member = LoadTable(), LoadTable()
    member.begin(1)
    collector.begin(2)
    collector.accept_host("member", LoadReport(1, 0.0, {1: 1}))
    collector.accept_host("third", LoadReport(1, 0.0, {1: 4}))
    collector.accept_data_centre("b", LoadReport(1, 0.0, {3: 2}))
    others = collector.sum_others_by_host(["member"], 0.1)["member"]
    member.accept_others_sum(
        "collector", LoadReport(1, 0.1, others.counts, others.prefill)
    )
    assert member.sum_fleet(0.1).counts == collector.sum_fleet(0.1).counts
    member.begin(1)
    assert member.sum_fleet(0.1).counts[1] == 6


def test_sum_of_the_newest_collector_is_used():
    table = LoadTable()
    table.accept_others_sum("c1", LoadReport(9, 0.0, {1: 9}))
    table.accept_others_sum("c2", LoadReport(1, 0.2, {1: 4}))
    assert table.sum_fleet(0.3).counts == {1: 4}


def test_report_with_an_older_sequence_number_is_ignored():
    table = LoadTable()
    table.accept_host("h2", LoadReport(5, 0.2, {1: 1}))
    table.accept_host("h2", LoadReport(4, 0.3, {1: 9}))
    assert table.sum_fleet(0.3).counts == {1: 1}


def test_reports_of_a_restarted_host_count_although_its_clock_was_set_back():
    table = LoadTable()
    table.accept_host("h2", LoadReport(9_000, 0.2, {1: 5}))
    table.accept_host("h2", LoadReport(6_600, 0.3, {1: 1}))
    assert table.sum_fleet(0.3).counts == {1: 1}


def test_reports_expire_after_their_ttl():
    table = LoadTable()
    table.accept_host("h2", LoadReport(5, 0.0, {1: 4}))
    assert table.sum_fleet(REPORT_TTL_S + 0.1).counts == {}


def test_ended_request_no_longer_counts():
    table = LoadTable()
    table.begin(1)
    table.begin_prefill(1, 100)
    table.end_prefill(1, 100)
    table.end(1)
    assert table.sum_fleet(0.0).counts == {}
    assert table.sum_fleet(0.0).prefill == {}


def test_report_age_is_that_of_the_newest_report():
    table = LoadTable()
    assert table.measure_report_age(5.0) == 0.0
    table.accept_host("h2", LoadReport(1, 4.0, {}))
    table.accept_others_sum("h3", LoadReport(1, 4.75, {}))
    assert table.measure_report_age(5.0) == 0.25
