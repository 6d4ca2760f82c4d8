"""Watches the platform for changes of configuration, recalls and the host list."""

from collections.abc import Callable
from typing import Any

import gevent
import msgspec
from logbook import Logger

from rosemarystream._internal.decisions.configuration import Configuration
from rosemarystream._internal.decisions.membership import Membership
from rosemarystream._internal.exceptions import PlatformError
from rosemarystream._internal.kernel.kernel import Kernel
from rosemarystream._internal.kernel.service import Service
from rosemarystream._internal.models.configuration import Manifest
from rosemarystream._internal.models.events import (
    DocumentLearned,
    FetchDocuments,
    HostListLearned,
    ManifestLearned,
    RecallSetsLearned,
)
from rosemarystream._internal.models.messages import RecallSets
from rosemarystream._internal.platform.client import PlatformClient

log = Logger(__name__)

CONFIGURATION_KIND = "configuration"
DOCUMENT_KIND = "documents"
MANIFEST_NAME = "manifest"
RECALLS_NAME = "recalls"
RETRY_SECONDS = 0.5
MIN_PAUSE_SECONDS = 0.01


class PlatformWatcher(Service):
    """Reads accepted state from the platform and posts it as kernel events.

    Only a few delegate hosts of each data centre watch; the other hosts receive
    the state from them.

    Parameters
    ----------
    kernel : Kernel
        Receives the state as events.
    client : PlatformClient
        Reads from the platform.
    membership : Membership
        Chooses the hosts of the data centre that watch.
    configuration : Configuration
        Lists missing documents and the version of the host list.
    watchers : int
        Number of hosts per data centre that watch.
    wait : float
        Seconds that one long poll waits for a change.
    hosts_interval : float
        Interval between reads of the host list, in seconds.
    clock : callable
        Returns the current time in seconds since the epoch.
    """

    name = "watcher"
    handles = (FetchDocuments,)

    def __init__(
        self,
        *,
        kernel: Kernel,
        client: PlatformClient,
        membership: Membership,
        configuration: Configuration,
        watchers: int,
        wait: float,
        hosts_interval: float,
        clock: Callable[[], float],
    ) -> None:
        self._kernel = kernel
        self._client = client
        self._membership = membership
        self._configuration = configuration
        self._watcher_count = watchers
        self._wait = wait
        self._hosts_interval = hosts_interval
        self._clock = clock
        self._revision = 0
        self._loops: list[gevent.Greenlet] = []
        self.has_read_state = False

    def start(self) -> None:
        """Start the loops that watch and that read the host list."""
        self._loops = [
            gevent.spawn(self._run_loop, self._watch_once),
            gevent.spawn(self._run_loop, self._read_hosts),
        ]

    def stop(self) -> None:
        """Stop both loops."""
        gevent.killall(self._loops)

    def handle(self, event: FetchDocuments, now: float) -> tuple[()]:
        """Fetch missing documents of a manifest, if this host is a watcher."""
        if self._is_watcher():
            gevent.spawn(self._fetch, event.digests)
        return ()

    def _is_watcher(self) -> bool:
        return self._membership.is_delegate("watch", self._watcher_count)

    def _run_loop(self, step: Callable[[], float]) -> None:
        while True:
            pause = self._hosts_interval
            if self._is_watcher() or not self.has_read_state:
                try:
                    pause = step()
                except PlatformError as error:
                    log.notice("platform call failed, will retry: {}", error)
                    pause = RETRY_SECONDS
            gevent.sleep(pause)

    def _watch_once(self) -> float:
        wait = self._wait if self._revision else 0.0
        revision, names = self._client.watch(
            CONFIGURATION_KIND, after=self._revision, wait=wait
        )
        if MANIFEST_NAME in names:
            self.read_manifest()
        if RECALLS_NAME in names:
            self.read_recalls()
        self._revision = revision
        self._fetch(self._configuration.missing_documents())
        self.has_read_state = True
        return MIN_PAUSE_SECONDS

    def read_manifest(self) -> None:
        """Read the accepted manifest and fetch its missing documents."""
        stored = self._client.read(CONFIGURATION_KIND, MANIFEST_NAME)
        if not stored.version:
            return
        manifest = msgspec.json.decode(stored.value, type=Manifest)
        self._post(ManifestLearned(manifest=manifest))
        self._fetch(self._configuration.missing_documents())

    def read_recalls(self) -> None:
        """Read the recall sets and post them for merging."""
        stored = self._client.read(CONFIGURATION_KIND, RECALLS_NAME)
        if stored.version:
            sets = msgspec.json.decode(stored.value, type=RecallSets)
            self._post(RecallSetsLearned(sets=sets))

    def _read_hosts(self) -> float:
        after = self._configuration.hosts_version
        self._post(HostListLearned(hosts=self._client.list_hosts(after=after)))
        return self._hosts_interval

    def _fetch(self, digests: tuple[str, ...]) -> None:
        for digest in digests:
            if digest not in self._configuration.missing_documents():
                continue
            try:
                stored = self._client.read(DOCUMENT_KIND, digest)
            except PlatformError as error:
                log.notice("fetching document {} failed: {}", digest, error)
                return
            if stored.version:
                content = msgspec.json.decode(stored.value, type=str).encode()
                self._post(DocumentLearned(digest=digest, content=content))

    def _post(self, event: Any) -> None:
        self._kernel.post(event, self._clock())

    def dump(self) -> dict[str, Any]:
        """Return the position of the watch and the number of platform calls."""
        return {
            "watching": self._is_watcher(),
            "revision": self._revision,
            "platform_calls": self._client.calls,
        }
