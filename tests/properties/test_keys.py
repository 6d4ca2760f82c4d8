"""Which keys pass, whatever keys a configuration holds."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from rosemarystream._internal.decisions.replica import Replica
from rosemarystream._internal.gateway.request_errors import RequestEndedError
from rosemarystream._internal.gateway.route_lookup import RouteLookup
from rosemarystream._internal.models.call import Call
from rosemarystream._internal.platform.documents import decode_configuration
from tests.lib.entry_world import HOST, make_configuration, make_route

ROUTES = [make_route("book", "non_idempotent"), make_route("open", "idempotent")]
ROUTES[1]["allow-anonymous"] = True
keys = st.sampled_from(["k1", "k2", "k3"])
tenants = st.lists(
    st.fixed_dictionaries(
        {"name": st.sampled_from(["w1", "w2"]), "api-keys": st.lists(keys, max_size=2)}
    ),
    max_size=2,
)


def resolve(replica, path, key):
    """Return the name of the workspace, or the error that refuses a request."""
    lookup = RouteLookup(replica=replica, clock=lambda: 10.0)
    call = Call(
        method=b"POST",
        target=path.encode(),
        host=HOST,
        path=path,
        headers=[],
        request_id="r1",
        key=key,
        wait_s=None,
        model="",
        parts=(),
        last_event_id=b"",
    )
    try:
        _, workspace = lookup.resolve(call, 0.0)
    except RequestEndedError as error:
        return error.kind.value
    return workspace and workspace.name


# review/6: with the last key of a configuration taken away, every key passed.
@given(st.lists(st.none() | tenants, min_size=1, max_size=3), st.none() | keys)
def test_a_key_passes_only_if_the_configuration_holds_it(drawn, key):
    replica = Replica()
    for version, listed in enumerate(drawn, start=1):
        document = {**make_configuration(version, ROUTES), "tenants": listed}
        if listed is None:
            del document["tenants"]
        encoded = msgspec.json.encode(document)
        replica.accept_configuration(decode_configuration(encoded), encoded)
    listed = drawn[-1]
    holders = {t["name"] for t in listed or () if key in t["api-keys"]}
    expected = holders or {None if listed is None else "unauthorized"}
    assert resolve(replica, "/book/1", key) in expected
    assert resolve(replica, "/open/1", key) is None
