"""Answers to the pulls of other hosts, from the state that this host has."""

import zlib
from collections.abc import Callable

import msgspec

from rosemarystream._internal.decisions.cold_servers import ColdServers
from rosemarystream._internal.decisions.context_map import ContextMap
from rosemarystream._internal.decisions.evacuations import Evacuations
from rosemarystream._internal.decisions.prompt_blocks import PromptBlocks
from rosemarystream._internal.decisions.replica import Delta, Lapse, Replica
from rosemarystream._internal.models.endpoint import Endpoint
from rosemarystream._internal.models.gossip import PullAnswer, PullRequest

# Most entries of the map of cached prompt parts in an answer, so that it stays below
# the size of a frame.
MAX_CONTEXT_ENTRIES = 100_000
_MS_PER_S = 1000

_encode = msgspec.msgpack.encode


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
        rows = self._evacuations.list_rows(self._clock())
        return msgspec.structs.replace(self._select(request), evacuations=rows)

    def _select(self, request: PullRequest) -> PullAnswer:
        document = b""
        if request.version is not None and self._replica.version > request.version:
            document = self._compress_document()
        if request.wants_contexts:
            now = self._clock()
            entries = self._contexts.list_entries(now)[:MAX_CONTEXT_ENTRIES]
            blocks = self._blocks.list_rows(now)
            # A host that watches the store itself learns nothing else of presumptions.
            rows = self._cold.list_rows(now)
            return PullAnswer(document, [], {}, 0, entries, blocks, cold=rows)
        if request.revision is None:
            return PullAnswer(document, [], {}, 0)
        return self._encode_delta(
            document, self._replica.select_delta(request.revision)
        )

    def _encode_delta(self, document: bytes, delta: Delta) -> PullAnswer:
        now = self._clock()
        return PullAnswer(
            document,
            [msgspec.Raw(_encode(endpoint)) for endpoint in delta.endpoints],
            delta.removed,
            delta.revision,
            lapsing={
                name: (lapse.revision, _measure_left_ms(lapse.deadline, now))
                for name, lapse in delta.lapsing.items()
            },
            is_whole=delta.is_whole,
            grace_ms=_measure_left_ms(delta.grace_until, now),
            cold=self._cold.list_rows(now),
        )

    def _compress_document(self) -> bytes:
        """Return the compressed configuration; each version is compressed once."""
        if self._compressed[0] != self._replica.version:
            compressed = zlib.compress(self._replica.document)
            self._compressed = (self._replica.version, compressed)
        return self._compressed[1]


def read_delta(answer: PullAnswer, endpoints: list[Endpoint], now: float) -> Delta:
    """Return the changes of the servers in an answer, with times of the own clock.

    Parameters
    ----------
    endpoints : list of Endpoint
        The valid entries of the answer.
    """
    lapsing = {
        name: Lapse(revision, now + left_ms / _MS_PER_S)
        for name, (revision, left_ms) in answer.lapsing.items()
    }
    grace_until = now + answer.grace_ms / _MS_PER_S
    return Delta(
        endpoints,
        answer.removed,
        lapsing,
        answer.revision,
        answer.is_whole,
        grace_until,
    )


def _measure_left_ms(deadline: float, now: float) -> int:
    return max(0, int((deadline - now) * _MS_PER_S))
