"""What operators can do, apart from how they ask for it."""

from collections.abc import Callable
from typing import Any, NamedTuple

from logbook import Logger

from rosemarystream._internal.decisions.configuration import (
    Configuration,
    digest_document,
    encode_documents,
)
from rosemarystream._internal.decisions.recalls import Recalls
from rosemarystream._internal.exceptions import (
    ErrorKind,
    PlatformError,
    RequestError,
    VersionConflictError,
)
from rosemarystream._internal.kernel.kernel import Kernel
from rosemarystream._internal.models.configuration import (
    Manifest,
    Recall,
    RecallKind,
    Sheet,
)
from rosemarystream._internal.models.events import (
    DocumentLearned,
    ManifestLearned,
    RecallSetsLearned,
)
from rosemarystream._internal.models.messages import RecallSets
from rosemarystream._internal.operators.publisher import Publisher
from rosemarystream._internal.operators.sheet import (
    SheetChange,
    compare_sheets,
    parse_sheet,
)

log = Logger(__name__)


class Plan(NamedTuple):
    """What applying a sheet would do.

    Attributes
    ----------
    base : int
        Generation that the plan was made from; `apply` names it.
    changes : list of SheetChange
        Differences.
    """

    base: int
    changes: list[SheetChange]


class RecallOutcome(NamedTuple):
    """What became of a recall.

    Attributes
    ----------
    recall_id : str
        Identifier, needed to lift it.
    stored : bool
        Whether the platform has it; until then it lives in the hosts only.
    """

    recall_id: str
    stored: bool


class Administration:
    """Carries out operators' orders against the platform.

    Parameters
    ----------
    kernel, configuration, recalls : Kernel and Service
        State in force in this process.
    publisher : Publisher
        Writes to the platform.
    make_id : callable
        Returns a new unique identifier.
    clock : callable
        Returns the present time in seconds since the epoch.
    """

    def __init__(
        self,
        *,
        kernel: Kernel,
        configuration: Configuration,
        recalls: Recalls,
        publisher: Publisher,
        make_id: Callable[[], str],
        clock: Callable[[], float],
    ) -> None:
        self._kernel = kernel
        self._configuration = configuration
        self._recalls = recalls
        self._publisher = publisher
        self._make_id = make_id
        self._clock = clock

    def get_current_sheet(self) -> Sheet:
        """Return the sheet in force, with the recalls in force."""
        sheet = self._configuration.sheet()
        if not self._configuration.generation:
            sheet = Sheet()
        return sheet._replace(recalls=tuple(self._recalls.list_active()))

    def plan(self, text: str, *, operator: str) -> Plan:
        """Return what a sheet would change.

        Raises
        ------
        SheetError
            If the sheet has mistakes.
        """
        wanted = parse_sheet(text, operator=operator)
        changes = compare_sheets(self.get_current_sheet(), wanted)
        return Plan(base=self._configuration.generation, changes=changes)

    def apply(self, text: str, *, operator: str, base: int) -> Manifest:
        """Put a sheet in force that was planned from a generation.

        Recalls of the sheet come first, so that a batch is withdrawn even if
        the rest is refused.

        Raises
        ------
        SheetError
            If the sheet has mistakes; nothing was applied.
        VersionConflictError
            If another generation has been accepted since the plan.
        PlatformError
            If the platform does not answer.
        """
        wanted = parse_sheet(text, operator=operator)
        known = {recall.recall_id for recall in self._recalls.sets.added}
        added = tuple(r for r in wanted.recalls if r.recall_id not in known)
        if self._publisher.read_manifest()[1].generation != base:
            raise VersionConflictError(
                f"the state has moved since generation {base}; make a new plan"
            )
        if added:
            self._distribute(RecallSets(added=added, lifted=()))
        manifest = self._publisher.publish(wanted, operator=operator, base=base)
        self._post(ManifestLearned(manifest=manifest))
        for content in encode_documents(wanted).values():
            digest = digest_document(content)
            self._post(DocumentLearned(digest=digest, content=content))
        log.info(
            "sheet applied",
            extra={"operator": operator, "generation": manifest.generation},
        )
        return manifest

    def add_recall(
        self, kind: RecallKind, target: str, *, operator: str
    ) -> RecallOutcome:
        """Withdraw a batch, at once here and everywhere within seconds.

        The recall is in force even if the platform is down; it is stored when
        the platform is back.
        """
        if kind is not RecallKind.SERVER and "@" not in target:
            raise RequestError(
                "name the version to recall: NAME@VERSION", kind=ErrorKind.BAD_REQUEST
            )
        recall = Recall(
            recall_id=self._make_id(), kind=kind, target=target, operator=operator
        )
        stored = self._distribute(RecallSets(added=(recall,), lifted=()))
        log.notice("recall added", extra={**recall._asdict(), "stored": stored})
        return RecallOutcome(recall_id=recall.recall_id, stored=stored)

    def _distribute(self, sets: RecallSets) -> bool:
        self._post(RecallSetsLearned(sets=sets))
        try:
            self._post(RecallSetsLearned(sets=self._publisher.merge_recalls(sets)))
        except PlatformError as error:
            log.warning("recall is not stored yet: {}", error)
            return False
        return True

    def lift_recall(self, recall_id: str, *, operator: str) -> None:
        """End a recall; accepted only by the platform.

        Raises
        ------
        RequestError
            If there is no such recall.
        PlatformError
            If the platform does not answer; the recall may stay in force.
        """
        # This host may not have heard of a recall that was given elsewhere.
        self._post(RecallSetsLearned(sets=self._publisher.read_recalls()[1]))
        if recall_id not in {r.recall_id for r in self._recalls.sets.added}:
            raise RequestError("no recall of that id", kind=ErrorKind.NOT_FOUND)
        sets = RecallSets(added=(), lifted=(recall_id,))
        self._post(RecallSetsLearned(sets=self._publisher.merge_recalls(sets)))
        log.notice("recall lifted", extra={"recall_id": recall_id, "by": operator})

    def list_recalls(self) -> list[Recall]:
        """Return the recalls in force."""
        return self._recalls.list_active()

    def _post(self, event: Any) -> None:
        self._kernel.post(event, self._clock())
