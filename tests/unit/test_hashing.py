from rosemarystream._internal.decisions.hashing import order_candidates, pick_candidate


def test_removed_candidate_moves_only_its_own_keys():
    names = [f"e{i}" for i in range(10)]
    keys = [f"chat-{i}" for i in range(500)]
    before = {key: pick_candidate(key, names) for key in keys}
    after = {key: pick_candidate(key, names[1:]) for key in keys}
    moved = {key for key in keys if before[key] != after[key]}
    assert moved == {key for key in keys if before[key] == "e0"}


def test_the_picked_candidate_is_the_first_of_the_order():
    names = [f"e{i}" for i in range(7)]
    assert all(
        pick_candidate(str(i), names) == order_candidates(str(i), names)[0]
        for i in range(50)
    )
