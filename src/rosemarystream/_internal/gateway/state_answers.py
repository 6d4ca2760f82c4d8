"""Answers to the pulls of other hosts, from the state that this host has."""

import zlib
from collections.abc import Callable
from typing import TypedDict

import msgspec

from rosemarystream._internal.decisions.cold_servers import ColdRow, ColdServers
from rosemarystream._internal.decisions.context_map import ContextMap
from rosemarystream._internal.decisions.evacuations import Evacuations
from rosemarystream._internal.decisions.prompt_blocks import PromptBlocks
from rosemarystream._internal.decisions.replica import Delta, Lapse, Replica
from rosemarystream._internal.decisions.store_era import StoreEra
from rosemarystream._internal.gateway.era_codec import (
    decode_rise,
    encode_evacuations,
    encode_rise,
    list_other_eras,
)
from rosemarystream._internal.models.endpoint import EARLIER_FIELDS, Endpoint
from rosemarystream._internal.models.gossip import PullAnswer, PullRequest
from rosemarystream._internal.models.position import START, Position

# Most entries of the map of cached prompt parts in an answer, so that it stays below
# the size of a frame.
MAX_CONTEXT_ENTRIES = 100_000
_MS_PER_S = 1000

_encode = msgspec.msgpack.encode


class _ColdFields(TypedDict):
    """Fields of an answer, as in `PullAnswer`."""

    cold: list[tuple[int, int, int, int]]
    cold_eras: dict[int, int]


class StateAnswers:
    """Selects what a host lacks, as it states in its pull.

    Parameters
    ----------
    contexts, blocks : ContextMap, PromptBlocks
        The cached prompt parts, and those on which servers crash.
    evacuations : Evacuations
        The evacuated data centres; part of each answer.
    cold : ColdServers
        The servers that are cold.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        replica: Replica,
        contexts: ContextMap,
        blocks: PromptBlocks,
        evacuations: Evacuations,
        cold: ColdServers,
    ) -> None:
        self._evacuations = evacuations
        self._clock = clock
        self._replica = replica
        self._contexts = contexts
        self._blocks = blocks
        self._cold = cold
        self._compressed = (0, b"")

    def select(self, request: PullRequest) -> PullAnswer:
        """Return the answer to a pull."""
        now = self._clock()
        position, rise = self._replica.position, self._replica.era.rise
        rows = self._evacuations.list_rows(now)
        evacuations, eras = encode_evacuations(rows, position.era)
        return msgspec.structs.replace(
            self._select(request),
            evacuations=evacuations,
            evacuation_eras=eras,
            era=position.era,
            rise=encode_rise(rise, now),
        )

    def _select(self, request: PullRequest) -> PullAnswer:
        document = b""
        if request.version is not None and self._replica.version > request.version:
            document = self._compress_document()
        if request.wants_contexts:
            now = self._clock()
            entries = self._contexts.list_entries(now)[:MAX_CONTEXT_ENTRIES]
            blocks = self._blocks.list_rows(now)
            # A host that watches the store itself learns nothing else of presumptions,
            # and nothing else of what the store has lost.
            if self._replica.era.is_in_doubt:
                answer = self._encode_servers(document, START, request.era)
            else:
                answer = PullAnswer(document, [], {}, 0, **self._encode_cold())
            return msgspec.structs.replace(
                answer,
                contexts=entries,
                blocks=blocks,
                crash_evidence=self._blocks.list_evidence(now),
            )
        if request.revision is None:
            return PullAnswer(document, [], {}, 0)
        position = self._replica.era.locate(request.era, request.revision)
        return self._encode_servers(document, position, request.era)

    def _encode_servers(
        self, document: bytes, after: Position, stated_era: int | None
    ) -> PullAnswer:
        """Return an answer with the changes of the servers after a position.

        Parameters
        ----------
        stated_era : int or None
            As in the request.
        """
        now = self._clock()
        delta = self._replica.select_delta(after)
        era = delta.position.era
        fields = EARLIER_FIELDS if stated_era is None else None
        lapses = {name: lapse.position for name, lapse in delta.lapsing.items()}
        return PullAnswer(
            document,
            [msgspec.Raw(_encode(endpoint[:fields])) for endpoint in delta.endpoints],
            {name: at.revision for name, at in delta.removed.items()},
            delta.position.revision,
            lapsing={
                name: (lapse.position.revision, _measure_left_ms(lapse.deadline, now))
                for name, lapse in delta.lapsing.items()
            },
            is_whole=delta.is_whole,
            grace_ms=_measure_left_ms(delta.grace_until, now),
            removal_eras=list_other_eras(delta.removed, era),
            lapse_eras=list_other_eras(lapses, era),
            **self._encode_cold(),
        )

    def _encode_cold(self) -> _ColdFields:
        """Return the fields of an answer that tell of the cold servers."""
        rows = self._cold.list_rows(self._clock())
        positions = {row.server: row.position for row in rows}
        return _ColdFields(
            cold=[(row.server, row.position.revision, *row[2:]) for row in rows],
            cold_eras=list_other_eras(positions, self._replica.position.era),
        )

    def _compress_document(self) -> bytes:
        """Return the compressed configuration; each version is compressed once."""
        if self._compressed[0] != self._replica.version:
            compressed = zlib.compress(self._replica.document)
            self._compressed = (self._replica.version, compressed)
        return self._compressed[1]


def read_delta(
    answer: PullAnswer, endpoints: list[Endpoint], era: StoreEra, now: float
) -> Delta:
    """Return the changes of the servers in an answer, with times of the own clock.

    An answer without any has the revision 0.

    Parameters
    ----------
    endpoints : list of Endpoint
        The valid entries of the answer.
    """
    if answer.era is None:
        endpoints = [entry._replace(era=era.unstated) for entry in endpoints]
    removal_eras, lapse_eras = answer.removal_eras, answer.lapse_eras
    lapsing = {
        name: Lapse(
            era.locate(lapse_eras.get(name, answer.era), revision),
            now + left_ms / _MS_PER_S,
        )
        for name, (revision, left_ms) in answer.lapsing.items()
    }
    removed = {
        name: era.locate(removal_eras.get(name, answer.era), revision)
        for name, revision in answer.removed.items()
    }
    grace_until = now + answer.grace_ms / _MS_PER_S
    position = era.locate(answer.era, answer.revision)
    return Delta(
        endpoints,
        removed,
        lapsing,
        position if answer.revision else START,
        answer.is_whole,
        grace_until,
        decode_rise(answer.rise, now),
    )


def read_cold_rows(answer: PullAnswer, era: StoreEra) -> list[ColdRow]:
    """Return the cold servers in an answer."""
    eras = answer.cold_eras
    return [
        ColdRow(server, era.locate(eras.get(server, answer.era), revision), *left_ms)
        for server, revision, *left_ms in answer.cold
    ]


def _measure_left_ms(deadline: float, now: float) -> int:
    return max(0, int((deadline - now) * _MS_PER_S))
