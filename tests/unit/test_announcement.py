from bench.world import World
from rosemarystream._internal.models.configuration import Recall, RecallKind
from rosemarystream._internal.models.events import RecallSetsLearned
from rosemarystream._internal.models.messages import RecallSets
from tests.lib.sheets import make_sheet

CENTRES = 6
HOSTS = 60


def test_recall_reaches_all_data_centres_early_despite_rare_heartbeats():
    world = World()
    world.measure_bytes()
    for number in range(CENTRES):
        world.add_engine(f"e{number}", f"dc{number}")
    world.publish(make_sheet())
    for number in range(HOSTS):
        world.add_host(f"entry-{number:03d}", f"dc{number % CENTRES}")
    for host in world.hosts.values():
        host.decisions.membership.set_seeds(tuple(world.hosts))
    world.run(8.0)
    recall = Recall("r1", RecallKind.SERVER, "e0", "op")
    first = world.hosts["entry-000"]
    first.kernel.post(RecallSetsLearned(RecallSets((recall,), ())), world.now)
    world.run(0.5)
    assert all(host.decisions.recalls.list_active() for host in world.hosts.values())
