import pytest

from rosemarystream._internal.decisions.admission import (
    PREFILL_SECONDS_PER_TOKEN,
    AdmissionContext,
    GroupAdmission,
)
from rosemarystream._internal.decisions.load_bound import PoolLoad
from rosemarystream._internal.exceptions import ErrorKind
from rosemarystream._internal.models.events import WorkGranted, WorkRefused
from rosemarystream._internal.models.server import ServerReport
from tests.lib.sheets import RANKS, make_sheet
from tests.lib.works import make_work

LONG_CONTEXT = 8_000
DEFERRAL_SECONDS = LONG_CONTEXT * PREFILL_SECONDS_PER_TOKEN


def make_context(*, slots=1, share=1.0, contested=False, other_groups=(100, 10)):
    pool = make_sheet(load_multiple=10.0, slots=slots).pools[0]
    return AdmissionContext(pool, PoolLoad(*other_groups), share, contested)


def make_group(servers=("e1", "e2"), queue_limit=10):
    group = GroupAdmission(
        name="lm/dc1/0",
        ranks=RANKS,
        queue_limit=queue_limit,
        get_weight=lambda workspace: 1.0,
    )
    group.set_serving(servers)
    for server in servers:
        group.record_report(server, ServerReport(1, 0, (), (), False), 10.0)
    return group


@pytest.fixture
def context():
    return make_context()


def submit(group, work, context, now=20.0, may_queue=True):
    return group.submit(work, context=context, may_queue=may_queue, now=now)


def test_long_chat_is_deferred_for_the_engine_that_holds_its_context(context):
    group = make_group()
    submit(group, make_work(1, hint="e1"), context)
    work = make_work(2, hint="e1", context_tokens=LONG_CONTEXT)
    assert submit(group, work, context) == []
    group.release("r000001", 20.5)
    assert group.dispatch(context=context, now=20.5) == [WorkGranted("r000002", "e1")]


def test_long_chat_goes_elsewhere_once_prefill_there_is_faster(context):
    group = make_group()
    submit(group, make_work(1, hint="e1"), context)
    work = make_work(2, hint="e1", context_tokens=LONG_CONTEXT)
    submit(group, work, context)
    assert group.dispatch(context=context, now=20.0 + DEFERRAL_SECONDS / 2) == []
    late = group.dispatch(context=context, now=20.0 + DEFERRAL_SECONDS)
    assert late == [WorkGranted("r000002", "e2")]


def test_no_request_is_deferred_while_others_are_queued(context):
    group = make_group()
    for number in range(2):
        submit(group, make_work(number), context)
    submit(group, make_work(2, hint="e1", context_tokens=LONG_CONTEXT), context)
    assert (group.queued, group.is_waiting) == (1, True)


def test_cancelled_deferred_request_is_never_granted(context):
    group = make_group()
    submit(group, make_work(1, hint="e1"), context)
    submit(group, make_work(2, hint="e1", context_tokens=LONG_CONTEXT), context)
    group.cancel("r000002", 20.1)
    group.release("r000001", 20.2)
    assert group.dispatch(context=context, now=20.2) == []
    assert not group.is_waiting


def test_server_without_a_report_gets_no_work(context):
    group = make_group(servers=())
    group.set_serving(["e1"])
    (refused,) = submit(group, make_work(1), context, may_queue=False)
    assert isinstance(refused, WorkRefused)
    assert refused.kind is ErrorKind.OVERLOADED


def test_new_owner_accepts_only_reports_newer_than_other_hosts_work(context):
    group = make_group()
    group.take_over(30.0)
    group.record_report("e1", ServerReport(1, 0, (), (), False), 30.5)
    assert submit(group, make_work(1), context, now=30.6) == []
    group.record_report("e1", ServerReport(1, 0, (), (), False), 31.1)
    assert group.dispatch(context=context, now=31.2) == [WorkGranted("r000001", "e1")]


def test_peak_of_other_hosts_work_counts_while_ownership_is_contested():
    context = make_context(slots=4, contested=True)
    group = make_group(servers=("e1",))
    for number in range(3):
        (granted,) = submit(group, make_work(number), context, now=20.0)
        assert isinstance(granted, WorkGranted)
    group.record_report("e1", ServerReport(1, 3, (), (), False), 20.2)
    assert submit(group, make_work(9), context, now=20.3) == []
    group.record_report("e1", ServerReport(1, 3, (), (), False), 21.5)
    assert len(group.dispatch(context=context, now=21.6)) == 1


def test_request_past_its_deadline_is_refused_as_not_run(context):
    group = make_group()
    (refused,) = submit(group, make_work(1, deadline=19.0), context)
    assert refused.kind is ErrorKind.DEADLINE


def test_share_that_rounds_down_to_zero_refuses_work():
    context = make_context(slots=1, share=0.5)
    (refused,) = submit(make_group(), make_work(1), context)
    assert refused.kind is ErrorKind.NO_BACKEND


def test_leaving_server_finishes_its_work_and_gets_no_more(context):
    group = make_group(servers=("e1",))
    submit(group, make_work(1), context)
    group.set_serving(())
    assert group.running == 1
    (refused,) = submit(group, make_work(2), context)
    assert refused.kind is ErrorKind.NO_BACKEND
    group.release("r000001", 21.0)
    assert group.running == 0
