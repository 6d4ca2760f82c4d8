"""Positions of the store in the messages between hosts.

Hosts of earlier builds know revisions only, so eras travel apart from them: that of the
message, and those of single revisions that differ from it.
"""

from collections.abc import Iterable, Mapping
from typing import TypeVar

from rosemarystream._internal.decisions.evacuations import EvacuationRow
from rosemarystream._internal.decisions.store_era import EraRise, StoreEra
from rosemarystream._internal.models.gossip import EvacuationRow as EncodedEvacuation
from rosemarystream._internal.models.gossip import GossipMessage, PullAnswer, Rise
from rosemarystream._internal.models.position import Position

_MS_PER_S = 1000

Key = TypeVar("Key", str, int)


def list_other_eras(positions: Mapping[Key, Position], era: int) -> dict[Key, int]:
    """Return the eras of positions that aren't of the message's era."""
    return {key: at.era for key, at in positions.items() if at.era != era}


def encode_evacuations(
    rows: Iterable[EvacuationRow] | None, era: int
) -> tuple[list[EncodedEvacuation] | None, dict[str, int]]:
    """Return records as they are sent, None if they aren't known, and other eras."""
    if rows is None:
        return None, {}
    positions = {row.data_centre: row.position for row in rows}
    encoded = [(x.data_centre, x.position.revision, *x[2:]) for x in rows]
    return encoded, list_other_eras(positions, era)


def decode_evacuations(
    message: GossipMessage | PullAnswer, era: StoreEra
) -> list[EvacuationRow]:
    """Return the records of a message, which it has to hold."""
    eras = message.evacuation_eras
    return [
        EvacuationRow(
            name, era.locate(eras.get(name, message.era), revision), is_in_force, age_ms
        )
        for name, revision, is_in_force, age_ms in message.evacuations
    ]


def encode_rise(rise: EraRise | None, now: float) -> Rise | None:
    """Return how an era began as it is sent, with an age in place of a time."""
    if rise is None:
        return None
    return rise.revision, max(0, int((now - rise.seen_at) * _MS_PER_S))


def decode_rise(rise: Rise | None, now: float) -> EraRise | None:
    """Return how an era began, with a time of the own clock."""
    if rise is None:
        return None
    revision, age_ms = rise
    return EraRise(revision, now - age_ms / _MS_PER_S)
