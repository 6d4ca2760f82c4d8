"""Division of a pool's servers into groups that one host owns each."""

from collections import defaultdict
from collections.abc import Iterable
from math import ceil
from typing import NamedTuple

from rosemarystream._internal.decisions.hashing import pick_candidate
from rosemarystream._internal.models.server import BackendServer

GROUP_SERVERS = 16


class GroupName(NamedTuple):
    """Identity of a server group: a slice of a pool in one data centre."""

    pool: str
    data_centre: str
    index: int

    def __str__(self) -> str:
        return f"{self.pool}/{self.data_centre}/{self.index}"


def parse_group(text: str) -> GroupName:
    """Return the group whose name is `text`."""
    pool, data_centre, index = text.rsplit("/", 2)
    return GroupName(pool=pool, data_centre=data_centre, index=int(index))


def group_servers(
    servers: Iterable[BackendServer],
) -> dict[GroupName, tuple[BackendServer, ...]]:
    """Divide servers into groups of about `GROUP_SERVERS`.

    All hosts with the same list come to the same groups; a server that joins
    or leaves moves no other one while the number of groups stays the same.
    """
    slices: dict[tuple[str, str], list[BackendServer]] = defaultdict(list)
    for server in servers:
        slices[server.pool, server.data_centre].append(server)
    groups: dict[GroupName, list[BackendServer]] = defaultdict(list)
    for (pool, data_centre), members in slices.items():
        indexes = [str(i) for i in range(ceil(len(members) / GROUP_SERVERS))]
        for server in members:
            index = int(pick_candidate(server.name, indexes) or 0)
            groups[GroupName(pool, data_centre, index)].append(server)
    return {name: tuple(members) for name, members in groups.items()}
