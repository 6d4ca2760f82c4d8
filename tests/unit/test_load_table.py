"""Counts of a fleet that are told late and lost now and then."""

from rosemarystream._internal.decisions.load_table import (
    REPORT_LIFE_S,
    LoadTable,
    Report,
)


def test_counts_of_all_hosts_add_up():
    table = LoadTable()
    table.begin("s1")
    table.accept_host("h2", Report(1, 0.0, {"s1": 2, "s2": 1}, {"s1": 500}))
    table.accept_data_centre("b", Report(1, 0.0, {"s1": 3}))
    assert table.sum_data_centre(0.1) == {"s1": 3, "s2": 1}
    assert table.sum_all(0.1) == {"s1": 6, "s2": 1}
    assert table.sum_all_reading(0.1) == {"s1": 500}


def test_a_late_report_is_not_taken():
    table = LoadTable()
    table.accept_host("h2", Report(5, 0.2, {"s1": 1}))
    table.accept_host("h2", Report(4, 0.3, {"s1": 9}))
    assert table.sum_all(0.3) == {"s1": 1}


def test_reports_of_hosts_that_are_gone_lapse():
    table = LoadTable()
    table.accept_host("h2", Report(5, 0.0, {"s1": 4}))
    assert table.sum_all(REPORT_LIFE_S + 0.1) == {}


def test_a_request_that_is_over_no_longer_counts():
    table = LoadTable()
    table.begin("s1")
    table.begin_reading("s1", 100)
    table.end_reading("s1", 100)
    table.end("s1")
    assert table.sum_all(0.0) == {}
    assert table.sum_all_reading(0.0) == {}
