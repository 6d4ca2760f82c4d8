"""Configuration service: the active configuration and list of servers.

A sheet is stored as documents by digest; a manifest lists the documents of one
generation. An older generation never replaces a newer one.
"""

from collections.abc import Iterable
from typing import Any

import msgspec
from xxhash import xxh3_128_hexdigest

from rosemarystream._internal.decisions.host_list import HostList
from rosemarystream._internal.kernel.service import Service
from rosemarystream._internal.models.configuration import (
    EMPTY_MANIFEST,
    Manifest,
    Pool,
    Rank,
    Sheet,
    Workspace,
)
from rosemarystream._internal.models.events import (
    ConfigurationChanged,
    DocumentLearned,
    FetchDocuments,
    HostListChanged,
    HostListLearned,
    ManifestLearned,
)
from rosemarystream._internal.models.server import BackendServer, HostChanges

RANKS_DOCUMENT = "ranks"
POOLS_DOCUMENT = "pools"
WORKSPACES_DOCUMENT = "workspaces"
WORKSPACE_SHARDS = 256
DEFAULT_RANK = Rank(
    name="standard", order=1, minimum_share=0.0, target_ms=1000, worth=1.0
)
_ROW_TYPES = {
    RANKS_DOCUMENT: Rank,
    POOLS_DOCUMENT: Pool,
    WORKSPACES_DOCUMENT: Workspace,
}


def digest_document(content: bytes) -> str:
    """Return the digest under which a document is stored."""
    return xxh3_128_hexdigest(content)


def encode_documents(sheet: Sheet) -> dict[str, bytes]:
    """Return the documents of a sheet by name.

    Workspaces are divided into up to `WORKSPACE_SHARDS` documents, so that a
    change of one transfers little and no document reaches the platform's size
    limit.
    """
    documents = {
        RANKS_DOCUMENT: msgspec.json.encode(sheet.ranks),
        POOLS_DOCUMENT: msgspec.json.encode(sheet.pools),
    }
    shards: dict[str, list[Workspace]] = {}
    for workspace in sorted(sheet.workspaces):
        shards.setdefault(_name_shard(workspace.name), []).append(workspace)
    documents.update(
        {name: msgspec.json.encode(shard) for name, shard in shards.items()}
    )
    return documents


def _name_shard(workspace: str) -> str:
    digest = xxh3_128_hexdigest(workspace.encode())
    return f"{WORKSPACES_DOCUMENT}-{int(digest[:8], 16) % WORKSPACE_SHARDS:03d}"


def decode_documents(documents: dict[str, bytes]) -> Sheet:
    """Return the sheet that was encoded to `documents`, without recalls."""
    rows: dict[str, list[Any]] = {name: [] for name in _ROW_TYPES}
    for name, content in documents.items():
        kind = name.split("-")[0]
        rows[kind].extend(msgspec.json.decode(content, type=list[_ROW_TYPES[kind]]))
    return Sheet(
        ranks=tuple(rows[RANKS_DOCUMENT]),
        pools=tuple(rows[POOLS_DOCUMENT]),
        workspaces=tuple(rows[WORKSPACES_DOCUMENT]),
    )


class Configuration(Service):
    """Holds the newest configuration and server list that this host knows.

    A manifest becomes active once this host has all its documents. Older
    generations and list versions are ignored, whatever their source.
    """

    name = "configuration"
    handles = (ManifestLearned, DocumentLearned, HostListLearned)

    def __init__(self) -> None:
        self.manifest = EMPTY_MANIFEST
        self.host_list = HostList()
        self._pending: Manifest | None = None
        self._documents: dict[str, bytes] = {}
        self._pools: dict[str, Pool] = {}
        self._workspaces: dict[str, Workspace] = {}
        self._ranks: tuple[Rank, ...] = (DEFAULT_RANK,)

    def handle(self, event: Any, now: float) -> Iterable[Any]:
        """Accept a manifest, document or server list from the platform or a peer."""
        if isinstance(event, ManifestLearned):
            return self._accept_manifest(event.manifest)
        if isinstance(event, DocumentLearned):
            return self._accept_document(event)
        return self._accept_hosts(event.hosts)

    def _accept_hosts(self, changes: HostChanges) -> list[Any]:
        if not self.host_list.apply(changes):
            return []
        return [HostListChanged(version=self.host_list.version)]

    @property
    def hosts_version(self) -> int:
        """Version of the server list; 0 before the first one."""
        return self.host_list.version

    def _accept_manifest(self, manifest: Manifest) -> list[Any]:
        newest = self._pending or self.manifest
        if manifest.generation <= newest.generation:
            return []
        self._pending = manifest
        return self._activate_or_fetch()

    def _accept_document(self, event: DocumentLearned) -> list[Any]:
        if digest_document(event.content) != event.digest:
            return []
        if self._pending is None:
            return []
        if event.digest not in self._pending.documents.values():
            return []
        self._documents[event.digest] = event.content
        return self._activate_or_fetch(fetch=False)

    def _activate_or_fetch(self, *, fetch: bool = True) -> list[Any]:
        missing = self.missing_documents()
        if missing:
            return [FetchDocuments(digests=missing)] if fetch else []
        assert self._pending is not None
        self.manifest = self._pending
        self._pending = None
        self._load()
        return [ConfigurationChanged(generation=self.manifest.generation)]

    def missing_documents(self) -> tuple[str, ...]:
        """Return the digests of the documents that a pending manifest still needs."""
        if self._pending is None:
            return ()
        wanted = self._pending.documents.values()
        return tuple(sorted(set(wanted) - self._documents.keys()))

    def _load(self) -> None:
        documents = {
            name: self._documents[digest]
            for name, digest in self.manifest.documents.items()
        }
        self._documents = {
            digest: self._documents[digest]
            for digest in self.manifest.documents.values()
        }
        sheet = decode_documents(documents)
        self._pools = {pool.name: pool for pool in sheet.pools}
        self._workspaces = {space.name: space for space in sheet.workspaces}
        ranks = sorted(sheet.ranks, key=lambda rank: rank.order)
        self._ranks = tuple(ranks) or (DEFAULT_RANK,)

    @property
    def generation(self) -> int:
        """Active generation; 0 before the first one."""
        return self.manifest.generation

    @property
    def known_generation(self) -> int:
        """Highest known generation, whether active or pending."""
        return (self._pending or self.manifest).generation

    def find_document(self, digest: str) -> bytes | None:
        """Return the content of a document by digest; None if not stored here."""
        return self._documents.get(digest)

    def find_pool(self, name: str) -> Pool | None:
        """Return a pool by name, or None."""
        return self._pools.get(name)

    def find_workspace(self, name: str) -> Workspace | None:
        """Return a workspace by name, or None."""
        return self._workspaces.get(name)

    def get_workspace_weight(self, name: str) -> float:
        """Return the weight of a workspace; 1 if it is unknown."""
        workspace = self._workspaces.get(name)
        return 1.0 if workspace is None else workspace.weight

    @property
    def ranks(self) -> tuple[Rank, ...]:
        """Active ranks, the most urgent first."""
        return self._ranks

    def find_rank(self, name: str) -> Rank | None:
        """Return an active rank by name, or None."""
        return next((rank for rank in self._ranks if rank.name == name), None)

    def sheet(self) -> Sheet:
        """Return the active sheet, without recalls."""
        return Sheet(
            ranks=self._ranks,
            pools=tuple(self._pools.values()),
            workspaces=tuple(self._workspaces.values()),
        )

    def servers(self) -> tuple[BackendServer, ...]:
        """Return the listed servers that belong to a known pool."""
        return tuple(s for s in self.host_list.servers() if s.pool in self._pools)

    def dump(self) -> dict[str, Any]:
        """Return the versions and sizes of the configuration and the server list."""
        return {
            "generation": self.generation,
            "known_generation": self.known_generation,
            "change_id": self.manifest.change_id,
            "hosts_version": self.host_list.version,
            "pools": sorted(self._pools),
            "workspaces": len(self._workspaces),
            "ranks": [rank.name for rank in self._ranks],
            "missing": len(self.missing_documents()),
        }
