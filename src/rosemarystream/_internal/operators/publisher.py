"""Publishes configuration and recalls to the platform by conditional writes."""

from collections.abc import Callable

import msgspec

from rosemarystream._internal.decisions.configuration import (
    digest_document,
    encode_documents,
)
from rosemarystream._internal.decisions.recalls import merge_recalls
from rosemarystream._internal.exceptions import (
    ErrorKind,
    PlatformError,
    VersionConflictError,
)
from rosemarystream._internal.models.configuration import (
    EMPTY_MANIFEST,
    Manifest,
    Sheet,
)
from rosemarystream._internal.models.messages import RecallSets
from rosemarystream._internal.platform.client import ABSENT_VERSION, PlatformClient
from rosemarystream._internal.platform.watcher import (
    CONFIGURATION_KIND,
    DOCUMENT_KIND,
    MANIFEST_NAME,
    RECALLS_NAME,
)

HISTORY_LENGTH = 64
MAX_ATTEMPTS = 8
EMPTY_RECALLS = RecallSets(added=(), lifted=())


class Publisher:
    """Reads and writes the configuration and the recalls on the platform.

    A configuration becomes the accepted one by a single conditional write of its
    manifest. Its documents are written before that, each under the digest of its
    content.

    Parameters
    ----------
    client : PlatformClient
        Client of the platform's object API.
    make_id : callable
        Returns a new unique identifier.
    """

    def __init__(self, *, client: PlatformClient, make_id: Callable[[], str]) -> None:
        self._client = client
        self._make_id = make_id

    def read_manifest(self) -> tuple[int, Manifest]:
        """Return the version and content of the accepted manifest."""
        stored = self._client.read(CONFIGURATION_KIND, MANIFEST_NAME)
        if not stored.version:
            return ABSENT_VERSION, EMPTY_MANIFEST
        return stored.version, msgspec.json.decode(stored.value, type=Manifest)

    def publish(self, sheet: Sheet, *, operator: str, base: int) -> Manifest:
        """Publish a sheet that was made from the generation `base`.

        Raises
        ------
        VersionConflictError
            If another generation has been accepted since.
        PlatformError
            If it could not be determined whether the write took effect.
        """
        version, current = self.read_manifest()
        if current.generation != base:
            raise _make_conflict(base, current)
        documents = encode_documents(sheet)
        digests = {name: digest_document(doc) for name, doc in documents.items()}
        for name, content in documents.items():
            if current.documents.get(name) != digests[name]:
                self._write_document(digests[name], content)
        history = (current.change_id, *current.history)[:HISTORY_LENGTH]
        manifest = Manifest(
            generation=current.generation + 1,
            change_id=self._make_id(),
            operator=operator,
            documents=digests,
            history=history,
        )
        return self._store_manifest(manifest, version)

    def _write_document(self, digest: str, content: bytes) -> None:
        value = msgspec.json.encode(content.decode())
        try:
            self._client.write(DOCUMENT_KIND, digest, value, expected=ABSENT_VERSION)
        except VersionConflictError:
            return
        except PlatformError:
            if not self._client.read(DOCUMENT_KIND, digest).version:
                raise

    def _store_manifest(self, manifest: Manifest, version: int) -> Manifest:
        value = msgspec.json.encode(manifest)
        try:
            self._client.write(
                CONFIGURATION_KIND, MANIFEST_NAME, value, expected=version
            )
        except (PlatformError, VersionConflictError):
            # The write may have taken effect although its answer was lost, so look
            # for the change in the manifest and its history.
            _, current = self.read_manifest()
            if manifest.change_id not in (current.change_id, *current.history):
                raise _make_conflict(manifest.generation - 1, current) from None
        return manifest

    def read_recalls(self) -> tuple[int, RecallSets]:
        """Return the version and content of the stored recall sets."""
        stored = self._client.read(CONFIGURATION_KIND, RECALLS_NAME)
        if not stored.version:
            return ABSENT_VERSION, EMPTY_RECALLS
        return stored.version, msgspec.json.decode(stored.value, type=RecallSets)

    def merge_recalls(self, sets: RecallSets) -> RecallSets:
        """Merge added recalls and lifted identifiers into the stored sets.

        The sets only grow, so repeating the merge after a lost answer is safe.

        Raises
        ------
        PlatformError
            If the platform does not answer, or other writers were first
            `MAX_ATTEMPTS` times.
        """
        for _ in range(MAX_ATTEMPTS):
            version, stored = self.read_recalls()
            merged = merge_recalls(stored, sets)
            if merged == stored:
                return merged
            value = msgspec.json.encode(merged)
            try:
                self._client.write(
                    CONFIGURATION_KIND, RECALLS_NAME, value, expected=version
                )
            except VersionConflictError:
                continue
            return merged
        raise PlatformError("recalls kept changing; try again")


def _make_conflict(base: int, current: Manifest) -> VersionConflictError:
    return VersionConflictError(
        f"made from generation {base}, but {current.operator or 'nobody'} has put "
        f"generation {current.generation} in force; make a new plan",
        kind=ErrorKind.CONFLICT,
    )
