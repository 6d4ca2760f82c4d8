"""Check that each guarantee's test fails when its mechanism is switched off.

``python -m tests.prove [ROW ...]`` runs all rows of the table or the named ones,
each first with the mechanism on and then with it off.
"""

import os
import subprocess
import sys
from typing import NamedTuple

from tests.lib.switches import SWITCHES

TIMEOUT_SECONDS = 300


class Row(NamedTuple):
    """A guarantee, its test, and the switch that must make the test fail."""

    name: str
    switch: str
    command: str


PYTEST = "python -m pytest -x -q tests/properties/"
UNIT = "python -m pytest -x -q tests/unit/"
ENTRY = "python -m pytest -x -q tests/functional/test_entry_"
EVACUATIONS = "python -m pytest -x -q tests/functional/test_evacuations.py"
BEHAVE = "behave --no-capture --stop tests/features/"
ROWS = (
    Row("load-bound", "ignore_bound", f"{PYTEST}test_load_bound.py"),
    Row("load-bound-disputes", "ignore_disputes", f"{PYTEST}test_ownership.py"),
    Row(
        "whole-answers",
        "resume_from_start",
        f"{BEHAVE}whole_answers.feature -n dies",
    ),
    Row("own-answers", "accept_any_frame", "python -m pytest -x -q tests/unit"),
    Row(
        "not-run",
        "report_every_failure_as_not_run",
        f"{BEHAVE}at_most_once.feature -n exchange",
    ),
    Row("at-most-once", "skip_claims", f"{BEHAVE}at_most_once.feature -n repeated"),
    Row(
        "at-most-once-store",
        "trust_unanswered_writes",
        f"{PYTEST}test_claims.py",
    ),
    Row("withdrawal", "forget_recalls", f"{BEHAVE}withdrawal.feature -n sheet"),
    Row(
        "withdrawal-spread",
        "keep_recalls_local",
        f"{BEHAVE}withdrawal.feature -n restarts",
    ),
    Row("shutdown", "stop_without_draining", f"{BEHAVE}shutdown.feature -n turn"),
    Row(
        "never-reverts",
        "accept_older_configuration",
        f"{PYTEST}test_spreading.py",
    ),
    Row(
        "racing-operators",
        "write_unconditionally",
        f"{BEHAVE}configuration.feature -n race",
    ),
    Row("orders-once", "act_without_lease", f"{BEHAVE}orders.feature -n pause"),
    Row("lease-copies", "keep_leases_of_copies", f"{PYTEST}test_leases.py"),
    Row("ranks", "serve_in_arrival_order", f"{PYTEST}test_queueing.py"),
    Row("fair-shares", "ignore_costs", f"{PYTEST}test_queueing.py"),
    Row("entry-load-bound", "ignore_load_bound", f"{UNIT}test_placement.py"),
    Row("entry-retries", "repeat_without_budget", f"{UNIT}test_retry_budget.py"),
    Row(
        "entry-at-most-once",
        "retry_non_idempotent",
        f"{ENTRY}requests.py -k may_have_run_once",
    ),
    Row(
        "entry-not-run",
        "refuse_unknown_outcomes",
        f"{ENTRY}requests.py -k may_have_run_once",
    ),
    Row(
        "entry-stated-refusals",
        "take_statuses_for_statements",
        "python -m pytest -x -q tests/functional/test_unstated_refusals.py",
    ),
    Row(
        "entry-own-answers",
        "accept_any_answer",
        f"{ENTRY}requests.py -k answer_to_another",
    ),
    Row(
        "entry-streams",
        "ignore_event_ids",
        f"{ENTRY}requests.py -k resumable_stream",
    ),
    Row(
        "entry-departures",
        "ignore_disconnects",
        f"{ENTRY}requests.py -k caller_that_leaves",
    ),
    Row(
        "entry-draining",
        "keep_removed_servers",
        f"{ENTRY}requests.py -k draining_server",
    ),
    Row("entry-never-back", "accept_any_version", f"{UNIT}test_replica.py"),
    Row(
        "entry-shutdown",
        "stop_gateway_without_draining",
        f"{ENTRY}fleet.py -k leaving_host",
    ),
    Row("entry-host-count", "count_heard_hosts_only", f"{UNIT}test_peering.py"),
    Row("entry-cut-ends", "wait_to_be_contacted", f"{UNIT}test_peering.py -k cut"),
    Row(
        "entry-crashing-prompts",
        "send_every_prompt",
        "python -m pytest -x -q tests/functional/test_prompt_part_crashes.py -k five",
    ),
    Row(
        "entry-server-limits",
        "send_without_permission",
        "python -m pytest -x -q tests/functional/test_limited_servers.py -k than_its",
    ),
    Row(
        "entry-cold-servers",
        "take_cold_servers_for_warm",
        "python -m pytest -x -q tests/functional/test_cold_servers.py -k comes_back",
    ),
    Row(
        "entry-cold-cut-hosts",
        "permit_when_alone",
        f"{UNIT}test_cold_rate.py -k hears",
    ),
    Row(
        "entry-silent-store",
        "wait_for_overdue_answers",
        f"{UNIT}test_store_watches.py -k no_longer_answers",
    ),
    Row(
        "entry-parted-hosts",
        "contact_whole_data_centres_only",
        f"{PYTEST}test_gossip_cuts.py",
    ),
    Row(
        "entry-withdrawn-keys",
        "take_no_keys_for_no_rule",
        f"{PYTEST}test_keys.py",
    ),
    Row(
        "entry-watch-reserve",
        "watch_without_reserve",
        f"{PYTEST}test_watch_reserve.py",
    ),
    Row(
        "entry-early-answers",
        "drop_errors_of_writes",
        "python -m pytest -x -q tests/functional/test_answers_before_requests.py",
    ),
    Row(
        "entry-half-answers",
        "take_bytes_for_progress",
        "python -m pytest -x -q tests/functional/test_two_servers_at_once.py -k little",
    ),
    Row(
        "entry-lost-watch-answers",
        "wait_long_for_servers",
        f"{UNIT}test_store_watches.py -k asked_for_again",
    ),
    Row(
        "entry-pending-removals",
        "keep_pending_removals",
        f"{UNIT}test_replica.py -k pulled_meanwhile",
    ),
    Row(
        "entry-whole-lists",
        "pass_changes_on_without_lists",
        f"{UNIT}test_replica.py -k before_the_start",
    ),
    Row(
        "entry-silent-hosts",
        "wait_for_silent_hosts",
        f"{UNIT}test_state_pulls.py -k suspended",
    ),
    Row(
        "entry-store-copies",
        "order_by_revision_alone",
        "python -m pytest -x -q tests/functional/test_store_copies.py -k come_back",
    ),
    Row(
        "entry-store-doubt",
        "believe_copies",
        "python -m pytest -x -q tests/functional/test_store_copies.py -k copy_lacks",
    ),
    Row(
        "entry-late-refusals",
        "use_any_connection",
        "python -m pytest -x -q tests/functional/test_late_refusals.py -k not_passed",
    ),
    Row("entry-late-copies", "use_any_connection", f"{PYTEST}test_late_copies.py"),
    Row(
        "entry-crash-holds",
        "hold_no_requests",
        f"{UNIT}test_crash_holds.py",
    ),
    Row("entry-evacuations", "ignore_evacuations", f"{EVACUATIONS} -k no_host_sends"),
    Row(
        "entry-evacuation-news",
        "keep_evacuations_local",
        f"{EVACUATIONS} -k whatever_fails",
    ),
    Row(
        "entry-evacuation-starts",
        "serve_without_evacuations",
        f"{EVACUATIONS} -k before_it_is_ready",
    ),
    Row(
        "entry-evacuation-sends",
        "send_once_connected",
        f"{EVACUATIONS} -k placed_before",
    ),
    Row(
        "entry-evacuation-pauses",
        "send_after_pauses",
        f"{EVACUATIONS} -k paused_host",
    ),
    Row(
        "entry-callers",
        "close_no_caller",
        f"{UNIT}test_caller_budget.py -k reads_nothing",
    ),
    Row("entry-logs", "log_without_limit", f"{UNIT}test_log_limits.py"),
)


def run(row: Row, *, switched_off: bool) -> bool:
    """Run the test of a row and return whether it passed."""
    environment = dict(os.environ)
    if switched_off:
        environment["SWITCH_OFF"] = row.switch
        environment["ROSEMARYSTREAM_PROGRAM"] = (
            f"{sys.executable} -m tests.lib.switched_host"
        )
    completed = subprocess.run(
        row.command.split(),
        env=environment,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        timeout=TIMEOUT_SECONDS,
        check=False,
    )
    return completed.returncode == 0


def main() -> int:
    """Return 0 if the test of each row passes, and fails when switched off."""
    # A test also fails of a switch that doesn't exist.
    unknown = [row.switch for row in ROWS if row.switch not in SWITCHES]
    assert not unknown, unknown
    selected = set(sys.argv[1:])
    has_passed = True
    for row in ROWS:
        if selected and row.name not in selected:
            continue
        passes = run(row, switched_off=False)
        fails = not run(row, switched_off=True)
        has_passed = has_passed and passes and fails
        print(
            f"{row.name:22} as it is: {'passes' if passes else 'FAILS':7} "
            f"without {row.switch}: {'fails' if fails else 'PASSES'}",
            flush=True,
        )
    return 0 if has_passed else 1


if __name__ == "__main__":
    sys.exit(main())
