"""Pulls of missing state between hosts, over TCP."""

import struct
from collections.abc import Callable

import gevent
import msgspec
from gevent import socket
from gevent.server import StreamServer
from logbook import Logger

from rosemarystream._internal.decisions.replica import Replica
from rosemarystream._internal.models.beat import DeltaAnswer, DeltaRequest
from rosemarystream._internal.platform.documents import (
    DocumentError,
    decode_configuration,
)

log = Logger(__name__)

PULL_S = 1.0
# Pause after a pull that has failed.
PAUSE_S = 0.25
MAX_FRAME_BYTES = 16_000_000
READ_BYTES = 65_536
_LENGTH = struct.Struct("!I")

_request_decoder = msgspec.msgpack.Decoder(DeltaRequest)
_answer_decoder = msgspec.msgpack.Decoder(DeltaAnswer)
_encode = msgspec.msgpack.encode


class Pulls:
    """Asks hosts for newer state, and answers those that ask.

    Parameters
    ----------
    address : tuple of (str, int)
        Where this host listens; the port is the same on all hosts.
    on_news : callable
        Called after the replica has changed.
    """

    def __init__(
        self,
        *,
        address: tuple[str, int],
        clock: Callable[[], float],
        replica: Replica,
        on_news: Callable[[], None],
    ) -> None:
        self._port = address[1]
        self._clock = clock
        self._replica = replica
        self._on_news = on_news
        self._pulling = False
        self._not_before = 0.0
        self._server = StreamServer(address, self._serve)

    def start(self) -> None:
        """Begin to listen."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()

    def begin(self, ip: str) -> None:
        """Ask a host for newer state, unless a pull is under way."""
        if self._pulling or self._clock() < self._not_before:
            return
        self._pulling = True
        gevent.spawn(self._pull, ip)

    def _pull(self, ip: str) -> None:
        try:
            with (
                gevent.Timeout(PULL_S),
                socket.create_connection((ip, self._port)) as connection,
            ):
                request = DeltaRequest(self._replica.version, self._replica.revision)
                _send_frame(connection, _encode(request))
                answer = _answer_decoder.decode(_receive_frame(connection))
        except (OSError, gevent.Timeout, msgspec.DecodeError) as error:
            log.info("pull from a host failed", ip=ip, error=str(error))
            self._not_before = self._clock() + PAUSE_S
            return
        finally:
            self._pulling = False
        self._accept(answer)

    def _accept(self, answer: DeltaAnswer) -> None:
        news = []
        if answer.document and self._accept_document(answer.document):
            news.append(f"version {self._replica.version}")
        for endpoint in answer.endpoints:
            if self._replica.accept_endpoint(endpoint):
                news.append(endpoint.name)
        for name, revision in answer.removed.items():
            if self._replica.accept_removal(name, revision):
                news.append(name)
        self._replica.advance(answer.revision)
        if news:
            log.info("learnt from a host", news=news, revision=answer.revision)
            self._on_news()

    def _accept_document(self, document: bytes) -> bool:
        try:
            configuration = decode_configuration(document)
        except DocumentError as error:
            log.error("a host sent an unusable configuration", error=str(error))
            return False
        return self._replica.accept_configuration(configuration, document)

    def _serve(self, connection: socket.socket, _: object) -> None:
        try:
            with gevent.Timeout(PULL_S), connection:
                request = _request_decoder.decode(_receive_frame(connection))
                _send_frame(connection, _encode(self._select(request)))
        except (OSError, gevent.Timeout, msgspec.DecodeError) as error:
            log.info("a pull was not answered", error=str(error))

    def _select(self, request: DeltaRequest) -> DeltaAnswer:
        delta = self._replica.select_delta(request.revision)
        newer = self._replica.version > request.version
        return DeltaAnswer(
            self._replica.document if newer else b"",
            delta.endpoints,
            delta.removed,
            delta.revision,
        )


def _send_frame(connection: socket.socket, data: bytes) -> None:
    connection.sendall(_LENGTH.pack(len(data)) + data)


def _receive_frame(connection: socket.socket) -> bytes:
    (length,) = _LENGTH.unpack(_receive_exactly(connection, _LENGTH.size))
    if length > MAX_FRAME_BYTES:
        raise ConnectionAbortedError(f"a frame of {length} bytes is too long")
    return _receive_exactly(connection, length)


def _receive_exactly(connection: socket.socket, length: int) -> bytes:
    data = bytearray()
    while len(data) < length:
        piece = connection.recv(min(READ_BYTES, length - len(data)))
        if not piece:
            raise ConnectionAbortedError("the connection ended in a frame")
        data += piece
    return bytes(data)
