"""Operations of the administration API, independent of HTTP."""

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
    """Changes that applying a sheet would make.

    Attributes
    ----------
    base : int
        Generation that the plan was made from; `apply` has to name it.
    changes : list of SheetChange
        Differences between the configuration in force and the sheet.
    """

    base: int
    changes: list[SheetChange]


class RecallOutcome(NamedTuple):
    """Result of adding a recall.

    Attributes
    ----------
    recall_id : str
        Identifier by which it can be lifted.
    stored : bool
        Whether the platform has stored it; until then only the hosts hold it.
    """

    recall_id: str
    stored: bool


class Administration:
    """Plans and applies sheets, and adds and lifts recalls.

    Parameters
    ----------
    kernel : Kernel
        Receives the changes as events.
    configuration : Configuration
        Configuration in force in this process.
    recalls : Recalls
        Recalls known to this process.
    publisher : Publisher
        Reads from and writes to the platform.
    make_id : callable
        Returns a new unique identifier.
    clock : callable
        Returns the current time in seconds since the epoch.
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
        """Return the sheet in force, including the recalls in force."""
        sheet = self._configuration.sheet()
        if not self._configuration.generation:
            sheet = Sheet()
        return sheet._replace(recalls=tuple(self._recalls.list_active()))

    def plan(self, text: str, *, operator: str) -> Plan:
        """Return the changes that applying a sheet would make.

        Raises
        ------
        SheetError
            If the sheet has mistakes.
        """
        wanted = parse_sheet(text, operator=operator)
        changes = compare_sheets(self.get_current_sheet(), wanted)
        return Plan(base=self._configuration.generation, changes=changes)

    def apply(self, text: str, *, operator: str, base: int) -> Manifest:
        """Apply a sheet whose plan was made from the generation `base`.

        The recalls of the sheet are distributed first, so that a batch is
        withdrawn even if the rest of the sheet is then refused.

        Raises
        ------
        SheetError
            If the sheet has mistakes; nothing was applied.
        VersionConflictError
            If another generation has been accepted since the plan was made.
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
        """Add a recall: on this host at once, on all hosts within seconds.

        The recall is in force even if the platform is unavailable; it is stored
        once the platform answers again.

        Raises
        ------
        RequestError
            If the target of a versioned kind names no version.
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
        """Lift a recall, which takes effect only once the platform has stored it.

        Raises
        ------
        RequestError
            If there is no recall of this identifier.
        PlatformError
            If the platform does not answer; the recall may stay in force.
        """
        # This host may not have received a recall that was added on another one.
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
