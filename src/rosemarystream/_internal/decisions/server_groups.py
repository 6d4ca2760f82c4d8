"""Division of the servers of a pool into groups, each owned by one host."""

from collections import defaultdict
from collections.abc import Iterable
from math import ceil
from typing import NamedTuple

from rosemarystream._internal.decisions.hashing import pick_candidate
from rosemarystream._internal.models.server import BackendServer

# Target size of a group.
GROUP_SERVERS = 16


class GroupName(NamedTuple):
    """Identity of a server group: part of a pool in one data centre."""

    pool: str
    data_centre: str
    index: int

    def __str__(self) -> str:
        return f"{self.pool}/{self.data_centre}/{self.index}"


def parse_group(text: str) -> GroupName:
    """Parse the text form ``pool/data_centre/index`` of a group name."""
    pool, data_centre, index = text.rsplit("/", 2)
    return GroupName(pool=pool, data_centre=data_centre, index=int(index))


def group_servers(
    servers: Iterable[BackendServer],
) -> dict[GroupName, tuple[BackendServer, ...]]:
    """Divide servers into groups of about `GROUP_SERVERS`, by consistent hashing.

    The groups depend on the list only, so hosts with equal lists have equal
    groups. A server that joins or leaves moves no other server as long as the
    number of groups stays the same.
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
